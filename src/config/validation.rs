//! Checks of values that several settings share.

use super::ConfigError;

/// Refuses all but finite numbers above zero.
pub(super) fn require_positive(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(ConfigError::field(field, format!("must be a number above 0, not {value}")))
    }
}

/// Refuses all but finite numbers of at least zero.
pub(super) fn require_not_negative(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(ConfigError::field(field, format!("must be a number of at least 0, not {value}")))
    }
}

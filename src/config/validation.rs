//! Validation of numbers, shared by several settings.

use super::ConfigError;

/// Returns an error unless the value is finite and above zero.
pub(super) fn require_positive(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(ConfigError::field(field, format!("must be a number above 0, not {value}")))
    }
}

/// Returns an error unless the value is finite and at least zero.
pub(super) fn require_not_negative(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(ConfigError::field(field, format!("must be a number of at least 0, not {value}")))
    }
}

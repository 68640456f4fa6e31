//! What can be wrong with the settings.

use std::path::PathBuf;

/// What is wrong with the settings, in one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// A file has a syntax error, or a field that is unknown, missing or of another type.
    #[error("{path}: {reason}")]
    Malformed {
        /// The file.
        path: String,
        /// The parser's reason, with the field's name.
        reason: String,
    },
    /// A field's value cannot be used.
    #[error("{field}: {reason}")]
    Field {
        /// The field's path in the file, such as `settings.teams[1].name`.
        field: String,
        /// What the value must be.
        reason: String,
    },
}

impl ConfigError {
    /// An error of a field's value.
    pub(super) fn field(field: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::Field { field: field.into(), reason: reason.into() }
    }
}

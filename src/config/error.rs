//! Errors in the settings.

use std::path::PathBuf;

/// A mistake in the settings. Its text is one line that names the file or the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file has a syntax error, or a field that is unknown, missing or of the wrong type.
    #[error("{path}: {reason}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The parser's error message, which names the field.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field in the file, such as `settings.teams[1].name`.
        field: String,
        /// What the value must be, or why it is not allowed.
        reason: String,
    },
}

impl ConfigError {
    /// Creates the error of a field whose value is not allowed.
    pub(super) fn field(field: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::Field { field: field.into(), reason: reason.into() }
    }
}

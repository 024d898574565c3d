//! The library's top-level error; every layer's own error converts into it.

use std::io;

use crate::platform::PlatformError;
use crate::sheet::SheetRejected;

/// Anything that stops a program of this package.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag or environment variable holds an unusable value.
    #[error("setting {name}: {value:?} is not usable: {fix}")]
    Setting {
        /// Flag name without dashes.
        name: &'static str,
        /// The value as given.
        value: String,
        /// What would be right.
        fix: String,
    },
    /// A field of the platform's settings file is missing or unusable.
    #[error("settings file: {field} {fix}")]
    DeploymentSetting {
        /// Path of the field, its parts joined by dots.
        field: String,
        /// What would be right.
        fix: String,
    },
    /// The sheet has errors; all of them are listed.
    #[error(transparent)]
    Sheet(#[from] SheetRejected),
    /// The platform's table or object store did not do what was asked.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The operating system refused an operation.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The administration API refused a command.
    #[error("{message}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// The reason, from the daemon.
        message: String,
    },
    /// The daemon's address for callers could not be reached, or it broke its answer off.
    #[error("no answer from the daemon at {address}: {reason}; check --front")]
    NoResponse {
        /// Address that was called.
        address: String,
        /// Why there is no answer.
        reason: String,
    },
    /// The daemon's administration API could not be reached.
    #[error("cannot reach the daemon at {address}: {reason}; check --admin or SARDINESEAM_ADMIN")]
    AdminUnreachable {
        /// The address tried.
        address: String,
        /// Why it failed.
        reason: String,
    },
    /// The logger could not be installed.
    #[error("cannot install the logger: {0}")]
    Logger(#[from] log::SetLoggerError),
}

impl Error {
    /// Builds a function that wraps an I/O error with the operation that failed.
    pub fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let operation = operation.into();
        move |source| Error::Io { operation, source }
    }
}

/// The library's result type.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! Top-level error of the library.

use std::io;

use crate::platform::PlatformError;
use crate::sheet::SheetRejected;

/// Error that ends a program of this package.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag or environment variable has an invalid value.
    #[error("setting {name}: {value:?} is invalid: {fix}")]
    Setting {
        /// Name of the flag without its leading dashes, or of the environment variable.
        name: &'static str,
        /// The value as given.
        value: String,
        /// What a valid value is, or what to do instead.
        fix: String,
    },
    /// A field of the control role's settings file is missing or invalid.
    #[error("settings file: {field} {fix}")]
    SettingsFile {
        /// Path of the field, with dots between its parts.
        field: String,
        /// What a valid value is.
        fix: String,
    },
    /// The sheet is invalid; the error lists every problem.
    #[error(transparent)]
    Sheet(#[from] SheetRejected),
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// An I/O operation failed.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// The cause.
        source: io::Error,
    },
    /// The daemon refused a request, sent an unexpected response, or reported that a job did not complete.
    #[error("{message}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// The daemon's reason.
        message: String,
    },
    /// The daemon's address for callers could not be reached, or the response was cut off.
    #[error("no response from the daemon at {address}: {reason}; check --front")]
    NoResponse {
        /// The daemon's address for callers.
        address: String,
        /// Why there is no response.
        reason: String,
    },
    /// The daemon's administration API could not be reached.
    #[error("cannot reach the daemon at {address}: {reason}; check --admin or SARDINESEAM_ADMIN")]
    AdminUnreachable {
        /// Address of the administration API.
        address: String,
        /// Why the call failed.
        reason: String,
    },
    /// The operators' address of a daemon in the control role could not be reached.
    #[error("cannot reach the daemon at {address}: {reason}; check --daemon or SARDINESEAM_DAEMON")]
    DaemonUnreachable {
        /// The operators' address.
        address: String,
        /// Why the call failed.
        reason: String,
    },
    /// The logger could not be installed.
    #[error("cannot install the logger: {0}")]
    Logger(#[from] log::SetLoggerError),
}

impl Error {
    /// Returns a function for `map_err` that adds the name of the failed operation to an I/O error.
    pub fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
        let operation = operation.into();
        move |source| Error::Io { operation, source }
    }
}

/// The library's result type.
pub type Result<T, E = Error> = std::result::Result<T, E>;

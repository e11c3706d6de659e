//! Errors of commands and their exit codes.

use std::path::PathBuf;

use mustardbay_platform::PlatformError;
use mustardbay_policy::bundle::BundleVersion;
use mustardbay_policy::bundle::ChunkError;
use mustardbay_policy::bundle::Faults;
use mustardbay_policy::bundle::HeadError;
use mustardbay_policy::bundle::ParseSignerError;
use mustardbay_process::exit::Exit;
use thiserror::Error;

/// Failure of a command.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A bundle is invalid.
    #[error("{path}: the bundle is refused:\n{faults}")]
    Bundle {
        /// File of the bundle.
        path: PathBuf,
        /// Every fault with its line and path.
        faults: Faults,
    },
    /// A file does not contain a private key.
    #[error("{path}: {source}")]
    Signer {
        /// The file.
        path: PathBuf,
        /// Why it cannot be parsed.
        source: ParseSignerError,
    },
    /// A file does not contain a signed head.
    #[error("{path}: not a signed head: {source}")]
    Head {
        /// The file.
        path: PathBuf,
        /// Why it cannot be parsed.
        source: serde_json::Error,
    },
    /// A signed head does not belong to the bundle and the expected version.
    #[error("the signed head is for version {version} and root {root}, not for this bundle")]
    HeadMismatch {
        /// Version that was signed.
        version: BundleVersion,
        /// Root that was signed.
        root: String,
    },
    /// The signature of a head is invalid.
    #[error(transparent)]
    Signature(#[from] HeadError),
    /// The head or a chunk on the platform cannot be decoded.
    #[error("the platform's bundle is damaged: {0}")]
    Damaged(String),
    /// Another version is in force.
    #[error("conflict: version {in_force} is in force, not {expected}; nothing was changed")]
    Conflict {
        /// Version that the operator expected.
        expected: BundleVersion,
        /// Version in force.
        in_force: BundleVersion,
    },
    /// The platform cannot be reached; no version was put in force.
    #[error("{0}; nothing was put in force")]
    Platform(#[from] PlatformError),
    /// The platform did not respond to the swap of the head.
    #[error(
        "unknown whether version {version} is in force: {source}; ask again with `bundle status`"
    )]
    Unknown {
        /// Version that was submitted.
        version: BundleVersion,
        /// Error of the last attempt.
        source: PlatformError,
    },
    /// The admin endpoint of a process failed or cannot be reached.
    #[error("{url}: {cause}")]
    Admin {
        /// Address of the admin endpoint.
        url: String,
        /// Error of the HTTP request.
        cause: String,
    },
    /// A value could not be serialised for output or upload.
    #[error("value cannot be serialised: {0}")]
    Render(String),
}

impl CliError {
    /// Returns the exit code of the failure.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Conflict { .. } => Exit::Conflict,
            Self::Platform(_) | Self::Unknown { .. } | Self::Admin { .. } => Exit::Unreachable,
            _ => Exit::Failed,
        }
    }
}

impl From<ChunkError> for CliError {
    fn from(e: ChunkError) -> Self {
        Self::Damaged(e.to_string())
    }
}

//! Files with the private keys of operators.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use mustardbay_policy::bundle::Signer;

use crate::bundle_file;
use crate::error::CliError;

/// Permissions of a new key file: readable and writable by its owner alone.
const OWNER_ONLY: u32 = 0o600;

/// Loads a private key from a file.
pub(crate) fn load(path: &Path) -> Result<Signer, CliError> {
    let text = bundle_file::read(path)?;
    text.parse().map_err(|source| CliError::Signer {
        path: path.to_path_buf(),
        source,
    })
}

/// Creates a file with a private key; fails if the file exists.
pub(crate) fn create(path: &Path, signer: &Signer) -> Result<(), CliError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(OWNER_ONLY);
    let written = options
        .open(path)
        .and_then(|mut file| writeln!(file, "{}", signer.reveal()));
    written.map_err(|source| CliError::File {
        path: path.to_path_buf(),
        source,
    })
}

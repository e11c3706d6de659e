//! Files with bundles and signed heads.

use std::path::Path;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::bundle::Head;

use crate::error::CliError;

/// Loads a bundle and validates all of it.
pub(crate) fn load_bundle(path: &Path) -> Result<Bundle, CliError> {
    let text = read(path)?;
    Bundle::parse(&text).map_err(|faults| CliError::Bundle {
        path: path.to_path_buf(),
        faults,
    })
}

/// Loads a signed head, without verifying its signature.
pub(crate) fn load_head(path: &Path) -> Result<Head, CliError> {
    let text = read(path)?;
    serde_json::from_str(&text).map_err(|source| CliError::Head {
        path: path.to_path_buf(),
        source,
    })
}

/// Reads a text file.
pub(crate) fn read(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_path_buf(),
        source,
    })
}

/// Writes a text file, replacing an existing one.
pub(crate) fn write(path: &Path, text: &str) -> Result<(), CliError> {
    std::fs::write(path, text).map_err(|source| CliError::File {
        path: path.to_path_buf(),
        source,
    })
}

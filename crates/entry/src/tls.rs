//! TLS for client connections.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use rustls_pemfile::certs;
use rustls_pemfile::private_key;
use thiserror::Error;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls;
use tokio_rustls::rustls::ServerConfig;

use crate::settings::TlsSettings;

/// Reason why a certificate or key cannot be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{path}: cannot be read: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The key file holds no private key.
    #[error("{0}: holds no private key")]
    NoKey(PathBuf),
    /// The certificate or key is invalid, or they do not match.
    #[error("certificate and key are refused: {0}")]
    Refused(#[from] rustls::Error),
}

/// Loads the certificate and key and returns a TLS acceptor for them.
pub(crate) fn acceptor(settings: &TlsSettings) -> Result<TlsAcceptor, TlsError> {
    let pem = read(&settings.certificate)?;
    let chain = certs(&mut &*pem)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|source| unreadable(&settings.certificate, source))?;
    let pem = read(&settings.key)?;
    let key = private_key(&mut &*pem)
        .map_err(|source| unreadable(&settings.key, source))?
        .ok_or_else(|| TlsError::NoKey(settings.key.clone()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|source| unreadable(path, source))
}

fn unreadable(path: &Path, source: std::io::Error) -> TlsError {
    TlsError::Read {
        path: path.to_path_buf(),
        source,
    }
}

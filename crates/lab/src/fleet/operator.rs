//! Operator of a fleet, who submits its bundles and holds the keys of its accounts.

use std::collections::BTreeMap;

use mustardbay_platform::Gateway;
use mustardbay_platform::Platform;
use mustardbay_platform::PlatformError;
use mustardbay_platform::Revision;
use mustardbay_platform::Swap;
use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::bundle::Head;
use mustardbay_policy::bundle::Key;
use mustardbay_policy::bundle::Signer;
use mustardbay_policy::bundle::Tree;
use thiserror::Error;

/// Platform key of the head, the record that names the bundle in force.
const HEAD_KEY: &str = "mustardbay/bundle/head";
/// Prefix of the platform keys of a bundle's chunks.
const CHUNK_PREFIX: &str = "mustardbay/bundle/chunk/";

/// Failure to store a bundle or the record of a vm.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The platform did not answer or refused the call.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// The head changed since it was last read or written.
    #[error("another bundle was submitted in between")]
    Conflict,
    /// The head cannot be encoded as JSON.
    #[error("bundle head: {0}")]
    Json(#[from] serde_json::Error),
}

/// Operator with its signing key, the accounts' keys and the head that it submitted last.
#[derive(Debug)]
pub struct Operator {
    url: String,
    platform: Gateway,
    signer: Signer,
    keys: BTreeMap<String, Key>,
    head: Option<Head>,
    revision: Revision,
}

impl Operator {
    /// Generates a signing key, and a key for each account that has none.
    ///
    /// Returns the bundle with the verifiers of the new keys.
    ///
    /// # Errors
    ///
    /// Fails if the client of the platform cannot be set up.
    pub fn prepare(
        bundle: &Bundle,
        platform: impl Into<String>,
    ) -> Result<(Bundle, Self), OperatorError> {
        let url = platform.into();
        let mut rng = rand::rng();
        let mut bundle = bundle.clone();
        let mut keys = BTreeMap::new();
        for account in bundle
            .accounts
            .iter_mut()
            .filter(|account| account.keys.is_empty())
        {
            let key = Key::generate(&mut rng);
            account.keys.push(key.verifier(&mut rng));
            keys.insert(account.name.to_string(), key);
        }
        let operator = Self {
            platform: Gateway::new([url.clone()])?,
            url,
            signer: Signer::generate(&mut rng),
            keys,
            head: None,
            revision: Revision(0),
        };
        Ok((bundle, operator))
    }

    /// Creates an operator with the same keys, which submits on top of the same head.
    ///
    /// # Errors
    ///
    /// Fails if the client of the platform cannot be set up.
    pub fn fork(&self) -> Result<Self, OperatorError> {
        Ok(Self {
            url: self.url.clone(),
            platform: Gateway::new([self.url.clone()])?,
            signer: self.signer.clone(),
            keys: self.keys.clone(),
            head: self.head.clone(),
            revision: self.revision,
        })
    }

    /// Returns the key of an account; empty if none was generated.
    pub fn key(&self, account: &str) -> String {
        self.keys
            .get(account)
            .map(|key| key.reveal().to_owned())
            .unwrap_or_default()
    }

    /// Returns the public key that verifies the bundles, in hex.
    pub fn signer(&self) -> String {
        self.signer.id().to_string()
    }

    /// Writes a value to the platform without a condition.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn put(&self, key: &str, value: &str) -> Result<(), OperatorError> {
        self.platform
            .put(key, value.to_owned().into(), None)
            .await?;
        Ok(())
    }

    /// Submits a bundle as the next version and returns it with its new version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or another submission came first.
    pub async fn submit(&mut self, mut bundle: Bundle) -> Result<Bundle, OperatorError> {
        bundle.version = bundle.version.next();
        let tree = Tree::build(&bundle);
        for chunk in &tree.chunks {
            let key = format!("{CHUNK_PREFIX}{}", chunk.hash);
            self.platform
                .put(&key, chunk.bytes.clone().into(), None)
                .await?;
        }
        let head = Head::sign(bundle.version, tree.root, &self.signer);
        let head = head.submitted_by(rand::random(), self.head.as_ref());
        let value = serde_json::to_vec(&head)?;
        match self
            .platform
            .swap(HEAD_KEY, self.revision, value.into())
            .await?
        {
            Swap::Done(revision) => self.revision = revision,
            Swap::Conflict(_) => return Err(OperatorError::Conflict),
        }
        self.head = Some(head);
        Ok(bundle)
    }
}

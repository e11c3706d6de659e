//! Keys of a fleet's accounts and the submission of its bundles.

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

/// Key of the record that says which bundle is in force.
const HEAD: &str = "mustardbay/bundle/head";
/// Prefix of the chunks' keys.
const CHUNKS: &str = "mustardbay/bundle/chunk/";

/// Failure to store a bundle or the list of virtual machines.
#[derive(Debug, Error)]
pub enum SubmissionError {
    /// The platform did not answer.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// Somebody else submitted in between.
    #[error("another bundle was submitted in between")]
    Conflict,
    /// The record cannot be written as JSON.
    #[error("bundle head: {0}")]
    Json(#[from] serde_json::Error),
}

/// Operator of a fleet: its signing key, its accounts' keys and its view of the head.
#[derive(Debug)]
pub struct Submission {
    url: String,
    platform: Gateway,
    signer: Signer,
    keys: BTreeMap<String, Key>,
    head: Option<Head>,
    revision: Revision,
}

impl Submission {
    /// Creates a signing key and one key for each account without any.
    ///
    /// # Errors
    ///
    /// Fails if the client of the platform cannot be set up.
    pub fn prepare(
        bundle: &Bundle,
        platform: impl Into<String>,
    ) -> Result<(Bundle, Self), SubmissionError> {
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
        let submission = Self {
            platform: Gateway::new([url.clone()])?,
            url,
            signer: Signer::generate(&mut rng),
            keys,
            head: None,
            revision: Revision(0),
        };
        Ok((bundle, submission))
    }

    /// Creates an operator who starts from the same head.
    ///
    /// # Errors
    ///
    /// Fails if the client of the platform cannot be set up.
    pub fn another(&self) -> Result<Self, SubmissionError> {
        Ok(Self {
            url: self.url.clone(),
            platform: Gateway::new([self.url.clone()])?,
            signer: self.signer.clone(),
            keys: self.keys.clone(),
            head: self.head.clone(),
            revision: self.revision,
        })
    }

    /// Returns the key of an account; empty when there is none.
    pub fn key(&self, account: &str) -> String {
        self.keys
            .get(account)
            .map(|key| key.reveal().to_owned())
            .unwrap_or_default()
    }

    /// Returns the public key that signs, in hex.
    pub fn signer(&self) -> String {
        self.signer.id().to_string()
    }

    /// Writes one key of the platform.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn put(&self, key: &str, value: &str) -> Result<(), SubmissionError> {
        self.platform
            .put(key, value.to_owned().into(), None)
            .await?;
        Ok(())
    }

    /// Submits a bundle as the next version and returns it with that version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or another submission came first.
    pub async fn submit(&mut self, mut bundle: Bundle) -> Result<Bundle, SubmissionError> {
        bundle.version = bundle.version.next();
        let tree = Tree::build(&bundle);
        for chunk in &tree.chunks {
            let key = format!("{CHUNKS}{}", chunk.hash);
            self.platform
                .put(&key, chunk.bytes.clone().into(), None)
                .await?;
        }
        let head = Head::sign(bundle.version, tree.root, &self.signer);
        let head = head.submitted_by(rand::random(), self.head.as_ref());
        let value = serde_json::to_vec(&head)?;
        match self
            .platform
            .swap(HEAD, self.revision, value.into())
            .await?
        {
            Swap::Done(revision) => self.revision = revision,
            Swap::Conflict(_) => return Err(SubmissionError::Conflict),
        }
        self.head = Some(head);
        Ok(bundle)
    }
}

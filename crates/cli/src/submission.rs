//! Submits a bundle to the platform.

use std::time::Duration;

use bytes::Bytes;
use mustardbay_platform::Entry;
use mustardbay_platform::Platform;
use mustardbay_platform::PlatformError;
use mustardbay_platform::Revision;
use mustardbay_platform::Swap;
use mustardbay_policy::bundle::BundleVersion;
use mustardbay_policy::bundle::ChunkHash;
use mustardbay_policy::bundle::Head;
use mustardbay_policy::bundle::Tree;
use mustardbay_policy::bundle::TreeDiff;

use crate::error::CliError;

/// Key of the head of the bundle in force.
pub const HEAD_KEY: &str = "mustardbay/bundle/head";
/// Prefix of the keys of chunks; the hash of the chunk follows.
pub const CHUNK_PREFIX: &str = "mustardbay/bundle/chunk/";
/// Attempts of one call before its error is returned.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before the second attempt; doubled for each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Bundle that is ready to be submitted.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Chunks of the bundle.
    pub tree: Tree,
    /// Signed head for the version after the expected one.
    pub head: Head,
    /// Version that must be in force for the submission to succeed.
    pub expected: BundleVersion,
    /// Random number that identifies this submission.
    pub writer: u64,
}

/// Result of a submission that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Submitted {
    /// Version that was put in force.
    pub version: BundleVersion,
    /// Number of chunks that were written.
    pub chunks: usize,
    /// Total size of these chunks, in bytes.
    pub bytes: usize,
}

impl Submission {
    /// Writes the chunks that the platform lacks and swaps the head.
    ///
    /// # Errors
    ///
    /// Fails with [`CliError::Conflict`] if another version is in force, and with
    /// [`CliError::Unknown`] if the platform did not respond to the swap of the head.
    pub async fn run(self, platform: &dyn Platform) -> Result<Submitted, CliError> {
        let current = retry(|| platform.get(HEAD_KEY)).await?;
        let previous = current.as_ref().map(read_head).transpose()?;
        self.check_expected(previous.as_ref())?;
        let written = self.write_chunks(platform, previous.as_ref()).await?;
        let revision = current.map_or(Revision::default(), |e| e.revision);
        self.swap_head(platform, revision, previous.as_ref())
            .await?;
        Ok(Submitted {
            version: self.head.version,
            ..written
        })
    }

    fn check_expected(&self, in_force: Option<&Head>) -> Result<(), CliError> {
        let in_force = in_force.map_or(BundleVersion::default(), |h| h.version);
        if in_force == self.expected {
            Ok(())
        } else {
            Err(self.conflict(in_force))
        }
    }

    fn conflict(&self, in_force: BundleVersion) -> CliError {
        CliError::Conflict {
            expected: self.expected,
            in_force,
        }
    }

    async fn write_chunks(
        &self,
        platform: &dyn Platform,
        previous: Option<&Head>,
    ) -> Result<Submitted, CliError> {
        let mut diff = TreeDiff::new(self.tree.clone(), previous.map(|h| h.root));
        while let Some(hash) = diff.next_read() {
            let key = chunk_key(hash);
            let entry = retry(|| platform.get(&key)).await?;
            diff.add_stored(entry.map(|e| e.value.to_vec()))?;
        }
        let chunks = diff.missing_chunks();
        for chunk in &chunks {
            let key = chunk_key(chunk.hash);
            let bytes = Bytes::from(chunk.bytes.clone());
            retry(|| platform.put(&key, bytes.clone(), None)).await?;
        }
        Ok(Submitted {
            version: self.head.version,
            chunks: chunks.len(),
            bytes: chunks.iter().map(|c| c.bytes.len()).sum(),
        })
    }

    /// Swaps the head.
    ///
    /// If the response to an attempt is lost, a later attempt meets a conflict. The head in force
    /// then names this writer if the earlier attempt took effect, even if it was replaced since.
    async fn swap_head(
        &self,
        platform: &dyn Platform,
        revision: Revision,
        previous: Option<&Head>,
    ) -> Result<(), CliError> {
        let head = self.head.clone().submitted_by(self.writer, previous);
        let json = serde_json::to_vec(&head).map_err(|e| CliError::Render(e.to_string()))?;
        let value = Bytes::from(json);
        let swapped = retry(|| platform.swap(HEAD_KEY, revision, value.clone())).await;
        match swapped {
            Ok(Swap::Done(_)) => Ok(()),
            Ok(Swap::Conflict(entry)) => {
                let in_force = entry.as_ref().map(read_head).transpose()?;
                if in_force
                    .as_ref()
                    .is_some_and(|h| h.includes_writer(self.writer))
                {
                    return Ok(());
                }
                Err(self.conflict(in_force.map_or(BundleVersion::default(), |h| h.version)))
            }
            Err(source) => Err(CliError::Unknown {
                version: self.head.version,
                source,
            }),
        }
    }
}

/// Decodes the head from its entry on the platform.
pub(crate) fn read_head(entry: &Entry) -> Result<Head, CliError> {
    serde_json::from_slice(&entry.value).map_err(|e| CliError::Damaged(e.to_string()))
}

fn chunk_key(hash: ChunkHash) -> String {
    format!("{CHUNK_PREFIX}{hash}")
}

/// Repeats an idempotent call until it succeeds or [`MAX_ATTEMPTS`] is reached.
pub(crate) async fn retry<T, F>(call: impl Fn() -> F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let mut delay = FIRST_RETRY_DELAY;
    let mut attempt = 1;
    loop {
        match call().await {
            Ok(answer) => return Ok(answer),
            Err(e) if attempt == MAX_ATTEMPTS => return Err(e),
            Err(e) => tracing::debug!(event = "platform_call_retried", attempt, error = %e),
        }
        attempt += 1;
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
}

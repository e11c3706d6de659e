//! Settings of an entry.

use std::net::IpAddr;
use std::path::PathBuf;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;
use mustardbay_process::machine;
use mustardbay_process::settings::InvalidValue;
use mustardbay_process::settings::Milliseconds;
use mustardbay_process::settings::Settings;
use mustardbay_process::settings::check_address;
use mustardbay_process::settings::check_name;
use mustardbay_process::settings::deserialize_count;
use mustardbay_process::settings::deserialize_count_up_to;
use mustardbay_process::settings::deserialize_some_count;
use mustardbay_process::settings::override_from_env;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

/// Largest batch; with its envelope it must fit into a frame to a pool.
#[expect(
    clippy::cast_precision_loss,
    reason = "a frame has far fewer bytes than are exact"
)]
const MAX_BATCH_BYTES: f64 = (mustardbay_wire::MAX_FRAME_BYTES / 2) as f64;
/// Fraction of the process's memory that may be kept for clients.
const KEPT_DIVISOR: u64 = 8;

/// Settings of an entry, read from `entry.yaml`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this vm.
    pub vm: VmName,
    /// Failure domain of this vm.
    pub domain: DomainName,
    /// Address `ip:port` that clients connect to.
    pub callers: String,
    /// Address `ip:port` of the admin endpoint.
    pub admin: String,
    /// Local address `ip:port` of the steward of this vm.
    pub steward: String,
    /// Source address of connections to pools; chosen by the operating system if absent.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// How clients present their keys.
    #[serde(default)]
    pub keys: KeyExchange,
    /// Whether a key in clear text is accepted without TLS.
    #[serde(default)]
    pub clear_keys: bool,
    /// Certificate for TLS connections of clients; TLS is refused if absent.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Limits on the resources that clients use.
    #[serde(default)]
    pub limits: ClientLimits,
}

/// How clients present their keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyExchange {
    /// SCRAM-SHA-256: the key never leaves the client.
    #[default]
    Scram,
    /// Clear text, only over TLS unless `clear_keys` is set.
    Cleartext,
}

/// Certificate and private key, both in PEM files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// File with the certificate chain.
    pub certificate: PathBuf,
    /// File with the private key.
    pub key: PathBuf,
}

/// Limits on the resources that clients use in this process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientLimits {
    /// Largest number of client connections.
    #[serde(deserialize_with = "deserialize_count")]
    pub connections: usize,
    /// Time limit of a start-up.
    pub startup_ms: Milliseconds<1>,
    /// Largest client message, in bytes.
    #[serde(deserialize_with = "deserialize_count")]
    pub message_bytes: usize,
    /// Largest total of the messages up to one `Sync`, in bytes.
    #[serde(deserialize_with = "batch_bytes")]
    pub batch_bytes: usize,
    /// Largest number of prepared statements of one session.
    #[serde(deserialize_with = "deserialize_count")]
    pub statements: usize,
    /// Time for open sessions to finish when the process drains.
    pub drain_ms: Milliseconds<0>,
    /// Longest time from the first byte of a message to its last one.
    pub message_ms: Milliseconds<1>,
    /// Longest time for which a client may take nothing of its answers.
    pub answer_ms: Milliseconds<1>,
    /// Memory that the process may use, in bytes; that of the machine if absent.
    #[serde(deserialize_with = "deserialize_some_count")]
    pub memory_bytes: Option<u64>,
    /// Number of descriptors that the process may open; that of the process's limit if absent.
    #[serde(deserialize_with = "deserialize_some_count")]
    pub descriptors: Option<u64>,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            startup_ms: Milliseconds::clamped(10_000),
            message_bytes: 4 * 1024 * 1024,
            batch_bytes: 8 * 1024 * 1024,
            statements: 1_000,
            drain_ms: Milliseconds::clamped(30_000),
            message_ms: Milliseconds::clamped(60_000),
            answer_ms: Milliseconds::clamped(60_000),
            memory_bytes: None,
            descriptors: None,
        }
    }
}

impl Settings for EntrySettings {
    fn check(&mut self) -> Result<(), InvalidValue> {
        override_from_env(&mut self.callers, "MUSTARDBAY_CALLERS");
        override_from_env(&mut self.admin, "MUSTARDBAY_ADMIN");
        override_from_env(&mut self.steward, "MUSTARDBAY_STEWARD");
        let mut vm = self.vm.to_string();
        override_from_env(&mut vm, "MUSTARDBAY_VM");
        self.vm = VmName::from(vm);
        let mut domain = self.domain.to_string();
        override_from_env(&mut domain, "MUSTARDBAY_DOMAIN");
        self.domain = DomainName::from(domain);
        check_name("vm", self.vm.as_str())?;
        check_name("domain", self.domain.as_str())?;
        check_address("callers", &self.callers)?;
        check_address("admin", &self.admin)?;
        check_address("steward", &self.steward)?;
        if self.keys == KeyExchange::Cleartext && self.tls.is_none() && !self.clear_keys {
            return Err(InvalidValue::new(
                "keys",
                "cleartext",
                "scram, or cleartext with tls or clear_keys",
            ));
        }
        Ok(())
    }
}

impl ClientLimits {
    /// Returns the bytes that the process may keep for clients.
    ///
    /// The rest of its memory is for copies of what is being processed, and for the allocator.
    pub(crate) fn kept_bytes(&self) -> usize {
        let memory = self.memory_bytes.unwrap_or_else(machine::memory_bytes);
        usize::try_from(memory / KEPT_DIVISOR).unwrap_or(usize::MAX)
    }

    /// Returns the number of descriptors that the process may open.
    pub(crate) fn descriptors(&self) -> usize {
        let allowed = machine::descriptors();
        let descriptors = self.descriptors.map_or(allowed, |d| d.min(allowed));
        usize::try_from(descriptors).unwrap_or(usize::MAX)
    }
}

/// Reads the largest batch, which must fit into a frame to a pool.
fn batch_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    deserialize_count_up_to(deserializer, MAX_BATCH_BYTES)
}

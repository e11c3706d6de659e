//! Settings file of the pool and its checks.

use std::fmt;
use std::net::IpAddr;

use mustardbay_policy::queue::Discipline;
use mustardbay_process::machine;
use mustardbay_process::settings::InvalidValue;
use mustardbay_process::settings::Milliseconds;
use mustardbay_process::settings::Settings;
use mustardbay_process::settings::check_address;
use mustardbay_process::settings::check_name;
use mustardbay_process::settings::deserialize_some_count;
use mustardbay_process::settings::override_from_env;
use serde::Deserialize;

/// Fraction of the process's memory that may be kept for requests.
const REQUESTS_DIVISOR: u64 = 4;

/// Settings of one pool.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Name of this vm.
    pub vm: String,
    /// Failure domain of this vm.
    pub domain: String,
    /// Address that entries connect to.
    pub entries: String,
    /// Address of the admin endpoint.
    pub admin: String,
    /// Address of the steward on this vm.
    pub steward: String,
    /// Source address of outgoing connections.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// User and password for the upstreams.
    pub login: Login,
    /// Order in which waiting statements are served.
    #[serde(default)]
    pub queue: Discipline,
    /// Longest time that a drain waits for work in flight.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: Milliseconds<0>,
    /// Time at the start of a drain during which new work is still accepted.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: Milliseconds<0>,
    /// Limits on the resources that requests use.
    #[serde(default)]
    pub limits: PoolLimits,
}

/// Limits on the resources that requests use in this process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// Memory that the process may use, in bytes; that of the machine if absent.
    #[serde(deserialize_with = "deserialize_some_count")]
    pub memory_bytes: Option<u64>,
}

impl PoolLimits {
    /// Returns the bytes that the process may keep for requests and held answers.
    pub(crate) fn request_bytes(&self) -> usize {
        let memory = self.memory_bytes.unwrap_or_else(machine::memory_bytes);
        usize::try_from(memory / REQUESTS_DIVISOR).unwrap_or(usize::MAX)
    }
}

fn default_linger_ms() -> Milliseconds<0> {
    Milliseconds::clamped(1_000)
}

fn default_drain_ms() -> Milliseconds<0> {
    Milliseconds::clamped(8_000)
}

/// User and password for the upstreams; `Debug` hides the password.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Login {
    /// User name at the upstreams.
    pub user: String,
    /// Password at the upstreams; empty by default.
    #[serde(default)]
    pub password: String,
}

impl fmt::Debug for Login {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Login")
            .field("user", &self.user)
            .field("password", &"***")
            .finish()
    }
}

impl Settings for PoolSettings {
    fn check(&mut self) -> Result<(), InvalidValue> {
        override_from_env(&mut self.vm, "MUSTARDBAY_VM");
        override_from_env(&mut self.domain, "MUSTARDBAY_DOMAIN");
        override_from_env(&mut self.entries, "MUSTARDBAY_ENTRIES");
        override_from_env(&mut self.admin, "MUSTARDBAY_ADMIN");
        override_from_env(&mut self.steward, "MUSTARDBAY_STEWARD");
        override_from_env(&mut self.login.user, "MUSTARDBAY_LOGIN_USER");
        override_from_env(&mut self.login.password, "MUSTARDBAY_LOGIN_PASSWORD");
        check_address("entries", &self.entries)?;
        check_address("admin", &self.admin)?;
        check_address("steward", &self.steward)?;
        check_name("vm", &self.vm)?;
        check_name("domain", &self.domain)?;
        check_name("login.user", &self.login.user)
    }
}

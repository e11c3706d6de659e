//! Settings of the steward.

use std::fmt;
use std::net::IpAddr;

use mustardbay_policy::bundle::SignerId;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;
use mustardbay_process::settings::InvalidValue;
use mustardbay_process::settings::Settings;
use mustardbay_process::settings::check_address;
use mustardbay_process::settings::check_name;
use mustardbay_process::settings::override_from_env;
use serde::Deserialize;

/// Settings of one steward.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardSettings {
    /// Name of the vm that the steward runs on.
    pub vm: VmName,
    /// Failure domain of the vm.
    pub domain: DomainName,
    /// Address `ip:port` where the local entry and pool connect.
    pub local: String,
    /// Address `ip:port` where other stewards connect.
    pub peers: String,
    /// Address `ip:port` announced to other stewards, if it differs from `peers`.
    #[serde(default)]
    pub advertise: Option<String>,
    /// Addresses `ip:port` of other stewards to contact besides those listed by the platform.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Address `ip:port` where other vms reach the local pool.
    pub pool: String,
    /// Address `ip:port` of the admin endpoint.
    pub admin: String,
    /// Platform gateways, each as `http://ip:port`.
    pub platform: Vec<String>,
    /// Hexadecimal ed25519 public keys whose signatures on bundles are accepted.
    #[serde(default)]
    pub signers: Vec<String>,
    /// Credentials for control connections to upstreams.
    pub login: Login,
    /// Source address of outgoing connections.
    #[serde(default)]
    pub source: Option<IpAddr>,
}

/// Credentials for control connections to upstreams; `Debug` hides the password.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Login {
    /// User name.
    pub user: String,
    /// Password.
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

impl Settings for StewardSettings {
    fn check(&mut self) -> Result<(), InvalidValue> {
        self.apply_environment();
        check_name("vm", self.vm.as_str())?;
        check_name("domain", self.domain.as_str())?;
        let addresses = [
            ("local", &self.local),
            ("peers", &self.peers),
            ("pool", &self.pool),
            ("admin", &self.admin),
        ];
        for (key, address) in addresses {
            check_address(key, address)?;
        }
        if let Some(address) = &self.advertise {
            check_address("advertise", address)?;
        }
        for address in &self.seeds {
            check_address("seeds", address)?;
        }
        if self.platform.is_empty() {
            return Err(InvalidValue::new(
                "platform",
                "[]",
                "at least one http://ip:port",
            ));
        }
        for url in &self.platform {
            if !url.starts_with("http://") {
                return Err(InvalidValue::new("platform", url, "http://ip:port"));
            }
        }
        for signer in &self.signers {
            if signer.parse::<SignerId>().is_err() {
                return Err(InvalidValue::new(
                    "signers",
                    signer,
                    "an ed25519 public key in hexadecimal",
                ));
            }
        }
        Ok(())
    }
}

impl StewardSettings {
    /// Returns the parsed signer keys; `check` has rejected malformed ones.
    pub(crate) fn signer_ids(&self) -> Vec<SignerId> {
        let ids = self.signers.iter().map(|signer| signer.parse());
        ids.filter_map(Result::ok).collect()
    }

    fn apply_environment(&mut self) {
        override_from_env(&mut self.local, "MUSTARDBAY_LOCAL");
        override_from_env(&mut self.peers, "MUSTARDBAY_PEERS");
        override_from_env(&mut self.pool, "MUSTARDBAY_POOL");
        override_from_env(&mut self.admin, "MUSTARDBAY_ADMIN");
        override_from_env(&mut self.login.user, "MUSTARDBAY_LOGIN_USER");
        override_from_env(&mut self.login.password, "MUSTARDBAY_LOGIN_PASSWORD");
        if let Ok(addresses) = std::env::var("MUSTARDBAY_SEEDS") {
            self.seeds = addresses.split(',').map(str::to_owned).collect();
        }
        if let Ok(urls) = std::env::var("MUSTARDBAY_PLATFORM") {
            self.platform = urls.split(',').map(str::to_owned).collect();
        }
    }
}

//! Settings files of the programs of one vm.

use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;

use super::layout::Layout;
use super::layout::VmLayout;

/// Port on which entries and upstreams accept PostgreSQL clients.
pub const POSTGRES_PORT: u16 = 5432;
/// Port on which pools accept entries.
pub const POOL_PORT: u16 = 9201;
/// Port on which stewards accept the entry and the pool of their own vm.
pub const STEWARD_PORT: u16 = 9301;
/// Port on which stewards accept their peers.
pub const PEER_PORT: u16 = 9302;
/// Admin port of entries.
pub const ENTRY_ADMIN_PORT: u16 = 9101;
/// Admin port of pools.
pub const POOL_ADMIN_PORT: u16 = 9102;
/// Admin port of stewards.
pub const STEWARD_ADMIN_PORT: u16 = 9103;

/// Values for the settings files of one vm.
#[derive(Debug)]
pub struct VmSettings<'a> {
    /// Name and domain of the vm.
    pub vm: &'a VmLayout,
    /// Address that its programs listen on and connect from.
    pub ip: Ipv4Addr,
    /// Address at which entries reach its pool.
    pub pool: String,
    /// Address at which peers reach its steward.
    pub peer: String,
    /// Peer addresses of the stewards of all vms.
    pub seeds: Vec<String>,
    /// URL of the platform.
    pub platform: String,
    /// Public key that verifies bundles, in hex.
    pub signer: String,
}

impl VmSettings<'_> {
    /// Writes `<vm>-entry.yaml` and returns its path.
    pub fn write_entry(&self, dir: &Path, layout: &Layout) -> std::io::Result<PathBuf> {
        let text = format!(
            "{}callers: {ip}:{POSTGRES_PORT}\nadmin: {ip}:{ENTRY_ADMIN_PORT}\nsteward: {ip}:{STEWARD_PORT}\n{}",
            self.common(),
            layout.entry_settings,
            ip = self.ip,
        );
        self.write(dir, "entry", &text)
    }

    /// Writes `<vm>-pool.yaml` and returns its path.
    pub fn write_pool(&self, dir: &Path, layout: &Layout) -> std::io::Result<PathBuf> {
        let text = format!(
            "{}entries: {ip}:{POOL_PORT}\nadmin: {ip}:{POOL_ADMIN_PORT}\nsteward: {ip}:{STEWARD_PORT}\n{LOGIN}{}",
            self.common(),
            layout.pool_settings,
            ip = self.ip,
        );
        self.write(dir, "pool", &text)
    }

    /// Writes `<vm>-steward.yaml` and returns its path.
    pub fn write_steward(&self, dir: &Path, layout: &Layout) -> std::io::Result<PathBuf> {
        let text = format!(
            "{}local: {ip}:{STEWARD_PORT}\npeers: {ip}:{PEER_PORT}\nadmin: {ip}:{STEWARD_ADMIN_PORT}\n\
             advertise: {peer}\npool: {pool}\nseeds:\n{seeds}platform:\n  - {platform}\nsigners:\n  - {signer}\n{LOGIN}{extra}",
            self.common(),
            ip = self.ip,
            peer = self.peer,
            pool = self.pool,
            seeds = self.seeds(),
            platform = self.platform,
            signer = self.signer,
            extra = layout.steward_settings,
        );
        self.write(dir, "steward", &text)
    }

    fn seeds(&self) -> String {
        let lines: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("  - {seed}\n"))
            .collect();
        lines.concat()
    }

    /// Returns the lines that the settings of every program start with.
    fn common(&self) -> String {
        format!(
            "vm: {}\ndomain: {}\nsource: {}\n",
            self.vm.name, self.vm.domain, self.ip
        )
    }

    fn write(&self, dir: &Path, program: &str, text: &str) -> std::io::Result<PathBuf> {
        let path = dir.join(format!("{}-{program}.yaml", self.vm.name));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// Login of pools and stewards at the upstreams.
const LOGIN: &str = "login:\n  user: mustardbay\n  password: lab\n";

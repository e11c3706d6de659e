//! Settings files of the programs of one virtual machine.

use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;

use super::layout::Layout;
use super::layout::VmPlan;

/// Port that entries serve callers on.
pub const CALLERS: u16 = 5432;
/// Port that pools serve entries on.
pub const ENTRIES: u16 = 9201;
/// Port that stewards serve their own virtual machine on.
pub const LOCAL: u16 = 9301;
/// Port that stewards serve their peers on.
pub const PEERS: u16 = 9302;
/// Admin port of entries.
pub const ENTRY_ADMIN: u16 = 9101;
/// Admin port of pools.
pub const POOL_ADMIN: u16 = 9102;
/// Admin port of stewards.
pub const STEWARD_ADMIN: u16 = 9103;

/// What the settings of one virtual machine are written from.
#[derive(Debug)]
pub struct VmSettings<'a> {
    /// Virtual machine.
    pub vm: &'a VmPlan,
    /// Address of the virtual machine.
    pub ip: Ipv4Addr,
    /// Address where others reach its pool.
    pub pool: String,
    /// Address where others reach its steward.
    pub peer: String,
    /// Addresses of the stewards of all virtual machines.
    pub seeds: Vec<String>,
    /// URL of the platform.
    pub platform: String,
    /// Public key that signs bundles, in hex.
    pub signer: String,
}

impl VmSettings<'_> {
    /// Writes `<vm>-entry.yaml` and returns its path.
    pub fn write_entry(&self, dir: &Path, layout: &Layout) -> std::io::Result<PathBuf> {
        let text = format!(
            "{}callers: {ip}:{CALLERS}\nadmin: {ip}:{ENTRY_ADMIN}\nsteward: {ip}:{LOCAL}\n{}",
            self.common(),
            layout.entry_settings,
            ip = self.ip,
        );
        self.write(dir, "entry", &text)
    }

    /// Writes `<vm>-pool.yaml` and returns its path.
    pub fn write_pool(&self, dir: &Path, layout: &Layout) -> std::io::Result<PathBuf> {
        let text = format!(
            "{}entries: {ip}:{ENTRIES}\nadmin: {ip}:{POOL_ADMIN}\nsteward: {ip}:{LOCAL}\n{LOGIN}{}",
            self.common(),
            layout.pool_settings,
            ip = self.ip,
        );
        self.write(dir, "pool", &text)
    }

    /// Writes `<vm>-steward.yaml` and returns its path.
    pub fn write_steward(&self, dir: &Path, layout: &Layout) -> std::io::Result<PathBuf> {
        let text = format!(
            "{}local: {ip}:{LOCAL}\npeers: {ip}:{PEERS}\nadmin: {ip}:{STEWARD_ADMIN}\n\
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

const LOGIN: &str = "login:\n  user: mustardbay\n  password: lab\n";

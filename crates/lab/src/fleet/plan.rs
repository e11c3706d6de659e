//! Where every part of a fleet stands: addresses, links of the relay, settings.

use std::net::Ipv4Addr;

use mustardbay_policy::bundle::Group;
use mustardbay_policy::bundle::Upstream;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::UpstreamName;

use super::addresses::Addresses;
use super::layout::Layout;
use super::layout::VmPlan;
use super::settings;
use super::settings::VmSettings;

const PLATFORM_HOST: u8 = 1;
const RELAY_HOST: u8 = 2;
const FIRST_VM_HOST: u8 = 10;
const FIRST_UPSTREAM_HOST: u8 = 100;
const PLATFORM_PORT: u16 = 2379;
const FIRST_LINK_PORT: u16 = 20_000;

/// Admin port of every stand-in.
pub const STAND_IN_ADMIN: u16 = 9100;

/// Link that a relay carries.
#[derive(Debug, Clone)]
pub struct Link {
    /// Name at the relay.
    pub name: String,
    /// Address that the relay listens on.
    pub listen: String,
    /// Address that the relay connects to.
    pub target: String,
    /// Failure domain of the target; `None` for the platform.
    pub domain: Option<DomainName>,
}

/// Upstream with its place on loopback.
#[derive(Debug)]
pub struct PlacedUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Address that it listens on.
    pub ip: Ipv4Addr,
    /// Connections that it accepts.
    pub connections: u32,
}

/// Layout with an address for each part.
#[derive(Debug)]
pub struct Plan {
    /// What is placed.
    pub layout: Layout,
    addresses: Addresses,
    links: Vec<Link>,
}

impl Plan {
    /// Places a layout on loopback addresses that no other fleet uses.
    pub fn new(layout: Layout) -> Self {
        let mut plan = Self {
            layout,
            addresses: Addresses::take(),
            links: Vec::new(),
        };
        plan.links = plan.plan_links();
        plan
    }

    /// Returns the links that the relay carries.
    pub fn links(&self) -> &[Link] {
        &self.links
    }

    /// Returns the admin address of the relay.
    pub fn relay_admin(&self) -> String {
        format!("{}:{STAND_IN_ADMIN}", self.addresses.host(RELAY_HOST))
    }

    /// Returns the failure domains that hold virtual machines.
    pub fn domains(&self) -> Vec<DomainName> {
        let mut domains: Vec<_> = self.layout.vms.iter().map(|vm| vm.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains
    }

    /// Returns the addresses that virtual machines and upstreams of a domain connect from.
    pub fn sources(&self, domain: &DomainName) -> Vec<Ipv4Addr> {
        let vms = self.layout.vms.iter().filter(|vm| vm.domain == *domain);
        let upstreams = self
            .upstreams()
            .into_iter()
            .filter(|up| up.domain == *domain);
        vms.map(|vm| self.vm_ip(vm.name.as_str()))
            .chain(upstreams.map(|up| up.ip))
            .collect()
    }

    /// Returns the address of a virtual machine.
    pub fn vm_ip(&self, vm: &str) -> Ipv4Addr {
        let n = self
            .layout
            .vms
            .iter()
            .position(|plan| plan.name.as_str() == vm)
            .unwrap_or(0);
        self.addresses.host(host(FIRST_VM_HOST, n))
    }

    /// Returns the address of the platform itself.
    pub fn platform_address(&self) -> String {
        format!("{}:{PLATFORM_PORT}", self.addresses.host(PLATFORM_HOST))
    }

    /// Returns every upstream with its place.
    pub fn upstreams(&self) -> Vec<PlacedUpstream> {
        let groups = self.layout.bundle.groups.iter();
        let all = groups.flat_map(|group| group.upstreams.iter().map(move |up| (group, up)));
        let place = |(n, (group, up)): (usize, (&Group, _))| {
            let up: &Upstream = up;
            PlacedUpstream {
                name: up.name.clone(),
                domain: up.domain.clone(),
                ip: self.addresses.host(host(FIRST_UPSTREAM_HOST, n)),
                connections: group.connections,
            }
        };
        all.enumerate().map(place).collect()
    }

    /// Returns the address to reach a link's target at: the relay's, or the target itself.
    pub fn reachable(&self, name: &str, target: &str) -> String {
        let link = self.links.iter().find(|link| link.name == name);
        link.map_or_else(|| target.to_owned(), |link| link.listen.clone())
    }

    /// Returns what the settings of the `n`th virtual machine are written from.
    pub fn vm_settings(&self, n: usize, signer: String) -> VmSettings<'_> {
        let vm: &VmPlan = &self.layout.vms[n];
        let ip = self.vm_ip(vm.name.as_str());
        let pool = format!("{ip}:{}", settings::ENTRIES);
        let platform = self.reachable("platform", &self.platform_address());
        VmSettings {
            vm,
            ip,
            pool: self.reachable(&format!("pool.{}", vm.name), &pool),
            peer: self.peer(vm),
            seeds: self.layout.vms.iter().map(|vm| self.peer(vm)).collect(),
            platform: format!("http://{platform}"),
            signer,
        }
    }

    /// Returns the address where others reach the steward of a virtual machine.
    fn peer(&self, vm: &VmPlan) -> String {
        let target = format!("{}:{}", self.vm_ip(vm.name.as_str()), settings::PEERS);
        self.reachable(&format!("peer.{}", vm.name), &target)
    }

    fn plan_links(&self) -> Vec<Link> {
        if !self.layout.relays {
            return Vec::new();
        }
        let mut targets = vec![("platform".to_owned(), self.platform_address(), None)];
        for up in self.upstreams() {
            let target = format!("{}:{}", up.ip, settings::CALLERS);
            targets.push((format!("upstream.{}", up.name), target, Some(up.domain)));
        }
        for vm in &self.layout.vms {
            let ip = self.vm_ip(vm.name.as_str());
            let domain = Some(vm.domain.clone());
            let pool = format!("{ip}:{}", settings::ENTRIES);
            targets.push((format!("pool.{}", vm.name), pool, domain.clone()));
            let peer = format!("{ip}:{}", settings::PEERS);
            targets.push((format!("peer.{}", vm.name), peer, domain));
        }
        let relay = self.addresses.host(RELAY_HOST);
        let link = |(port, (name, target, domain))| {
            let listen = format!("{relay}:{port}");
            Link {
                name,
                listen,
                target,
                domain,
            }
        };
        (FIRST_LINK_PORT..).zip(targets).map(link).collect()
    }
}

/// Returns the last octet of the `n`th address after `first`.
///
/// # Panics
///
/// Panics if the layout has more parts than a network has addresses.
fn host(first: u8, n: usize) -> u8 {
    u8::try_from(usize::from(first) + n).expect("a layout fits one network")
}

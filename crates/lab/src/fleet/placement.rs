//! Assigns loopback addresses to the parts of a fleet, and derives the links of the relay.

use std::net::Ipv4Addr;

use mustardbay_policy::bundle::Group;
use mustardbay_policy::bundle::Upstream;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::UpstreamName;

use super::layout::Layout;
use super::layout::VmLayout;
use super::settings;
use super::settings::VmSettings;
use super::subnet::Subnet;

const PLATFORM_HOST: u8 = 1;
const RELAY_HOST: u8 = 2;
const FIRST_VM_HOST: u8 = 10;
const FIRST_UPSTREAM_HOST: u8 = 100;
const PLATFORM_PORT: u16 = 2379;
const FIRST_LINK_PORT: u16 = 20_000;

/// Admin port of every upstream and of the relay.
pub const STAND_IN_ADMIN: u16 = 9100;

/// Link that the relay forwards.
#[derive(Debug, Clone)]
pub struct Link {
    /// Name, such as `platform` or `pool.vm1`.
    pub name: String,
    /// Address that the relay listens on.
    pub listen: String,
    /// Address that the relay connects to.
    pub target: String,
    /// Failure domain of the target; `None` for the platform, which is in no domain.
    pub domain: Option<DomainName>,
}

/// Upstream with its loopback address.
#[derive(Debug)]
pub struct PlacedUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Failure domain that it belongs to.
    pub domain: DomainName,
    /// Address that it listens on and connects from.
    pub ip: Ipv4Addr,
    /// Connections that it accepts.
    pub connections: u32,
}

/// Layout with the address of each part.
#[derive(Debug)]
pub struct Placement {
    /// Layout whose parts have the addresses.
    pub layout: Layout,
    subnet: Subnet,
    links: Vec<Link>,
}

impl Placement {
    /// Places a layout on its own loopback subnet.
    pub fn new(layout: Layout) -> Self {
        let mut placement = Self {
            layout,
            subnet: Subnet::allocate(),
            links: Vec::new(),
        };
        placement.links = placement.plan_links();
        placement
    }

    /// Returns the links of the relay; empty if the layout has no relay.
    pub fn links(&self) -> &[Link] {
        &self.links
    }

    /// Returns the admin address of the relay.
    pub fn relay_admin(&self) -> String {
        format!("{}:{STAND_IN_ADMIN}", self.subnet.host(RELAY_HOST))
    }

    /// Returns the failure domains that contain vms, sorted.
    pub fn domains(&self) -> Vec<DomainName> {
        let mut domains: Vec<_> = self.layout.vms.iter().map(|vm| vm.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains
    }

    /// Returns the addresses from which the vms and upstreams of a domain connect.
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

    /// Returns the address of a vm; that of the first one if the name is unknown.
    pub fn vm_ip(&self, vm: &str) -> Ipv4Addr {
        let n = self
            .layout
            .vms
            .iter()
            .position(|layout| layout.name.as_str() == vm)
            .unwrap_or(0);
        self.subnet.host(host(FIRST_VM_HOST, n))
    }

    /// Returns the address that the platform listens on.
    pub fn platform_address(&self) -> String {
        format!("{}:{PLATFORM_PORT}", self.subnet.host(PLATFORM_HOST))
    }

    /// Returns every upstream with its address, in the order of the bundle.
    pub fn upstreams(&self) -> Vec<PlacedUpstream> {
        let groups = self.layout.bundle.groups.iter();
        let all = groups.flat_map(|group| group.upstreams.iter().map(move |up| (group, up)));
        let place = |(n, (group, up)): (usize, (&Group, _))| {
            let up: &Upstream = up;
            PlacedUpstream {
                name: up.name.clone(),
                domain: up.domain.clone(),
                ip: self.subnet.host(host(FIRST_UPSTREAM_HOST, n)),
                connections: group.connections,
            }
        };
        all.enumerate().map(place).collect()
    }

    /// Returns the address to connect to for a target: that of the relay's link, or the target's.
    pub fn reachable(&self, name: &str, target: &str) -> String {
        let link = self.links.iter().find(|link| link.name == name);
        link.map_or_else(|| target.to_owned(), |link| link.listen.clone())
    }

    /// Returns the values for the settings files of the `n`th vm.
    pub fn vm_settings(&self, n: usize, signer: String) -> VmSettings<'_> {
        let vm: &VmLayout = &self.layout.vms[n];
        let ip = self.vm_ip(vm.name.as_str());
        let pool = format!("{ip}:{}", settings::POOL_PORT);
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

    /// Returns the address at which peers reach the steward of a vm.
    fn peer(&self, vm: &VmLayout) -> String {
        let target = format!("{}:{}", self.vm_ip(vm.name.as_str()), settings::PEER_PORT);
        self.reachable(&format!("peer.{}", vm.name), &target)
    }

    fn plan_links(&self) -> Vec<Link> {
        if !self.layout.relays {
            return Vec::new();
        }
        let mut targets = vec![("platform".to_owned(), self.platform_address(), None)];
        for up in self.upstreams() {
            let target = format!("{}:{}", up.ip, settings::POSTGRES_PORT);
            targets.push((format!("upstream.{}", up.name), target, Some(up.domain)));
        }
        for vm in &self.layout.vms {
            let ip = self.vm_ip(vm.name.as_str());
            let domain = Some(vm.domain.clone());
            let pool = format!("{ip}:{}", settings::POOL_PORT);
            targets.push((format!("pool.{}", vm.name), pool, domain.clone()));
            let peer = format!("{ip}:{}", settings::PEER_PORT);
            targets.push((format!("peer.{}", vm.name), peer, domain));
        }
        let relay = self.subnet.host(RELAY_HOST);
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

/// Returns the last octet of the `n`th part of a kind, counted from `first`.
///
/// # Panics
///
/// Panics if the layout has more parts than the subnet has addresses.
fn host(first: u8, n: usize) -> u8 {
    u8::try_from(usize::from(first) + n).expect("a layout fits into one subnet")
}

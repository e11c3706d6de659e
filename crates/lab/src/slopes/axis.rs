//! Quantities that are varied one at a time.

use mustardbay_policy::bundle::Account;

use crate::fleet::Layout;
use crate::fleet::klarsprak;

/// Vms while another quantity is varied.
const BASE_VMS: usize = 4;
/// Groups while another quantity is varied.
const BASE_GROUPS: usize = 1;

/// Quantity that is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Axis {
    /// Vms.
    Vms,
    /// Groups of three upstreams.
    Groups,
    /// Client accounts.
    Accounts,
    /// Bundles accepted per second.
    Changes,
    /// Idle client sessions on the first entry.
    Sessions,
}

impl Axis {
    /// Every quantity, in the order in which they are measured.
    pub const ALL: [Self; 5] = [
        Self::Vms,
        Self::Groups,
        Self::Accounts,
        Self::Changes,
        Self::Sessions,
    ];

    /// Returns the values that are measured.
    #[must_use]
    pub fn sizes(self) -> &'static [usize] {
        match self {
            Self::Vms => &[4, 8, 16, 32],
            Self::Groups => &[1, 4, 12, 24],
            Self::Accounts => &[8, 100, 400],
            Self::Changes => &[0, 1, 4],
            Self::Sessions => &[0, 500, 2000],
        }
    }

    /// Returns the name on the command line and in results.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Vms => "vms",
            Self::Groups => "groups",
            Self::Accounts => "accounts",
            Self::Changes => "changes",
            Self::Sessions => "sessions",
        }
    }

    /// Returns a layout in which this quantity is `size`.
    ///
    /// Changes and sessions are no part of a layout and do not alter it.
    #[must_use]
    pub fn layout(self, size: usize) -> Layout {
        let vms = if self == Self::Vms { size } else { BASE_VMS };
        let groups = if self == Self::Groups {
            size
        } else {
            BASE_GROUPS
        };
        let mut layout = klarsprak();
        resize_vms(&mut layout, vms);
        resize_groups(&mut layout, groups);
        if self == Self::Accounts {
            resize_accounts(&mut layout, size);
        }
        layout
    }
}

/// Sets the number of vms; their domains repeat in the order of the layout.
fn resize_vms(layout: &mut Layout, count: usize) {
    let pattern = layout.vms.clone();
    let named = pattern.iter().cycle().take(count).cloned().enumerate();
    layout.vms = named
        .map(|(n, mut vm)| {
            vm.name = format!("vm{}", n + 1).into();
            vm
        })
        .collect();
}

/// Replaces the groups by copies of the first one; every route leads to the first copy.
fn resize_groups(layout: &mut Layout, count: usize) {
    let pattern = layout.bundle.groups[0].clone();
    let grown = (1..=count).map(|n| {
        let mut group = pattern.clone();
        group.name = format!("group-{n}").into();
        for (k, upstream) in group.upstreams.iter_mut().enumerate() {
            upstream.name = format!("group-{n}-{}", k + 1).into();
        }
        group
    });
    layout.bundle.groups = grown.collect();
    let first = layout.bundle.groups[0].name.clone();
    for route in &mut layout.bundle.routes {
        route.group = first.clone();
    }
}

/// Replaces the accounts by copies of the first one.
fn resize_accounts(layout: &mut Layout, count: usize) {
    let pattern: Account = layout.bundle.accounts[0].clone();
    let grown = (0..count).map(|n| {
        let mut account = pattern.clone();
        account.name = format!("account-{n}").into();
        account
    });
    layout.bundle.accounts = grown.collect();
}

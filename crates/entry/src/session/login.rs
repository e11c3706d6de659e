//! Who a session runs for and where its route leads, checked against the bundle in force.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::bundle::Group;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::KeyId;
use mustardbay_policy::names::RouteName;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;

/// Account and key that a session was opened with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Identity {
    /// Account of the caller.
    pub account: AccountName,
    /// Key that it presented.
    pub key: KeyId,
}

/// Identity and route of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Login {
    /// Who it runs for; `None` on an open route.
    pub identity: Option<Identity>,
    /// Route that it uses.
    pub route: RouteName,
}

/// What a login may do under one bundle.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    bundle: Arc<Bundle>,
    group: usize,
}

impl Login {
    /// Checks the login against a bundle.
    ///
    /// # Errors
    ///
    /// Refuses if the key was withdrawn, the account is gone, or the route is not the account's.
    pub fn check(&self, bundle: &Arc<Bundle>) -> Result<Grant, Refusal> {
        let Some(route) = bundle.routes.iter().find(|r| r.name == self.route) else {
            return Err(route_refused("route does not exist"));
        };
        match &self.identity {
            None if !route.open => return Err(key_refused("route is not open any more")),
            None => {}
            Some(identity) => check_identity(identity, &self.route, route.open, bundle)?,
        }
        let group = bundle.groups.iter().position(|g| g.name == route.group);
        match group {
            Some(group) => Ok(Grant {
                bundle: Arc::clone(bundle),
                group,
            }),
            None => Err(route_refused("group of the route does not exist")),
        }
    }
}

impl Grant {
    /// Returns the group that the route leads to.
    pub fn group(&self) -> &Group {
        &self.bundle.groups[self.group]
    }

    /// Tells whether the grant was made under `bundle`.
    pub fn is_of(&self, bundle: &Arc<Bundle>) -> bool {
        Arc::ptr_eq(&self.bundle, bundle)
    }

    /// Returns the longest time that a statement may take.
    pub fn statement_time(&self) -> Duration {
        Duration::from_millis(self.bundle.limits.statement_ms)
    }
}

fn check_identity(
    identity: &Identity,
    route: &RouteName,
    open: bool,
    bundle: &Bundle,
) -> Result<(), Refusal> {
    let account = bundle.accounts.iter().find(|a| a.name == identity.account);
    let Some(account) = account else {
        return Err(key_refused("account does not exist"));
    };
    if !account.keys.iter().any(|k| k.id == identity.key) {
        return Err(key_refused("key was withdrawn"));
    }
    if !open && !account.routes.contains(route) {
        return Err(route_refused("account may not use the route"));
    }
    Ok(())
}

fn key_refused(message: &str) -> Refusal {
    Refusal::not_run(Reason::KeyRefused, message, None)
}

fn route_refused(message: &str) -> Refusal {
    Refusal::not_run(Reason::RouteRefused, message, None)
}

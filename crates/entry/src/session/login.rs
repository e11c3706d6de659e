//! Identity and route of a session, and their authorization under a bundle.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::bundle::Group;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::KeyId;
use mustardbay_policy::names::RouteName;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;

/// Account and key with which a session was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Identity {
    /// Account of the client.
    pub account: AccountName,
    /// Identifier of the key that it presented.
    pub key: KeyId,
}

/// Identity and route of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Login {
    /// Identity of the client; `None` on an open route.
    pub identity: Option<Identity>,
    /// Route that the session uses.
    pub route: RouteName,
}

/// Permission of a login to use the group of its route, under one bundle.
#[derive(Debug, Clone)]
pub(crate) struct Authorization {
    bundle: Arc<Bundle>,
    group: usize,
}

impl Login {
    /// Authorizes the login under a bundle.
    ///
    /// # Errors
    ///
    /// Fails if the key was withdrawn, or if the account, route or group does not exist.
    /// Fails also if the account may not use the route, or if the route is no longer open.
    pub fn authorize(&self, bundle: &Arc<Bundle>) -> Result<Authorization, Refusal> {
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
            Some(group) => Ok(Authorization {
                bundle: Arc::clone(bundle),
                group,
            }),
            None => Err(route_refused("group of the route does not exist")),
        }
    }
}

impl Authorization {
    /// Returns the group that the route targets.
    pub fn group(&self) -> &Group {
        &self.bundle.groups[self.group]
    }

    /// Reports whether the authorization was made under `bundle`.
    pub fn is_under(&self, bundle: &Arc<Bundle>) -> bool {
        Arc::ptr_eq(&self.bundle, bundle)
    }

    /// Returns the longest time that the bundle allows for a statement.
    pub fn max_statement_time(&self) -> Duration {
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

//! Admission of operations against the vm's current view of the configuration.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::RouteName;

use crate::clock::BootInstant;
use crate::configuration::Account;
use crate::configuration::Key;
use crate::configuration::RegionSet;
use crate::configuration::Route;
use crate::latest_view::FleetView;
use crate::pool::Cause;
use crate::pool::Refusal;
use crate::work::Code;

/// Delay after which a client is told to retry while the vm's view is too old.
const STALE_VIEW_RETRY_MS: u32 = 1_000;
/// Delay after which a client is told to retry, on another vm, while this one has no view yet.
const STARTING_RETRY_MS: u32 = 50;
/// Account reported to upstreams for clients without a key, on open routes.
pub const PUBLIC_ACCOUNT: &str = "public";

/// Operation that the configuration allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmittedOperation {
    /// Route as it was configured when the operation began.
    pub route: Route,
    /// Account that the operation is charged to.
    pub account: AccountName,
    /// Rate limit; `None` if none is configured for the account.
    pub rate: Option<Account>,
    /// Regions in which the account's operations may be handled; all if absent.
    pub account_regions: Option<RegionSet>,
}

/// Reason why an operation is not admitted; it has not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Denial {
    /// No route has the name.
    RouteUnknown,
    /// The key is missing or not valid.
    KeyRefused,
    /// The configuration is older than `view_ttl`, or was never read; holds its age.
    NotCurrent(Option<Duration>),
    /// The vm is stopping and might not answer in time.
    Stopping,
    /// The account has no token left.
    RateSpent {
        /// The account.
        account: AccountName,
        /// Time until a token is expected, in milliseconds.
        retry_ms: u32,
    },
}

impl Denial {
    /// Returns the error code sent to the client.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::RouteUnknown => Code::RouteUnknown,
            Self::KeyRefused => Code::KeyRefused,
            Self::NotCurrent(_) | Self::Stopping | Self::RateSpent { .. } => Code::Busy,
        }
    }

    /// Returns the error text sent to the client.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::RouteUnknown => "no such route".to_owned(),
            Self::KeyRefused => "key refused".to_owned(),
            Self::NotCurrent(age) => {
                Refusal::new(Cause::NotCurrent, stale_view_retry_ms(*age)).text()
            }
            Self::Stopping => Refusal::new(Cause::Draining, 0).text(),
            Self::RateSpent { retry_ms, .. } => Refusal::new(Cause::RateSpent, *retry_ms).text(),
        }
    }

    /// Returns the account whose rate is spent.
    #[must_use]
    pub fn account(&self) -> Option<&AccountName> {
        match self {
            Self::RateSpent { account, .. } => Some(account),
            _ => None,
        }
    }

    /// Returns the time in milliseconds after which the client should retry.
    #[must_use]
    pub fn retry_ms(&self) -> Option<u32> {
        match self {
            Self::RateSpent { retry_ms, .. } => Some(*retry_ms),
            Self::NotCurrent(age) => Some(stale_view_retry_ms(*age)),
            Self::Stopping => Some(0),
            Self::RouteUnknown | Self::KeyRefused => None,
        }
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::RouteUnknown => "route_unknown",
            Self::KeyRefused => "key_refused",
            Self::NotCurrent(_) => "not_current",
            Self::Stopping => "stopping",
            Self::RateSpent { .. } => "rate_spent",
        }
    }
}

fn stale_view_retry_ms(age: Option<Duration>) -> u32 {
    match age {
        Some(_) => STALE_VIEW_RETRY_MS,
        None => STARTING_RETRY_MS,
    }
}

/// Returns the view if it is younger than `view_ttl`.
///
/// # Errors
///
/// Fails if there is no view, or if it is so old that a key in it may have been withdrawn since.
pub fn fresh_view(
    view: Option<Arc<FleetView>>,
    view_ttl: Duration,
    now: BootInstant,
) -> Result<Arc<FleetView>, Denial> {
    let view = view.ok_or(Denial::NotCurrent(None))?;
    let age = view.age(now);
    if age >= view_ttl {
        return Err(Denial::NotCurrent(Some(age)));
    }
    Ok(view)
}

/// Checks that the open transaction of an admitted operation may go on.
///
/// A changed or removed route counts from the next transaction on, a withdrawn key at once.
///
/// # Errors
///
/// Fails if the key no longer belongs to the account that the transaction runs for.
pub fn check_key(
    view: &FleetView,
    admitted: &AdmittedOperation,
    key: Option<&Key>,
) -> Result<(), Denial> {
    let keys = &view.snapshot.configuration.keys;
    let holder = key.and_then(|key| keys.get(key));
    let is_public = admitted.route.open && admitted.account.as_str() == PUBLIC_ACCOUNT;
    if is_public || holder == Some(&admitted.account) {
        Ok(())
    } else {
        Err(Denial::KeyRefused)
    }
}

/// Looks up the route and account of an operation.
///
/// # Errors
///
/// Fails if the route is unknown, or if the key is not valid and the route is not open.
pub fn look_up(
    view: &FleetView,
    route: &RouteName,
    key: Option<&Key>,
) -> Result<AdmittedOperation, Denial> {
    let configuration = &view.snapshot.configuration;
    let found = configuration
        .routes
        .get(route)
        .ok_or(Denial::RouteUnknown)?;
    let account = key.and_then(|key| configuration.keys.get(key));
    let account = match account {
        Some(account) => account.clone(),
        None if found.open => AccountName::from(PUBLIC_ACCOUNT),
        None => return Err(Denial::KeyRefused),
    };
    Ok(AdmittedOperation {
        route: found.clone(),
        rate: configuration.accounts.get(&account).copied(),
        account_regions: configuration.account_regions.get(&account).cloned(),
        account,
    })
}

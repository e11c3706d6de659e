//! Adoption of views, which never goes back, and lookups in the newest view.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::RouteName;
use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::configuration::Configuration;
use mustardbay_proxy::configuration::Key;
use mustardbay_proxy::configuration::Route;
use mustardbay_proxy::configuration::Version;
use mustardbay_proxy::entry::Denial;
use mustardbay_proxy::entry::check_key;
use mustardbay_proxy::entry::fresh_view;
use mustardbay_proxy::entry::look_up;
use mustardbay_proxy::latest_view::Adoption;
use mustardbay_proxy::latest_view::FleetView;
use mustardbay_proxy::latest_view::LatestView;
use mustardbay_proxy::platform::Era;
use mustardbay_proxy::snapshot::Snapshot;
use mustardbay_proxy::work::Guarantee;
use test_case::test_case;

/// Longest wait of a test for a view.
const MAX_WAIT: Duration = Duration::from_secs(5);

fn at(millis: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(millis))
}

fn view(version: u64, asked: u64) -> FleetView {
    let route = Route {
        group: GroupName::from("g"),
        guarantee: Guarantee::Primary,
        staleness: Duration::ZERO,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(150),
        priority: 1,
        open: false,
        regions: None,
    };
    let configuration = Configuration {
        version: Version(version),
        routes: [(RouteName::from("r"), route)].into(),
        accounts: BTreeMap::new(),
        account_regions: BTreeMap::new(),
        keys: [(Key::from("k"), AccountName::from("a"))].into(),
        groups: BTreeMap::new(),
        transaction_idle: Duration::from_secs(3),
    };
    let snapshot = Snapshot {
        configuration: Arc::new(configuration),
        upstreams: Arc::default(),
        members: Arc::default(),
        evacuated: Arc::default(),
        era: Era(1),
    };
    let fingerprint = snapshot.fingerprint().expect("it can be encoded");
    FleetView {
        snapshot,
        fingerprint,
        asked: at(asked),
        settled: false,
    }
}

#[test_case(8, 200, Adoption::NewVersion; "newer_version")]
#[test_case(7, 200, Adoption::SameVersion; "same_version_younger")]
#[test_case(7, 50, Adoption::Stale; "same_version_older")]
#[test_case(6, 200, Adoption::Stale; "older_version_younger")]
#[test_case(8, 50, Adoption::Stale; "newer_version_older")]
fn adopt_never_goes_back(version: u64, asked: u64, expected: Adoption) {
    let latest_view = LatestView::default();
    latest_view.adopt(view(7, 100));
    assert_eq!(latest_view.adopt(view(version, asked)), expected);
}

fn view_of_era(era: u64, version: u64, asked: u64) -> FleetView {
    let mut view = view(version, asked);
    view.snapshot.era = Era(era);
    view
}

/// What the copy of a restored store lacks is written again before its views are adopted.
#[test]
fn adopt_waits_until_a_restored_store_has_settled() {
    let latest_view = LatestView::default();
    latest_view.adopt(view(7, 100));
    let settled = at(3_000);
    let early = latest_view.adopt(view_of_era(2, 6, 1_000));
    assert_eq!(early, Adoption::Settling(settled));
    let early = latest_view.adopt(view_of_era(2, 8, 2_999));
    assert_eq!(early, Adoption::Settling(settled));
    let late = latest_view.adopt(view(9, 2_500));
    assert_eq!(late, Adoption::Stale, "a view of the era that is over");
    let older = latest_view.adopt(view_of_era(2, 6, 3_000));
    assert_eq!(older, Adoption::Stale, "the configuration never reverts");
    assert_eq!(latest_view.view().map(|view| view.asked), Some(at(100)));
    let same = latest_view.adopt(view_of_era(2, 7, 3_100));
    assert_eq!(same, Adoption::SameVersion);
    let next = latest_view.adopt(view_of_era(3, 8, 3_200));
    assert_eq!(next, Adoption::Settling(at(5_200)));
}

/// A vm that hears of a restore late need not wait once more for what another vm has waited for.
#[test]
fn adopt_takes_a_settled_view_of_another_vm() {
    let latest_view = LatestView::default();
    latest_view.adopt(view(7, 100));
    latest_view.adopt(view_of_era(2, 7, 1_000));
    let mut settled = view_of_era(2, 7, 1_100);
    settled.settled = true;
    assert_eq!(latest_view.adopt(settled), Adoption::SameVersion);
}

#[test]
fn adopt_takes_the_first_view_of_any_era() {
    let latest_view = LatestView::default();
    let first = latest_view.adopt(view_of_era(5, 7, 100));
    assert_eq!(first, Adoption::NewVersion);
}

#[test_case(4_599, true; "just_young_enough")]
#[test_case(4_600, false; "too_old")]
fn fresh_view_depends_on_age(age: u64, expected: bool) {
    let known = Some(Arc::new(view(7, 1_000)));
    let found = fresh_view(known, Duration::from_millis(4_600), at(1_000 + age));
    assert_eq!(found.is_ok(), expected);
}

#[test_case("r", Some("k"), None; "known_key")]
#[test_case("r", Some("x"), Some(Denial::KeyRefused); "unknown_key")]
#[test_case("r", None, Some(Denial::KeyRefused); "no_key")]
#[test_case("x", Some("k"), Some(Denial::RouteUnknown); "unknown_route")]
fn look_up_checks_route_and_key(route: &str, key: Option<&str>, denial: Option<Denial>) {
    let key = key.map(Key::from);
    let found = look_up(&view(7, 0), &RouteName::from(route), key.as_ref());
    match denial {
        Some(denial) => assert_eq!(found, Err(denial)),
        None => assert!(found.is_ok(), "{found:?}"),
    }
}

/// Guards against an open transaction that goes on though its key was withdrawn (CONFIG, UNASKED).
///
/// Its route may be gone; an open route asks for no key.
#[test_case("a", false, Some("k"), true; "key_of_the_account")]
#[test_case("a", false, Some("x"), false; "withdrawn_key")]
#[test_case("b", false, Some("k"), false; "key_of_another_account_by_now")]
#[test_case("a", true, Some("x"), false; "withdrawn_key_on_an_open_route")]
#[test_case("public", true, None, true; "no_key_on_an_open_route")]
#[test_case("public", true, Some("k"), true; "key_that_came_later_on_an_open_route")]
fn check_key_holds_an_open_transaction_to_its_key(
    account: &str,
    open: bool,
    key: Option<&str>,
    goes_on: bool,
) {
    let view = view(7, 0);
    let found = look_up(&view, &RouteName::from("r"), Some(&Key::from("k")));
    let mut admitted = found.expect("route and key are there");
    admitted.account = AccountName::from(account);
    admitted.route.open = open;
    let checked = check_key(&view, &admitted, key.map(Key::from).as_ref());
    assert_eq!(checked == Ok(()), goes_on, "{checked:?}");
}

#[test]
fn key_is_never_shown() {
    let shown = format!("{:?}", view(7, 0));
    assert!(!shown.contains("\"k\""), "{shown}");
}

/// All sessions of a vm that has just started wait for its first view at once.
#[tokio::test]
async fn wait_for_view_ends_with_the_first_one() {
    let latest_view = Arc::new(LatestView::default());
    let waiting: Vec<_> = (0..50)
        .map(|_| {
            let latest_view = Arc::clone(&latest_view);
            tokio::spawn(async move { latest_view.wait_for_view(Duration::MAX, MAX_WAIT).await })
        })
        .collect();
    tokio::task::yield_now().await;
    latest_view.adopt(view(7, 100));
    for found in waiting {
        let found = found.await.expect("it does not panic");
        assert!(found.is_some(), "each session gets the view");
    }
}

#[tokio::test]
async fn wait_for_view_ends_without_one() {
    let latest_view = LatestView::default();
    let none = latest_view.wait_for_view(Duration::MAX, Duration::from_millis(20));
    assert_eq!(none.await, None);
}

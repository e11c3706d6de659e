//! Amounts that an account gets, and never exceeds, in each window of the operators' length.

use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::rates::Authority;
use mustardbay_proxy::rates::Grant;
use mustardbay_proxy::rates::Split;
use mustardbay_proxy::rates::TokenRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use crate::Fleet;
use crate::STEP;
use crate::TOKEN;
use crate::WINDOW;
use crate::account;
use crate::granted_in;
use crate::most_in_a_window;

/// One account sends ten times its rate for half a minute; each window allows rate and burst.
#[test_case(100, 100, 1_000; "large_account")]
#[test_case(20, 20, 200; "small_account")]
fn lasting_flood_regains_part_of_its_burst_in_each_window(rate: u64, burst: u64, requests: u64) {
    let mut fleet = Fleet::new(account(rate, burst));
    fleet.run(Duration::from_secs(10), requests);
    fleet.spent.clear();
    fleet.run(Duration::from_secs(20), requests);
    let served = fleet.spent.len() as u64;
    assert!(served >= rate * 20 * 106 / 100, "{served} of {}", rate * 20);
    let bound = usize::try_from(rate * 5 + burst).expect("small");
    assert!(fleet.most_in(WINDOW) <= bound);
}

/// Demand changes every half second, between nothing and five times the rate.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn no_window_exceeds_rate_and_burst(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(account(40, 60));
    for _ in 0..80 {
        let requests = [0, 10, 30, 40, 45, 60, 200][random.random_range(0..7)];
        fleet.run(Duration::from_millis(500), requests);
    }
    let most = fleet.most_in(WINDOW);
    assert!(most <= 40 * 5 + 60, "{most} with seed {seed}");
}

/// An authority restarts during a flood, at any time within a window.
#[test]
fn restart_within_a_flood_exceeds_a_window_by_less_than_a_tenth() {
    let name = AccountName::from("a");
    let split = Split::new(account(100, 100), 1);
    let start = BootInstant::from_boot(Duration::from_secs(100));
    for ended_ms in (5_000..12_000).step_by(250) {
        let mut former = Authority::new(WINDOW);
        former.assign(&name, split, start, start);
        let idle = start.after(WINDOW * 2);
        let lived = Duration::from_millis(ended_ms);
        let mut granted = granted_in(&mut former, &name, idle, lived);
        let again = idle.after(lived);
        let mut next = Authority::new(WINDOW);
        next.assign(&name, split, again, again);
        granted.extend(granted_in(&mut next, &name, again, WINDOW));
        let most = most_in_a_window(&granted);
        assert!(most <= 660, "{most} of 600 after {ended_ms} ms");
    }
}

/// Operations wait at an authority whose small burst is spent. Guards against a retry delay of 49
/// days, which reached a caller and kept its vm from asking again for a second.
#[test]
fn authority_with_promised_burst_returns_a_retry_delay() {
    let name = AccountName::from("a");
    let start = BootInstant::from_boot(Duration::from_secs(100));
    let mut authority = Authority::new(WINDOW);
    authority.assign(&name, Split::new(account(20, 3), 1), start, start);
    let mut ask = |max_wait| -> Grant {
        let request = TokenRequest {
            amount: TOKEN,
            waiting: true,
            max_wait: Duration::from_millis(max_wait),
        };
        authority
            .grant(&name, request, start)
            .expect("the account is granted here")
    };
    for turn in 1..=3 {
        assert_eq!(ask(150).after, Duration::from_millis(50 * turn));
    }
    assert_eq!(ask(150).retry, Duration::from_millis(200));
}

/// A flooding account whose rate is lowered gets the lower rate at once, and no more in any window.
#[test]
fn lowered_rate_is_granted_without_a_gap() {
    let name = AccountName::from("a");
    let start = BootInstant::from_boot(Duration::from_secs(100));
    let mut authority = Authority::new(WINDOW);
    authority.assign(&name, Split::new(account(100, 100), 1), start, start);
    let lowered = start.after(WINDOW * 2);
    granted_in(&mut authority, &name, start, WINDOW * 2);
    authority.assign(&name, Split::new(account(20, 20), 1), lowered, lowered);
    let granted = granted_in(&mut authority, &name, lowered, WINDOW * 4);
    let first = granted.first().expect("it grants");
    assert!(first.since(lowered) <= Duration::from_millis(50) + STEP);
    assert!(most_in_a_window(&granted) <= 120);
    let end = lowered.after(Duration::from_secs(1));
    let soon = granted.iter().filter(|at| **at < end).count();
    assert!(soon >= 19, "{soon} in the first second");
}

/// Operators may name any window: each keeps its bound, and what is remembered of it stays small.
///
/// A window of a day took an entry for each 50 ms with a grant: 172,800 an account at two a second.
#[test_case(Duration::from_millis(250), Duration::from_millis(1); "short")]
#[test_case(Duration::from_hours(24), Duration::from_millis(500); "of_a_day")]
fn any_window_is_kept_and_remembered_briefly(window: Duration, step: Duration) {
    let name = AccountName::from("a");
    let mut now = BootInstant::from_boot(Duration::from_secs(100));
    let mut authority = Authority::new(window);
    authority.assign(&name, Split::new(account(2, 10), 1), now, now);
    let end = now.after(window * 3);
    let bound = 2 * window.as_millis() / 1_000 + 10;
    let mut granted = VecDeque::new();
    while now < end {
        now = now.after(step);
        while granted
            .pop_front_if(|at| now.since(*at) >= window)
            .is_some()
        {}
        let request = TokenRequest {
            amount: TOKEN,
            waiting: true,
            max_wait: Duration::ZERO,
        };
        let grant = authority.grant(&name, request, now);
        granted.extend(grant.filter(|grant| grant.amount > 0).map(|_| now));
        assert!(granted.len() as u128 <= bound, "more than {bound}");
    }
    let remembered = format!("{authority:?}").matches("BootInstant").count();
    assert!(remembered <= 400, "{remembered} times");
}

//! Failover from a suspected failure of the primary to the promotion of another upstream.

#[path = "failover/acknowledged.rs"]
mod acknowledged;
#[path = "failover/replicated_group.rs"]
mod replicated_group;
#[path = "failover/synchronous.rs"]
mod synchronous;

use std::time::Duration;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::group::Action;
use mustardbay_proxy::group::Event;
use mustardbay_proxy::group::Failover;
use mustardbay_proxy::group::FencingToken;
use mustardbay_proxy::pool::Contact;
use mustardbay_proxy::pool::Registration;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::pool::UpstreamStatus;
use test_case::test_case;

fn name(text: &str) -> UpstreamName {
    UpstreamName::from(text)
}

fn at(millis: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(10_000 + millis))
}

fn contact(upstream: &str, received: u64) -> Contact {
    let status = UpstreamStatus {
        role: Role::Replica,
        term: Term(1),
        received: Position::new(1, received),
        paused: None,
        load: None,
    };
    Contact {
        registration: Registration {
            name: name(upstream),
            address: ([127, 0, 0, 1], 1).into(),
            domain: DomainName::from("d"),
            slots: 3,
            draining: false,
            role: Role::Replica,
            incarnation: 1,
            cold: false,
        },
        evacuated: false,
        pausable: true,
        position: Some(Position::new(1, received)),
        silence: Duration::ZERO,
        failing: None,
        status: Some((status, Duration::ZERO)),
    }
}

fn failing(upstream: &str) -> Contact {
    Contact {
        failing: Some(Duration::from_millis(450)),
        ..contact(upstream, 100)
    }
}

/// Returns a failover that holds a token and collects the statuses that it requested at 0 ms.
fn collecting_statuses(contacts: &[Contact]) -> Failover {
    let primary = name("u0");
    let mut failover = with_token(&primary, contacts, 7);
    let asked = failover.tick(Some(&primary), contacts, at(0));
    assert_eq!(asked, Some(Action::AskPeers(primary)));
    let next = failover.handle(Event::NoPeerReaches, at(250));
    assert_eq!(
        next, None,
        "statuses were requested together with the peers"
    );
    failover
}

/// Returns a failover that has claimed its duty in advance.
fn with_token(primary: &UpstreamName, contacts: &[Contact], token: u64) -> Failover {
    let mut failover = Failover::new();
    let claim = failover.tick(Some(primary), contacts, at(0));
    assert_eq!(claim, Some(Action::Claim));
    assert_eq!(
        failover.handle(Event::Claimed(FencingToken(token)), at(0)),
        None
    );
    failover
}

/// The store may be unavailable just when the primary fails.
#[test]
fn promotion_needs_no_store_with_a_token_claimed_in_advance() {
    let contacts = [failing("u0"), contact("u1", 90), contact("u2", 95)];
    let mut failover = collecting_statuses(&contacts);
    let promoted = failover.tick(Some(&name("u0")), &contacts, at(300));
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(7))));
}

#[test]
fn discarded_token_is_claimed_again_before_a_promotion() {
    let contacts = [failing("u0"), contact("u1", 90)];
    let primary = name("u0");
    let mut failover = collecting_statuses(&contacts);
    failover.discard_token();
    let next = failover.tick(Some(&primary), &contacts, at(300));
    assert_eq!(next, Some(Action::Claim));
    assert_eq!(failover.handle(Event::NotClaimed, at(350)), None);
    assert!(!failover.is_in_progress(), "another vm holds the duty");
}

/// Guards against a duty that is held under a token that its holder does not know.
#[test]
fn claim_without_an_answer_stays_open_until_another_succeeds() {
    let primary = name("u0");
    let contacts = [contact("u0", 100), contact("u1", 90)];
    let mut failover = Failover::new();
    assert!(!failover.has_open_claim());
    let claim = failover.tick(Some(&primary), &contacts, at(0));
    assert_eq!(claim, Some(Action::Claim));
    assert!(failover.has_open_claim(), "it is in flight");
    failover.handle(Event::ClaimUnanswered, at(900));
    assert!(failover.has_open_claim(), "it may have been carried out");
    assert_eq!(failover.tick(Some(&primary), &contacts, at(1_000)), None);
    let again = failover.tick(Some(&primary), &contacts, at(1_500));
    assert_eq!(again, Some(Action::Claim));
    failover.handle(Event::Claimed(FencingToken(8)), at(1_600));
    assert!(!failover.has_open_claim());
}

#[test]
fn dead_primary_is_replaced_by_the_most_advanced_replica() {
    let contacts = [failing("u0"), contact("u1", 90), contact("u2", 95)];
    let mut failover = collecting_statuses(&contacts);
    let promoted = failover.tick(Some(&name("u0")), &contacts, at(300));
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(7))));
}

fn draining(contact: Contact) -> Contact {
    let registration = Registration {
        draining: true,
        ..contact.registration
    };
    Contact {
        registration,
        ..contact
    }
}

/// Returns a contact whose last status is two seconds old.
fn unanswered(contact: Contact) -> Contact {
    let status = contact.status.map(|(s, _)| (s, Duration::from_secs(2)));
    Contact { status, ..contact }
}

/// Guards against acknowledged commits that are lost with a draining replica (LOST).
#[test_case(95, "u2"; "received_more")]
#[test_case(90, "u1"; "received_as_much")]
#[test_case(85, "u1"; "received_less")]
fn draining_replica_is_chosen_only_if_it_has_received_more(received: u64, expected: &str) {
    let contacts = [
        failing("u0"),
        contact("u1", 90),
        draining(contact("u2", received)),
    ];
    let mut failover = collecting_statuses(&contacts);
    let promoted = failover.tick(Some(&name("u0")), &contacts, at(300));
    let expected = Action::Promote(name(expected), FencingToken(7));
    assert_eq!(promoted, Some(expected));
}

/// Guards against commits that are lost when a draining primary is replaced while it works (LOST).
#[test]
fn draining_primary_is_replaced_by_a_replica_that_has_received_all() {
    let primary = name("u0");
    let behind = [
        draining(contact("u0", 100)),
        contact("u1", 90),
        draining(contact("u2", 99)),
    ];
    let mut failover = with_token(&primary, &behind, 7);
    failover.tick(Some(&primary), &behind, at(0));
    let next = failover.tick(Some(&primary), &behind, at(150));
    assert_eq!(next, Some(Action::AskStatus), "nobody has received all");
    let complete = [
        draining(contact("u0", 102)),
        contact("u1", 100),
        draining(contact("u2", 101)),
    ];
    let promoted = failover.tick(Some(&primary), &complete, at(250));
    assert_eq!(promoted, Some(Action::Promote(name("u1"), FencingToken(7))));
}

#[test]
fn old_status_does_not_count() {
    let old = unanswered(contact("u2", 95));
    let contacts = [failing("u0"), contact("u1", 90), old];
    let mut failover = collecting_statuses(&contacts);
    let promoted = failover.tick(Some(&name("u0")), &contacts, at(300));
    assert_eq!(promoted, Some(Action::Promote(name("u1"), FencingToken(7))));
}

#[test]
fn primary_that_another_vm_reaches_stays() {
    let contacts = [failing("u0"), contact("u1", 90)];
    let mut failover = with_token(&name("u0"), &contacts, 7);
    failover.tick(Some(&name("u0")), &contacts, at(0));
    assert_eq!(failover.handle(Event::PeerReaches, at(50)), None);
    let next = failover.tick(Some(&name("u0")), &contacts, at(100));
    assert_eq!(next, None, "it waits before it asks again");
}

#[test]
fn primary_that_is_back_while_others_are_asked_stays() {
    let primary = name("u0");
    let failed = [failing("u0"), contact("u1", 90)];
    let mut failover = with_token(&primary, &failed, 7);
    failover.tick(Some(&primary), &failed, at(0));
    let back = [contact("u0", 100), contact("u1", 90)];
    failover.tick(Some(&primary), &back, at(50));
    assert_eq!(failover.handle(Event::NoPeerReaches, at(60)), None);
}

#[test]
fn draining_primary_is_replaced_while_it_serves() {
    let mut draining = contact("u0", 100);
    draining.registration.draining = true;
    let contacts = [draining, contact("u1", 90)];
    let mut failover = with_token(&name("u0"), &contacts, 7);
    let first = failover.tick(Some(&name("u0")), &contacts, at(0));
    assert_eq!(first, Some(Action::AskStatus));
}

/// Another wait after the peers' replies would lengthen the gap in writes after the loss of a primary.
#[test]
fn promotion_follows_the_peers_answers_at_once() {
    let contacts = [failing("u0"), contact("u1", 90)];
    let mut failover = collecting_statuses(&contacts);
    let promoted = failover.tick(Some(&name("u0")), &contacts, at(260));
    assert_eq!(promoted, Some(Action::Promote(name("u1"), FencingToken(7))));
}

/// A home that is cut off from all other vms cannot tell its own isolation from a failure of the primary.
#[test]
fn home_without_any_answer_promotes_nobody() {
    let contacts = [failing("u0"), contact("u1", 90)];
    let primary = name("u0");
    let mut failover = with_token(&primary, &contacts, 7);
    failover.tick(Some(&primary), &contacts, at(0));
    assert_eq!(failover.handle(Event::NoPeerAnswers, at(250)), None);
    assert_eq!(failover.tick(Some(&primary), &contacts, at(300)), None);
    assert!(!failover.is_in_progress());
}

/// A promotion call without an answer may take effect seconds later unless a higher token fences it off.
#[test]
fn unanswered_promotion_is_retried_with_a_higher_token() {
    let contacts = [failing("u0"), contact("u1", 90), contact("u2", 95)];
    let primary = name("u0");
    let mut failover = collecting_statuses(&contacts);
    failover.tick(Some(&primary), &contacts, at(300));
    assert_eq!(failover.handle(Event::Unknown, at(400)), None);
    let mut claimed_again = false;
    for millis in (450..4_500).step_by(50) {
        match failover.tick(Some(&primary), &contacts, at(millis)) {
            Some(Action::Claim) => claimed_again = true,
            Some(Action::Promote(..)) => panic!("promoted without a new token"),
            _ => {}
        }
    }
    assert!(claimed_again);
    failover.handle(Event::Claimed(FencingToken(9)), at(4_500));
    let promoted = failover.tick(Some(&primary), &contacts, at(4_700));
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(9))));
}

#[test]
fn promoted_upstream_that_is_primary_ends_the_failover() {
    let contacts = [failing("u0"), contact("u1", 90), contact("u2", 95)];
    let mut failover = collecting_statuses(&contacts);
    failover.tick(Some(&name("u0")), &contacts, at(300));
    failover.handle(Event::Accepted, at(400));
    let next = failover.tick(Some(&name("u2")), &contacts, at(1_400));
    assert_eq!(
        next,
        Some(Action::Claim),
        "the next token is claimed in advance"
    );
    assert!(!failover.is_in_progress());
}

/// Guards against the replacement of a new primary that an earlier call, or another vm, has just promoted.
#[test_case(&["u0", "u2"]; "after_statuses_were_asked")]
#[test_case(&["u0", "u0", "u2"]; "once_more")]
fn choice_ends_when_another_upstream_leads(leads: &[&str]) {
    let contacts = [
        draining(contact("u0", 100)),
        contact("u1", 90),
        contact("u2", 90),
    ];
    let mut failover = with_token(&name("u0"), &contacts, 7);
    for (tick, primary) in (0..).zip(leads) {
        let next = failover.tick(Some(&name(primary)), &contacts, at(tick * 100));
        let asks = *primary == "u0";
        assert_eq!(next, asks.then_some(Action::AskStatus));
    }
    assert!(!failover.is_in_progress());
}

#[test]
fn group_without_primary_gets_one() {
    let contacts = [contact("u1", 90), contact("u2", 95)];
    let mut failover = with_token(&name("u0"), &contacts, 7);
    assert_eq!(failover.tick(None, &contacts, at(100)), None);
    assert_eq!(failover.tick(None, &contacts, at(500)), None);
    let next = failover.tick(None, &contacts, at(950));
    assert_eq!(next, Some(Action::AskStatus));
}

fn evacuated(contact: Contact) -> Contact {
    Contact {
        evacuated: true,
        ..contact
    }
}

/// Returns the promotion that a failover begins within two seconds of the first request for statuses.
fn replaced_primary(contacts: &[Contact]) -> Option<Action> {
    let primary = name("u0");
    let mut failover = with_token(&primary, contacts, 7);
    let ticks = (0..2_000).step_by(50);
    let mut actions =
        ticks.filter_map(|millis| failover.tick(Some(&primary), contacts, at(millis)));
    actions.find(|action| matches!(action, Action::Promote(..)))
}

#[test]
fn evacuated_primary_is_replaced_by_a_replica_that_has_received_all() {
    let contacts = [
        evacuated(contact("u0", 100)),
        contact("u1", 90),
        contact("u2", 100),
    ];
    let promoted = replaced_primary(&contacts);
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(7))));
}

/// What the evacuated primary has acknowledged would be lost, though nothing is broken.
#[test]
fn evacuated_primary_stays_while_no_replica_has_received_all() {
    let contacts = [
        evacuated(contact("u0", 100)),
        contact("u1", 90),
        contact("u2", 99),
    ];
    assert_eq!(replaced_primary(&contacts), None);
}

#[test]
fn evacuated_primary_that_fails_is_replaced_by_the_most_advanced_replica() {
    let contacts = [
        evacuated(failing("u0")),
        contact("u1", 90),
        contact("u2", 99),
    ];
    let promoted = replaced_primary(&contacts);
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(7))));
}

#[test]
fn evacuated_replica_is_never_chosen() {
    let contacts = [
        failing("u0"),
        contact("u1", 90),
        evacuated(contact("u2", 95)),
    ];
    let mut failover = collecting_statuses(&contacts);
    let promoted = failover.tick(Some(&name("u0")), &contacts, at(300));
    assert_eq!(promoted, Some(Action::Promote(name("u1"), FencingToken(7))));
    let contacts = [failing("u0"), evacuated(contact("u2", 95))];
    let mut failover = collecting_statuses(&contacts);
    assert_eq!(failover.tick(Some(&name("u0")), &contacts, at(300)), None);
}

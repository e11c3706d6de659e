//! Groups in which a commit is acknowledged once replicas have received it: none may be lost.

use mustardbay_policy::position::Term;
use mustardbay_proxy::group::Action;
use mustardbay_proxy::group::Event;
use mustardbay_proxy::group::Failover;
use mustardbay_proxy::group::FencingToken;
use mustardbay_proxy::group::Unmet;
use mustardbay_proxy::pool::Contact;
use mustardbay_proxy::pool::UpstreamStatus;
use test_case::test_case;

use crate::at;
use crate::collecting_statuses;
use crate::contact;
use crate::draining;
use crate::failing;
use crate::name;
use crate::replaced_primary;
use crate::unanswered;
use crate::with_token;

/// Guards against commits that are lost with a replica that was too busy to answer in time (LOST).
#[test]
fn replica_that_may_hold_synchronous_commits_is_waited_for() {
    let waiting = [
        failing("u0"),
        contact("u1", 90),
        unanswered(contact("u2", 90)),
    ];
    let primary = name("u0");
    let mut failover = collecting_statuses(&waiting);
    failover.set_sync_replicas(1);
    let next = failover.tick(Some(&primary), &waiting, at(300));
    assert_eq!(next, Some(Action::AskStatus), "it is asked again");
    let answered = [failing("u0"), contact("u1", 90), contact("u2", 95)];
    let next = failover.tick(Some(&primary), &answered, at(450));
    assert_eq!(next, Some(Action::Pause(Term(2), vec![name("u1")])));
    let alone = [
        failing("u0"),
        paused(contact("u1", 90), 2),
        contact("u2", 95),
    ];
    let promoted = failover.tick(Some(&primary), &alone, at(500));
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(7))));
}

/// Guards against a lost primary that is back, and acknowledges what only a replica beside the chosen one has (LOST).
#[test_case(&[("u1", 90, None)], false; "it_receives")]
#[test_case(&[("u1", 90, Some(1))], false; "paused_under_the_old_term")]
#[test_case(&[("u1", 97, Some(2)), ("u2", 96, None)], false; "it_has_more_but_the_chosen_one_is_not_paused")]
#[test_case(&[("u1", 95, Some(2))], true; "paused")]
fn lost_primary_is_followed_once_nobody_acknowledges_without_the_chosen_replica(
    changes: &[(&str, u64, Option<u64>)],
    promoted: bool,
) {
    let primary = name("u0");
    let mut contacts = [failing("u0"), contact("u1", 90), contact("u2", 95)];
    let mut failover = collecting_statuses(&contacts);
    failover.set_sync_replicas(1);
    let next = failover.tick(Some(&primary), &contacts, at(300));
    assert_eq!(next, Some(Action::Pause(Term(2), vec![name("u1")])));
    for (upstream, received, term) in changes {
        let index = usize::from(*upstream == "u2") + 1;
        contacts[index] = contact(upstream, *received);
        if let Some(term) = term {
            contacts[index] = paused(contact(upstream, *received), *term);
        }
    }
    let next = failover.tick(Some(&primary), &contacts, at(350));
    let expected = Action::Promote(name("u2"), FencingToken(7));
    assert_eq!(next, promoted.then_some(expected));
}

/// Guards against a group without a primary for good, before upstreams that cannot be paused.
#[test_case(failing("u0"), true; "lost_primary")]
#[test_case(draining(contact("u0", 95)), false; "working_primary")]
fn replica_that_does_not_know_pauses_stops_planned_promotions_only(old: Contact, promoted: bool) {
    let primary = name("u0");
    let unable = Contact {
        pausable: false,
        ..contact("u1", 95)
    };
    let contacts = [old, unable, contact("u2", 95)];
    let mut failover = with_token(&primary, &contacts, 7);
    failover.set_sync_replicas(1);
    let leads = (0..3_000).step_by(50).any(|millis| {
        let next = failover.tick(Some(&primary), &contacts, at(millis));
        if next == Some(Action::AskPeers(name("u0"))) {
            failover.handle(Event::NoPeerReaches, at(millis));
        }
        matches!(next, Some(Action::Promote(..)))
    });
    assert_eq!(leads, promoted);
}

/// Guards against the promotion of whoever answers first (LOST).
#[test_case(0, true; "asynchronous")]
#[test_case(1, false; "one_of_two_replicas")]
#[test_case(2, true; "both_replicas")]
fn silent_replica_stops_the_promotion_if_only_it_may_hold_a_commit(sync: u32, goes_on: bool) {
    let contacts = [
        failing("u0"),
        contact("u1", 90),
        unanswered(contact("u2", 90)),
    ];
    let mut failover = collecting_statuses(&contacts);
    failover.set_sync_replicas(sync);
    let promoted = (300..5_000).step_by(50).any(|millis| {
        let next = failover.tick(Some(&name("u0")), &contacts, at(millis));
        if next == Some(Action::AskPeers(name("u0"))) {
            failover.handle(Event::NoPeerReaches, at(millis));
        }
        matches!(next, Some(Action::Promote(..)))
    });
    assert_eq!(promoted, goes_on);
    let unmet = failover.take_unmet();
    assert_eq!(unmet == Some(Unmet::Unanswered(1)), !goes_on);
}

/// Returns a contact with a replica that is paused under a term.
fn paused(contact: Contact, term: u64) -> Contact {
    let pause = |(status, age)| {
        let paused = Some(Term(term));
        (UpstreamStatus { paused, ..status }, age)
    };
    Contact {
        status: contact.status.map(pause),
        ..contact
    }
}

/// Time from which on no promotion of an earlier home can take effect, in milliseconds after the claim.
const SETTLED: u64 = 8_000;

/// Returns a failover that has asked u1 to pause, and is about to promote u2 at a working primary's place.
fn pausing_the_others() -> Failover {
    let primary = name("u0");
    let contacts = [
        draining(contact("u0", 100)),
        contact("u1", 100),
        contact("u2", 100),
    ];
    let mut failover = with_token(&primary, &contacts, 7);
    failover.set_sync_replicas(1);
    failover.tick(Some(&primary), &contacts, at(SETTLED));
    let next = failover.tick(Some(&primary), &contacts, at(SETTLED + 100));
    assert_eq!(next, Some(Action::Pause(Term(2), vec![name("u1")])));
    failover
}

/// Guards against a commit that only the other replica has received when the promotion takes effect (LOST).
#[test]
fn planned_promotion_waits_until_the_chosen_replica_has_what_the_paused_one_has() {
    let primary = name("u0");
    let mut failover = pausing_the_others();
    let behind = [
        draining(contact("u0", 103)),
        paused(contact("u1", 102), 2),
        contact("u2", 101),
    ];
    let next = failover.tick(Some(&primary), &behind, at(SETTLED + 200));
    assert_eq!(next, Some(Action::Pause(Term(2), vec![name("u1")])));
    let ahead = [
        draining(contact("u0", 104)),
        paused(contact("u1", 102), 2),
        contact("u2", 103),
    ];
    let promoted = failover.tick(Some(&primary), &ahead, at(SETTLED + 300));
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(7))));
}

#[test]
fn planned_promotion_is_put_off_if_the_other_replica_cannot_be_paused() {
    let primary = name("u0");
    let mut failover = pausing_the_others();
    let contacts = [
        draining(contact("u0", 100)),
        paused(contact("u1", 100), 1),
        contact("u2", 100),
    ];
    let ticks = (SETTLED + 200..SETTLED + 700).step_by(50);
    let actions = ticks.filter_map(|millis| failover.tick(Some(&primary), &contacts, at(millis)));
    let actions: Vec<Action> = actions.collect();
    assert_eq!(
        actions.last(),
        Some(&Action::Continue(vec![name("u1")])),
        "it receives again"
    );
    assert_eq!(failover.take_unmet(), Some(Unmet::NotPaused));
    assert!(!actions.iter().any(|a| matches!(a, Action::Promote(..))));
}

/// A home that ends between the pause and the promotion leaves replicas paused, but its promotion may be under way (LOST).
#[test]
fn replica_that_nobody_promotes_beside_receives_again() {
    let primary = name("u0");
    let contacts = [contact("u0", 100), paused(contact("u1", 90), 2)];
    let mut failover = with_token(&primary, &contacts, 7);
    let ticks = (50..SETTLED).step_by(50);
    let mut early = ticks.filter_map(|millis| failover.tick(Some(&primary), &contacts, at(millis)));
    assert_eq!(early.next(), None);
    assert!(failover.take_kept_paused(), "operators are told");
    let ticks = (SETTLED..SETTLED + 550).step_by(50);
    let late = ticks.filter_map(|millis| failover.tick(Some(&primary), &contacts, at(millis)));
    let late: Vec<Action> = late.collect();
    assert_eq!(late, [Action::Continue(vec![name("u1")])]);
}

/// Guards against pauses that end though a newer claim shows that another vm may have called for a promotion (LOST).
#[test]
fn lost_lease_keeps_replicas_paused() {
    let primary = name("u0");
    let contacts = [contact("u0", 100), paused(contact("u1", 90), 2)];
    let mut failover = with_token(&primary, &contacts, 7);
    failover.discard_token();
    let mut ticks = (SETTLED..3 * SETTLED).step_by(50);
    let continues = |action: Option<Action>| matches!(action, Some(Action::Continue(_)));
    let freed = ticks.any(|millis| continues(failover.tick(Some(&primary), &contacts, at(millis))));
    assert!(!freed, "the claim has no answer");
}

#[test]
fn planned_promotion_of_an_asynchronous_group_pauses_nobody() {
    let contacts = [
        draining(contact("u0", 100)),
        contact("u1", 100),
        contact("u2", 100),
    ];
    let promoted = replaced_primary(&contacts);
    assert_eq!(promoted, Some(Action::Promote(name("u2"), FencingToken(7))));
}

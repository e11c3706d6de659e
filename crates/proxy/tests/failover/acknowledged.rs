//! What a synchronous group acknowledges between the choice of a new primary and its lead is kept (LOST).
//!
//! The chosen replica is the slow one of two, so that the other one would acknowledge without it.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use crate::replicated_group::Call;
use crate::replicated_group::EFFECT_MS;
use crate::replicated_group::ReplicatedGroup;
use crate::replicated_group::Server;

/// Returns a group whose primary is down, with a promotion that was just called for.
fn promoting_after_a_loss(call: Call) -> ReplicatedGroup {
    promoting(call, |primary| primary.up = false)
}

/// Returns a group whose working primary is to be replaced, with a promotion that was just called for.
fn promoting_while_it_works(call: Call) -> ReplicatedGroup {
    promoting(call, |primary| primary.draining = true)
}

/// Returns a group in which a promotion was just called for, because of a change of the primary.
///
/// Both replicas have received the same by then, and from now on one is slower than the other.
fn promoting(call: Call, change: impl FnOnce(&mut Server)) -> ReplicatedGroup {
    let mut group = ReplicatedGroup::new([20, 20]);
    group.call = call;
    change(&mut group.servers[0]);
    group.run_until_called();
    slow_the_chosen(&mut group);
    group
}

/// Makes the chosen replica receive the next commits late, and the other one early.
fn slow_the_chosen(group: &mut ReplicatedGroup) {
    let chosen = group.promoting().expect("one was chosen");
    group.servers[chosen].lag_ms = 400;
    group.servers[3 - chosen].lag_ms = 10;
}

/// Guards against a primary that is back before its replacement leads, and acknowledges what that one lacks.
#[test_case(200; "soon")]
#[test_case(600; "before_the_lead")]
#[test_case(900; "just_before_the_lead")]
fn primary_that_is_back_before_its_replacement_leads_loses_nothing(back_after: u64) {
    let mut group = promoting_after_a_loss(Call::Answered);
    group.run(back_after);
    group.servers[0].up = true;
    group.run(5_000);
    assert_eq!(group.promotions, 1);
}

/// Guards against a call without an answer that is carried out when nobody expects it any more.
#[test_case(promoting_after_a_loss, 1_500; "lost_primary")]
#[test_case(promoting_after_a_loss, 7_000; "lost_primary_and_a_newer_call")]
#[test_case(promoting_while_it_works, 1_500; "working_primary")]
#[test_case(promoting_while_it_works, 7_000; "working_primary_and_a_newer_call")]
fn promotion_that_is_carried_out_late_loses_nothing(
    promoting: fn(Call) -> ReplicatedGroup,
    after: u64,
) {
    let mut group = promoting(Call::Late(after));
    group.servers[0].up = true;
    group.servers[0].draining = false;
    group.run(after + 2_000);
    assert!(group.promotions > 0);
}

/// Guards against a new home that lets replicas receive again beside a promotion of the former one.
#[test_case(promoting_after_a_loss, Call::Answered; "lost_primary")]
#[test_case(promoting_while_it_works, Call::Answered; "working_primary")]
#[test_case(promoting_after_a_loss, Call::Late(6_000); "lost_primary_and_a_late_call")]
#[test_case(promoting_while_it_works, Call::Late(6_000); "working_primary_and_a_late_call")]
fn home_that_moves_beside_a_promotion_loses_nothing(
    promoting: fn(Call) -> ReplicatedGroup,
    call: Call,
) {
    let mut group = promoting(call);
    group.run(100);
    group.move_home();
    group.servers[0].up = true;
    group.servers[0].draining = false;
    group.run(10_000);
    assert!(group.promotions > 0);
}

/// Pauses end once no promotion can take effect any more, else commits would need the chosen replica for good.
#[test]
fn promotion_that_comes_to_nothing_lets_replicas_receive_again() {
    let mut group = promoting_while_it_works(Call::Answered);
    group.drop_calls();
    group.move_home();
    group.servers[0].draining = false;
    group.run(12_000);
    let chosen = usize::from(group.servers[2].lag_ms == 400) + 1;
    group.servers[chosen].up = false;
    let before = group.acknowledged;
    group.run(1_000);
    assert!(
        group.acknowledged > before,
        "the other replica receives again"
    );
}

/// Losses, returns, planned replacements, moved homes and calls without answers, in series and overlapping.
#[test]
fn no_acknowledged_commit_is_lost_in_any_order_of_events() {
    let mut promotions = 0;
    for seed in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut group = ReplicatedGroup::new([20, 60]);
        for _ in 0..60 {
            disturb(&mut group, &mut random);
            group.run(random.random_range(1..150) * 10);
        }
        promotions += group.promotions;
    }
    assert!(promotions > 300, "{promotions} promotions");
}

/// Changes one thing; a replica stays up, since its restart beside a lost primary loses its pause too.
fn disturb(group: &mut ReplicatedGroup, random: &mut SmallRng) {
    let lead = group.lead;
    let others_up = group.servers.iter().filter(|server| server.up).count() == 3;
    match random.random_range(0..9) {
        0 if others_up => group.servers[lead].up = false,
        1 | 2 => group.servers.iter_mut().for_each(|server| server.up = true),
        3 => group.servers[lead].draining = true,
        4 => group
            .servers
            .iter_mut()
            .for_each(|server| server.draining = false),
        5 => group.move_home(),
        6 => {
            let late = random.random_range(0..700) * 10 + EFFECT_MS;
            group.call =
                [Call::Answered, Call::Late(late), Call::Dropped][random.random_range(0..3)];
        }
        7 => group.hears_after = [0, 0].map(|_| random.random_range(0..40) * 10),
        _ => {
            let lags = [10, 20, 60, 200, 400];
            for server in &mut group.servers {
                server.lag_ms = lags[random.random_range(0..lags.len())];
            }
        }
    }
}

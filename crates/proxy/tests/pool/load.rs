//! Load patterns, replayed against the queue and the placement of units.

use std::time::Duration;

use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::pool::Outcome;
use mustardbay_proxy::work::Guarantee;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;

use crate::simulation::Simulation;
use crate::units::bounded_read;
use crate::units::single;

/// Time up to which a refusal counts as immediate.
const AT_ONCE: Duration = Duration::from_millis(5);

/// Counts of the outcomes in a replay.
#[derive(Debug, Default)]
struct Tally {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Longest time from arrival to a refusal.
    longest_refusal: Duration,
    /// Units that were refused after a wait.
    refused_late: u32,
}

/// Submits `count` units at equal intervals over `time` and counts their outcomes.
fn replay(
    sim: &mut Simulation,
    time: Duration,
    count: u32,
    unit: impl Fn(u32) -> WorkUnit,
) -> Tally {
    let gap = time / count;
    let mut submitted: Vec<(u64, BootInstant, Duration)> = Vec::new();
    for number in 0..count {
        let unit = unit(number);
        let objective = unit.objective();
        let at = sim.now;
        submitted.push((sim.submit(unit), at, objective));
        sim.run(gap);
    }
    sim.run(Duration::from_secs(2));
    let mut tally = Tally::default();
    for (number, arrived, objective) in submitted {
        let (at, outcome) = &sim.done[&number];
        let took = at.since(arrived);
        match outcome {
            Outcome::Refused(_) => {
                tally.refused += 1;
                tally.longest_refusal = tally.longest_refusal.max(took);
                tally.refused_late += u32::from(took > AT_ONCE);
            }
            Outcome::Answered(answer) => {
                assert_eq!(answer.failure(), None);
                if took <= objective {
                    tally.on_time += 1;
                } else {
                    tally.late += 1;
                }
            }
        }
    }
    tally
}

/// Burst: writes at twice the capacity of three slots with 20 ms a statement, for 3 s.
///
/// In order of arrival nearly all answers would be late. The pool serves fewer, and those on time.
/// Guards against an entry whose slots overflow a sum, passed on by a vm of an older build.
#[test]
fn upstreams_with_the_largest_number_of_slots_serve() {
    let mut sim = Simulation::new(14);
    sim.slots = u32::MAX;
    sim.register(&[]);
    let reads = (0..6).map(|n| sim.submit(bounded_read(&format!("r{n}"))));
    let reads: Vec<u64> = reads.collect();
    sim.run(Duration::from_millis(500));
    for read in reads {
        assert_eq!(sim.answer(read).failure(), None);
    }
}

#[test]
fn burst_is_served_on_time_or_refused() {
    let mut sim = Simulation::new(14);
    let tally = replay(&mut sim, Duration::from_secs(3), 900, |n| {
        single(Verb::Write, &format!("w{n}"))
    });
    // Three slots serve 150 a second: 450 during the burst.
    assert!(tally.on_time >= 360, "{tally:?}");
    assert!(tally.late <= 110, "{tally:?}");
    assert!(
        tally.longest_refusal <= Duration::from_millis(450),
        "{tally:?}"
    );
}

/// Sustained overload: writes at four times the capacity of three slots, for 4 s.
///
/// Units that cannot be on time are refused on arrival, not after their time has passed.
#[test]
fn overload_is_refused_at_once() {
    let mut sim = Simulation::new(14);
    let tally = replay(&mut sim, Duration::from_secs(4), 2_400, |n| {
        single(Verb::Write, &format!("w{n}"))
    });
    assert!(tally.on_time >= 480, "{tally:?}");
    assert!(tally.refused_late * 20 <= tally.refused, "{tally:?}");
}

/// Low load: reads at half the capacity of the replicas.
#[test]
fn low_load_reads_are_all_on_time_on_few_connections() {
    let mut sim = Simulation::new(14);
    let tally = replay(&mut sim, Duration::from_secs(3), 450, |n| WorkUnit {
        account: format!("a{}", n % 8),
        ..bounded_read(&format!("r{n}"))
    });
    assert_eq!(tally.on_time, 450, "{tally:?}");
    assert!(sim.opened <= 42, "{} connections were opened", sim.opened);
}

/// Mixed load: urgent writes among reads that fill every slot.
#[test]
fn urgent_writes_overtake_a_full_queue() {
    let mut sim = Simulation::new(14);
    let urgent = replay(&mut sim, Duration::from_secs(2), 900, |n| {
        if n % 9 == 0 {
            WorkUnit {
                priority: 0,
                objective_ms: 150,
                ..single(Verb::Write, &format!("w{n}"))
            }
        } else {
            WorkUnit {
                priority: 2,
                ..bounded_read(&format!("r{n}"))
            }
        }
    });
    assert!(urgent.on_time >= 100, "{urgent:?}");
    let writes: usize = sim
        .upstream(0)
        .ran
        .iter()
        .filter(|id| id.starts_with('w'))
        .count();
    assert_eq!(writes, 100, "every urgent write ran");
}

/// More accounts than connections: writes at a quarter of the capacity of three slots.
///
/// Nearly every write replaces another account's connection. The replacement must not wait for the
/// timeout of closed connections whose end the upstream has already confirmed.
#[test]
fn more_accounts_than_connections_are_on_time() {
    let mut sim = Simulation::new(14);
    let tally = replay(&mut sim, Duration::from_secs(4), 140, |n| WorkUnit {
        account: format!("a{}", n * 7 % 40),
        ..single(Verb::Write, &format!("w{n}"))
    });
    assert!(tally.on_time >= 136, "{tally:?}");
}

/// Number of retries of a caller whose statement was refused.
const RETRIES: u32 = 2;
/// Time after its first attempt at which a caller gives up.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Network time between caller and pool.
const NETWORK_TIME: Duration = Duration::from_millis(12);

/// Operation of a caller that retries after refusals.
#[derive(Debug)]
struct Operation {
    unit: WorkUnit,
    began: BootInstant,
    attempts: u32,
    unit_id: u64,
    /// Time of the next retry, after a refusal.
    returns: Option<BootInstant>,
}

/// Submits `count` units at equal intervals over `time`, from callers that retry after refusals.
///
/// A caller retries after the pause that the refusal names.
fn replay_with_retries(
    sim: &mut Simulation,
    time: Duration,
    count: u32,
    unit: impl Fn(u32) -> WorkUnit,
) -> Tally {
    let step = Duration::from_millis(1);
    let start = sim.now;
    let mut begun = 0;
    let mut open: Vec<Operation> = Vec::new();
    let mut tally = Tally::default();
    while sim.now < start.after(time + MAX_WAIT) {
        while begun < count && sim.now >= start.after(time * begun / count) {
            let unit = unit(begun);
            open.push(Operation {
                began: sim.now,
                attempts: 1,
                unit_id: sim.submit(unit.clone()),
                returns: None,
                unit,
            });
            begun += 1;
        }
        sim.run(step);
        let all = std::mem::take(&mut open);
        open.extend(
            all.into_iter()
                .filter_map(|operation| advance(sim, operation, &mut tally)),
        );
    }
    tally.refused += u32::try_from(open.len()).expect("few");
    tally
}

/// Advances an operation; returns it unless it has ended.
fn advance(sim: &mut Simulation, mut operation: Operation, tally: &mut Tally) -> Option<Operation> {
    if let Some(at) = operation.returns {
        if sim.now >= at {
            operation.attempts += 1;
            operation.unit_id = sim.submit(operation.unit.clone());
            operation.returns = None;
        }
        return Some(operation);
    }
    let Some((at, outcome)) = sim.done.get(&operation.unit_id) else {
        return Some(operation);
    };
    let took = at.since(operation.began) + NETWORK_TIME;
    match outcome {
        Outcome::Answered(_) if took <= operation.unit.objective() => tally.on_time += 1,
        Outcome::Answered(_) => tally.late += 1,
        Outcome::Refused(refusal) => {
            let pause = Duration::from_millis(refusal.retry_ms.into());
            let returns = at.after(pause + NETWORK_TIME);
            if operation.attempts <= RETRIES && returns < operation.began.after(MAX_WAIT) {
                operation.returns = Some(returns);
                return Some(operation);
            }
            tally.refused += 1;
            tally.longest_refusal = tally.longest_refusal.max(took);
        }
    }
    None
}

/// Lagging replicas: reads and writes at 125% of the capacity of the primary alone, for 6 s.
///
/// The load is that of one group on scale-1 of klarsprak-drift, and callers retry after refusals.
/// With a queue as long as the deadlines allow, nearly all answers are late: the queue never
/// empties, and units that are refused from it have spent their time there.
#[test]
fn reads_beyond_primary_capacity_are_on_time_or_refused_at_once() {
    let mut sim = Simulation::new(14);
    sim.upstream(0).uneven = true;
    sim.submit(single(Verb::Write, "first"));
    sim.run(Duration::from_secs(3));
    let tally = replay_with_retries(&mut sim, Duration::from_secs(6), 1_125, |n| {
        let unit = if n % 10 == 0 {
            single(Verb::Write, &format!("w{n}"))
        } else {
            bounded_read(&format!("r{n}"))
        };
        WorkUnit {
            account: format!("a{}", n % 8),
            ..unit
        }
    });
    // Three slots serve 900 of 1,125, less what opening connections takes.
    assert!(tally.on_time >= 765, "{tally:?}");
}

/// Lagging replicas: a burst of more reads than the primary alone can serve by their deadline.
///
/// The replicas' slots would suffice for the burst, but must not count, since they cannot serve it.
#[test]
fn reads_beyond_primary_capacity_in_a_burst_are_refused_at_once() {
    let mut sim = Simulation::new(14);
    sim.submit(single(Verb::Write, "first"));
    sim.run(Duration::from_secs(3));
    for number in 0..120 {
        sim.submit(bounded_read(&format!("warm{number}")));
        sim.run(Duration::from_millis(20));
    }
    let long_wait = |n| WorkUnit {
        left_ms: 300,
        objective_ms: 5_000,
        ..bounded_read(&format!("r{n}"))
    };
    let submitted: Vec<u64> = (0..60).map(|n| sim.submit(long_wait(n))).collect();
    let refused = submitted
        .iter()
        .filter(|number| sim.done.contains_key(number));
    // Four start at once, one of them beyond the slots. In 280 ms, three slots at 20 ms a statement
    // start 42 more, so 14 are too many.
    let refused = refused.count();
    assert!(
        (10..=20).contains(&refused),
        "{refused} of 60 refused at once"
    );
}

/// Lagging replicas: short and long reads at 130% of the capacity of the primary alone, for 6 s.
///
/// Callers retry after refusals. One long read takes the slot time of three short ones.
#[test]
fn long_reads_yield_to_short_ones_beyond_primary_capacity() {
    let mut sim = Simulation::new(14);
    sim.submit(single(Verb::Write, "first"));
    sim.run(Duration::from_secs(3));
    let tally = replay_with_retries(&mut sim, Duration::from_secs(6), 840, |n| {
        let unit = if n % 6 == 0 {
            WorkUnit {
                objective_ms: 400,
                left_ms: 1_500,
                ..bounded_read(&format!("long{n}"))
            }
        } else {
            WorkUnit {
                guarantee: Guarantee::ReadYourWrites.into(),
                objective_ms: 200,
                ..bounded_read(&format!("r{n}"))
            }
        };
        WorkUnit {
            account: format!("a{}", n % 8),
            ..unit
        }
    });
    assert!(tally.on_time >= 620, "{tally:?}");
}

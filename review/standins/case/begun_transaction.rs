//! Transactions that are open when their vm is asked to stop, before their first statement.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::Verdict;
use crate::caller::Caller;
use crate::case::KEY;
use crate::case::ROUTE;
use crate::case::configuration;
use crate::fleet::GRACE;
use crate::fleet::SIGTERM;
use crate::record::Record;
use crate::site::Site;

/// Sessions that stand open at the vm, as on klarsprak-drift: 292 at 7 vms.
const SESSIONS: usize = 42;
/// When the clients begin their transactions, after the signal.
const BEGIN_AFTER: Duration = Duration::from_millis(1_000);
/// When they go on, after the signal: within the first half of the grace.
const GO_ON_AFTER: Duration = Duration::from_millis(2_600);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = Site::start(2, &configuration("primary", 800), record, None)?;
    let entry = site.fleet.vms[0].entry;
    let mut callers = Vec::new();
    for number in 0..SESSIONS {
        let name = format!("s{number}");
        let shown = Some(Arc::clone(record));
        callers.push(Caller::open(&name, entry, ROUTE, KEY, shown).ok_or("no session")?);
    }
    if trouble {
        site.fleet.signal(0, SIGTERM);
    }
    let signalled = Instant::now();
    std::thread::sleep(BEGIN_AFTER);
    for caller in &mut callers {
        let (id, answer) = caller.ask("BEGIN");
        if !answer.is_some_and(|answer| answer.state == "T") {
            return Err(format!("{id} did not begin").into());
        }
    }
    std::thread::sleep(GO_ON_AFTER.saturating_sub(signalled.elapsed()));
    let mut cut = 0;
    for caller in &mut callers {
        if caller.has_ended() {
            cut += 1;
        }
    }
    let at = signalled.elapsed();
    record.note(format!(
        "{cut} of {SESSIONS} connections with an open transaction were closed {} ms after the signal, \
         within the first half of the grace of {} ms",
        at.as_millis(),
        GRACE.as_millis()
    ));
    if at >= GRACE / 2 {
        return Err("the look came too late".into());
    }
    Ok(if cut == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

//! Statements that a vm takes late in its shutdown and cuts when its process ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::Verdict;
use crate::caller::Caller;
use crate::case::KEY;
use crate::case::ROUTE;
use crate::case::configuration;
use crate::fleet::SIGTERM;
use crate::record::Record;
use crate::site::Site;

/// Sessions that stand open at the vm, as on klarsprak-drift: 292 at 7 vms.
const SESSIONS: usize = 42;
/// When the clients that are still connected send a statement, after the signal.
const SEND_AFTER: Duration = Duration::from_millis(4_150);
/// Time that the statement takes at the server; the route allows 4 s.
const WORK: Duration = Duration::from_millis(1_900);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut site = Site::start(2, &configuration("primary", 4_000), record, None)?;
    site.database.set_item_work("report-1", WORK);
    let entry = site.fleet.vms[0].entry;
    let mut callers = Vec::new();
    for number in 0..SESSIONS {
        let shown = Some(Arc::clone(record));
        let name = format!("s{number}");
        callers.push(Caller::open(&name, entry, ROUTE, KEY, shown).ok_or("no session")?);
    }
    if trouble {
        site.fleet.signal(0, SIGTERM);
    }
    let signalled = Instant::now();
    std::thread::sleep(SEND_AFTER);
    // Those whose sessions the vm has closed while they were idle go elsewhere.
    let mut open = Vec::new();
    for mut caller in callers {
        if !caller.has_ended() {
            open.push(caller);
        }
    }
    record.note(format!("{} sessions are still open", open.len()));
    let sends: Vec<_> = open
        .into_iter()
        .take(2)
        .map(|mut caller| {
            std::thread::spawn(move || {
                let sent = signalled.elapsed();
                let (id, answer) = caller.ask("WRITE report-1 done");
                (id, sent, answer, signalled.elapsed())
            })
        })
        .collect();
    if sends.is_empty() {
        return Err("no session was open any more".into());
    }
    let mut unanswered = Vec::new();
    for send in sends {
        let (id, sent, answer, ended) = send.join().map_err(|_| "a client failed")?;
        if answer.is_none() {
            record.note(format!(
                "{id}: sent {} ms after the signal, its connection ended without an answer at {} ms",
                sent.as_millis(),
                ended.as_millis()
            ));
            unanswered.push(id);
        }
    }
    std::thread::sleep(WORK + Duration::from_millis(300));
    record.note(format!(
        "the process of the vm has ended: {}",
        site.fleet.has_ended(0)
    ));
    let runs = site.database.runs();
    let passed_on = unanswered
        .iter()
        .filter(|id| runs.iter().any(|run| run.id == **id))
        .count();
    record.note(format!(
        "{} statements without an answer, {passed_on} of them ran at a server",
        unanswered.len()
    ));
    Ok(if unanswered.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

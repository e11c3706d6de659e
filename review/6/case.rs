//! Case 6: a statement of an open transaction whose upstream refuses what precedes the statement.

#[path = "../standins-2/client.rs"]
mod client;
#[path = "../standins-2/database.rs"]
mod database;
#[path = "../standins-2/fleet.rs"]
mod fleet;
#[path = "../standins-2/json.rs"]
mod json;
#[path = "../standins-2/record.rs"]
mod record;
#[path = "../standins-2/run.rs"]
mod run;
#[path = "../standins-2/store.rs"]
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::client::Answer;
use crate::client::Session;
use crate::database::Group;
use crate::database::Shape;
use crate::record::Record;
use crate::run::Deployment;
use crate::run::Verdict;

/// Sessions of the case.
const SESSIONS: usize = 12;
/// Pause between two statements of a transaction, well below its idle limit of 3 s.
const PAUSE: Duration = Duration::from_millis(900);
/// Time from the start of the sessions until the primary leaves.
const DRAIN_AT: Duration = Duration::from_secs(4);
/// Time for which the sessions run.
const LENGTH: Duration = Duration::from_secs(14);

/// What the clients were told.
#[derive(Default)]
struct Told {
    /// Successful answers, with the statement's text.
    successes: Vec<(String, Answer)>,
    /// Ids of the writes of transactions whose commit was answered with success.
    committed: Vec<String>,
}

fn main() {
    run::main(|root, folder, record, trouble| {
        let shape = Shape {
            service: "huvo11a".to_owned(),
            // The last one has started to replace the primary.
            zones: ["oslo-a", "oslo-b", "hamar", "oslo-a"]
                .map(str::to_owned)
                .to_vec(),
            lag: Duration::from_millis(60),
            lag_spread: 0.6,
            sync_replicas: 0,
            promote_time: Duration::from_secs(1),
            max_connections: 22,
            document_rows: 0,
        };
        let deployment = Deployment::start(root, folder, record, &[shape])?;
        let group = &deployment.groups[0];
        let told = Arc::new(Mutex::new(Told::default()));
        let sessions: Vec<_> = (0..SESSIONS)
            .map(|number| {
                let entry = deployment.fleet.machines[number % 3].entry;
                let (told, record) = (Arc::clone(&told), record.clone());
                std::thread::spawn(move || run_session(number, entry, &told, &record))
            })
            .collect();
        std::thread::sleep(DRAIN_AT);
        if trouble {
            group.drain(group.primary());
        }
        for session in sessions {
            session.join().expect("a session does not panic");
        }
        let told = told.lock().expect("not poisoned");
        record.note(format!("promotions {}", group.promotions()));
        if told.committed.is_empty() || (trouble && group.promotions() == 0) {
            return Ok(Verdict::NotRun(
                "no transaction committed, or nobody was promoted",
            ));
        }
        Ok(judge(&told, group, record))
    });
}

/// Runs transactions one after the other: two writes, the second one prepared, or a write and a new value.
fn run_session(number: usize, entry: SocketAddr, told: &Mutex<Told>, record: &Record) {
    let began = std::time::Instant::now();
    std::thread::sleep(PAUSE * u32::try_from(number).unwrap_or(0) / 12);
    let name = format!("c{number}");
    let mut session = None;
    let mut round = 0;
    while began.elapsed() < LENGTH {
        round += 1;
        if session.is_none() {
            session = Session::open(entry, "main", "k1", &name, record);
        }
        let Some(open) = session.as_mut() else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let done = run_transaction(open, &format!("{number}-{round}"), number % 2 == 1, told);
        if done.is_none() {
            session = None;
        }
    }
}

/// Runs one transaction; `None` if the session cannot go on.
fn run_transaction(
    session: &mut Session,
    name: &str,
    sets: bool,
    told: &Mutex<Told>,
) -> Option<()> {
    let prepared = session.ask(&format!("PREPARE s1 WRITE q{name}"))?;
    prepared.result.ok()?;
    let mut writes = Vec::new();
    let third = if sets {
        format!("SET v1 {name}")
    } else {
        format!("EXECUTE s1 b{name} second")
    };
    let texts = [
        "BEGIN".to_owned(),
        format!("WRITE a{name} first"),
        third,
        "COMMIT".to_owned(),
    ];
    for (place, text) in texts.into_iter().enumerate() {
        if place == 2 {
            std::thread::sleep(PAUSE);
        }
        let answer = session.ask(&text)?;
        let failed = answer.result.is_err();
        let runs = !text.starts_with("BEGIN") && !text.starts_with("SET");
        let mut told = told.lock().expect("not poisoned");
        if !failed && runs {
            told.successes.push((text.clone(), answer.clone()));
        }
        if failed {
            drop(told);
            if answer.state != "I" {
                session.ask("ROLLBACK")?;
            }
            return Some(());
        }
        if text == "COMMIT" {
            told.committed.append(&mut writes);
        } else if runs {
            writes.push(answer.id);
        }
    }
    Some(())
}

/// Checks that every success carries the signature of its own statement's run, and that what was committed is there.
fn judge(told: &Told, group: &Group, record: &Record) -> Verdict {
    let mut broken = 0;
    for (text, answer) in &told.successes {
        let signature = answer.result.as_deref().unwrap_or("-");
        let run = group.run_of(signature);
        if run.as_ref().is_none_or(|run| run.id != answer.id) {
            broken += 1;
            record.note(format!(
                "MIXED: {} {text} was answered with success {signature}, which is of {run:?}",
                answer.id
            ));
        }
    }
    let present = group.committed();
    let rolled_back = group.rolled_back();
    for id in &told.committed {
        if rolled_back.iter().any(|write| write.id == *id) {
            continue;
        }
        if !present.iter().any(|write| write.id == *id) {
            broken += 1;
            record.note(format!(
                "LOST: write {id} of a committed transaction is in no log"
            ));
        }
    }
    record.note(format!(
        "successes {} broken {broken}",
        told.successes.len()
    ));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

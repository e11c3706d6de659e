//! Case 7: a primary that comes back while its replacement is under way goes on acknowledging writes.

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
use std::time::Instant;

use crate::client::Session;
use crate::database::Shape;
use crate::record::Record;
use crate::run::Deployment;
use crate::run::Verdict;

/// Sessions of the case.
const SESSIONS: usize = 18;
/// Time from the start of the sessions until the primary crashes.
const CRASH_AT: Duration = Duration::from_secs(4);
/// Time for which the primary is down.
const DOWN: Duration = Duration::from_millis(600);
/// Time for which the sessions run.
const LENGTH: Duration = Duration::from_secs(10);

fn main() {
    run::main(|root, folder, record, trouble| {
        let shape = |service: &str| Shape {
            service: service.to_owned(),
            zones: ["oslo-a", "oslo-b", "hamar"].map(str::to_owned).to_vec(),
            lag: Duration::from_millis(60),
            lag_spread: 0.6,
            sync_replicas: 1,
            promote_time: Duration::from_secs(1),
            max_connections: 22,
            document_rows: 0,
        };
        let shapes = ["huvo11a", "kafi81c", "wuno96b"].map(shape);
        let deployment = Deployment::start(root, folder, record, &shapes)?;
        let acknowledged: Acknowledged = Arc::default();
        let sessions: Vec<_> = (0..SESSIONS)
            .map(|number| {
                let entry = deployment.fleet.machines[number % 3].entry;
                let (acknowledged, record) = (Arc::clone(&acknowledged), record.clone());
                std::thread::spawn(move || run_session(number, entry, &acknowledged, &record))
            })
            .collect();
        std::thread::sleep(CRASH_AT);
        if trouble {
            for group in &deployment.groups {
                group.crash(0);
            }
            std::thread::sleep(DOWN);
            for group in &deployment.groups {
                group.restart(0)?;
            }
        }
        for session in sessions {
            session.join().expect("a session does not panic");
        }
        let acknowledged = acknowledged.lock().expect("not poisoned");
        if acknowledged.is_empty() {
            return Ok(Verdict::NotRun("no write was acknowledged"));
        }
        let mut lost = 0;
        for (index, group) in deployment.groups.iter().enumerate() {
            let present = group.committed();
            let own = acknowledged.iter().filter(|(group, _)| *group == index);
            let missing = own.filter(|(_, id)| !present.iter().any(|write| write.id == *id));
            for (_, id) in missing {
                lost += 1;
                record.note(format!(
                    "LOST: write {id} was acknowledged and is not in the log of the backend that was promoted"
                ));
            }
            record.note(format!(
                "{} promotions {}",
                group.shape.service,
                group.promotions()
            ));
        }
        record.note(format!("acknowledged {} lost {lost}", acknowledged.len()));
        Ok(if lost == 0 {
            Verdict::Held
        } else {
            Verdict::Broken
        })
    });
}

/// Writes that clients were told to be committed: the index of the group and the id.
type Acknowledged = Arc<Mutex<Vec<(usize, String)>>>;

/// Sends single writes, one after the other, until the case ends.
fn run_session(
    number: usize,
    entry: SocketAddr,
    acknowledged: &Mutex<Vec<(usize, String)>>,
    record: &Record,
) {
    let began = Instant::now();
    let name = format!("c{number}");
    let group = number / 3 % 3;
    let route = ["main", "main2", "main3"][group];
    let mut session = None;
    let mut round = 0;
    while began.elapsed() < LENGTH {
        round += 1;
        if session.is_none() {
            session = Session::open(entry, route, "k1", &name, record);
        }
        let answer = session
            .as_mut()
            .and_then(|s| s.ask(&format!("WRITE a{number} v{round}")));
        match answer {
            Some(answer) if answer.result.is_ok() => {
                acknowledged
                    .lock()
                    .expect("not poisoned")
                    .push((group, answer.id));
            }
            Some(_) => std::thread::sleep(Duration::from_millis(50)),
            None => session = None,
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

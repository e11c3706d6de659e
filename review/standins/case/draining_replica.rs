//! The primary crashes while one replica is draining and the other receives nothing, with
//! `syncReplicas` 1.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::Verdict;
use crate::caller::Caller;
use crate::case::KEY;
use crate::case::ROUTE;
use crate::case::configuration;
use crate::database::server_id;
use crate::record::Record;
use crate::site::Site;

/// Index of the replica that is replaced by plan; it receives until it ends.
const DRAINING: usize = 1;
/// Index of the replica that receives nothing for a while.
const DEAF: usize = 2;
/// Time for which it receives nothing before the primary crashes; 6.5 s on klarsprak-drift.
const DEAF_TIME: Duration = Duration::from_millis(3_000);
/// Clients that write.
const WRITERS: usize = 4;
/// Longest wait for a promotion.
const MAX_PROMOTION: Duration = Duration::from_secs(20);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut configuration = configuration("primary", 800);
    configuration.sync_replicas = 1;
    let site = Site::start(2, &configuration, record, None)?;
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut writers = Vec::new();
    for number in 0..WRITERS {
        let entry = site.fleet.vms[number % 2].entry;
        let stop = Arc::clone(&stop);
        let acknowledged = Arc::clone(&acknowledged);
        let shown = Some(Arc::clone(record));
        writers.push(std::thread::spawn(move || {
            let name = format!("w{number}");
            let mut session = None;
            while !stop.load(Ordering::Relaxed) {
                let open = || Caller::open(&name, entry, ROUTE, KEY, shown.clone());
                if let Some(mut caller) = session.take().or_else(open) {
                    let (id, answer) = caller.ask(&format!("WRITE draft-{number} saved"));
                    if let Some(answer) = answer {
                        if answer.succeeded() {
                            acknowledged.lock().unwrap().insert(id);
                        }
                        session = Some(caller);
                    }
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(1));
    site.database.drain(DRAINING);
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        site.database.set_deaf(DEAF, true);
    }
    std::thread::sleep(DEAF_TIME);
    if trouble {
        let old = site.database.primary();
        site.database.crash(old);
        let crashed = Instant::now();
        while site.database.primary() == old {
            if crashed.elapsed() > MAX_PROMOTION {
                return Err("nobody was promoted".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        site.database.set_deaf(DEAF, false);
    }
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for writer in writers {
        writer.join().map_err(|_| "a client failed")?;
    }
    let acknowledged = acknowledged.lock().unwrap();
    let rolled_back = site.database.rolled_back();
    let lost: Vec<&String> = acknowledged.intersection(&rolled_back).collect();
    let kept = site.database.log();
    let kept: BTreeSet<&String> = kept.iter().flat_map(|entry| &entry.ids).collect();
    let kept = acknowledged.iter().filter(|id| kept.contains(id)).count();
    record.note(format!(
        "{} commits were acknowledged; {} is the primary, with {kept} of them in its log; {} were \
         rolled back: {lost:?}",
        acknowledged.len(),
        server_id(site.database.primary()),
        lost.len(),
    ));
    Ok(if lost.is_empty() && kept == acknowledged.len() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

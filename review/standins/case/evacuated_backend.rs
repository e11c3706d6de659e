//! A server of an evacuated zone loses its entry in the store while the vms still reach it.

use std::collections::BTreeMap;
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
use crate::database::server_zone;
use crate::record::Record;
use crate::site::Site;

/// `evacMs` of klarsprak-drift-now-grown.
const EVACUATION: Duration = Duration::from_millis(5_000);
/// Index of the server in the evacuated zone, a replica.
const EVACUATED: usize = 2;
/// Time for which the server is cut off from the store: the default length of `srv_cut`.
const CUT: Duration = Duration::from_millis(5_000);
/// Clients that read.
const READERS: usize = 6;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let configuration = configuration("bounded_staleness", 2_000);
    let site = Site::start(2, &configuration, record, Some(5_000))?;
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let mut readers = Vec::new();
    for number in 0..READERS {
        let entry = site.fleet.vms[number % 2].entry;
        let stop = Arc::clone(&stop);
        let sent = Arc::clone(&sent);
        let mut caller =
            Caller::open(&format!("r{number}"), entry, ROUTE, KEY, None).ok_or("no session")?;
        readers.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = caller.new_id();
                sent.lock().unwrap().insert(id.clone(), Instant::now());
                if caller.ask_as(&id, "READ leaflet-1").is_none() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    let zone = server_zone(EVACUATED);
    site.store.put(&format!("op/evacuate/{zone}"), "{}");
    let acknowledged = Instant::now();
    record.note(format!("operator: evacuation of {zone} acknowledged"));
    std::thread::sleep(Duration::from_millis(3_000));
    if trouble {
        site.cut_from_store(EVACUATED, true);
    }
    std::thread::sleep(CUT);
    if trouble {
        site.cut_from_store(EVACUATED, false);
    }
    std::thread::sleep(Duration::from_millis(4_000));
    stop.store(true, Ordering::Relaxed);
    for reader in readers {
        reader.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().unwrap();
    let mut late = 0;
    let mut before = 0;
    for run in site.database.runs() {
        if run.server != EVACUATED || !sent.contains_key(&run.id) {
            continue;
        }
        let after = run.at.saturating_duration_since(acknowledged);
        if run.at < acknowledged {
            before += 1;
        }
        if after > EVACUATION {
            late += 1;
            if late <= 5 {
                record.note(format!(
                    "the server in {zone} ran {} {} ms after the acknowledgement",
                    run.id,
                    after.as_millis()
                ));
            }
        }
    }
    record.note(format!(
        "{} reads sent; the server in {zone} ran {before} before the evacuation and {late} more \
         than 5,000 ms after its acknowledgement",
        sent.len()
    ));
    Ok(if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

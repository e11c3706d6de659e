//! A key is taken away in the configuration that also removes its route, during a transaction.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::Verdict;
use crate::caller::Caller;
use crate::case::configuration;
use crate::record::Record;
use crate::site::Route;
use crate::site::Site;
use crate::site::Tenant;

/// `revokeMs` of klarsprak-drift.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Pause between two statements, shorter than `txIdleMs`.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Statements of the transaction after the change; a transaction has up to 12.
const STATEMENTS: usize = 6;
const LEAVING_ROUTE: &str = "fiti832";
const LEAVING_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut after = configuration("primary", 800);
    let mut before = after.clone();
    before.routes.push(Route {
        host: LEAVING_ROUTE,
        kind: "primary",
        timeout_ms: 800,
    });
    before.tenants.push(Tenant {
        name: "leaving",
        keys: vec![LEAVING_KEY],
    });
    // A control: only the tenant and its key are removed.
    if std::env::var_os("KEEP_ROUTE").is_some() {
        after.routes.clone_from(&before.routes);
    }
    let mut site = Site::start(2, &before, record, None)?;
    let entry = site.fleet.vms[0].entry;
    let shown = Some(Arc::clone(record));
    let mut caller =
        Caller::open("tx", entry, LEAVING_ROUTE, LEAVING_KEY, shown).ok_or("no session")?;
    for text in ["BEGIN", "WRITE draft-1 first"] {
        let (_, answer) = caller.ask(text);
        if !answer.is_some_and(|answer| answer.succeeded()) {
            return Err("the transaction did not begin".into());
        }
    }
    let acknowledged = if trouble {
        site.configure(&after)
    } else {
        Instant::now()
    };
    let mut sent: BTreeMap<String, Duration> = BTreeMap::new();
    for number in 0..=STATEMENTS {
        std::thread::sleep(PAUSE);
        let text = if number == STATEMENTS {
            "COMMIT".to_owned()
        } else if number % 2 == 0 {
            format!("WRITE draft-1 change-{number}")
        } else {
            "READ draft-1".to_owned()
        };
        let id = caller.new_id();
        sent.insert(id.clone(), acknowledged.elapsed());
        if caller.ask_as(&id, &text).is_none() {
            break;
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut verdict = Verdict::Held;
    for run in site.database.runs() {
        let Some(late) = sent.get(&run.id) else {
            continue;
        };
        record.note(format!(
            "server {} ran {} for tenant {}: sent {} ms after the acknowledgement",
            run.server,
            run.id,
            run.tenant,
            late.as_millis()
        ));
        if trouble && *late > REVOKE {
            verdict = Verdict::Broken;
        }
    }
    let log = site.database.log();
    let mut writes = log.iter().flat_map(|entry| &entry.writes);
    let committed = writes.any(|(item, _)| item == "draft-1");
    record.note(format!("the transaction was committed: {committed}"));
    let mut again = Caller::open("again", entry, LEAVING_ROUTE, LEAVING_KEY, None);
    let refused = again.as_mut().is_none_or(|caller| {
        let answer = caller.ask("READ draft-1").1;
        !answer.is_some_and(|answer| answer.succeeded())
    });
    record.note(format!("a new session with the key is refused: {refused}"));
    Ok(verdict)
}

//! A line feed inside the data of a write, which is not the end of the message.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Outcome;
use crate::Verdict;
use crate::caller::Caller;
use crate::case::KEY;
use crate::case::ROUTE;
use crate::case::configuration;
use crate::record::Record;
use crate::site::Site;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = Site::start(2, &configuration("primary", 800), record, None)?;
    let shown = Some(Arc::clone(record));
    let mut caller =
        Caller::open("notes", site.fleet.vms[0].entry, ROUTE, KEY, shown).ok_or("no session")?;
    let separator = if trouble { "\n" } else { " " };
    let texts = [
        // A note of two lines, as a person types it.
        format!("WRITE note-1 asked after her husband{separator}call again on Monday"),
        // A note whose text was chosen to look like a request.
        format!("WRITE note-2 nothing new{separator}QUERY smuggled-1 WRITE card-7 deceased"),
    ];
    let mut sent: BTreeMap<String, String> = BTreeMap::new();
    for text in texts {
        let (id, _) = caller.ask(&text);
        sent.insert(id, text);
        while let Some(message) = caller.unasked(Duration::from_millis(500)) {
            record.note(format!("client notes: message to no request: {message}"));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut verdict = Verdict::Held;
    for run in site.database.runs() {
        if run.id == "-" || run.id.starts_with("probe-") {
            continue;
        }
        let ran = run.text.escape_debug().to_string();
        let fault = match sent.get(&run.id) {
            Some(text) if *text == run.text => "as sent",
            Some(_) => "with other text than was sent",
            None => "sent by no client",
        };
        record.note(format!(
            "server {} ran {} {ran}: {fault}",
            run.server, run.id
        ));
        if fault != "as sent" {
            verdict = Verdict::Broken;
        }
    }
    for entry in site.database.log() {
        for (item, data) in &entry.writes {
            record.note(format!("in the log: {item} = {}", data.escape_debug()));
        }
    }
    Ok(verdict)
}

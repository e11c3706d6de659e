//! Start and end of a case: a small deployment, and the exit status for what was seen.

use std::path::Path;
use std::path::PathBuf;
use std::process::exit;

use crate::database::Group;
use crate::database::Shape;
use crate::database::configuration;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run, for this reason.
    NotRun(&'static str),
}

/// Three machines in three zones, the platform's store and database groups.
pub struct Deployment {
    pub groups: Vec<Group>,
    pub store: Store,
    pub fleet: Fleet,
}

impl Deployment {
    /// Starts everything and waits until the machines are ready and rates have accrued.
    pub fn start(
        root: &Path,
        folder: &Path,
        record: &Record,
        shapes: &[Shape],
    ) -> Result<Self, std::io::Error> {
        let groups = shapes
            .iter()
            .map(|shape| Group::start(shape.clone(), record.clone()));
        let groups = groups.collect::<std::io::Result<Vec<Group>>>()?;
        let promoted = groups.clone();
        let store = Store::start(record.clone(), move |service, id| {
            let group = promoted.iter().find(|group| group.shape.service == service);
            group.map_or(404, |group| group.promote(service, id))
        })?;
        store.put("op/config", &configuration(7, shapes, &["k1", "k2"], 600));
        for group in &groups {
            group.register(store.clone());
        }
        let zones = ["oslo-a", "oslo-b", "hamar"];
        let fleet = Fleet::start(root, folder, &zones, store.address)?;
        if !fleet.until_ready() {
            for index in 0..fleet.machines.len() {
                record.note(format!(
                    "{} logged:\n{}",
                    fleet.machines[index].name,
                    fleet.log(index)
                ));
            }
            return Err(std::io::Error::other("the machines are not ready in time"));
        }
        std::thread::sleep(std::time::Duration::from_secs(2));
        Ok(Self {
            groups,
            store,
            fleet,
        })
    }
}

/// Runs a case in the repository `$1` with the record in the folder `$2` and other files in `$3`.
pub fn main(case: impl FnOnce(&Path, &Path, &Record, bool) -> Result<Verdict, std::io::Error>) {
    let paths: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [root, place, folder] = paths.as_slice() else {
        eprintln!("usage: case REPOSITORY CASE-FOLDER TEMPORARY-FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = Record::create(&place.join("record.txt"))
        .and_then(|record| case(root, folder, &record, trouble));
    let (status, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Verdict::NotRun(reason)) => (2, format!("not run: {reason}")),
        Err(e) => (2, format!("not run: {e}")),
    };
    println!("{text}");
    exit(status);
}

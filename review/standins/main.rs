//! Runs one case of the review: `standins CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the case does the same without the disruption.

mod caller;
mod case;
mod database;
mod fleet;
mod json;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// Whether a rule was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Outcome of a case; an error means that it could not run.
pub type Outcome = Result<Verdict, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(file)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{file} cannot be written: {e}");
            return ExitCode::from(2);
        }
    };
    record.note(format!("case {case}, disruption: {trouble}"));
    let outcome = match case.as_str() {
        "smuggled-line" => case::smuggled_line::run(&record, trouble),
        "revoked-key" => case::revoked_key::run(&record, trouble),
        "draining-replica" => case::draining_replica::run(&record, trouble),
        "late-request" => case::late_request::run(&record, trouble),
        "begun-transaction" => case::begun_transaction::run(&record, trouble),
        "evacuated-backend" => case::evacuated_backend::run(&record, trouble),
        _ => Err("no such case".into()),
    };
    match outcome {
        Ok(Verdict::Held) => {
            record.note("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.note("result: the rule is BROKEN");
            ExitCode::from(1)
        }
        Err(e) => {
            record.note(format!("result: the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}

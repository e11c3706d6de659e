//! Reads a bundle from YAML into typed values.

use serde_saphyr::Spanned;

use super::Account;
use super::Bundle;
use super::BundleVersion;
use super::Fault;
use super::Faults;
use super::Group;
use super::KeyVerifier;
use super::Limits;
use super::Route;
use super::Upstream;
use super::node::Node;
use super::reader::Diagnostics;
use super::reader::Reader;
use super::rules;

/// Parses and validates a bundle; returns every fault with its path and line.
pub(super) fn parse(yaml: &str) -> Result<Bundle, Faults> {
    let document: Spanned<Node> = match serde_saphyr::from_str(yaml) {
        Ok(document) => document,
        Err(e) => return Err(Faults(vec![syntax_fault(&e)])),
    };
    let mut diagnostics = Diagnostics::default();
    let bundle = read_bundle(&mut diagnostics, &document);
    let mut violations = rules::faults(&bundle);
    // A value that could not be read has a placeholder, whose violations would mislead.
    violations.retain(|f| !diagnostics.is_broken(&f.path));
    for fault in violations {
        diagnostics.fault(&fault.path, fault.message);
    }
    diagnostics.faults.sort_by_key(|f| f.line);
    Faults::into_result(bundle, diagnostics.faults)
}

fn syntax_fault(error: &serde_saphyr::Error) -> Fault {
    let text = error.to_string();
    let first = text.lines().next().unwrap_or_default();
    let mut fault = Fault::new("", first);
    fault.line = error.location().map(|l| l.line());
    fault
}

fn read_bundle(diagnostics: &mut Diagnostics, document: &Spanned<Node>) -> Bundle {
    let mut reader = Reader::open(diagnostics, String::new(), document);
    let version = BundleVersion(reader.optional("version", 0));
    let bundle = Bundle {
        version,
        accounts: reader.list("accounts", read_account),
        routes: reader.list("routes", read_route),
        groups: reader.list("groups", read_group),
        limits: reader.nested("limits", read_limits).unwrap_or_default(),
    };
    reader.finish();
    if version != BundleVersion::default() {
        diagnostics.fault("version", "is set by submission; leave it out");
    }
    bundle
}

fn read_account(reader: &mut Reader<'_>) -> Account {
    Account {
        name: reader.required("name", "".into()),
        keys: reader.list("keys", read_key),
        rate: reader.required("rate", 1.0),
        burst: reader.required("burst", 1.0),
        weight: reader.optional("weight", 1),
        routes: reader.scalars("routes", || "".into()),
    }
}

fn read_key(reader: &mut Reader<'_>) -> KeyVerifier {
    KeyVerifier {
        id: reader.required("id", "".into()),
        verifier: reader.required("verifier", String::new()),
    }
}

fn read_route(reader: &mut Reader<'_>) -> Route {
    Route {
        name: reader.required("name", "".into()),
        group: reader.required("group", "".into()),
        open: reader.optional("open", false),
    }
}

fn read_group(reader: &mut Reader<'_>) -> Group {
    Group {
        name: reader.required("name", "".into()),
        slots: reader.required("slots", 1),
        connections: reader.required("connections", 2),
        upstreams: reader.list("upstreams", read_upstream),
    }
}

fn read_upstream(reader: &mut Reader<'_>) -> Upstream {
    Upstream {
        name: reader.required("name", "".into()),
        address: reader.required("address", String::new()),
        domain: reader.required("domain", "".into()),
        leaving: reader.optional("leaving", false),
    }
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    let limits = Limits::default();
    Limits {
        statement_ms: reader.optional("statement_ms", limits.statement_ms),
        behind_ms: reader.optional("behind_ms", limits.behind_ms),
        durable_ms: reader.optional("durable_ms", limits.durable_ms),
        suspect_ms: reader.optional("suspect_ms", limits.suspect_ms),
    }
}

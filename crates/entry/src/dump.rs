//! State dump for operators; it contains no keys.

use std::time::Duration;
use std::time::Instant;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::context::Context;

/// Largest number of sessions listed individually.
const MAX_LISTED_SESSIONS: usize = 200;

/// Returns the state of the process.
pub(crate) fn dump(ctx: &Context) -> Value {
    let view = ctx.steward.view();
    json!({
        "program": "entry",
        "vm": ctx.settings.vm,
        "domain": ctx.settings.domain,
        "draining": ctx.lifecycle.is_draining(),
        "bundle": view.as_ref().map(|v| v.bundle.version),
        "groups": view.as_ref().map(|v| &v.groups),
        "vms": view.as_ref().map(|v| &v.vms),
        "sessions": ctx.sessions.count(),
        "some_sessions": sessions(ctx),
        "kept_bytes": ctx.budget.used(),
        "links": links(ctx),
        "tokens": tokens(ctx),
        "positions": positions(ctx),
    })
}

fn sessions(ctx: &Context) -> Vec<Value> {
    ctx.sessions
        .sample(MAX_LISTED_SESSIONS)
        .iter()
        .map(|handle| {
            let identity = handle.login.identity.as_ref();
            json!({
                "pid": handle.pid,
                "route": handle.login.route,
                "account": identity.map(|i| &i.account),
                "key": identity.map(|i| &i.key),
                "open_ms": millis(handle.opened.elapsed()),
                "busy": handle.is_busy(),
            })
        })
        .collect()
}

fn links(ctx: &Context) -> Vec<Value> {
    ctx.pools
        .all()
        .iter()
        .map(|link| {
            json!({
                "pool": link.address(),
                "up": link.is_up(),
                "waiting": link.pending_requests(),
            })
        })
        .collect()
}

fn tokens(ctx: &Context) -> Map<String, Value> {
    let accounts = ctx.rates.all();
    accounts
        .iter()
        .map(|(name, rate)| (name.to_string(), rate.held().into()))
        .collect()
}

fn positions(ctx: &Context) -> Value {
    let now = Instant::now();
    let mut groups = Map::new();
    for (name, shared) in ctx.groups.all() {
        let observations = shared.lock();
        let mut upstreams = Map::new();
        for (upstream, observed) in observations.positions.iter() {
            let entry = json!({
                "applied": observed.applied.to_string(),
                "age_ms": millis(observed.age_at(now)),
                "load": observations.load(upstream),
            });
            upstreams.insert(upstream.to_string(), entry);
        }
        groups.insert(name.to_string(), Value::Object(upstreams));
    }
    Value::Object(groups)
}

/// Returns whole milliseconds, saturated: the age of a replica without contact exceeds `u64`.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

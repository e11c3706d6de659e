//! Command that measures resource usage along each axis and prints the slopes.

use std::fs::File;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use mustardbay_policy::bundle::Bundle;
use mustardbay_process::arguments::all;
use mustardbay_process::arguments::choice;
use mustardbay_process::arguments::file;
use mustardbay_process::arguments::maybe;
use mustardbay_process::arguments::one;
use serde::Serialize;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio_postgres::Client;

use super::axis::Axis;
use super::fit::slope;
use super::usage::Usage;
use super::usage::measure;
use crate::arguments::number;
use crate::arguments::repeated;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::Kind;

/// Wait between the start of a fleet and its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Account of the idle sessions.
const ACCOUNT: &str = "account-0";
/// Route of the idle sessions.
const ROUTE: &str = "adapt-core-1";

/// Failure of a slope measurement.
#[derive(Debug, Error)]
pub enum SlopesError {
    /// A fleet did not start or could not be queried.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The result could not be written.
    #[error("result file: {0}")]
    File(#[from] std::io::Error),
    /// The result could not be encoded as JSON.
    #[error("result: {0}")]
    Json(#[from] serde_json::Error),
}

/// Returns the command line of `mustardbay-lab slopes`.
#[must_use]
pub fn command() -> Command {
    let axis = choice(
        "axis",
        &Axis::ALL.map(Axis::name),
        "Quantity to vary; every one by default",
    );
    Command::new("slopes")
        .about("Measures what one more vm, group, account, change or session costs")
        .arg(repeated(axis))
        .arg(number::<u64>(
            "seconds",
            "8",
            "Length of each measurement in seconds",
        ))
        .arg(file("json", "File for the result as JSON"))
}

/// Usage of one program at one size of an axis.
#[derive(Debug, Serialize)]
struct Point {
    axis: &'static str,
    size: usize,
    program: &'static str,
    usage: Usage,
}

/// Measures the selected axes, prints their tables and writes the result file.
///
/// # Errors
///
/// Fails if a fleet does not start or the result cannot be written.
pub async fn run(args: &ArgMatches) -> Result<(), SlopesError> {
    let length = Duration::from_secs(one(args, "seconds"));
    let mut points = Vec::new();
    for axis in selected(&all(args, "axis")) {
        for size in axis.sizes() {
            points.extend(measure_size(axis, *size, length).await?);
        }
        print_axis(axis, &points);
    }
    if let Some(path) = maybe::<PathBuf>(args, "json") {
        serde_json::to_writer_pretty(File::create(path)?, &points)?;
    }
    Ok(())
}

/// Returns the axes with these names, or all axes if there are no names.
fn selected(names: &[String]) -> Vec<Axis> {
    let all = Axis::ALL.into_iter();
    all.filter(|axis| names.is_empty() || names.iter().any(|name| name == axis.name()))
        .collect()
}

/// Starts a fleet of one size and measures the usage of each program.
async fn measure_size(
    axis: Axis,
    size: usize,
    length: Duration,
) -> Result<Vec<Point>, SlopesError> {
    let mut fleet = Fleet::start(axis.layout(size)).await?;
    let sessions = open_sessions(&fleet, if axis == Axis::Sessions { size } else { 0 }).await?;
    let changes = if axis == Axis::Changes { size } else { 0 };
    tokio::time::sleep(SETTLE_TIME).await;
    let submitting = submit_changes(&fleet, changes)?;
    let mut points = Vec::new();
    for kind in [Kind::Steward, Kind::Pool, Kind::Entry] {
        let usage = measure(&fleet, kind, length).await?;
        points.push(Point {
            axis: axis.name(),
            size,
            program: kind.executable(),
            usage,
        });
    }
    if let Some(submitting) = submitting {
        submitting.abort();
    }
    drop(sessions);
    fleet.kill_all().await;
    Ok(points)
}

/// Opens idle sessions on the first vm.
async fn open_sessions(fleet: &Fleet, count: usize) -> Result<Vec<Client>, FleetError> {
    let mut sessions = Vec::with_capacity(count);
    for _ in 0..count {
        sessions.push(fleet.caller("vm1", ACCOUNT, ROUTE).await?);
    }
    Ok(sessions)
}

/// Spawns a task that submits `rate` bundles per second, each with one changed account rate.
///
/// It pauses after each submission and runs until it is aborted. A rate of 0 spawns none.
fn submit_changes(fleet: &Fleet, rate: usize) -> Result<Option<JoinHandle<()>>, FleetError> {
    let Some(pause) = u32::try_from(rate)
        .ok()
        .and_then(|rate| Duration::from_secs(1).checked_div(rate))
    else {
        return Ok(None);
    };
    let mut operator = fleet.operator()?;
    let mut bundle: Bundle = fleet.bundle().clone();
    Ok(Some(tokio::spawn(async move {
        loop {
            bundle.accounts[0].rate += 1.0;
            match operator.submit(bundle.clone()).await {
                Ok(accepted) => bundle = accepted,
                Err(e) => tracing::warn!(event = "submission_failed", error = %e),
            }
            tokio::time::sleep(pause).await;
        }
    })))
}

/// Prints the points of an axis and the slope of each program.
fn print_axis(axis: Axis, points: &[Point]) {
    println!("per {}:", axis.name());
    println!("  program size cpu_us/s rss_kB peer_B/s peer_msg/s platform_calls/s");
    let of_axis: Vec<&Point> = points.iter().filter(|p| p.axis == axis.name()).collect();
    for point in &of_axis {
        let Usage {
            cpu_us,
            resident_kb,
            peer_bytes,
            peer_messages,
            platform_calls,
        } = point.usage;
        println!(
            "  {} {} {cpu_us:.0} {resident_kb:.0} {peer_bytes:.0} {peer_messages:.1} {platform_calls:.2}",
            point.program, point.size,
        );
    }
    for kind in [Kind::Steward, Kind::Pool, Kind::Entry] {
        let fit = |value: fn(&Usage) -> f64| {
            let of_kind = of_axis.iter().filter(|p| p.program == kind.executable());
            let line: Vec<(f64, f64)> =
                of_kind.map(|p| (to_f64(p.size), value(&p.usage))).collect();
            slope(&line)
        };
        println!(
            "  slope {}: {:.2} cpu_us/s, {:.2} kB, {:.2} peer B/s, {:.3} platform calls/s",
            kind.executable(),
            fit(|usage| usage.cpu_us),
            fit(|usage| usage.resident_kb),
            fit(|usage| usage.peer_bytes),
            fit(|usage| usage.platform_calls),
        );
    }
}

fn to_f64(size: usize) -> f64 {
    u32::try_from(size).map_or(f64::MAX, f64::from)
}

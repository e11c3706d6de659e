//! Runs the command that the arguments name.

use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use mustardbay_platform::Gateway;
use mustardbay_policy::bundle::BundleVersion;
use mustardbay_policy::bundle::Head;
use mustardbay_policy::bundle::Key;
use mustardbay_policy::bundle::Signer;
use mustardbay_policy::bundle::Tree;
use mustardbay_process::exit::Exit;

use crate::admin;
use crate::bundle_file;
use crate::change;
use crate::error::CliError;
use crate::evacuations::evacuations;
use crate::losses::LossReport;
use crate::reports::Report;
use crate::signer_file;
use crate::status;
use crate::story::story;
use crate::submission::Submission;

/// Runs the command and prints its result on standard output.
pub(crate) async fn execute(matches: &ArgMatches) -> Result<Exit, CliError> {
    match matches.subcommand() {
        Some(("key", _)) => Ok(new_key()),
        Some(("signer", args)) => new_signer(subcommand_args(args)),
        Some(("bundle", args)) => bundle(args).await,
        Some(("dump", args)) => dump(args).await,
        Some(("drain", args)) => drain(args).await,
        Some(("story", args)) => show_story(args),
        Some(("losses", args)) => show_losses(args),
        Some(("evacuations", args)) => show_evacuations(args).await,
        _ => Ok(Exit::Usage),
    }
}

async fn bundle(matches: &ArgMatches) -> Result<Exit, CliError> {
    match matches.subcommand() {
        Some(("check", args)) => check(args),
        Some(("diff", args)) => diff(args),
        Some(("sign", args)) => sign(args),
        Some(("submit", args)) => submit(args).await,
        Some(("status", args)) => show_status(args).await,
        _ => Ok(Exit::Usage),
    }
}

fn show_story(args: &ArgMatches) -> Result<Exit, CliError> {
    let request = args.get_one::<String>("request").map_or("", String::as_str);
    let lines = story(request, &read_logs(args)?);
    if lines.is_empty() {
        return Ok(Exit::Failed);
    }
    let lines: Vec<String> = lines.iter().map(ToString::to_string).collect();
    Report::text(lines.join("\n")).print();
    Ok(Exit::Done)
}

fn show_losses(args: &ArgMatches) -> Result<Exit, CliError> {
    let losses = LossReport::read(&read_logs(args)?);
    let report = if args.get_flag("json") {
        Report::json(&losses)?
    } else {
        Report::text(losses.to_string().trim_end())
    };
    report.print();
    Ok(Exit::Done)
}

/// Returns the name, without extension, and the contents of each log file.
///
/// Bytes that are not UTF-8 are replaced, so that a damaged line does not hide the others.
fn read_logs(args: &ArgMatches) -> Result<Vec<(String, String)>, CliError> {
    let files = args.get_many::<PathBuf>("logs").unwrap_or_default();
    let read = |path: &PathBuf| {
        let bytes = std::fs::read(path).map_err(|source| CliError::File {
            path: path.clone(),
            source,
        })?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok((name.into_owned(), text))
    };
    files.map(read).collect()
}

fn new_key() -> Exit {
    let rng = &mut rand::rng();
    let key = Key::generate(rng);
    Report::key(&key, &key.verifier(rng)).print();
    Exit::Done
}

fn new_signer(args: &ArgMatches) -> Result<Exit, CliError> {
    let signer = Signer::generate(&mut rand::rng());
    signer_file::create(path(args, "out"), &signer)?;
    Report::signer(&signer.id()).print();
    Ok(Exit::Done)
}

fn check(args: &ArgMatches) -> Result<Exit, CliError> {
    let bundle = bundle_file::load_bundle(path(args, "file"))?;
    let report = format!(
        "valid: {} accounts, {} routes, {} groups",
        bundle.accounts.len(),
        bundle.routes.len(),
        bundle.groups.len(),
    );
    Report::text(report).print();
    Ok(Exit::Done)
}

fn diff(args: &ArgMatches) -> Result<Exit, CliError> {
    let old = bundle_file::load_bundle(path(args, "old"))?;
    let new = bundle_file::load_bundle(path(args, "new"))?;
    let lines: Vec<String> = change::changes(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    let bytes = Tree::build(&new).bytes_not_in(&Tree::build(&old));
    let report = format!("{}\n{bytes} bytes to move", lines.join("\n"));
    Report::text(report.trim_start()).print();
    Ok(Exit::Done)
}

fn sign(args: &ArgMatches) -> Result<Exit, CliError> {
    let bundle = bundle_file::load_bundle(path(args, "file"))?;
    let signer = signer_file::load(path(args, "signer"))?;
    let head = Head::sign(expected(args).next(), Tree::build(&bundle).root, &signer);
    let report = Report::json(&head)?;
    match args.get_one::<PathBuf>("out") {
        Some(out) => bundle_file::write(out, report.as_str())?,
        None => report.print(),
    }
    Ok(Exit::Done)
}

async fn submit(args: &ArgMatches) -> Result<Exit, CliError> {
    let bundle = bundle_file::load_bundle(path(args, "file"))?;
    let tree = Tree::build(&bundle);
    let submission = Submission {
        head: resolve_head(args, &tree)?,
        tree,
        expected: expected(args),
        writer: rand::random(),
    };
    let done = submission.run(&platform(args)?).await?;
    let report = format!(
        "version {} is in force; {} chunks of {} bytes were written",
        done.version, done.chunks, done.bytes,
    );
    Report::text(report).print();
    Ok(Exit::Done)
}

/// Returns the signed head given by the arguments, or signs one with the given key.
fn resolve_head(args: &ArgMatches, tree: &Tree) -> Result<Head, CliError> {
    let version = expected(args).next();
    let Some(signed) = args.get_one::<PathBuf>("signed") else {
        let signer = signer_file::load(path(args, "signer"))?;
        return Ok(Head::sign(version, tree.root, &signer));
    };
    let head = bundle_file::load_head(signed)?;
    head.verify_signature()?;
    if head.version == version && head.root == tree.root {
        return Ok(head);
    }
    Err(CliError::HeadMismatch {
        version: head.version,
        root: head.root.to_string(),
    })
}

async fn show_status(args: &ArgMatches) -> Result<Exit, CliError> {
    let admins: Vec<String> = many(args, "admin");
    let status = status::status(&platform(args)?, &admins).await?;
    let report = if args.get_flag("json") {
        Report::json(&status)?
    } else {
        Report::text(status.to_string())
    };
    report.print();
    Ok(Exit::Done)
}

async fn show_evacuations(args: &ArgMatches) -> Result<Exit, CliError> {
    let admins: Vec<String> = many(args, "admin");
    let known = evacuations(&admins).await;
    let report = if args.get_flag("json") {
        Report::json(&known)?
    } else {
        Report::text(known.to_string().trim_end())
    };
    report.print();
    Ok(Exit::Done)
}

async fn dump(args: &ArgMatches) -> Result<Exit, CliError> {
    let state = admin::state(url(args)).await?;
    let report = if args.get_flag("json") {
        Report::json(&state)?
    } else {
        Report::yaml(&state)?
    };
    report.print();
    Ok(Exit::Done)
}

async fn drain(args: &ArgMatches) -> Result<Exit, CliError> {
    admin::drain(url(args)).await?;
    Report::text("draining").print();
    Ok(Exit::Done)
}

/// Returns the arguments of the next subcommand, or `args` if there is none.
fn subcommand_args(args: &ArgMatches) -> &ArgMatches {
    args.subcommand().map_or(args, |(_, inner)| inner)
}

fn path<'a>(args: &'a ArgMatches, name: &str) -> &'a Path {
    args.get_one::<PathBuf>(name)
        .expect("the argument is required")
}

fn url(args: &ArgMatches) -> &str {
    args.get_one::<String>("url")
        .expect("the argument is required")
}

fn expected(args: &ArgMatches) -> BundleVersion {
    let version = args
        .get_one::<u64>("expect")
        .expect("the argument is required");
    BundleVersion(*version)
}

fn many(args: &ArgMatches, name: &str) -> Vec<String> {
    let values = args.get_many::<String>(name);
    values.into_iter().flatten().cloned().collect()
}

fn platform(args: &ArgMatches) -> Result<Gateway, CliError> {
    Ok(Gateway::new(many(args, "platform"))?)
}

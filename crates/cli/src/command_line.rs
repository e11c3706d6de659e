//! Arguments and help texts of every command.

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use mustardbay_process::arguments::flag;

const ABOUT: &str = "\
Operates a mustardbay fleet: keys, configuration bundles, dumps and drains.

A change of the configuration takes five steps:
  mustardbay bundle check bundle.yaml            print every fault with its line and path
  mustardbay bundle diff old.yaml bundle.yaml    print what changes
  mustardbay bundle sign bundle.yaml --expect 7 --signer op.key --out head.json
  mustardbay bundle submit bundle.yaml --expect 7 --signed head.json --platform URL
  mustardbay bundle status --platform URL        show the version on every vm";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed: an invalid bundle, or a file that cannot be read or written
  2  wrong arguments
  3  conflict: another version is in force than the one expected
  4  the platform or a process cannot be reached, or the outcome of a submission is unknown";

/// Returns the description of the command line.
pub(crate) fn command() -> Command {
    Command::new("mustardbay")
        .about("Operates a mustardbay fleet")
        .long_about(ABOUT)
        .after_help(EXIT_CODES)
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(key())
        .subcommand(signer())
        .subcommand(bundle())
        .subcommand(dump())
        .subcommand(story())
        .subcommand(losses())
        .subcommand(evacuations())
        .subcommand(drain())
}

fn story() -> Command {
    Command::new("story")
        .about("Shows how the vms handled a request, from their logs")
        .long_about(
            "Shows how the vms handled a request, from their logs.\n\nPrints each step of the request \
             in order of time, with the state that its vm knew then: configuration, primary, home, \
             upstreams and store. The name of a log file is the name of its vm.",
        )
        .arg(
            Arg::new("request")
                .long("request")
                .required(true)
                .help("Id of the request, as in the logs and at the caller"),
        )
        .arg(logs())
}

fn losses() -> Command {
    Command::new("losses")
        .about("Counts failed and late attempts by cause, from the logs of the vms")
        .long_about(
            "Counts failed and late attempts by cause, from the logs of the vms.\n\nEvery attempt that \
             failed or took longer than its objective is assigned to one cause and counted by cause, \
             class of work, failure domain, account and second, each with the id of one request for \
             `story`. A caller retries under a new id, so attempts are counted, not operations of \
             callers. The logs lack what was lost when a process crashed; crashes are counted.",
        )
        .arg(logs())
        .arg(json())
}

fn evacuations() -> Command {
    Command::new("evacuations")
        .about("Shows which failure domains are evacuated, and what still runs there")
        .long_about(
            "Shows which failure domains are evacuated, and what still runs there.\n\nAsks each \
             mustardbay-vm for the domains that it knows as evacuated, since when at most, how long \
             their primaries serve until others have taken over, and the statements and open \
             transactions that it still has at their upstreams.",
        )
        .arg(
            Arg::new("admin")
                .long("admin")
                .required(true)
                .num_args(1..)
                .help("Admin addresses of the vms"),
        )
        .arg(json())
}

fn logs() -> Arg {
    path("logs", "Log files, one for each vm")
        .required(true)
        .num_args(1..)
}

fn key() -> Command {
    Command::new("key")
        .about("Keys of accounts")
        .subcommand_required(true)
        .subcommand(Command::new("new").about("Creates a random key and its verifier").long_about(
            "Creates a random key and its verifier.\n\nThe key is printed once and stored nowhere: \
             give it to the caller, who uses it as password. The verifier goes into the account's \
             `keys` in the bundle; removing it there revokes the key.",
        ))
}

fn signer() -> Command {
    Command::new("signer")
        .about("Keys of operators who sign bundles")
        .subcommand_required(true)
        .subcommand(
            Command::new("new")
                .about("Creates a signing key")
                .long_about(
                    "Creates an ed25519 signing key.\n\nThe private key goes into the file, readable \
                     by its owner alone; the public key is printed and goes into `signers` of every \
                     steward's settings.",
                )
                .arg(path("out", "File to create for the private key").long("out").required(true)),
        )
}

fn bundle() -> Command {
    Command::new("bundle")
        .about("Configuration of the fleet")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a bundle and prints every fault with its line and path")
                .arg(path("file", "Bundle in YAML").required(true)),
        )
        .subcommand(
            Command::new("diff")
                .about("Prints what changes from one bundle to another")
                .arg(path("old", "Older bundle in YAML").required(true))
                .arg(path("new", "Newer bundle in YAML").required(true)),
        )
        .subcommand(sign())
        .subcommand(submit())
        .subcommand(bundle_status())
}

fn sign() -> Command {
    Command::new("sign")
        .about("Signs a bundle for the version after the expected one")
        .arg(path("file", "Bundle in YAML").required(true))
        .arg(expect())
        .arg(signer_file().required(true))
        .arg(
            path(
                "out",
                "File for the signed head; default is standard output",
            )
            .long("out"),
        )
}

fn submit() -> Command {
    Command::new("submit")
        .about("Puts a bundle in force if the expected version is still in force")
        .long_about(
            "Puts a bundle in force if the expected version is still in force.\n\nWrites the chunks \
             that the platform lacks, then the head by compare-and-swap. If several operators submit \
             at once, one succeeds; the others exit with code 3 and see the version in force. If a \
             response is lost, the head is read back to find out whether it was written.",
        )
        .arg(path("file", "Bundle in YAML").required(true))
        .arg(expect())
        .arg(signer_file().required_unless_present("signed"))
        .arg(
            path("signed", "Signed head from `bundle sign`, instead of a signer key")
                .long("signed")
                .conflicts_with("signer"),
        )
        .arg(platform())
}

fn bundle_status() -> Command {
    Command::new("status")
        .about("Shows the bundle version on every vm and which vms do not respond")
        .long_about(
            "Shows the bundle version on every vm and which vms do not respond.\n\nAsks the steward of \
             every vm that the platform lists with an `admin` address, and the stewards given by \
             --admin.",
        )
        .arg(platform())
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("URL")
                .action(ArgAction::Append)
                .help("Admin address of a steward to ask; may be repeated"),
        )
        .arg(json())
}

fn dump() -> Command {
    Command::new("dump")
        .about("Prints the state of a process, with secrets masked")
        .arg(admin_url())
        .arg(json())
}

fn drain() -> Command {
    Command::new("drain")
        .about("Makes a process finish its running work, hand over and exit")
        .arg(admin_url())
}

fn admin_url() -> Arg {
    Arg::new("url")
        .value_name("ADMIN_URL")
        .required(true)
        .help("Admin address of the process, such as http://127.0.0.1:9101")
}

fn json() -> Arg {
    flag("json", "Prints JSON")
}

fn expect() -> Arg {
    Arg::new("expect")
        .long("expect")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .required(true)
        .help("Version that is in force now; 0 if there is none yet")
}

fn signer_file() -> Arg {
    path("signer", "Private key file from `signer new`").long("signer")
}

fn platform() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("URL")
        .env("MUSTARDBAY_PLATFORM")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .required(true)
        .help("Address of the platform's key-value service; several are tried in turn")
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(std::path::PathBuf))
        .help(help)
}

//! Command line of the operators: keys, signers, bundles, dumps, drains and reports from logs.

mod admin;
mod bundle_file;
mod change;
mod command;
mod command_line;
mod error;
mod evacuations;
mod log_event;
mod losses;
mod reports;
mod signer_file;
mod status;
mod story;
mod submission;

use std::ffi::OsString;

use mustardbay_process::arguments::print_usage;
use mustardbay_process::exit::Exit;

pub use self::change::Change;
pub use self::change::changes;
pub use self::error::CliError;
pub use self::evacuations::Evacuations;
pub use self::evacuations::VmEvacuations;
pub use self::losses::Loss;
pub use self::losses::LossCause;
pub use self::losses::LossReport;
pub use self::reports::Report;
pub use self::status::Status;
pub use self::status::VmStatus;
pub use self::status::status;
pub use self::story::StoryLine;
pub use self::story::story;
pub use self::submission::CHUNK_PREFIX;
pub use self::submission::HEAD_KEY;
pub use self::submission::Submission;
pub use self::submission::Submitted;

/// Runs the command that the arguments name and returns its exit status.
///
/// Prints the result on standard output and an error on standard error.
pub async fn run(args: impl IntoIterator<Item = impl Into<OsString> + Clone>) -> Exit {
    let matches = match command_line::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => return print_usage(&e),
    };
    match command::execute(&matches).await {
        Ok(exit) => exit,
        Err(e) => {
            eprintln!("mustardbay: {e}");
            e.exit()
        }
    }
}

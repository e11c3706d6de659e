//! Child process of a fleet, which can be killed, drained, stopped and continued.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use thiserror::Error;
use tokio::process::Child;
use tokio::process::Command;

/// Executable that a fleet runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// `mustardbay-entry`.
    Entry,
    /// `mustardbay-pool`.
    Pool,
    /// `mustardbay-steward`.
    Steward,
    /// `mustardbay-lab`, which runs as a stand-in or as the relay.
    Lab,
}

impl Kind {
    /// Returns the name of the executable.
    #[must_use]
    pub fn executable(self) -> &'static str {
        match self {
            Self::Entry => "mustardbay-entry",
            Self::Pool => "mustardbay-pool",
            Self::Steward => "mustardbay-steward",
            Self::Lab => "mustardbay-lab",
        }
    }
}

/// Failure to start or signal a program.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The program did not start.
    #[error("{path} does not start: {source}")]
    Start {
        /// Path of the executable.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The process has already ended.
    #[error("process has ended")]
    Ended,
    /// The signal could not be sent.
    #[error("signal not sent: {0}")]
    Signal(#[from] nix::Error),
    /// Waiting for the end of the process failed.
    #[error("waiting for the process failed: {0}")]
    Wait(#[from] io::Error),
}

/// Running process; killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts a program that appends its output to `log`.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the executable cannot be started.
    pub fn start(kind: Kind, arguments: &[String], log: &Path) -> Result<Self, ProgramError> {
        let path = executable_dir().join(kind.executable());
        let spawn = || -> io::Result<Child> {
            let output = File::options().create(true).append(true).open(log)?;
            Command::new(&path)
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(output.try_clone()?)
                .stderr(output)
                .kill_on_drop(true)
                .spawn()
        };
        match spawn() {
            Ok(child) => Ok(Self { child }),
            Err(source) => Err(ProgramError::Start { path, source }),
        }
    }

    /// Returns the process id; `None` once the process has been waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends SIGKILL and waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled.
    pub async fn kill(&mut self) -> Result<(), ProgramError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Sends SIGTERM, on which the program drains.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn terminate(&self) -> Result<(), ProgramError> {
        self.signal(Signal::SIGTERM)
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn freeze(&self) -> Result<(), ProgramError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn thaw(&self) -> Result<(), ProgramError> {
        self.signal(Signal::SIGCONT)
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot wait for the process.
    pub async fn wait(&mut self) -> Result<ExitStatus, ProgramError> {
        Ok(self.child.wait().await?)
    }

    fn signal(&self, signal: Signal) -> Result<(), ProgramError> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        let id = id.ok_or(ProgramError::Ended)?;
        nix::sys::signal::kill(Pid::from_raw(id), signal)?;
        Ok(())
    }
}

/// Returns the directory of the executables: that of this one, or its parent if it is a test.
///
/// Cargo builds test executables into `deps`, one level below the programs.
fn executable_dir() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let directory = own.parent().unwrap_or(Path::new("."));
    match directory.file_name() {
        Some(name) if name == "deps" => directory.parent().unwrap_or(directory).to_path_buf(),
        _ => directory.to_path_buf(),
    }
}

//! One running program of a fleet: started, killed, frozen, thawed.

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

/// Program of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// `mustardbay-entry`.
    Entry,
    /// `mustardbay-pool`.
    Pool,
    /// `mustardbay-steward`.
    Steward,
    /// `mustardbay-lab`, as one of the stand-ins.
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
        /// Executable that was tried.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The program has ended already.
    #[error("process has ended")]
    Ended,
    /// The signal could not be sent.
    #[error("signal not sent: {0}")]
    Signal(#[from] nix::Error),
    /// The program's end could not be awaited.
    #[error("waiting for the process failed: {0}")]
    Wait(#[from] io::Error),
}

/// Running program; killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts a program with its output in `log`.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be written or the executable cannot be started.
    pub fn start(kind: Kind, arguments: &[String], log: &Path) -> Result<Self, ProgramError> {
        let path = directory().join(kind.executable());
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

    /// Returns the identifier of the process; `None` once it has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the end.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled.
    pub async fn kill(&mut self) -> Result<(), ProgramError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Sends SIGTERM, which starts the drain.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn terminate(&self) -> Result<(), ProgramError> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn freeze(&self) -> Result<(), ProgramError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Sends SIGCONT.
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
    /// Fails if the system cannot tell.
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

/// Returns the directory of the executables: that of this one, or its parent for a test.
fn directory() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let directory = own.parent().unwrap_or(Path::new("."));
    match directory.file_name() {
        Some(name) if name == "deps" => directory.parent().unwrap_or(directory).to_path_buf(),
        _ => directory.to_path_buf(),
    }
}

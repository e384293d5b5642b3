//! Child processes of tests: signals, captured output, and a certain end.
//!
//! Architecture Invariant: a child never outlives its handle, also when a test panics. A signal is
//! sent only while the child has not been reaped, so its process id can't belong to another.

use std::{
    ffi::{OsStr, OsString},
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::time::{Instant, sleep};

/// Time between looks at a child.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of a child process; dropping it kills the child and waits for its end.
#[derive(Debug)]
pub struct Process {
    child: Child,
    program: PathBuf,
    output: PathBuf,
}

/// Why a child process can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program or its output file could not be opened.
    #[error("cannot start `{program}`: {source}")]
    Start {
        /// Program.
        program: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The child could not be signalled or waited for.
    #[error("cannot control `{program}`: {source}")]
    Control {
        /// Program.
        program: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The child has ended already.
    #[error("`{program}` has ended with {status}; its output:\n{output}")]
    Ended {
        /// Program.
        program: PathBuf,
        /// How it ended.
        status: ExitStatus,
        /// What it wrote.
        output: String,
    },
    /// What was waited for did not happen in time.
    #[error("waited {limit:?} in vain for `{program}` {what}; its output:\n{output}")]
    Timeout {
        /// Program.
        program: PathBuf,
        /// What was waited for.
        what: String,
        /// Time limit.
        limit: Duration,
        /// What the program wrote.
        output: String,
    },
}

impl Process {
    /// Starts a program; what it writes is appended to the output file.
    pub fn start<A: AsRef<OsStr>>(
        program: &Path,
        args: impl IntoIterator<Item = A>,
        output: &Path,
    ) -> Result<Self, ProcessError> {
        Self::start_with_env(program, args, std::iter::empty::<(OsString, OsString)>(), output)
    }

    /// Starts a program with additional environment variables.
    pub fn start_with_env<A: AsRef<OsStr>, K: AsRef<OsStr>, V: AsRef<OsStr>>(
        program: &Path,
        args: impl IntoIterator<Item = A>,
        env: impl IntoIterator<Item = (K, V)>,
        output: &Path,
    ) -> Result<Self, ProcessError> {
        let start = || -> io::Result<Child> {
            let out = File::options().create(true).append(true).open(output)?;
            let err = out.try_clone()?;
            Command::new(program)
                .args(args)
                .envs(env)
                .stdin(Stdio::null())
                .stdout(out)
                .stderr(err)
                .spawn()
        };
        match start() {
            Ok(child) => Ok(Self { child, program: program.to_owned(), output: output.to_owned() }),
            Err(source) => Err(ProcessError::Start { program: program.to_owned(), source }),
        }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the child has written so far.
    pub fn output(&self) -> String {
        std::fs::read(&self.output)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_else(|e| format!("(unreadable output: {e})"))
    }

    /// How the child ended, if it has.
    pub fn status(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        self.child
            .try_wait()
            .map_err(|source| ProcessError::Control { program: self.program.clone(), source })
    }

    /// Kills the child and waits for its end.
    pub fn kill9(&mut self) -> Result<ExitStatus, ProcessError> {
        let control = |source| ProcessError::Control { program: self.program.clone(), source };
        self.child.kill().map_err(control)?;
        self.child.wait().map_err(control)
    }

    /// Asks the child to stop.
    pub fn sigterm(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGTERM)
    }

    /// Freezes the child.
    pub fn sigstop(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen child go on.
    pub fn sigcont(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGCONT)
    }

    /// Waits for the end of the child.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.status()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(self.timeout("to end", limit));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the child has written a file, such as that of `--addr-file`, and reads it.
    pub async fn wait_for_file(
        &mut self,
        path: &Path,
        limit: Duration,
    ) -> Result<String, ProcessError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(text) = std::fs::read_to_string(path) {
                return Ok(text);
            }
            if let Some(status) = self.status()? {
                let (program, output) = (self.program.clone(), self.output());
                return Err(ProcessError::Ended { program, status, output });
            }
            if Instant::now() >= deadline {
                return Err(self.timeout(&format!("to write `{}`", path.display()), limit));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn signal(&mut self, signal: Signal) -> Result<(), ProcessError> {
        if let Some(status) = self.status()? {
            let (program, output) = (self.program.clone(), self.output());
            return Err(ProcessError::Ended { program, status, output });
        }
        // Process ids fit in an i32 on every Unix system.
        kill(Pid::from_raw(self.child.id() as i32), signal)
            .map_err(|e| ProcessError::Control { program: self.program.clone(), source: e.into() })
    }

    fn timeout(&self, what: &str, limit: Duration) -> ProcessError {
        ProcessError::Timeout {
            program: self.program.clone(),
            what: what.to_owned(),
            limit,
            output: self.output(),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the child has ended and was reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

//! Child processes for tests, with signals, captured output and cleanup on drop.
//!
//! Architecture Invariant: a child never outlives its handle, also when a test panics. Signals are
//! sent only to a child that has not been reaped, since its process id may be reused afterwards.

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

/// Polling interval for the exit status and for files.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of a child process; dropping it kills and reaps the child.
#[derive(Debug)]
pub struct Process {
    child: Child,
    program: PathBuf,
    output: PathBuf,
}

/// Error of starting, signalling or waiting for a child process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The output file could not be opened, or the program could not be started.
    #[error("cannot start `{program}`: {source}")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The child could not be signalled or waited for.
    #[error("cannot signal or wait for `{program}`: {source}")]
    Control {
        /// Path of the program.
        program: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The child has already exited.
    #[error("`{program}` exited ({status}); output:\n{output}")]
    Exited {
        /// Path of the program.
        program: PathBuf,
        /// Exit status.
        status: ExitStatus,
        /// Contents of its output file.
        output: String,
    },
    /// A wait reached its time limit.
    #[error("timed out after {limit:?} waiting for `{program}` {what}; output:\n{output}")]
    Timeout {
        /// Path of the program.
        program: PathBuf,
        /// Expected action, such as `to end`.
        what: String,
        /// Time limit of the wait.
        limit: Duration,
        /// Contents of its output file.
        output: String,
    },
}

impl Process {
    /// Starts a program; its stdout and stderr are appended to the output file.
    pub fn start<A: AsRef<OsStr>>(
        program: &Path,
        args: impl IntoIterator<Item = A>,
        output: &Path,
    ) -> Result<Self, ProcessError> {
        Self::start_with_env(program, args, std::iter::empty::<(OsString, OsString)>(), output)
    }

    /// Like `start`, with additional environment variables.
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

    /// Contents of the output file so far.
    pub fn output(&self) -> String {
        std::fs::read(&self.output)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_else(|e| format!("(unreadable output: {e})"))
    }

    /// Exit status of the child, if it has exited; reaps it.
    pub fn status(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        self.child
            .try_wait()
            .map_err(|source| ProcessError::Control { program: self.program.clone(), source })
    }

    /// Sends SIGKILL and waits for the child to exit.
    pub fn kill(&mut self) -> Result<ExitStatus, ProcessError> {
        let control = |source| ProcessError::Control { program: self.program.clone(), source };
        self.child.kill().map_err(control)?;
        self.child.wait().map_err(control)
    }

    /// Sends SIGTERM.
    pub fn sigterm(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGTERM)
    }

    /// Suspends the child with SIGSTOP.
    pub fn sigstop(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended child with SIGCONT.
    pub fn sigcont(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGCONT)
    }

    /// Waits for the child to exit.
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

    /// Waits until the child has created a file, such as that of `--addr-file`, and reads it.
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
                return Err(ProcessError::Exited { program, status, output });
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
            return Err(ProcessError::Exited { program, status, output });
        }
        // Process ids fit into an `i32` on every Unix system.
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
        // Both calls fail only if the child has already been reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

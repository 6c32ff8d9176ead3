//! One program as a process.

use std::collections::VecDeque;
use std::ffi::OsString;
use std::fmt::Display;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use eyre::{WrapErr, bail, eyre};
use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;

use super::wait::{BOUND, wait_for};

/// Lines of its output that are kept for a report.
const KEPT_LINES: usize = 200;

/// The word by which the developers' program runs the shipped one.
pub const SHIPPED: &str = "chervilring";

/// A program and its arguments.
#[derive(Debug, Clone)]
pub struct Program {
    name: String,
    binary: PathBuf,
    arguments: Vec<OsString>,
}

/// Where a process listens, as it prints it.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Listening {
    http: SocketAddr,
    peer: Option<SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct Line {
    listening: Listening,
}

impl Program {
    /// Creates the call of a subcommand of the developers' program at `binary`.
    pub fn stand_in(binary: &Path, name: &str, subcommand: &str) -> Self {
        Self {
            name: name.to_owned(),
            binary: binary.to_owned(),
            arguments: vec![subcommand.into()],
        }
    }

    /// Creates the call of a subcommand of the shipped program, which the developers' program at
    /// `binary` holds.
    pub fn shipped(binary: &Path, name: &str, subcommand: &str) -> Self {
        Self {
            name: name.to_owned(),
            binary: binary.to_owned(),
            arguments: vec![SHIPPED.into(), subcommand.into()],
        }
    }

    /// Adds a flag with its value.
    pub fn flag(mut self, flag: &str, value: impl Display) -> Self {
        self.arguments.push(format!("--{flag}").into());
        self.arguments.push(value.to_string().into());
        self
    }

    /// Adds an argument.
    pub fn argument(mut self, argument: impl Into<OsString>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// Starts the program and does not wait until it listens.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started.
    pub fn spawn(&self) -> eyre::Result<Process> {
        let mut child = self
            .command()
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{} cannot be started", self.name))?;
        let lines = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            keep_lines(stderr, Arc::clone(&lines));
        }
        let kept = Arc::clone(&lines);
        let stdout = child.stdout.take();
        let address = stdout.map(|s| Mutex::new(read_output(s, kept)));
        Ok(Process {
            name: self.name.clone(),
            child,
            address,
            listening: None,
            lines,
        })
    }

    /// Starts the program and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started or does not listen in time.
    pub fn start(&self) -> eyre::Result<Process> {
        let mut process = self.spawn()?;
        process.listen()?;
        Ok(process)
    }

    /// Runs the program to its end and returns its exit code and standard output.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started or was ended by a signal.
    pub fn run(&self) -> eyre::Result<(i32, String, String)> {
        let output = self.command().output()?;
        let Some(code) = output.status.code() else {
            bail!("{} was ended by a signal", self.name);
        };
        let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
        Ok((code, text(&output.stdout), text(&output.stderr)))
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.binary);
        command.args(&self.arguments).stdin(Stdio::null());
        // Settings of the surroundings must not reach the processes under test.
        for (name, _) in std::env::vars_os() {
            if name.to_string_lossy().starts_with("CHERVILRING_") {
                command.env_remove(name);
            }
        }
        command
    }
}

/// A running process. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    /// Brings where the process listens; locked so that threads can share the process.
    address: Option<Mutex<Receiver<Listening>>>,
    listening: Option<Listening>,
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl Process {
    /// Waits until the process listens.
    ///
    /// # Errors
    ///
    /// Returns an error with its last log lines when it ends or does not listen in time.
    pub fn listen(&mut self) -> eyre::Result<()> {
        let Some(address) = self.address.take() else {
            return Ok(());
        };
        let address = address.into_inner().unwrap_or_else(PoisonError::into_inner);
        let listening = address
            .recv_timeout(BOUND)
            .map_err(|_| eyre!("{} does not listen:\n{}", self.name, self.log()))?;
        self.listening = Some(listening);
        Ok(())
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the HTTP address as `host:port`; empty before the process listens.
    pub fn http(&self) -> String {
        let listening = self.listening.as_ref();
        listening.map(|l| l.http.to_string()).unwrap_or_default()
    }

    /// Returns the base URL; empty before the process listens.
    pub fn url(&self) -> String {
        let listening = self.listening.as_ref();
        listening
            .map(|l| format!("http://{}", l.http))
            .unwrap_or_default()
    }

    /// Returns the address for peers and agents.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.listening.as_ref()?.peer
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to stop (`SIGTERM`).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Pauses the process (`SIGSTOP`).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets the process go on (`SIGCONT`).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process (`SIGKILL`) and does not wait.
    pub fn kill_soon(&self) {
        self.signal(Signal::KILL);
    }

    /// Kills the process (`SIGKILL`) and waits until it is gone.
    pub fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether connections to the process are taken.
    pub fn is_listening(&self) -> bool {
        let listening = self.listening.as_ref();
        listening.is_some_and(|l| TcpStream::connect(l.http).is_ok())
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error with its last log lines when it runs on past `bound`.
    pub fn wait(&mut self, bound: Duration) -> eyre::Result<ExitStatus> {
        let what = format!("{} ends", self.name);
        let child = &mut self.child;
        let ended = wait_for(&what, bound, || child.try_wait().ok().flatten());
        ended.wrap_err_with(|| self.log())
    }

    /// Returns the last lines of its log.
    pub fn log(&self) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        lines.join("\n")
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // An error means that it has ended already; its id is not reused before it is waited
            // for.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads standard output: where the process listens is sent on, the log lines are kept.
fn read_output(stdout: ChildStdout, kept: Arc<Mutex<VecDeque<String>>>) -> Receiver<Listening> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            match serde_json::from_str::<Line>(&line) {
                // Nobody may be waiting any more.
                Ok(Line { listening }) => drop(sender.send(listening)),
                Err(_) => keep(&kept, line),
            }
        }
    });
    receiver
}

/// Keeps the last lines of standard error.
fn keep_lines(stderr: ChildStderr, kept: Arc<Mutex<VecDeque<String>>>) {
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            keep(&kept, line);
        }
    });
}

fn keep(kept: &Mutex<VecDeque<String>>, line: String) {
    let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
    if kept.len() == KEPT_LINES {
        kept.pop_front();
    }
    kept.push_back(line);
}

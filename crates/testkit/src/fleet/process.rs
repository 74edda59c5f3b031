use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal};
use tokio::process::{Child, Command};

/// Interval for polling the state of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of log lines included in error messages.
const TAIL_LINES: usize = 20;

/// CPU time and memory used by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU time in user and kernel mode since the process started.
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Usage of a process up to now.
    ///
    /// # Errors
    /// Returns an error if the process is not running.
    pub fn of(pid: Pid) -> io::Result<Self> {
        let stat = read_proc_stat(pid)?;
        let hertz = rustix::param::clock_ticks_per_second().max(1);
        let page = rustix::param::page_size() as u64;
        Ok(Self {
            cpu_time: Duration::from_millis(stat.cpu_ticks * 1000 / hertz),
            resident_bytes: stat.resident_pages * page,
        })
    }
}

/// A child process that runs a subcommand of the daemon's program and writes its output to a file.
pub struct Process {
    /// Subcommand to run. It is given a settings file with `--config`.
    subcommand: &'static str,
    log_path: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Creates a process without starting it.
    #[must_use]
    pub fn new(subcommand: &'static str, log_path: PathBuf) -> Self {
        Self {
            subcommand,
            log_path,
            child: None,
        }
    }

    /// Starts the program.
    ///
    /// # Errors
    /// Returns an error if it is already running or can't be started.
    pub fn spawn(&mut self, program: &Path, config: &Path) -> io::Result<()> {
        if self.is_running() {
            return Err(io::Error::other("the process is already running"));
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let child = Command::new(program)
            .arg(self.subcommand)
            .arg("--config")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.display())))?;
        self.child = Some(child);
        Ok(())
    }

    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Process id, or `None` once the exit status has been read. The id therefore never belongs to
    /// another process.
    pub(crate) fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref()?.id()?;
        Pid::from_raw(i32::try_from(id).ok()?)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Returns an error if the process is not running.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.pid().ok_or_else(not_running)?;
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    /// Pauses the process with SIGSTOP. Returns once it has stopped.
    pub(crate) async fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let pid = self.pid().ok_or_else(not_running)?;
        while !matches!(read_proc_stat(pid)?.state, 'T' | 'Z') {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Whether the process was started and its exit status was not taken yet.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the exit status if the process has exited. Later calls return `None`.
    ///
    /// # Errors
    /// Returns an error if the state of the process can't be read.
    pub fn take_exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process, if it was started, and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error if it can't be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        match self.child.take() {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// Returns an error if it was not started or its exit status was already taken.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.as_mut().ok_or_else(not_running)?.wait().await
    }

    pub(crate) fn usage(&self) -> io::Result<Usage> {
        Usage::of(self.pid().ok_or_else(not_running)?)
    }

    pub(crate) fn log(&self) -> String {
        let read = File::open(&self.log_path).and_then(io::read_to_string);
        read.unwrap_or_default()
    }

    /// Returns the last lines of the log.
    pub(crate) fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }
}

fn not_running() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "the process is not running")
}

struct ProcStat {
    state: char,
    cpu_ticks: u64,
    resident_pages: u64,
}

/// Reads `/proc/<pid>/stat`, see proc(5).
fn read_proc_stat(pid: Pid) -> io::Result<ProcStat> {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero()))?;
    let malformed = || io::Error::new(io::ErrorKind::InvalidData, "malformed /proc stat");
    // The second field is the program's name in parentheses. The name may itself contain spaces
    // and parentheses.
    let (_, rest) = text.rsplit_once(") ").ok_or_else(malformed)?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let number = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<u64>().ok())
    };
    let state = fields.first().and_then(|field| field.chars().next());
    let cpu_ticks = number(11)
        .zip(number(12))
        .map(|(user, system)| user + system);
    Ok(ProcStat {
        state: state.ok_or_else(malformed)?,
        cpu_ticks: cpu_ticks.ok_or_else(malformed)?,
        resident_pages: number(21).ok_or_else(malformed)?,
    })
}

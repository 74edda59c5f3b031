use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal};
use tokio::process::{Child, Command};

/// Time between two looks at a state that offers no event.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Lines of a log that an error shows.
const TAIL_LINES: usize = 20;

/// Processor time and memory of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and kernel mode since its start.
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Usage of a child process until now.
    ///
    /// # Errors
    /// The process does not run.
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

/// A child process of the daemon's program, whose output goes to a file.
pub struct Process {
    /// Subcommand, which takes a settings file.
    subcommand: &'static str,
    log_path: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A process that is not started yet.
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
    /// It runs already, or can't be started.
    pub fn spawn(&mut self, program: &Path, config: &Path) -> io::Result<()> {
        if self.is_running() {
            return Err(io::Error::other("the process runs already"));
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

    /// Process id, `None` once the exit was seen, so that no other process can have it.
    pub(crate) fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref()?.id()?;
        Pid::from_raw(i32::try_from(id).ok()?)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process does not run.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.pid().ok_or_else(not_running)?;
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    /// Stops the process and returns once it stands still.
    pub(crate) async fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let pid = self.pid().ok_or_else(not_running)?;
        while !matches!(read_proc_stat(pid)?.state, 'T' | 'Z') {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Whether it was started and its exit was not taken.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// The exit status, once, if the process has ended.
    ///
    /// # Errors
    /// The state of the process can't be read.
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

    /// Kills the process, if it was started, and waits for its end.
    ///
    /// # Errors
    /// It can't be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        match self.child.take() {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    /// The process does not run.
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

    /// Last lines of the log.
    pub(crate) fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }
}

fn not_running() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "the process does not run")
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
    // The second field is the program's name, which may contain spaces and brackets.
    let (_, rest) = text.rsplit_once(") ").ok_or_else(malformed)?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let number = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok());
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

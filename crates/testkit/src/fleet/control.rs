use std::io;
use std::process::ExitStatus;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use tokio::time::Instant;

use super::Fleet;
use super::builder::merge_json;
use super::process::Usage;
use crate::client::Call;
use crate::platform::VmState;

/// Interval for polling an admin address or a log.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Fleet {
    /// Adds all VMs to the VM list as live, starts their daemons and waits until all are ready.
    ///
    /// # Errors
    /// Returns an error if a daemon can't be started, exits, or is not ready in time.
    pub async fn launch_all(&mut self) -> io::Result<()> {
        // All VMs are listed before the first daemon starts, because each change of the list moves
        // targets between VMs.
        for name in self.names() {
            self.add_to_vm_list(&name);
        }
        for name in self.names() {
            self.spawn(&name)?;
        }
        for name in self.names() {
            self.wait_ready(&name).await?;
        }
        Ok(())
    }

    /// Adds a VM to the VM list as live, starts its daemon and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if the daemon can't be started, exits, or is not ready in time.
    pub async fn launch(&mut self, name: &str) -> io::Result<()> {
        self.add_to_vm_list(name);
        self.spawn(name)?;
        self.wait_ready(name).await
    }

    /// Starts a daemon without waiting until it is ready.
    ///
    /// # Errors
    /// Returns an error if the daemon can't be started or is already running.
    pub fn spawn(&mut self, name: &str) -> io::Result<()> {
        let binary = self.cfg.binary.clone();
        self.vm_mut(name).spawn(&binary)?;
        for proxy in self.peer_proxies_to(name) {
            proxy.accept_connections();
        }
        Ok(())
    }

    /// Waits until `GET /readyz` on a daemon's admin address returns 200.
    ///
    /// # Errors
    /// Returns an error with the end of the daemon's log if it exits or is not ready in time.
    pub async fn wait_ready(&mut self, name: &str) -> io::Result<()> {
        let client = self.admin_client(name);
        let deadline = Instant::now() + self.cfg.ready_timeout;
        loop {
            let call = Call::get("/readyz").timeout(Duration::from_secs(1));
            let response = client.call(call).await;
            if response.is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            let process = &mut self.vm_mut(name).process;
            let problem = if !process.is_running() {
                "ended"
            } else if Instant::now() > deadline {
                "is not ready in time"
            } else {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let log_tail = process.log_tail();
            let message = format!("{name} {problem}, its log:\n{log_tail}");
            return Err(io::Error::other(message));
        }
    }

    /// Kills a daemon with SIGKILL and waits until it has exited. Its entry in the VM list stays.
    ///
    /// # Errors
    /// Returns an error if the daemon is not running.
    pub async fn kill(&mut self, name: &str) -> io::Result<()> {
        let process = &mut self.vm_mut(name).process;
        process.signal(Signal::KILL)?;
        process.wait().await?;
        for proxy in self.peer_proxies_to(name) {
            proxy.refuse_connections().await;
        }
        Ok(())
    }

    /// Pauses a daemon with SIGSTOP. Returns once it has stopped.
    ///
    /// # Errors
    /// Returns an error if the daemon is not running.
    pub async fn pause(&self, name: &str) -> io::Result<()> {
        self.vm(name).process.pause().await
    }

    /// Resumes a paused daemon with SIGCONT.
    ///
    /// # Errors
    /// Returns an error if the daemon is not running.
    pub fn resume(&self, name: &str) -> io::Result<()> {
        self.vm(name).process.signal(Signal::CONT)
    }

    /// Sends SIGTERM to a daemon without waiting for its exit, see [`wait_exit`](Self::wait_exit).
    ///
    /// # Errors
    /// Returns an error if the daemon is not running.
    pub fn terminate(&self, name: &str) -> io::Result<()> {
        self.vm(name).process.signal(Signal::TERM)
    }

    /// Waits until a daemon has exited.
    ///
    /// # Errors
    /// Returns an error if the daemon was never started or does not exit in time.
    pub async fn wait_exit(&mut self, name: &str, timeout: Duration) -> io::Result<ExitStatus> {
        let process = &mut self.vm_mut(name).process;
        if let Ok(status) = tokio::time::timeout(timeout, process.wait()).await {
            return status;
        }
        let message = format!(
            "{name} did not exit in time, its log:\n{}",
            process.log_tail()
        );
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    }

    /// Restarts a daemon with the same addresses and waits until it is ready. If it is still
    /// running, it is killed first.
    ///
    /// # Errors
    /// Returns an error if the daemon can't be started, exits, or is not ready in time.
    pub async fn restart(&mut self, name: &str) -> io::Result<()> {
        if self.is_running(name) {
            self.kill(name).await?;
        }
        self.launch(name).await
    }

    /// Sets a field in the settings of one daemon. It takes effect at the next start or reload.
    /// Objects are merged.
    pub fn set_setting(&mut self, name: &str, field: &str, value: Value) {
        let settings = &mut self.vm_mut(name).settings;
        merge_json(settings.entry(field).or_insert(Value::Null), value);
    }

    /// Writes a daemon's settings and sends it SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the settings can't be written or the daemon is not running.
    pub fn reload(&self, name: &str) -> io::Result<()> {
        self.vm(name).write_settings()?;
        self.vm(name).process.signal(Signal::HUP)
    }

    /// Whether a daemon is running, including while it is paused.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.vm_mut(name).process.is_running()
    }

    /// CPU time and memory used by a daemon.
    ///
    /// # Errors
    /// Returns an error if the daemon is not running.
    pub fn usage(&self, name: &str) -> io::Result<Usage> {
        self.vm(name).process.usage()
    }

    /// Standard output and standard error of a daemon, over all its starts.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        self.vm(name).process.log()
    }

    /// Waits until the log of a daemon contains `text`.
    ///
    /// # Errors
    /// Returns an error if the text does not appear in time.
    pub async fn wait_for_log(&self, name: &str, text: &str, timeout: Duration) -> io::Result<()> {
        let text_found = async {
            while !self.log(name).contains(text) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, text_found)
            .await
            .map_err(|_| {
                let log_tail = self.vm(name).process.log_tail();
                io::Error::other(format!("no {text:?} in the log of {name}:\n{log_tail}"))
            })
    }

    /// Adds a VM to the VM list as live, or marks it as live.
    pub fn add_to_vm_list(&self, name: &str) {
        self.platform
            .vms
            .upsert(self.vm(name).vm_entry(VmState::Live));
    }

    /// Marks a VM as leaving in the VM list. Adds it if it is not listed.
    pub fn mark_leaving_in_vm_list(&self, name: &str) {
        self.platform
            .vms
            .upsert(self.vm(name).vm_entry(VmState::Leaving));
    }

    /// Removes a VM from the VM list.
    pub fn remove_from_vm_list(&self, name: &str) {
        self.platform.vms.remove(name);
    }
}

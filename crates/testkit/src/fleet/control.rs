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

/// Time between two polls of an admin address or a log.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Fleet {
    /// Lists all VMs as live, starts their daemons and waits until all are ready.
    ///
    /// # Errors
    /// A daemon can't be started, ends or is not ready in time.
    pub async fn launch_all(&mut self) -> io::Result<()> {
        // All are listed before the first one starts: each change of the list moves targets.
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

    /// Lists a VM as live, starts its daemon and waits until it is ready.
    ///
    /// # Errors
    /// The daemon can't be started, ends or is not ready in time.
    pub async fn launch(&mut self, name: &str) -> io::Result<()> {
        self.add_to_vm_list(name);
        self.spawn(name)?;
        self.wait_ready(name).await
    }

    /// Starts a daemon without waiting for it.
    ///
    /// # Errors
    /// The daemon can't be started or runs already.
    pub fn spawn(&mut self, name: &str) -> io::Result<()> {
        let binary = self.cfg.binary.clone();
        self.vm_mut(name).spawn(&binary)?;
        for proxy in self.peer_proxies_to(name) {
            proxy.accept_connections();
        }
        Ok(())
    }

    /// Waits until `GET /readyz` of a daemon answers 200.
    ///
    /// # Errors
    /// The daemon ends or is not ready in time. The message holds the end of its log.
    pub async fn wait_ready(&mut self, name: &str) -> io::Result<()> {
        let client = self.admin_client(name);
        let deadline = Instant::now() + self.cfg.ready_timeout;
        loop {
            let call = Call::get("/readyz").timeout(Duration::from_secs(1));
            let answer = client.call(call).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
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

    /// Kills a daemon by SIGKILL and waits for its end. Its row in the VM list stays.
    ///
    /// # Errors
    /// The daemon does not run.
    pub async fn kill(&mut self, name: &str) -> io::Result<()> {
        let process = &mut self.vm_mut(name).process;
        process.signal(Signal::KILL)?;
        process.wait().await?;
        for proxy in self.peer_proxies_to(name) {
            proxy.refuse_connections().await;
        }
        Ok(())
    }

    /// Stops a daemon by SIGSTOP and returns once it stands still.
    ///
    /// # Errors
    /// The daemon does not run.
    pub async fn pause(&self, name: &str) -> io::Result<()> {
        self.vm(name).process.pause().await
    }

    /// Continues a paused daemon by SIGCONT.
    ///
    /// # Errors
    /// The daemon does not run.
    pub fn resume(&self, name: &str) -> io::Result<()> {
        self.vm(name).process.signal(Signal::CONT)
    }

    /// Asks a daemon by SIGTERM to end. See [`wait_exit`](Self::wait_exit).
    ///
    /// # Errors
    /// The daemon does not run.
    pub fn terminate(&self, name: &str) -> io::Result<()> {
        self.vm(name).process.signal(Signal::TERM)
    }

    /// Waits for the end of a daemon.
    ///
    /// # Errors
    /// The daemon was never started or does not end in time.
    pub async fn wait_exit(&mut self, name: &str, timeout: Duration) -> io::Result<ExitStatus> {
        let process = &mut self.vm_mut(name).process;
        if let Ok(status) = tokio::time::timeout(timeout, process.wait()).await {
            return status;
        }
        let message = format!("{name} did not end, its log:\n{}", process.log_tail());
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    }

    /// Starts a daemon again with the same addresses and waits until it is ready. A daemon that
    /// still runs is killed before.
    ///
    /// # Errors
    /// The daemon can't be started, ends or is not ready in time.
    pub async fn restart(&mut self, name: &str) -> io::Result<()> {
        if self.is_running(name) {
            self.kill(name).await?;
        }
        self.launch(name).await
    }

    /// Sets a field of one daemon's settings, in force at its next start or reload. Objects are
    /// merged.
    pub fn set_setting(&mut self, name: &str, field: &str, value: Value) {
        let settings = &mut self.vm_mut(name).settings;
        merge_json(settings.entry(field).or_insert(Value::Null), value);
    }

    /// Writes a daemon's settings and sends it SIGHUP.
    ///
    /// # Errors
    /// The settings can't be written or the daemon does not run.
    pub fn reload(&self, name: &str) -> io::Result<()> {
        self.vm(name).write_settings()?;
        self.vm(name).process.signal(Signal::HUP)
    }

    /// Whether a daemon runs, paused or not.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.vm_mut(name).process.is_running()
    }

    /// Processor time and memory of a daemon.
    ///
    /// # Errors
    /// The daemon does not run.
    pub fn usage(&self, name: &str) -> io::Result<Usage> {
        self.vm(name).process.usage()
    }

    /// Standard error of a daemon over all its starts.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        self.vm(name).process.log()
    }

    /// Waits until the log of a daemon contains a text.
    ///
    /// # Errors
    /// The text does not come in time.
    pub async fn wait_for_log(&self, name: &str, text: &str, timeout: Duration) -> io::Result<()> {
        let seen = async {
            while !self.log(name).contains(text) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, seen).await.map_err(|_| {
            let log_tail = self.vm(name).process.log_tail();
            io::Error::other(format!("no {text:?} in the log of {name}:\n{log_tail}"))
        })
    }

    /// Lists a VM as live.
    pub fn add_to_vm_list(&self, name: &str) {
        self.platform.vms.upsert(self.vm(name).row(VmState::Live));
    }

    /// Lists a VM as leaving.
    pub fn mark_leaving_in_vm_list(&self, name: &str) {
        self.platform
            .vms
            .upsert(self.vm(name).row(VmState::Leaving));
    }

    /// Removes a VM from the list.
    pub fn remove_from_vm_list(&self, name: &str) {
        self.platform.vms.remove(name);
    }
}

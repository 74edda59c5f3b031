//! Harness that runs daemons as child processes against a stand-in platform.

mod builder;
mod control;
mod faults;
mod process;
mod vm;

pub use self::builder::{FleetBuilder, fast_timing};
pub use self::process::{Process, Usage};

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tempfile::TempDir;

use self::vm::{Vm, any_port};
use crate::client::Client;
use crate::platform::Platform;
use crate::proxy::Proxy;

/// A fleet of daemons with a stand-in platform and proxies between them.
///
/// The ports of a daemon stay reserved and refuse connections while it is down. The daemon must
/// listen on them with `SO_REUSEADDR`, the default in `tokio` and `std`.
///
/// Dropping the fleet kills all daemons that it started. If the test is panicking, it also prints
/// the last lines of each daemon's log.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// use serde_json::json;
/// use testkit::fleet::Fleet;
/// use testkit::{SheetBuilder, client::Call};
///
/// let mut fleet = Fleet::builder("target/debug/primrosechute")
///     .vms(3, &["zone-a", "zone-b"])
///     .peer_proxies()
///     .platform_proxies()
///     .setting("timing", json!({ "lease": "2s" }))
///     .start()
///     .await?;
/// let sheet = SheetBuilder::new("site");
/// fleet.platform().sheets.publish(sheet.revision(), sheet.csv());
/// fleet.launch_all().await?;
///
/// fleet.partition(&["vm-1"], &["vm-2", "vm-3"]);
/// let response = fleet.client("vm-1").call(Call::get("/v1/entries")).await;
/// fleet.heal();
/// fleet.kill("vm-2").await?;
/// fleet.remove_from_vm_list("vm-2");
/// fleet.restart("vm-2").await?;
/// # Ok(())
/// # }
/// ```
pub struct Fleet {
    platform: Platform,
    cfg: FleetBuilder,
    vms: BTreeMap<String, Vm>,
    /// Proxies from one daemon to the peer port of another, by the names of both VMs (from, to).
    peer_proxies: BTreeMap<(String, String), Proxy>,
    /// Proxies in front of targets, by target name.
    target_proxies: BTreeMap<String, Proxy>,
    dir: TempDir,
}

impl Fleet {
    /// Creates a builder for a fleet whose daemons run `binary serve --config FILE`.
    #[must_use]
    pub fn builder(binary: impl Into<PathBuf>) -> FleetBuilder {
        FleetBuilder::new(binary.into())
    }

    /// The stand-in platform.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Names of all VMs in alphabetical order.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.vms.keys().cloned().collect()
    }

    /// Adds a VM without starting its daemon.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_vm(&mut self, name: &str, zone: &str) -> io::Result<()> {
        let vm = Vm::new(name, zone, &self.cfg, &self.platform, self.dir.path()).await?;
        for other in self.vms.values() {
            for (from, to) in [(&vm, other), (other, &vm)] {
                let Some(view) = &from.view else { continue };
                let proxy = Proxy::start(any_port(), to.peer.addr()).await?;
                view.set_peer_addr(&to.name, proxy.addr());
                self.peer_proxies
                    .insert((from.name.clone(), to.name.clone()), proxy);
            }
        }
        self.vms.insert(name.to_owned(), vm);
        Ok(())
    }

    /// Inserts a proxy in front of a target. Returns the proxy's address, to be used in the sheet.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_target(&mut self, name: &str, addr: SocketAddr) -> io::Result<SocketAddr> {
        let proxy = Proxy::start(any_port(), addr).await?;
        let listen = proxy.addr();
        self.target_proxies.insert(name.to_owned(), proxy);
        Ok(listen)
    }

    /// Address on which the daemon of a VM accepts callers.
    #[must_use]
    pub fn entry_addr(&self, name: &str) -> SocketAddr {
        self.vm(name).entry.addr()
    }

    /// Admin address of the daemon of a VM.
    #[must_use]
    pub fn admin_addr(&self, name: &str) -> SocketAddr {
        self.vm(name).admin.addr()
    }

    /// Address on which the daemon of a VM accepts peers.
    #[must_use]
    pub fn peer_addr(&self, name: &str) -> SocketAddr {
        self.vm(name).peer.addr()
    }

    /// Creates a client for the address on which the daemon of a VM accepts callers.
    #[must_use]
    pub fn client(&self, name: &str) -> Client {
        Client::new(self.entry_addr(name))
    }

    /// Creates a client for the admin address of the daemon of a VM.
    #[must_use]
    pub fn admin_client(&self, name: &str) -> Client {
        Client::new(self.admin_addr(name))
    }

    /// Directory of the settings files and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    fn vm(&self, name: &str) -> &Vm {
        match self.vms.get(name) {
            Some(vm) => vm,
            None => panic!("there is no VM named {name:?}"),
        }
    }

    fn vm_mut(&mut self, name: &str) -> &mut Vm {
        match self.vms.get_mut(name) {
            Some(vm) => vm,
            None => panic!("there is no VM named {name:?}"),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for vm in self.vms.values() {
                eprintln!("--- log of {}\n{}", vm.name, vm.process.log_tail());
            }
        }
    }
}

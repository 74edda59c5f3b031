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

use self::vm::{Vm, any_loopback};
use crate::client::Client;
use crate::platform::Platform;
use crate::proxy::Proxy;

/// Daemons, their platform and the proxies between them.
///
/// The ports of a daemon stay reserved while it is down, and refuse connections. A daemon listens
/// on them with `SO_REUSEADDR`, the default of `tokio` and `std`.
///
/// Dropping it kills all daemons that it started. While a test panics, it prints the last lines of
/// each daemon's log.
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
/// let answer = fleet.client("vm-1").call(Call::get("/v1/entries")).await;
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
    /// Proxies from one daemon to the peer port of another, by both names.
    peer_proxies: BTreeMap<(String, String), Proxy>,
    /// Proxies before targets.
    target_proxies: BTreeMap<String, Proxy>,
    dir: TempDir,
}

impl Fleet {
    /// A builder of a fleet whose daemons run `binary serve --config FILE`.
    #[must_use]
    pub fn builder(binary: impl Into<PathBuf>) -> FleetBuilder {
        FleetBuilder::new(binary.into())
    }

    /// The platform.
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
    /// No port is free.
    pub async fn add_vm(&mut self, name: &str, zone: &str) -> io::Result<()> {
        let vm = Vm::new(name, zone, &self.cfg, &self.platform, self.dir.path()).await?;
        for other in self.vms.values() {
            for (from, to) in [(&vm, other), (other, &vm)] {
                let Some(view) = &from.view else { continue };
                let proxy = Proxy::start(any_loopback(), to.peer.addr()).await?;
                view.set_peer_addr(&to.name, proxy.addr());
                self.peer_proxies
                    .insert((from.name.clone(), to.name.clone()), proxy);
            }
        }
        self.vms.insert(name.to_owned(), vm);
        Ok(())
    }

    /// Puts a proxy before a target and returns its address, for the sheet.
    ///
    /// # Errors
    /// No port is free.
    pub async fn add_target(&mut self, name: &str, addr: SocketAddr) -> io::Result<SocketAddr> {
        let proxy = Proxy::start(any_loopback(), addr).await?;
        let listen = proxy.addr();
        self.target_proxies.insert(name.to_owned(), proxy);
        Ok(listen)
    }

    /// Address for callers of a VM.
    #[must_use]
    pub fn entry_addr(&self, name: &str) -> SocketAddr {
        self.vm(name).entry.addr()
    }

    /// Admin address of a VM.
    #[must_use]
    pub fn admin_addr(&self, name: &str) -> SocketAddr {
        self.vm(name).admin.addr()
    }

    /// Address that the daemon of a VM listens on for peers.
    #[must_use]
    pub fn peer_addr(&self, name: &str) -> SocketAddr {
        self.vm(name).peer.addr()
    }

    /// A client of a VM's entry.
    #[must_use]
    pub fn client(&self, name: &str) -> Client {
        Client::new(self.entry_addr(name))
    }

    /// A client of a VM's admin address.
    #[must_use]
    pub fn admin_client(&self, name: &str) -> Client {
        Client::new(self.admin_addr(name))
    }

    /// Folder of the settings and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    fn vm(&self, name: &str) -> &Vm {
        match self.vms.get(name) {
            Some(vm) => vm,
            None => panic!("no VM is named {name:?}"),
        }
    }

    fn vm_mut(&mut self, name: &str) -> &mut Vm {
        match self.vms.get_mut(name) {
            Some(vm) => vm,
            None => panic!("no VM is named {name:?}"),
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

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};

use super::builder::{FleetBuilder, merge_json};
use super::process::Process;
use crate::platform::{Platform, VmEntry, VmListView, VmState};
use crate::port::ReservedPort;
use crate::proxy::Proxy;

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A VM of a fleet: its addresses, its proxies to the platform and its daemon.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) entry: ReservedPort,
    pub(crate) admin: ReservedPort,
    pub(crate) peer: ReservedPort,
    /// Separate view of the VM list, present if there are proxies between daemons.
    pub(crate) view: Option<VmListView>,
    pub(crate) sheet_proxy: Option<Proxy>,
    pub(crate) list_proxy: Option<Proxy>,
    pub(crate) settings: Map<String, Value>,
    pub(crate) process: Process,
    config_service_addr: SocketAddr,
    list_addr: SocketAddr,
    settings_path: PathBuf,
}

impl Vm {
    pub(crate) async fn new(
        name: &str,
        zone: &str,
        cfg: &FleetBuilder,
        platform: &Platform,
        dir: &Path,
    ) -> io::Result<Self> {
        let view = if cfg.peer_proxies {
            Some(platform.vms.serve_view(any_port(), [].into())?)
        } else {
            None
        };
        let mut sheets = platform.sheets.addr();
        let mut list = view.as_ref().map_or(platform.vms.addr(), VmListView::addr);
        let (mut sheet_proxy, mut list_proxy) = (None, None);
        if cfg.platform_proxies {
            let proxy = sheet_proxy.insert(Proxy::start(any_port(), sheets).await?);
            sheets = proxy.addr();
            let proxy = list_proxy.insert(Proxy::start(any_port(), list).await?);
            list = proxy.addr();
        }
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            entry: ReservedPort::loopback()?,
            admin: ReservedPort::loopback()?,
            peer: ReservedPort::loopback()?,
            view,
            sheet_proxy,
            list_proxy,
            settings: cfg.settings.clone(),
            process: Process::new("serve", dir.join(format!("{name}.log"))),
            config_service_addr: sheets,
            list_addr: list,
            settings_path: dir.join(format!("{name}.json")),
        })
    }

    /// Entry of this VM for the VM list.
    pub(crate) fn vm_entry(&self, state: VmState) -> VmEntry {
        VmEntry {
            name: self.name.clone(),
            zone: self.zone.clone(),
            state,
            entry: self.entry.addr(),
            peer: self.peer.addr(),
        }
    }

    /// Writes the settings file of the daemon.
    pub(crate) fn write_settings(&self) -> io::Result<()> {
        let mut settings = json!({
            "vm": self.name,
            "zone": self.zone,
            "entry": self.entry.addr(),
            "admin": self.admin.addr(),
            "peer": self.peer.addr(),
            "sheet": { "service": self.config_service_addr },
            "vm_list": self.list_addr,
        });
        merge_json(&mut settings, Value::Object(self.settings.clone()));
        std::fs::write(&self.settings_path, serde_json::to_vec_pretty(&settings)?)
    }

    /// Writes the settings file and starts the daemon.
    pub(crate) fn spawn(&mut self, binary: &Path) -> io::Result<()> {
        self.write_settings()?;
        self.process.spawn(binary, &self.settings_path)
    }
}

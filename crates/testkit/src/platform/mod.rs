mod config;
mod vm_list;

pub use self::config::{ConfigService, ConfigServiceFault};
pub use self::vm_list::{VmEntry, VmList, VmListFault, VmListService, VmListView, VmState};

use std::io;
use std::net::SocketAddr;

/// Stand-in for the platform: the configuration service and the VM list.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// use testkit::{Platform, VmEntry, VmState};
///
/// let any = "127.0.0.1:0".parse().unwrap();
/// let platform = Platform::start(any, any).await?;
/// platform.sheets.publish(1, "kind,name\nsheet,site\n");
/// platform.vms.upsert(VmEntry {
///     name: "vm-1".into(),
///     zone: "zone-a".into(),
///     state: VmState::Live,
///     entry: "127.0.0.1:7001".parse().unwrap(),
///     peer: "127.0.0.1:7002".parse().unwrap(),
/// });
/// # Ok(())
/// # }
/// ```
pub struct Platform {
    /// Configuration service.
    pub sheets: ConfigService,
    /// VM list.
    pub vms: VmListService,
}

impl Platform {
    /// Starts both services.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound.
    pub async fn start(sheets: SocketAddr, vms: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            sheets: ConfigService::start(sheets).await?,
            vms: VmListService::start(vms).await?,
        })
    }
}

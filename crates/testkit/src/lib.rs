//! Stand-ins for the systems that a fleet depends on (engines, plain services, the platform), and
//! a harness that runs daemons against them.
//!
//! Every stand-in runs in-process on a tokio runtime. It has an address, records what it receives
//! and injects faults on request. The binary `standin` runs each stand-in as a separate process.

pub mod client;
mod engine;
pub mod fleet;
mod http_util;
pub mod measure;
mod platform;
mod port;
mod proxy;
mod server;
mod service;
mod sheet;

pub use engine::{
    Engine, EngineConfig, EngineStats, LoadReport, OrderKind, OrderRecord, RunEnd, RunRecord,
    expected_text,
};
pub use http_util::Headers;
pub use platform::{
    ConfigService, ConfigServiceFault, Platform, VmEntry, VmList, VmListFault, VmListService,
    VmListView, VmState,
};
pub use port::ReservedPort;
pub use proxy::{Direction, DirectionSettings, Proxy};
pub use service::{PlainService, ServiceCall, ServiceFault};
pub use sheet::{RouteRow, SheetBuilder, TargetRow};

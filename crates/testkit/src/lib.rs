//! Stand-ins for the outside of a fleet, and the harness that runs daemons against them.
//!
//! Every stand-in runs in-process on a tokio runtime and offers an address, recorded facts and
//! fault controls. The binary `standin` runs each as a process of its own.

pub mod client;
mod engine;
pub mod fleet;
mod host;
pub mod measure;
mod platform;
mod port;
mod proxy;
mod reply;
mod service;
mod sheet;

pub use engine::{
    End, Engine, EngineConfig, EngineStats, LoadReport, OrderKind, OrderRecord, RunRecord,
    answer_text,
};
pub use platform::{
    ConfigService, ListFault, Platform, SheetFault, VmEntry, VmList, VmListService, VmState, VmView,
};
pub use port::Port;
pub use proxy::{Link, Proxy, Side};
pub use reply::Headers;
pub use service::{PlainService, ServiceCall, ServiceFault};
pub use sheet::{RouteRow, SheetBuilder, TargetRow};

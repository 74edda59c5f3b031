//! Configuration of primrosechute: the planners' CSV sheet, and the settings
//! files of a daemon and of a member.
//!
//! This package does no I/O. A sheet is accepted as a whole or rejected as a whole.

#![forbid(unsafe_code)]

mod canon;
mod cell;
mod check;
mod column;
mod diff;
mod error;
mod lookup;
mod member;
mod model;
mod name;
mod parse;
mod read;
mod settings;
mod settings_error;
mod table;
mod units;

pub use diff::{KindDiff, SheetDiff};
pub use error::{MAX_ERRORS, SheetError, SheetFault};
pub use lookup::key_hash;
pub use member::{AllowedExcess, MemberPorts, MemberSettings, RetryBudget};
pub use model::{
    Access, ContentHash, Key, KeyState, Name, Pool, PoolKind, Route, Sheet, Target, TargetState,
    Tier, Workspace, Zone, ZoneState,
};
pub use parse::{MAX_ROWS, MAX_TIERS};
pub use read::MAX_SETTINGS_BYTES;
pub use settings::{Limits, Log, LogFormat, LogLevel, Policy, Settings, SheetSource, Timing};
pub use settings_error::{CheckError, SettingsError, SettingsFault};
pub use table::MAX_SHEET_BYTES;

//! Configuration of primrosechute: the CSV sheet that planners write, and the settings files of
//! daemons and members.
//!
//! This crate does no I/O. A sheet is accepted or rejected as a whole.

#![forbid(unsafe_code)]

mod canonical;
mod cell;
mod column;
mod diff;
mod error;
mod lookup;
mod member_settings;
mod model;
mod name;
mod settings;
mod settings_check;
mod settings_error;
mod settings_parse;
mod sheet_parse;
mod table;
mod units;

pub use diff::{KindDiff, SheetDiff};
pub use error::{MAX_ERRORS, SheetError, SheetFault};
pub use lookup::key_hash;
pub use member_settings::{AllowedExcess, MemberPorts, MemberSettings, RetryBudget};
pub use model::{
    Access, ContentHash, Key, KeyState, Name, Pool, PoolKind, Route, Sheet, Target, TargetState,
    Tier, Workspace, Zone, ZoneState,
};
pub use settings::{Limits, Log, LogFormat, LogLevel, Policy, Settings, SheetSource, Timing};
pub use settings_error::{CheckError, SettingsError, SettingsFault};
pub use settings_parse::MAX_SETTINGS_BYTES;
pub use sheet_parse::{MAX_ROWS, MAX_TIERS};
pub use table::MAX_SHEET_BYTES;

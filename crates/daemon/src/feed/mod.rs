//! Inputs of the daemon: sheet and VM list from the platform, load reports from targets.

mod http;
mod list;
mod load;
mod sheet;

pub(crate) use self::list::poll as poll_list;
pub(crate) use self::load::poll as poll_load;
pub(crate) use self::sheet::{follow as follow_sheet, read_file};

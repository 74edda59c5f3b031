//! What the daemon reads from the platform: the sheet and the VM list.

mod http;
mod list;
mod load;
mod sheet;

pub(crate) use self::list::poll as poll_list;
pub(crate) use self::load::poll as poll_load;
pub(crate) use self::sheet::{follow as follow_sheet, read_file};

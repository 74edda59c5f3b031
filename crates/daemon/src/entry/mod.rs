//! The entry role: accepts calls, obtains permits, runs requests on targets and relays their
//! responses.

mod admit;
mod baseline;
mod dispatch;
mod http;
mod permit;
mod rebuild;
mod relay;
mod response_buffer;
mod run;
mod suspect;
mod table;

pub(crate) use self::http::router;
pub(crate) use baseline::TokenBuckets;
pub(crate) use permit::return_permit;
pub(crate) use table::{RequestTable, random_incarnation};

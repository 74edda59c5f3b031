//! HTTP/1.1 client for tests, with support for server-sent events.

mod call;
mod conn;
mod response;
mod sse;

pub use self::call::Call;
pub use self::conn::{Client, ClientError, Connection};
pub use self::response::{ClientResponse, StreamingResponse};
pub use self::sse::{Event, EventParser};

//! HTTP/1.1 client for tests.

mod answer;
mod call;
mod conn;
mod sse;

pub use self::answer::{Answer, EventStream};
pub use self::call::Call;
pub use self::conn::{Client, ClientError, Connection};
pub use self::sse::{Event, EventParser};

//! Connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use log::debug;
use metrics::{counter, histogram};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::clock;

/// Connect timeout. Targets accept within milliseconds; a lost SYN is sent again only after a
/// second, so another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections are reused for at most this long, even if the target keeps them longer.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// A connection is not reused this close to the time at which its target closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 8;
/// Maximum size of the read buffer of a connection, and so of a response head.
const MAX_READ_BUFFER: usize = 16 * 1024;
/// Longest wait for the end of a connection whose end is that of a response. A target that has closed
/// its side in order may read the rest of the request for longer.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// TCP keepalive settings that detect a dead peer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// A connection to a target, used by one request at a time.
pub(crate) struct Upstream {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) address: SocketAddr,
    /// Whether it has served a request before.
    pub(crate) reused: bool,
    end: JoinHandle<Result<(), hyper::Error>>,
}

impl Upstream {
    /// Whether the connection ended without an error, after a response whose end is that of the
    /// connection. If the target closes it in order and then resets it, the response looks complete,
    /// and only the rest of the request, which can't be written, shows the reset.
    pub(crate) async fn has_ended_in_order(&mut self) -> bool {
        let Ok(ended) = timeout(END_TIMEOUT, &mut self.end).await else {
            return true;
        };
        let is_in_order = matches!(ended, Ok(Ok(())));
        if !is_in_order {
            counter!("primrosechute_damaged_responses_total", "reason" => "reset").increment(1);
        }
        is_in_order
    }
}

struct IdleConnection {
    upstream: Upstream,
    until: Duration,
}

#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Takes an idle connection that its target still keeps open, if there is one.
    pub(crate) fn take(&self, now: Duration, address: SocketAddr) -> Option<Upstream> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&address)?;
        while let Some(IdleConnection { upstream, until }) = idle.pop() {
            if now < until && upstream.sender.is_ready() {
                return Some(Upstream {
                    reused: true,
                    ..upstream
                });
            }
        }
        None
    }

    /// Keeps a connection for a later request.
    pub(crate) fn put(&self, now: Duration, upstream: Upstream, keep: Option<Duration>) {
        let keep = keep.map_or(MAX_IDLE_TIME, |keep| {
            keep.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME)
        });
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(upstream.address).or_default();
        if keep.is_zero() || upstream.sender.is_closed() || idle.len() >= MAX_IDLE_PER_TARGET {
            return;
        }
        idle.push(IdleConnection {
            upstream,
            until: now + keep,
        });
    }

    /// Closes idle connections that have expired.
    pub(crate) fn close_expired(&self, now: Duration) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now < idle.until && !idle.upstream.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// Opens a connection. No byte of a request is sent if this fails.
pub(crate) async fn connect(address: SocketAddr) -> Result<Upstream, &'static str> {
    let started_at = clock::now();
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            let took = clock::now().saturating_sub(started_at);
            histogram!("primrosechute_connect_seconds").record(took.as_secs_f64());
            stream
        }
        Ok(Err(err)) => {
            debug!("target: {address} can't be reached: {err}");
            counter!("primrosechute_connects_failed_total", "reason" => "refused").increment(1);
            return Err("refused");
        }
        Err(_) => {
            counter!("primrosechute_connects_failed_total", "reason" => "timeout").increment(1);
            return Err("connect timeout");
        }
    };
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    // Best effort: these only reduce latency and detect dead peers sooner.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&probes);
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| "handshake")?;
    let end = tokio::task::spawn_local(async move {
        let ended = conn.await;
        if let Err(err) = &ended {
            debug!("target: the connection to {address} failed: {err}");
        }
        ended
    });
    Ok(Upstream {
        sender,
        address,
        reused: false,
        end,
    })
}

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::http_util;
use crate::server::{ConnControl, HttpResponse, Server};

/// State of a VM in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// State of the VM.
    pub state: VmState,
    /// Address on which its daemon accepts callers.
    pub entry: SocketAddr,
    /// Address on which its daemon accepts peers.
    pub peer: SocketAddr,
}

/// The VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Version of the list, incremented by each change.
    pub generation: u64,
    /// Entries in the order in which they were added.
    pub vms: Vec<VmEntry>,
}

/// Fault of the VM list service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VmListFault {
    /// Serves the list with the configured lag.
    #[default]
    None,
    /// Serves the list that was visible when the fault was set, without later changes.
    Stale,
    /// Accepts calls and does not respond while the fault is set.
    Hang,
}

struct State {
    /// The list including changes that are not visible yet.
    latest: VmList,
    /// The list that readers get.
    visible: VmList,
    /// Lists that become visible later, each with the time at which it does, oldest first.
    pending: VecDeque<(Instant, VmList)>,
    lag: Duration,
}

impl State {
    fn advance(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.visible = list;
            }
        }
    }
}

struct Shared {
    state: Mutex<State>,
    fault: watch::Sender<VmListFault>,
    calls: AtomicU64,
}

/// Stand-in for the platform's VM list. Changes become visible after a configurable lag.
pub struct VmListService {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

impl VmListService {
    /// Starts the service on `addr`, with an empty list and no lag.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    #[expect(clippy::unused_async, reason = "needs a running tokio runtime")]
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                latest: VmList::default(),
                visible: VmList::default(),
                pending: VecDeque::new(),
                lag: Duration::ZERO,
            }),
            fault: watch::Sender::default(),
            calls: AtomicU64::new(0),
        });
        let state = Arc::clone(&shared);
        let peers = Arc::default();
        let server = Server::start(addr, move |req, _: ConnControl| {
            handle(Arc::clone(&state), req, Arc::clone(&peers))
        })?;
        Ok(Self { server, shared })
    }

    /// Address that the service listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds a VM, or replaces the entry with the same name.
    pub fn upsert(&self, vm: VmEntry) {
        self.update(|vms| match vms.iter_mut().find(|row| row.name == vm.name) {
            Some(row) => *row = vm,
            None => vms.push(vm),
        });
    }

    /// Changes the state of a VM.
    pub fn set_state(&self, name: &str, state: VmState) {
        self.update(|vms| {
            for row in vms.iter_mut().filter(|row| row.name == name) {
                row.state = state;
            }
        });
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &str) {
        self.update(|vms| vms.retain(|row| row.name != name));
    }

    /// Applies a change and increments the generation by one.
    pub fn update(&self, f: impl FnOnce(&mut Vec<VmEntry>)) {
        let now = Instant::now();
        let mut state = self.shared.state.lock();
        f(&mut state.latest.vms);
        state.latest.generation += 1;
        // Changes must become visible in order, even if the lag was shortened in between.
        let last = state.pending.back().map_or(now, |(at, _)| *at);
        let at = (now + state.lag).max(last);
        let changed = state.latest.clone();
        state.pending.push_back((at, changed));
    }

    /// Sets the time after which later changes become visible.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.state.lock().lag = lag;
    }

    /// Makes all pending changes visible immediately.
    pub fn flush(&self) {
        let mut state = self.shared.state.lock();
        state.pending.clear();
        state.visible = state.latest.clone();
    }

    /// The list with all changes, including those that are not visible yet.
    #[must_use]
    pub fn latest(&self) -> VmList {
        self.shared.state.lock().latest.clone()
    }

    /// Also serves the list on `addr`, with the peer addresses of the named VMs replaced.
    ///
    /// A daemon that reads the list from its own view can be given a separate proxy address for
    /// each peer, so that faults can be injected between any two daemons.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub fn serve_view(
        &self,
        addr: SocketAddr,
        peers: HashMap<String, SocketAddr>,
    ) -> io::Result<VmListView> {
        let shared = Arc::clone(&self.shared);
        let peers = Arc::new(Mutex::new(peers));
        let handler_peers = Arc::clone(&peers);
        let server = Server::start(addr, move |req, _: ConnControl| {
            handle(Arc::clone(&shared), req, Arc::clone(&handler_peers))
        })?;
        Ok(VmListView { server, peers })
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: VmListFault) {
        self.shared.state.lock().advance(Instant::now());
        self.shared.fault.send_replace(fault);
    }

    /// Number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Resets all connections and refuses new ones until [`restart`](Self::restart).
    pub async fn crash(&self) {
        self.server.crash().await;
    }

    /// Refuses new connections, finishes responses in progress for a short time, then closes the
    /// remaining connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Serves again on the same port, with the same list.
    ///
    /// # Errors
    /// Returns an error if the service can't listen on the port.
    pub fn restart(&self) -> io::Result<()> {
        self.server.restart()
    }
}

impl Drop for VmListService {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// The VM list served on another address, see [`VmListService::serve_view`].
pub struct VmListView {
    server: Arc<Server>,
    peers: Arc<PeerAddrs>,
}

type PeerAddrs = Mutex<HashMap<String, SocketAddr>>;

impl VmListView {
    /// Address that the view listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the peer address that this view reports for a VM.
    pub fn set_peer_addr(&self, name: &str, addr: SocketAddr) {
        self.peers.lock().insert(name.to_owned(), addr);
    }
}

impl Drop for VmListView {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    peers: Arc<PeerAddrs>,
) -> HttpResponse {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    if req.uri().path() != "/v1/vms" || req.method() != Method::GET {
        return http_util::error_response(StatusCode::NOT_FOUND, "only GET /v1/vms is served");
    }
    let mut fault = shared.fault.subscribe();
    let _ = fault.wait_for(|fault| *fault != VmListFault::Hang).await;
    let frozen = *shared.fault.borrow() == VmListFault::Stale;
    let mut list = {
        let mut state = shared.state.lock();
        if !frozen {
            state.advance(Instant::now());
        }
        state.visible.clone()
    };
    let peers = peers.lock();
    for row in &mut list.vms {
        row.peer = peers.get(&row.name).copied().unwrap_or(row.peer);
    }
    http_util::json_response(StatusCode::OK, &list)
}

mod api;
mod cache;
mod core;
mod load;
mod model;
mod run;
mod step;

pub use self::model::{
    EngineConfig, EngineStats, LoadReport, OrderKind, OrderRecord, RunEnd, RunRecord,
};
pub use self::run::expected_text;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

use self::core::{Core, CrashCause, Faults};
use crate::server::Server;

/// Stand-in for an inference engine with continuous batching.
///
/// It admits every request immediately. It crashes from overload when it is cold and more than
/// `cold_limit` runs admitted while cold are in flight: it resets all connections and restarts cold
/// after `restart_delay`. Runs admitted before it turned cold do not count, because no scheduler
/// can take them back.
///
/// ```no_run
/// # async fn example() -> std::io::Result<()> {
/// use testkit::{Engine, EngineConfig};
///
/// let cfg = EngineConfig { time_scale: 0.1, ..EngineConfig::default() };
/// let engine = Engine::start("127.0.0.1:0".parse().unwrap(), cfg).await?;
/// engine.turn_cold();
/// engine.wait_for(|stats| !stats.cold).await;
/// assert_eq!(engine.stats().overloads, 0);
/// # Ok(())
/// # }
/// ```
pub struct Engine {
    server: Arc<Server>,
    core: Arc<Core>,
    closed: CancellationToken,
}

impl Engine {
    /// Starts the engine on `addr`.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    #[expect(clippy::unused_async, reason = "needs a running tokio runtime")]
    pub async fn start(addr: SocketAddr, cfg: EngineConfig) -> io::Result<Self> {
        let core = Arc::new(Core::new(cfg));
        core.start_serving(core.cfg.start_cold);
        let shared = Arc::clone(&core);
        let server = Server::start(addr, move |req, conn| {
            api::handle(Arc::clone(&shared), req, conn)
        })?;
        let closed = CancellationToken::new();
        tokio::spawn(step::run_steps(Arc::clone(&core), closed.clone()));
        tokio::spawn(recover(
            Arc::clone(&core),
            Arc::clone(&server),
            closed.clone(),
        ));
        Ok(Self {
            server,
            core,
            closed,
        })
    }

    /// Address that the engine listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Current counters and state.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        *self.core.stats.borrow()
    }

    /// Waits until the counters and state satisfy a condition, and returns them.
    pub async fn wait_for(&self, condition: impl FnMut(&EngineStats) -> bool) -> EngineStats {
        let mut rx = self.core.stats.subscribe();
        // Never fails: the sender lives as long as `self`.
        match rx.wait_for(condition).await {
            Ok(stats) => *stats,
            Err(_) => self.stats(),
        }
    }

    /// Records of all runs, in the order in which they started.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        self.core.state.lock().records.clone()
    }

    /// Number of runs per request id.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for record in &self.core.state.lock().records {
            *runs.entry(record.request_id.clone()).or_default() += 1;
        }
        runs
    }

    /// Names of all headers seen in requests to any path, including rejected requests.
    #[must_use]
    pub fn header_names(&self) -> BTreeSet<String> {
        self.core.header_names.lock().clone()
    }

    /// All orders received, including rejected ones.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.core.state.lock().orders.clone()
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Makes the engine cold and empties its prefix cache. Callers can see this only in its load
    /// reports.
    pub fn turn_cold(&self) {
        self.core.turn_cold();
    }

    /// While set, the engine accepts connections but does not respond, and runs make no progress.
    pub fn set_stalled(&self, stalled: bool) {
        self.core.stalled.send_replace(stalled);
    }

    /// Multiplies the duration of all steps by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.core.state.lock().faults.slowdown = factor.max(0.0);
        self.core.replan.notify_one();
    }

    /// While set, the engine responds to new requests with status 503.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.core.state.lock().faults.unavailable = unavailable;
    }

    /// Makes the engine crash on every request whose body has this XXH3 hash, once its prompt is
    /// computed. `None` disables the fault.
    pub fn crash_on_body_hash(&self, hash: Option<u64>) {
        self.core.state.lock().faults.body_hash = hash;
    }

    /// Makes the engine crash on every request whose body contains this text, once its prompt is
    /// computed. `None` disables the fault.
    pub fn crash_on_marker(&self, marker: Option<&str>) {
        self.core.state.lock().faults.marker = marker.map(|text| text.as_bytes().to_vec());
    }

    /// Clears the faults `stalled`, `slowdown`, `unavailable` and both crash triggers.
    pub fn clear_faults(&self) {
        self.core.state.lock().faults = Faults::default();
        self.core.replan.notify_one();
        self.set_stalled(false);
    }

    /// Resets all connections and runs, and refuses new connections until
    /// [`restart`](Self::restart).
    pub async fn crash(&self) {
        self.core.interventions.fetch_add(1, Ordering::Relaxed);
        self.core.shut_down(Some(CrashCause::Requested));
        self.server.crash().await;
    }

    /// Refuses new connections, finishes responses in progress for a short time, then resets the
    /// remaining runs.
    pub async fn stop(&self) {
        self.core.interventions.fetch_add(1, Ordering::Relaxed);
        self.server.stop().await;
        self.core.shut_down(None);
    }

    /// Serves again on the same port, cold. Does nothing while the engine is up.
    ///
    /// # Errors
    /// Returns an error if the engine can't listen on the port.
    pub fn restart(&self) -> io::Result<()> {
        self.core.interventions.fetch_add(1, Ordering::Relaxed);
        restart(&self.core, &self.server)
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.closed.cancel();
        self.server.abort();
    }
}

fn restart(core: &Core, server: &Arc<Server>) -> io::Result<()> {
    if core.stats.borrow().up {
        return Ok(());
    }
    // The port is opened first, so that it accepts connections once `up` is set.
    server.restart()?;
    core.start_serving(true);
    Ok(())
}

/// Restarts the engine some time after each crash caused by a request, unless the test has crashed,
/// stopped or restarted it meanwhile.
async fn recover(core: Arc<Core>, server: Arc<Server>, closed: CancellationToken) {
    let work = async {
        loop {
            core.crashed.notified().await;
            let before = core.interventions.load(Ordering::Relaxed);
            server.crash().await;
            tokio::time::sleep(core.cfg.restart_delay.mul_f64(core.cfg.time_scale)).await;
            let after = core.interventions.load(Ordering::Relaxed);
            if before == after && restart(&core, &server).is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = closed.cancelled() => {}
        () = work => {}
    }
}

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::cache::{CacheEventLog, PrefixCache};
use super::load::LoadHistory;
use super::model::{EngineConfig, EngineStats, LoadReport, OrderRecord, RunEnd, RunRecord};
use super::run::{GenerationRequest, Run};
use crate::http_util::Headers;

/// Origin of the times in run records, shared by all engines of this process.
static CLOCK_ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Sequence number of the next run, over all engines of this process.
static NEXT_RUN_ORDER: AtomicU64 = AtomicU64::new(0);

/// Faults that stay active until they are cleared.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    pub(crate) slowdown: f64,
    pub(crate) unavailable: bool,
    pub(crate) body_hash: Option<u64>,
    pub(crate) marker: Option<Vec<u8>>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            unavailable: false,
            body_hash: None,
            marker: None,
        }
    }
}

/// A run that is part of the batch.
pub(crate) struct ActiveRun {
    pub(crate) run: Arc<Run>,
    pub(crate) prefill_left: u64,
    pub(crate) generated: u32,
    /// Prompt tokens that the current step computes for this run.
    pub(crate) planned_prefill: u64,
    /// Whether the current step generates a token for this run.
    pub(crate) decodes: bool,
    /// Whether the engine was cold at admission and has not been made cold again since.
    admitted_cold: bool,
    /// Whether this run crashes the engine once its prompt is computed.
    pub(crate) poison: bool,
}

pub(crate) struct State {
    pub(crate) active: Vec<ActiveRun>,
    runs: HashMap<String, Arc<Run>>,
    finished: VecDeque<Arc<Run>>,
    cache: PrefixCache,
    pub(crate) events: CacheEventLog,
    pub(crate) load: LoadHistory,
    pub(crate) records: Vec<RunRecord>,
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) faults: Faults,
    /// Highest fencing token accepted since the last start.
    pub(crate) fencing: u64,
    completed_since_cold: u64,
}

/// Why the engine crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashCause {
    /// More runs than the cold limit were in flight.
    Overload,
    /// A request matched a configured body hash or marker.
    Poison,
    /// The test called `Engine::crash`.
    Requested,
}

/// Result of admitting a request.
pub(crate) enum Admission {
    Run(Arc<Run>),
    /// The engine is down, or this request made it crash.
    Down,
}

pub(crate) struct Core {
    pub(crate) cfg: EngineConfig,
    pub(crate) state: Mutex<State>,
    pub(crate) stats: watch::Sender<EngineStats>,
    pub(crate) stalled: watch::Sender<bool>,
    /// Notified when a run is admitted.
    pub(crate) wake: Notify,
    /// Notified when a fault changes the duration of steps.
    pub(crate) replan: Notify,
    /// Names of all headers seen in any request.
    pub(crate) header_names: Mutex<BTreeSet<String>>,
    /// Notified when the engine crashes because of a request (overload or poison).
    pub(crate) crashed: Notify,
    /// Number of crashes, stops and restarts triggered by the test. Each one cancels an automatic
    /// restart in progress.
    pub(crate) interventions: AtomicU64,
}

impl Core {
    pub(crate) fn new(cfg: EngineConfig) -> Self {
        LazyLock::force(&CLOCK_ORIGIN);
        let state = State {
            active: Vec::new(),
            runs: HashMap::new(),
            finished: VecDeque::new(),
            cache: PrefixCache::new(cfg.cache_capacity),
            events: CacheEventLog::new(cfg.cache_event_lag, cfg.cache_event_loss_interval),
            load: LoadHistory::new(cfg.load_lag),
            records: Vec::new(),
            orders: Vec::new(),
            faults: Faults::default(),
            fencing: 0,
            completed_since_cold: 0,
        };
        Self {
            cfg,
            state: Mutex::new(state),
            stats: watch::Sender::default(),
            stalled: watch::Sender::new(false),
            wake: Notify::new(),
            replan: Notify::new(),
            header_names: Mutex::default(),
            crashed: Notify::new(),
            interventions: AtomicU64::new(0),
        }
    }

    /// Clears all state that does not survive a process restart, and marks the engine as up.
    pub(crate) fn start_serving(&self, cold: bool) {
        let mut state = self.state.lock();
        state.cache = PrefixCache::new(self.cfg.cache_capacity);
        state.load = LoadHistory::new(self.cfg.load_lag);
        state.runs.clear();
        state.finished.clear();
        state.fencing = 0;
        state.completed_since_cold = 0;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = unix.map_or(0, |unix| u64::try_from(unix.as_millis()).unwrap_or(0));
        self.stats.send_modify(|stats| {
            stats.start = millis.max(stats.start + 1);
            stats.up = true;
            stats.cold = cold;
        });
        self.record_load(&mut state);
    }

    /// Resets all runs and marks the engine as down. Returns whether it was up.
    pub(crate) fn shut_down(&self, cause: Option<CrashCause>) -> bool {
        let mut state = self.state.lock();
        self.shut_down_locked(&mut state, cause)
    }

    pub(crate) fn shut_down_locked(&self, state: &mut State, cause: Option<CrashCause>) -> bool {
        if !self.stats.borrow().up {
            return false;
        }
        for active in std::mem::take(&mut state.active) {
            self.finish(state, &active, RunEnd::Reset);
        }
        self.stats.send_modify(|stats| {
            stats.up = false;
            stats.running = 0;
            stats.tokens = 0;
            stats.crashes += u64::from(cause.is_some());
            stats.overloads += u64::from(cause == Some(CrashCause::Overload));
            stats.poisoned += u64::from(cause == Some(CrashCause::Poison));
        });
        if matches!(cause, Some(CrashCause::Overload | CrashCause::Poison)) {
            self.crashed.notify_one();
        }
        true
    }

    pub(crate) fn turn_cold(&self) {
        let mut state = self.state.lock();
        state.completed_since_cold = 0;
        state.cache = PrefixCache::new(self.cfg.cache_capacity);
        for active in &mut state.active {
            active.admitted_cold = false;
        }
        self.stats.send_modify(|stats| stats.cold = true);
        self.record_load(&mut state);
    }

    pub(crate) fn admit(
        &self,
        request: GenerationRequest,
        path: &str,
        headers: Headers,
        body: &[u8],
    ) -> Admission {
        let now = Instant::now();
        let mut state = self.state.lock();
        let current = *self.stats.borrow();
        if !current.up {
            return Admission::Down;
        }
        let mut changes = Vec::new();
        let cached = state.cache.lookup_and_store(body, &mut changes);
        for change in changes {
            state.events.push(now, change);
        }
        let cached = cached.min(request.prompt_tokens);
        let poison = is_poison(&state.faults, body, request.body_hash);
        let record = state.records.len();
        let in_flight = state.active.len() + 1;
        let workspace = headers.iter().find(|(name, _)| name.contains("workspace"));
        let workspace = workspace.map(|(_, value)| value.clone());
        state.records.push(RunRecord {
            request_id: request.request_id.clone(),
            path: path.to_owned(),
            headers: if self.cfg.record_headers {
                headers
            } else {
                Headers::new()
            },
            workspace,
            body_hash: request.body_hash,
            order: NEXT_RUN_ORDER.fetch_add(1, Ordering::Relaxed),
            started_at: now - *CLOCK_ORIGIN,
            ended_at: None,
            end: None,
            prompt_tokens: request.prompt_tokens,
            cached_tokens: cached,
            prefilled_tokens: 0,
            max_tokens: request.max_tokens,
            generated: 0,
            in_flight,
            cold: current.cold,
            engine_start: current.start,
        });
        let run = Arc::new(Run::new(request, record));
        state.active.push(ActiveRun {
            run: Arc::clone(&run),
            prefill_left: run.request.prompt_tokens - cached,
            generated: 0,
            planned_prefill: 0,
            decodes: false,
            admitted_cold: current.cold,
            poison,
        });
        let id = run.request.request_id.clone();
        state.runs.insert(id, Arc::clone(&run));
        let cold = state.active.iter().filter(|a| a.admitted_cold).count();
        self.stats.send_modify(|stats| {
            stats.runs += 1;
            stats.cached_tokens += cached;
            stats.running = state.active.len();
            stats.peak_running = stats.peak_running.max(stats.running);
            stats.peak_cold = stats.peak_cold.max(if stats.cold { cold } else { 0 });
        });
        if current.cold && cold > self.cfg.cold_limit {
            self.shut_down_locked(&mut state, Some(CrashCause::Overload));
            return Admission::Down;
        }
        self.record_load(&mut state);
        self.wake.notify_one();
        Admission::Run(run)
    }

    /// Finds a run by its request id. Runs of earlier starts are not found.
    pub(crate) fn find(&self, request_id: &str) -> Option<Arc<Run>> {
        self.state.lock().runs.get(request_id).cloned()
    }

    /// Cancels a run if it is in progress. Returns how it ended, or `None` for an unknown id.
    pub(crate) fn cancel(&self, request_id: &str) -> Option<RunEnd> {
        let mut state = self.state.lock();
        let run = state.runs.get(request_id).cloned()?;
        let index = state.active.iter().position(|a| Arc::ptr_eq(&a.run, &run));
        if let Some(index) = index {
            let active = state.active.remove(index);
            self.finish(&mut state, &active, RunEnd::Cancelled);
            self.record_load(&mut state);
        }
        run.progress.borrow().end
    }

    /// Records the end of a run that has been removed from the batch.
    pub(crate) fn finish(&self, state: &mut State, active: &ActiveRun, end: RunEnd) {
        let record = &mut state.records[active.run.record_index];
        record.end = Some(end);
        record.ended_at = Some(Instant::now() - *CLOCK_ORIGIN);
        active.run.progress.send_modify(|p| p.end = Some(end));
        state.finished.push_back(Arc::clone(&active.run));
        if state.finished.len() > self.cfg.max_finished_runs
            && let Some(old) = state.finished.pop_front()
        {
            let id = &old.request.request_id;
            if state.runs.get(id).is_some_and(|run| Arc::ptr_eq(run, &old)) {
                state.runs.remove(id);
            }
        }
        let running = state.active.len();
        if end == RunEnd::Complete {
            state.completed_since_cold += 1;
        }
        let warm = state.completed_since_cold >= self.cfg.warm_after;
        self.stats.send_modify(|stats| {
            stats.running = running;
            match end {
                RunEnd::Complete => stats.completed += 1,
                RunEnd::Cancelled => stats.cancelled += 1,
                RunEnd::Reset => stats.reset += 1,
            }
            stats.cold &= !warm;
        });
    }

    pub(crate) fn record_load(&self, state: &mut State) {
        let tokens = state.active.iter().map(tokens_in_flight).sum();
        self.stats.send_modify(|stats| stats.tokens = tokens);
        let current = *self.stats.borrow();
        state.load.push(
            Instant::now(),
            LoadReport {
                start: current.start,
                running: current.running,
                tokens: current.tokens,
                cold: current.cold,
                age_ms: 0,
            },
        );
    }
}

pub(crate) fn tokens_in_flight(active: &ActiveRun) -> u64 {
    active.run.request.prompt_tokens + u64::from(active.generated)
}

fn is_poison(faults: &Faults, body: &[u8], body_hash: u64) -> bool {
    let marker = faults.marker.as_deref().filter(|marker| !marker.is_empty());
    faults.body_hash == Some(body_hash)
        || marker.is_some_and(|marker| body.windows(marker.len()).any(|part| part == marker))
}

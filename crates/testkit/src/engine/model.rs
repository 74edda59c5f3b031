use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::http_util::Headers;

/// Behaviour of a stand-in engine.
///
/// `time_scale` applies to steps, prefill and the restart delay, `speed` to steps and prefill. Lags
/// are not scaled.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Relative speed of the hardware generation. 2 halves the step times.
    pub speed: f64,
    /// Factor applied to computation times and the restart delay. With 0.1, a test runs ten times
    /// as fast.
    pub time_scale: f64,
    /// Duration of a decoding step while at most `batch_tokens` tokens are in flight.
    pub step_time: Duration,
    /// Tokens in flight up to which a step takes `step_time`. Above that, the duration grows in
    /// proportion to the tokens in flight.
    pub batch_tokens: u64,
    /// Prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens computed in one step.
    pub prefill_chunk: u64,
    /// Output tokens of a request without `max_tokens`.
    pub default_output_tokens: u32,
    /// Maximum number of output tokens of a request.
    pub max_output_tokens: u32,
    /// Capacity of the prefix cache in prompt tokens.
    pub cache_capacity: u64,
    /// Maximum number of requests in flight that a cold engine handles without crashing.
    pub cold_limit: usize,
    /// Number of completed requests after which a cold engine becomes warm.
    pub warm_after: u64,
    /// Whether the engine is cold at its first start. After a restart it is always cold.
    pub start_cold: bool,
    /// Time from a crash caused by a request to the automatic restart.
    pub restart_delay: Duration,
    /// Age of the load reports that the engine returns.
    pub load_lag: Duration,
    /// Time after which a cache event becomes visible.
    pub cache_event_lag: Duration,
    /// Every n-th cache event is lost. 0 means that none is.
    pub cache_event_loss_interval: u64,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub check_fencing: bool,
    /// Maximum number of finished runs whose streams can still be resumed.
    pub max_finished_runs: usize,
    /// Whether run records include the request headers.
    pub record_headers: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            speed: 1.0,
            time_scale: 1.0,
            step_time: Duration::from_millis(20),
            batch_tokens: 16_384,
            prefill_rate: 10_000.0,
            prefill_chunk: 512,
            default_output_tokens: 16,
            max_output_tokens: 4096,
            cache_capacity: 65_536,
            cold_limit: 4,
            warm_after: 8,
            start_cold: true,
            restart_delay: Duration::from_secs(2),
            load_lag: Duration::from_millis(500),
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss_interval: 10,
            check_fencing: true,
            max_finished_runs: 1024,
            record_headers: true,
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// All tokens were generated.
    Complete,
    /// The run was cancelled.
    Cancelled,
    /// The engine crashed or stopped.
    Reset,
}

/// Record of one run of a request on an engine.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    /// Value of `x-request-id`, empty when absent.
    pub request_id: String,
    /// Path of the request.
    pub path: String,
    /// All request headers; empty unless `record_headers` is set.
    pub headers: Headers,
    /// Value of the first header whose name contains `workspace`.
    pub workspace: Option<String>,
    /// XXH3 hash of the body.
    pub body_hash: u64,
    /// Sequence number of the run's start, over all engines of this process.
    pub order: u64,
    /// Start time, measured from the creation of the first engine of this process.
    pub started_at: Duration,
    /// End time on the same clock, or `None` while the run is in progress.
    pub ended_at: Option<Duration>,
    /// How the run ended, or `None` while it is in progress.
    pub end: Option<RunEnd>,
    /// Prompt tokens: the body length in bytes divided by four, rounded up.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed so far.
    pub prefilled_tokens: u64,
    /// Output tokens requested, limited to `max_output_tokens`.
    pub max_tokens: u32,
    /// Output tokens generated so far.
    pub generated: u32,
    /// Runs in flight when this run started, including itself.
    pub in_flight: usize,
    /// Whether the engine was cold when the run started.
    pub cold: bool,
    /// Start number of the engine process that executed the run, see [`EngineStats::start`].
    pub engine_start: u64,
}

/// An order (control command) received by an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing token of the sender.
    pub fencing: u64,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Name of the model, adapter or role.
    pub name: String,
    /// Whether the engine accepted the order.
    #[serde(default)]
    pub accepted: bool,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Change the role.
    SetRole,
}

/// Load report as `GET /load` returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Start number of the engine, see [`EngineStats::start`].
    pub start: u64,
    /// Runs in flight.
    pub running: usize,
    /// Tokens in flight: prompt tokens plus tokens generated so far.
    pub tokens: u64,
    /// Whether the engine was cold.
    pub cold: bool,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Counters and state of an engine. Counters are kept over restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineStats {
    /// Start number of the engine: Unix time of the start in milliseconds, increased if needed so
    /// that it grows with each restart.
    pub start: u64,
    /// Whether the engine is up.
    pub up: bool,
    /// Whether the engine is cold.
    pub cold: bool,
    /// Runs in flight.
    pub running: usize,
    /// Tokens in flight.
    pub tokens: u64,
    /// Runs started.
    pub runs: u64,
    /// Runs completed.
    pub completed: u64,
    /// Runs cancelled.
    pub cancelled: u64,
    /// Runs ended by a crash or stop of the engine.
    pub reset: u64,
    /// Maximum number of runs in flight at the same time.
    pub peak_running: usize,
    /// Maximum number of runs in flight at the same time that were admitted while the engine was
    /// cold.
    pub peak_cold: usize,
    /// Crashes caused by exceeding the cold limit.
    pub overloads: u64,
    /// Crashes caused by a request that matches a configured body hash or marker.
    pub poisoned: u64,
    /// Crashes of any cause. Stops are not counted.
    pub crashes: u64,
    /// Requests that received status 503.
    pub unavailable: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Output tokens generated.
    pub generated_tokens: u64,
    /// Steps computed.
    pub steps: u64,
}

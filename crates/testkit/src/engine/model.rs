use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::http_util::Headers;

/// Behaviour of a stand-in engine.
///
/// `time_scale` applies to steps, prefill and the restart, `speed` to steps and prefill. Lags are
/// real time.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Relative speed of the hardware generation.
    pub speed: f64,
    /// Factor on all computed times; 0.1 runs a test ten times as fast.
    pub time_scale: f64,
    /// Time of one decoding step while the tokens in flight fit the batch.
    pub step_time: Duration,
    /// Tokens in flight up to which a step takes `step`; above it the time grows in proportion.
    pub batch_tokens: u64,
    /// Prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Prompt tokens computed in one step at most.
    pub prefill_chunk: u64,
    /// Output tokens of a request that names no `max_tokens`.
    pub default_output_tokens: u32,
    /// Upper bound of output tokens.
    pub max_output_tokens: u32,
    /// Prompt tokens that the prefix cache holds.
    pub cache_capacity: u64,
    /// Requests in flight that a cold engine bears.
    pub cold_limit: usize,
    /// Completed requests after which a cold engine is warm.
    pub warm_after: u64,
    /// Whether the engine is cold at its first start. It always is after a restart.
    pub start_cold: bool,
    /// Time between a fall-over and the restart.
    pub restart_delay: Duration,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Delay of cache events.
    pub cache_event_lag: Duration,
    /// Every n-th cache event is lost; 0 loses none.
    pub cache_event_loss_interval: u64,
    /// Whether orders with an old fencing number are rejected.
    pub check_fencing: bool,
    /// Finished runs kept for resume.
    pub max_finished_runs: usize,
    /// Whether run records keep all headers.
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
    /// It was cancelled.
    Cancelled,
    /// The engine crashed, fell over or stopped.
    Reset,
}

/// One run of a request.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    /// Value of `x-request-id`, empty when absent.
    pub request_id: String,
    /// Path.
    pub path: String,
    /// All headers, unless the configuration drops them.
    pub headers: Headers,
    /// Value of the first header whose name contains `workspace`.
    pub workspace: Option<String>,
    /// XXH3 of the body.
    pub body_hash: u64,
    /// Number of the start over all engines of this process.
    pub order: u64,
    /// Time of the start since the first engine of this process started.
    pub started_at: Duration,
    /// Time of the end on the same clock.
    pub ended_at: Option<Duration>,
    /// End, `None` while it runs.
    pub end: Option<RunEnd>,
    /// Prompt tokens: bytes of the body divided by four.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed so far.
    pub prefilled_tokens: u64,
    /// Output tokens asked for, after the cap.
    pub max_tokens: u32,
    /// Output tokens generated so far.
    pub generated: u32,
    /// Runs in flight at its start, itself included.
    pub in_flight: usize,
    /// Whether the engine was cold at its start.
    pub cold: bool,
    /// Number of the engine's start that it ran in.
    pub engine_start: u64,
}

/// Order received by an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing number.
    pub fencing: u64,
    /// Kind of order.
    pub kind: OrderKind,
    /// Name of the model, adapter or role.
    pub name: String,
    /// Whether the engine obeyed.
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

/// Load report as `GET /load` answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of the engine's start; grows with each restart.
    pub start: u64,
    /// Runs in flight.
    pub running: usize,
    /// Tokens in flight: prompts plus tokens generated so far.
    pub tokens: u64,
    /// Whether the engine was cold.
    pub cold: bool,
    /// Age of the report.
    pub age_ms: u64,
}

/// Counters and state of an engine. Counters span restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineStats {
    /// Number of the engine's start.
    pub start: u64,
    /// Whether it serves.
    pub up: bool,
    /// Whether it is cold.
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
    /// Runs reset.
    pub reset: u64,
    /// Most runs in flight at once.
    pub peak_running: usize,
    /// Most runs in flight at once that started while the engine was cold.
    pub peak_cold: usize,
    /// Fall-overs by load above the cold limit.
    pub overloads: u64,
    /// Crashes by a request that the fault controls name.
    pub poisoned: u64,
    /// Ends of service of any kind but `stop`.
    pub crashes: u64,
    /// Requests answered by 503.
    pub unavailable: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Output tokens generated.
    pub generated_tokens: u64,
    /// Decoding steps computed.
    pub steps: u64,
}

//! The request mixes of the example sites and the load that their engines can handle.

use std::time::Duration;

use serde_json::{Value, json};
use sheet::{PoolKind, Sheet};
use testkit::EngineConfig;

/// Time for which a load runs before it is measured.
pub const WARM_UP: Duration = Duration::from_secs(3);
/// Load, as a multiple of the capacity, that the rate limits of the workspaces allow. It is above
/// the highest default load, so that at the default loads each refusal by a rate limit concerns a
/// workspace that stays inside its rate.
const RATE_LIMIT_LOAD: f64 = 4.0;
/// Burst of a workspace in seconds of its rate, as in the example sheets.
const BURST_SECONDS: f64 = 10.0;
/// Tokens that the JSON around a prompt adds to its token count.
const JSON_OVERHEAD_TOKENS: f64 = 25.0;

/// A kind of request: a model call, or a plain call if it has no prompt tokens.
struct RequestKind {
    name: &'static str,
    /// Fraction of all requests.
    share: f64,
    path: &'static str,
    tier: Option<&'static str>,
    /// Minimum and maximum number of prompt tokens.
    prompt_tokens: (u64, u64),
    /// Minimum and maximum number of output tokens.
    output_tokens: (u64, u64),
    /// Number of shared prefixes and tokens of each.
    shared_prefix: (u64, u64),
    deadline_ms: f64,
    stream: bool,
    /// Whether it is sent without an API key.
    without_key: bool,
}

const PLAIN_CALL: RequestKind = RequestKind {
    name: "",
    share: 0.0,
    path: "",
    tier: None,
    prompt_tokens: (0, 0),
    output_tokens: (0, 0),
    shared_prefix: (0, 0),
    deadline_ms: 1000.0,
    stream: false,
    without_key: false,
};

const RIGA_KINDS: [RequestKind; 6] = [
    RequestKind {
        name: "quick-mix",
        share: 0.50,
        path: "/v1/chat/completions",
        tier: Some("quick"),
        prompt_tokens: (100, 300),
        output_tokens: (8, 24),
        shared_prefix: (8, 128),
        deadline_ms: 410.0,
        stream: true,
        ..PLAIN_CALL
    },
    RequestKind {
        name: "shade-check",
        share: 0.28,
        path: "/v1/completions",
        tier: Some("check"),
        prompt_tokens: (30, 50),
        output_tokens: (2, 6),
        deadline_ms: 1000.0,
        ..PLAIN_CALL
    },
    RequestKind {
        name: "consultation",
        share: 0.10,
        path: "/v1/chat/completions",
        tier: Some("consult"),
        prompt_tokens: (3000, 5000),
        output_tokens: (100, 300),
        shared_prefix: (4, 512),
        deadline_ms: 2500.0,
        stream: true,
        ..PLAIN_CALL
    },
    RequestKind {
        name: "advice",
        share: 0.05,
        path: "/v1/chat/completions",
        tier: Some("standard"),
        prompt_tokens: (300, 700),
        output_tokens: (30, 60),
        deadline_ms: 1500.0,
        stream: true,
        ..PLAIN_CALL
    },
    RequestKind {
        name: "order",
        share: 0.04,
        path: "/orders",
        ..PLAIN_CALL
    },
    RequestKind {
        name: "catalogue",
        share: 0.03,
        path: "/catalogue",
        without_key: true,
        ..PLAIN_CALL
    },
];

const COSTA_KINDS: [RequestKind; 6] = [
    RequestKind {
        name: "quick-answer",
        share: 0.45,
        path: "/v1/chat/completions",
        tier: Some("quick"),
        prompt_tokens: (60, 240),
        output_tokens: (8, 24),
        shared_prefix: (6, 96),
        deadline_ms: 410.0,
        stream: true,
        ..PLAIN_CALL
    },
    RequestKind {
        name: "incident-tag",
        share: 0.30,
        path: "/v1/completions",
        tier: Some("tag"),
        prompt_tokens: (30, 50),
        output_tokens: (2, 6),
        deadline_ms: 1000.0,
        ..PLAIN_CALL
    },
    RequestKind {
        name: "season-roster",
        share: 0.10,
        path: "/v1/chat/completions",
        tier: Some("roster"),
        prompt_tokens: (3000, 5000),
        output_tokens: (100, 300),
        shared_prefix: (4, 512),
        deadline_ms: 2500.0,
        stream: true,
        ..PLAIN_CALL
    },
    RequestKind {
        name: "swap",
        share: 0.05,
        path: "/swaps",
        ..PLAIN_CALL
    },
    RequestKind {
        name: "flag",
        share: 0.05,
        path: "/flags",
        ..PLAIN_CALL
    },
    RequestKind {
        name: "schedule",
        share: 0.05,
        path: "/schedule",
        without_key: true,
        ..PLAIN_CALL
    },
];

/// Request mix of a site.
pub struct Mix {
    kinds: &'static [RequestKind],
    /// Name, fraction of the total rate and rank of the highest tier of each workspace.
    workspaces: Vec<(String, f64, u8)>,
    tiers: Vec<String>,
    /// Factor on the times of engines and on deadlines.
    pub time_scale: f64,
    /// Requests per second that the engines can handle with full batches.
    pub capacity: f64,
}

impl Mix {
    /// Request mix of an example site.
    pub fn new(site: &str, sheet: &Sheet, time_scale: f64) -> Self {
        let kinds: &[RequestKind] = if site == "lv-riga" {
            &RIGA_KINDS
        } else {
            &COSTA_KINDS
        };
        let total: f64 = sheet.workspaces.values().map(|w| to_f64(w.rate)).sum();
        let highest_tier = |name: &str| {
            let keys = sheet.keys.values().filter(|key| &*key.workspace == name);
            keys.map(|key| key.highest_tier).min().unwrap_or(u8::MAX)
        };
        let workspaces = sheet.workspaces.iter();
        let workspaces = workspaces
            .map(|(name, w)| (name.to_string(), to_f64(w.rate) / total, highest_tier(name)))
            .collect();
        let engines = sheet.targets.values().filter(|target| {
            let pool = sheet.pools.get(&target.pool);
            pool.is_some_and(|pool| pool.kind == PoolKind::Engine)
        });
        let speed: f64 = engines.map(|target| target.speed).sum();
        let seconds_per_request: f64 = kinds
            .iter()
            .map(|kind| kind.share * kind.engine_seconds())
            .sum();
        Mix {
            kinds,
            workspaces,
            tiers: sheet.tiers.iter().map(|t| t.name.to_string()).collect(),
            time_scale,
            capacity: speed / (time_scale * seconds_per_request),
        }
    }

    /// Name of the highest tier.
    pub fn top_tier(&self) -> &str {
        self.tiers.first().map_or("", String::as_str)
    }

    /// Name of the workspace that sends too much in the `tenant` scenario: the one with the second
    /// largest rate.
    pub fn tenant(&self) -> &str {
        let mut by_size: Vec<_> = self.workspaces.iter().collect();
        by_size.sort_by(|a, b| b.1.total_cmp(&a.1));
        by_size.get(1).map_or("", |workspace| &workspace.0)
    }

    /// Sets the rates and bursts of a sheet so that its workspaces may send [`RATE_LIMIT_LOAD`]
    /// times the capacity.
    pub fn set_rates(&self, sheet: &mut Sheet) {
        let tokens_per_request: f64 = self
            .kinds
            .iter()
            .map(|k| k.share * k.reserved_tokens())
            .sum();
        let total_rate = RATE_LIMIT_LOAD * self.capacity * tokens_per_request;
        for (name, token_share, _) in &self.workspaces {
            if let Some(workspace) = sheet.workspaces.get_mut(name.as_str()) {
                workspace.rate = round_to_u64(total_rate * token_share);
                workspace.burst = round_to_u64(total_rate * token_share * BURST_SECONDS);
            }
        }
    }

    /// Content of the mix file for `primrosectl load`.
    pub fn mix_file(&self, entries: &[std::net::SocketAddr], load: f64, seconds: u64) -> Value {
        let rows: Vec<Value> = self
            .kinds
            .iter()
            .flat_map(|kind| self.workload_rows(kind))
            .collect();
        json!({
            "duration": format!("{seconds}s"),
            "warm_up": format!("{}s", WARM_UP.as_secs()),
            "seed": 1,
            "entries": entries,
            "rate": self.capacity * load,
            "answer_ids": true,
            "workloads": rows,
        })
    }

    /// One workload for each workspace whose key may use the tier.
    fn workload_rows(&self, kind: &RequestKind) -> Vec<Value> {
        if kind.without_key {
            return vec![self.workload_row(kind, None, kind.share)];
        }
        let rank = kind
            .tier
            .and_then(|t| self.tiers.iter().position(|n| n == t));
        let may_use = |highest_tier: u8| rank.is_none_or(|rank| rank >= usize::from(highest_tier));
        let allowed = || self.workspaces.iter().filter(|w| may_use(w.2));
        let allowed_share: f64 = allowed().map(|w| w.1).sum();
        allowed()
            .map(|(name, token_share, _)| {
                self.workload_row(kind, Some(name), kind.share * token_share / allowed_share)
            })
            .collect()
    }

    fn workload_row(&self, kind: &RequestKind, workspace: Option<&str>, share: f64) -> Value {
        let deadline = round_to_u64(kind.deadline_ms * self.time_scale);
        let mut row = json!({
            "name": format!("{}@{}", kind.name, workspace.unwrap_or("open")),
            "share": share,
            "path": kind.path,
            "deadline": format!("{deadline}ms"),
        });
        if let Some(workspace) = workspace {
            row["workspace"] = json!(workspace);
            row["key"] = json!(format!("demo-{workspace}"));
        }
        if let Some(tier) = kind.tier {
            row["tier"] = json!(tier);
        }
        if kind.prompt_tokens.1 > 0 {
            let uniform = |(min, max): (u64, u64)| json!({"uniform": {"min": min, "max": max}});
            row["prompt_tokens"] = uniform(kind.prompt_tokens);
            row["output_tokens"] = uniform(kind.output_tokens);
            row["stream"] = json!(kind.stream);
        } else if !kind.without_key {
            row["body"] = json!({ "item": 1 });
        }
        if kind.shared_prefix.1 > 0 {
            row["prefix"] =
                json!({ "groups": kind.shared_prefix.0, "tokens": kind.shared_prefix.1 });
        }
        row
    }
}

impl RequestKind {
    /// Mean time of a request in seconds on an engine of speed 1 with a full batch. Shared prefixes
    /// count as cached.
    fn engine_seconds(&self) -> f64 {
        let cfg = EngineConfig::default();
        let (prompt, output) = (mean(self.prompt_tokens), mean(self.output_tokens));
        let in_flight = prompt + to_f64(self.shared_prefix.1) + output / 2.0;
        let steps = output * in_flight / to_f64(cfg.batch_tokens);
        prompt / cfg.prefill_rate + steps * cfg.step_time.as_secs_f64()
    }

    /// Mean number of tokens that a request reserves.
    fn reserved_tokens(&self) -> f64 {
        if self.prompt_tokens.1 == 0 {
            return 10.0;
        }
        mean(self.prompt_tokens)
            + to_f64(self.shared_prefix.1)
            + JSON_OVERHEAD_TOKENS
            + mean(self.output_tokens)
    }
}

fn mean((min, max): (u64, u64)) -> f64 {
    to_f64(min).midpoint(to_f64(max))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^53"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates and durations are positive and far below 2^53"
)]
fn round_to_u64(value: f64) -> u64 {
    value.round() as u64
}

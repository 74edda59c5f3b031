//! The work of the example sites and the load that their engines can handle.

use std::time::Duration;

use serde_json::{Value, json};
use sheet::{PoolKind, Sheet};
use testkit::EngineConfig;

/// Time before the measured one.
pub const WARM_UP: Duration = Duration::from_secs(3);
/// Multiple of the capacity that the rates of the workspaces allow, so that each refusal by the
/// rate is one inside the rate at the highest usual load.
const RATE_LOAD: f64 = 4.0;
/// Seconds of its rate that a workspace may use at once, as in the example sheets.
const BURST_SECONDS: f64 = 10.0;
/// Tokens that the JSON around a prompt adds to its cost.
const JSON_TOKENS: f64 = 25.0;

/// One kind of model call, or of plain call if it has no prompt.
struct Kind {
    name: &'static str,
    /// Part of all requests.
    share: f64,
    path: &'static str,
    tier: Option<&'static str>,
    /// Smallest and largest number of tokens.
    prompt: (u64, u64),
    output: (u64, u64),
    /// Groups and tokens of shared prefixes.
    prefix: (u64, u64),
    deadline_ms: f64,
    stream: bool,
    open: bool,
}

const PLAIN: Kind = Kind {
    name: "",
    share: 0.0,
    path: "",
    tier: None,
    prompt: (0, 0),
    output: (0, 0),
    prefix: (0, 0),
    deadline_ms: 1000.0,
    stream: false,
    open: false,
};

const RIGA: [Kind; 6] = [
    Kind {
        name: "quick-mix",
        share: 0.50,
        path: "/v1/chat/completions",
        tier: Some("quick"),
        prompt: (100, 300),
        output: (8, 24),
        prefix: (8, 128),
        deadline_ms: 410.0,
        stream: true,
        ..PLAIN
    },
    Kind {
        name: "shade-check",
        share: 0.28,
        path: "/v1/completions",
        tier: Some("check"),
        prompt: (30, 50),
        output: (2, 6),
        deadline_ms: 1000.0,
        ..PLAIN
    },
    Kind {
        name: "consultation",
        share: 0.10,
        path: "/v1/chat/completions",
        tier: Some("consult"),
        prompt: (3000, 5000),
        output: (100, 300),
        prefix: (4, 512),
        deadline_ms: 2500.0,
        stream: true,
        ..PLAIN
    },
    Kind {
        name: "advice",
        share: 0.05,
        path: "/v1/chat/completions",
        tier: Some("standard"),
        prompt: (300, 700),
        output: (30, 60),
        deadline_ms: 1500.0,
        stream: true,
        ..PLAIN
    },
    Kind {
        name: "order",
        share: 0.04,
        path: "/orders",
        ..PLAIN
    },
    Kind {
        name: "catalogue",
        share: 0.03,
        path: "/catalogue",
        open: true,
        ..PLAIN
    },
];

const COSTA: [Kind; 6] = [
    Kind {
        name: "quick-answer",
        share: 0.45,
        path: "/v1/chat/completions",
        tier: Some("quick"),
        prompt: (60, 240),
        output: (8, 24),
        prefix: (6, 96),
        deadline_ms: 410.0,
        stream: true,
        ..PLAIN
    },
    Kind {
        name: "incident-tag",
        share: 0.30,
        path: "/v1/completions",
        tier: Some("tag"),
        prompt: (30, 50),
        output: (2, 6),
        deadline_ms: 1000.0,
        ..PLAIN
    },
    Kind {
        name: "season-roster",
        share: 0.10,
        path: "/v1/chat/completions",
        tier: Some("roster"),
        prompt: (3000, 5000),
        output: (100, 300),
        prefix: (4, 512),
        deadline_ms: 2500.0,
        stream: true,
        ..PLAIN
    },
    Kind {
        name: "swap",
        share: 0.05,
        path: "/swaps",
        ..PLAIN
    },
    Kind {
        name: "flag",
        share: 0.05,
        path: "/flags",
        ..PLAIN
    },
    Kind {
        name: "schedule",
        share: 0.05,
        path: "/schedule",
        open: true,
        ..PLAIN
    },
];

/// The work of a site.
pub struct Mix {
    kinds: &'static [Kind],
    /// Workspaces with their part of all tokens and the rank of the highest tier of their key.
    workspaces: Vec<(String, f64, u8)>,
    tiers: Vec<String>,
    /// Factor on the times of engines and on deadlines.
    pub time_scale: f64,
    /// Requests a second that the engines can handle with full batches.
    pub capacity: f64,
}

impl Mix {
    /// The work of an example site.
    pub fn new(site: &str, sheet: &Sheet, time_scale: f64) -> Self {
        let kinds: &[Kind] = if site == "lv-riga" { &RIGA } else { &COSTA };
        let total: f64 = sheet.workspaces.values().map(|w| real(w.rate)).sum();
        let highest = |name: &str| {
            let own = sheet.keys.values().filter(|key| &*key.workspace == name);
            own.map(|key| key.highest_tier).min().unwrap_or(u8::MAX)
        };
        let workspaces = sheet.workspaces.iter();
        let workspaces = workspaces
            .map(|(name, w)| (name.to_string(), real(w.rate) / total, highest(name)))
            .collect();
        let engines = sheet.targets.values().filter(|target| {
            let pool = sheet.pools.get(&target.pool);
            pool.is_some_and(|pool| pool.kind == PoolKind::Engine)
        });
        let speed: f64 = engines.map(|target| target.speed).sum();
        let work: f64 = kinds.iter().map(|kind| kind.share * kind.work()).sum();
        Mix {
            kinds,
            workspaces,
            tiers: sheet.tiers.iter().map(|t| t.name.to_string()).collect(),
            time_scale,
            capacity: speed / (time_scale * work),
        }
    }

    /// Name of the highest tier.
    pub fn top_tier(&self) -> &str {
        self.tiers.first().map_or("", String::as_str)
    }

    /// Name of the workspace that sends too much in a scenario: the second largest.
    pub fn tenant(&self) -> &str {
        let mut by_size: Vec<_> = self.workspaces.iter().collect();
        by_size.sort_by(|a, b| b.1.total_cmp(&a.1));
        by_size.get(1).map_or("", |workspace| &workspace.0)
    }

    /// Sets the rates of a sheet to a multiple of the tokens of the capacity.
    pub fn set_rates(&self, sheet: &mut Sheet) {
        let tokens: f64 = self.kinds.iter().map(|k| k.share * k.cost()).sum();
        let all = RATE_LOAD * self.capacity * tokens;
        for (name, part, _) in &self.workspaces {
            if let Some(workspace) = sheet.workspaces.get_mut(name.as_str()) {
                workspace.rate = whole(all * part);
                workspace.burst = whole(all * part * BURST_SECONDS);
            }
        }
    }

    /// The mix file of `primrosectl load`.
    pub fn file(&self, entries: &[std::net::SocketAddr], load: f64, seconds: u64) -> Value {
        let rows: Vec<Value> = self.kinds.iter().flat_map(|kind| self.rows(kind)).collect();
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
    fn rows(&self, kind: &Kind) -> Vec<Value> {
        if kind.open {
            return vec![self.row(kind, None, kind.share)];
        }
        let rank = kind
            .tier
            .and_then(|t| self.tiers.iter().position(|n| n == t));
        let may_use = |highest: u8| rank.is_none_or(|rank| rank >= usize::from(highest));
        let allowed = || self.workspaces.iter().filter(|w| may_use(w.2));
        let sum: f64 = allowed().map(|w| w.1).sum();
        allowed()
            .map(|(name, part, _)| self.row(kind, Some(name), kind.share * part / sum))
            .collect()
    }

    fn row(&self, kind: &Kind, workspace: Option<&str>, share: f64) -> Value {
        let deadline = whole(kind.deadline_ms * self.time_scale);
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
        if kind.prompt.1 > 0 {
            let uniform = |(min, max): (u64, u64)| json!({"uniform": {"min": min, "max": max}});
            row["prompt_tokens"] = uniform(kind.prompt);
            row["output_tokens"] = uniform(kind.output);
            row["stream"] = json!(kind.stream);
        } else if !kind.open {
            row["body"] = json!({ "item": 1 });
        }
        if kind.prefix.1 > 0 {
            row["prefix"] = json!({ "groups": kind.prefix.0, "tokens": kind.prefix.1 });
        }
        row
    }
}

impl Kind {
    /// Mean seconds of an engine of speed 1 with a full batch. Shared prefixes count as cached.
    fn work(&self) -> f64 {
        let cfg = EngineConfig::default();
        let (prompt, output) = (mean(self.prompt), mean(self.output));
        let in_flight = prompt + real(self.prefix.1) + output / 2.0;
        let steps = output * in_flight / real(cfg.batch_tokens);
        prompt / cfg.prefill_rate + steps * cfg.step_time.as_secs_f64()
    }

    /// Mean tokens that a request reserves.
    fn cost(&self) -> f64 {
        if self.prompt.1 == 0 {
            return 10.0;
        }
        mean(self.prompt) + real(self.prefix.1) + JSON_TOKENS + mean(self.output)
    }
}

fn mean((min, max): (u64, u64)) -> f64 {
    real(min).midpoint(real(max))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^53"
)]
fn real(count: u64) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates and durations are positive and far below 2^53"
)]
fn whole(value: f64) -> u64 {
    value.round() as u64
}

//! Fixtures for the tests of modules that do no I/O.

#![allow(dead_code, reason = "each test uses a part of the support")]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use admit::{
    Change, Config, Fingerprints, HttpLimits, Name, Offer, Pool, Rate, Route, RouteKind, RunId,
    Settings, Target, TokenCounts, Unit, Workspace,
};

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn settings(ip: Ipv4Addr) -> Settings {
    let at = SocketAddr::from((ip, 1));
    Settings {
        vm: format!("vm-{ip}").into(),
        ip,
        zone: "zone-a".into(),
        entry: at,
        ready: at,
        directory: None,
        metrics: None,
        peer_port: 2,
        peer_reach: 2,
        cores: 0.25,
        memory: 110_000_000,
        link_mbps: 1000.0,
        seeds: Vec::new(),
        shutdown_grace: Duration::from_secs(8),
        retry_window: RETRY_WINDOW,
        retry_ratio: RETRY_RATIO,
        retry_slack: RETRY_SLACK,
        cold_overage: 1.5,
        cold_slack: 5.0,
        rate_overage: 0.25,
        rate_slack: RATE_SLACK,
        directory_ttl: Duration::from_secs(5),
        lapse_grace: Duration::from_secs(2),
    }
}

pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_SLACK: f64 = 54.0;
pub const RATE_SLACK: f64 = 140_000.0;
pub const RATE: f64 = 200_000.0;
pub const COLD_PER_S: f64 = 23.0;

pub fn route(name: &str, prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(3),
        target_latency: ms(300),
        max_pause: None,
        max_attempts: 2,
        tier: 1,
        public: false,
        pools: vec![("pool".into(), 1)],
    }
}

pub fn config(version: u64) -> Config {
    Config {
        version,
        routes: vec![
            route("all", "/", RouteKind::NonIdempotent),
            route("read", "/read/", RouteKind::Idempotent),
        ],
        pools: vec![Pool {
            name: "pool".into(),
            cold_per_s: Some(COLD_PER_S),
        }],
        workspaces: vec![Workspace {
            name: "salon".into(),
            keys: vec!["key".into()],
            tier: None,
            rate: Some(Rate {
                unit: Unit::Token {
                    default_tokens: 200,
                },
                per_s: RATE,
                burst: RATE,
            }),
        }],
        limits: HttpLimits::default(),
    }
}

pub fn target(id: &str, slots: u32) -> Target {
    Target {
        id: id.into(),
        pool: "pool".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone-a".into(),
        slots,
        draining: false,
        cold: Duration::ZERO,
        start_time: 1,
        sequence: 1,
    }
}

pub fn listing(targets: usize, slots: u32) -> Vec<Change> {
    let targets = (0..targets).map(|at| Change::Target(target(&format!("t-{at}"), slots)));
    targets.chain([Change::Config(config(1))]).collect()
}

/// The same, in a pool without a limit for cold targets, by which sends have a pace.
pub fn listing_without_cold_limit(targets: usize, slots: u32) -> Vec<Change> {
    let mut changes = listing(targets, slots);
    for change in &mut changes {
        if let Change::Config(config) = change {
            config.pools[0].cold_per_s = None;
        }
    }
    changes
}

pub fn offer(entry: u64, run: u64) -> Offer {
    Offer {
        id: RunId { entry, run },
        pool: "pool".into(),
        shard: 0,
        shards: 1,
        tier: 1,
        workspace: None,
        token_counts: Some(TokenCounts {
            prompt_tokens: 100,
            output_tokens: 10,
        }),
        expected_output: None,
        session: 0,
        max_wait: ms(150),
        aim_left: ms(300),
        max_pause: None,
        time_left: Duration::from_secs(3),
        sends: 0,
        avoid: Vec::new(),
        fingerprints: Fingerprints {
            coarse: run,
            exact: run,
        },
        zone: Name::from("zone-a"),
    }
}

//! The fleet under test: four daemons in two zones, three engines and a plain service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::json;
use testkit::fleet::{Fleet, fast_timing};
use testkit::{Engine, EngineConfig, PlainService, RouteRow, SheetBuilder, TargetRow};

/// API key of the only workspace.
pub(crate) const KEY: &str = "soak-key";

/// Number of daemons.
const VM_COUNT: usize = 4;

/// Zones of the fleet.
pub(crate) const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Requests in flight above which a cold engine crashes.
const COLD_LIMIT: u32 = 2;

/// Maximum time to wait for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

pub(crate) struct Site {
    pub(crate) fleet: Fleet,
    pub(crate) sheet: SheetBuilder,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) service: PlainService,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn engine_config() -> EngineConfig {
    EngineConfig {
        time_scale: 0.2,
        cold_limit: COLD_LIMIT as usize,
        load_lag: Duration::from_millis(200),
        ..EngineConfig::default()
    }
}

impl Site {
    /// Starts targets and daemons and waits until all daemons are ready.
    pub(crate) async fn start(daemon: &Path) -> io::Result<Self> {
        let mut fleet = Fleet::builder(daemon)
            .vms(VM_COUNT, &ZONES)
            .peer_proxies()
            .platform_proxies()
            .setting("timing", fast_timing())
            .setting(
                "timing",
                json!({
                    "stream_silent": "1s",
                    "keepalive": "500ms",
                }),
            )
            .setting("log", json!({ "level": "info" }))
            .ready_timeout(READY_TIMEOUT)
            .start()
            .await?;
        let mut sheet = base_sheet();
        let mut engines = BTreeMap::new();
        for (index, zone) in ["zone-a", "zone-b", "zone-a"].into_iter().enumerate() {
            let name = format!("llm-{}", index + 1);
            let engine = Engine::start(any_port(), engine_config()).await?;
            let address = fleet.add_target(&name, engine.addr()).await?;
            let mut row = TargetRow::new("llm", zone, address, 8_192);
            row.cold_limit = COLD_LIMIT;
            sheet.target(&name, &row);
            engines.insert(name, engine);
        }
        let service = PlainService::start(any_port()).await?;
        let address = fleet.add_target("app-1", service.addr()).await?;
        sheet.target("app-1", &TargetRow::new("app", "zone-a", address, 1_000));
        let mut site = Site {
            fleet,
            sheet,
            engines,
            service,
        };
        site.publish();
        site.fleet.launch_all().await?;
        Ok(site)
    }

    /// Publishes the current sheet.
    pub(crate) fn publish(&mut self) {
        let csv = self.sheet.csv();
        self.fleet
            .platform()
            .sheets
            .publish(self.sheet.revision(), csv);
    }

    /// Number of runs by request id, over all targets. Requests without an id, such as reads of
    /// load reports, are left out.
    pub(crate) fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = self.service.call_counts();
        for (id, count) in self.engines.values().flat_map(Engine::run_counts) {
            *runs.entry(id).or_default() += count;
        }
        runs.remove("");
        runs
    }
}

fn base_sheet() -> SheetBuilder {
    let mut sheet = SheetBuilder::new("soak");
    for zone in ZONES {
        sheet.zone(zone);
    }
    let mut order_route = RouteRow::new("app", "quick");
    order_route.max_tokens = 10;
    sheet
        .tier("quick")
        .tier("long")
        .workspace("w1", 1_000_000, 1_000_000)
        .key("k1", "w1", "quick", KEY)
        .engine_pool("llm")
        .service_pool("app")
        .route("/v1/completions", &RouteRow::new("llm", "quick"))
        .route("/orders", &order_route);
    sheet
}

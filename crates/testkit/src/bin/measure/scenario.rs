//! Disturbances of a site while a load runs.

use std::io;
use std::time::Duration;

use clap::ValueEnum;
use serde_json::{Value, json};
use sheet::ZoneState;

use crate::mix::WARM_UP;
use crate::site::Site;

/// Part of the measured time after which the disturbance begins, and after which it ends.
const FROM: f64 = 0.2;
const TO: f64 = 0.6;
/// Factor on the rate of the tenant.
const TENANT_FACTOR: f64 = 10.0;
/// Factor on the step time of the slow engine.
const SLOWDOWN: f64 = 4.0;

/// A disturbance of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The first zone is taken out of service and brought back.
    Zone,
    /// One workspace sends ten times its rate for a while.
    Tenant,
    /// The fastest engine takes four times as long for a while.
    Slowdown,
    /// A daemon is killed and started again.
    Kill,
}

fn times(seconds: u64) -> (Duration, Duration) {
    let measured = Duration::from_secs(seconds);
    (
        WARM_UP + measured.mul_f64(FROM),
        WARM_UP + measured.mul_f64(TO),
    )
}

impl Scenario {
    /// Name in results.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Zone => "zone",
            Scenario::Tenant => "tenant",
            Scenario::Slowdown => "slowdown",
            Scenario::Kill => "kill",
        }
    }

    /// Adds the disturbances by callers to a mix file.
    pub fn change_mix(self, mix: &mut Value, tenant: &str, seconds: u64) {
        if self != Scenario::Tenant {
            return;
        }
        let (from, to) = times(seconds);
        let rows = mix["workloads"].as_array().cloned().unwrap_or_default();
        let names = rows.iter().filter(|row| row["workspace"] == tenant);
        let events: Vec<Value> = names
            .flat_map(|row| {
                [(from, TENANT_FACTOR), (to, 1.0)].map(|(at, factor)| {
                    let rate = json!({ "workload": row["name"], "factor": factor });
                    json!({ "at": format!("{}ms", at.as_millis()), "action": { "rate": rate } })
                })
            })
            .collect();
        mix["events"] = json!(events);
    }

    /// Disturbs a site from the start of a load on.
    pub async fn play(self, site: &mut Site, seconds: u64) -> io::Result<()> {
        let (from, to) = times(seconds);
        tokio::time::sleep(from).await;
        self.begin(site).await?;
        tokio::time::sleep(to.saturating_sub(from)).await;
        self.end(site).await
    }

    async fn begin(self, site: &mut Site) -> io::Result<()> {
        match self {
            Scenario::Zone => site.set_first_zone(ZoneState::Out),
            Scenario::Tenant => {}
            Scenario::Slowdown => site.slow_down(SLOWDOWN),
            Scenario::Kill => site.fleet.kill(&site.first_vm()).await?,
        }
        Ok(())
    }

    async fn end(self, site: &mut Site) -> io::Result<()> {
        match self {
            Scenario::Zone => site.set_first_zone(ZoneState::In),
            Scenario::Tenant => {}
            Scenario::Slowdown => site.slow_down(1.0),
            Scenario::Kill => site.fleet.launch(&site.first_vm()).await?,
        }
        Ok(())
    }
}

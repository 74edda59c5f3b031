//! Faults and overloads of a site while a load runs.

use std::io;
use std::time::Duration;

use clap::ValueEnum;
use serde_json::{Value, json};
use sheet::ZoneState;

use crate::mix::WARM_UP;
use crate::site::Site;

/// Fraction of the measured time after which the fault starts.
const FAULT_START: f64 = 0.2;
/// Fraction of the measured time after which the fault ends.
const FAULT_END: f64 = 0.6;
/// Factor on the request rate of the overloading workspace.
const TENANT_RATE_FACTOR: f64 = 10.0;
/// Factor on the step time of the slow engine.
const SLOWDOWN_FACTOR: f64 = 4.0;

/// A fault or overload of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The first zone is taken out of service and brought back.
    Zone,
    /// One workspace sends ten times its rate for a while.
    Tenant,
    /// The fastest engine has four times its step time for a while.
    Slowdown,
    /// A daemon is killed and started again.
    Kill,
}

fn fault_window(seconds: u64) -> (Duration, Duration) {
    let duration = Duration::from_secs(seconds);
    (
        WARM_UP + duration.mul_f64(FAULT_START),
        WARM_UP + duration.mul_f64(FAULT_END),
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

    /// Adds the rate changes of the `tenant` scenario to a mix file.
    pub fn add_mix_events(self, mix: &mut Value, tenant: &str, seconds: u64) {
        if self != Scenario::Tenant {
            return;
        }
        let (start, end) = fault_window(seconds);
        let workloads = mix["workloads"].as_array().cloned().unwrap_or_default();
        let workloads = workloads.iter().filter(|row| row["workspace"] == tenant);
        let events: Vec<Value> = workloads
            .flat_map(|row| {
                [(start, TENANT_RATE_FACTOR), (end, 1.0)].map(|(at, factor)| {
                    let rate = json!({ "workload": row["name"], "factor": factor });
                    json!({ "at": format!("{}ms", at.as_millis()), "action": { "rate": rate } })
                })
            })
            .collect();
        mix["events"] = json!(events);
    }

    /// Starts and ends the fault at its times, counted from the start of a load.
    pub async fn run(self, site: &mut Site, seconds: u64) -> io::Result<()> {
        let (start, end) = fault_window(seconds);
        tokio::time::sleep(start).await;
        self.start_fault(site).await?;
        tokio::time::sleep(end.saturating_sub(start)).await;
        self.end_fault(site).await
    }

    async fn start_fault(self, site: &mut Site) -> io::Result<()> {
        match self {
            Scenario::Zone => site.set_first_zone(ZoneState::Out),
            Scenario::Tenant => {}
            Scenario::Slowdown => site.set_fastest_slowdown(SLOWDOWN_FACTOR),
            Scenario::Kill => site.fleet.kill(&site.first_vm()).await?,
        }
        Ok(())
    }

    async fn end_fault(self, site: &mut Site) -> io::Result<()> {
        match self {
            Scenario::Zone => site.set_first_zone(ZoneState::In),
            Scenario::Tenant => {}
            Scenario::Slowdown => site.set_fastest_slowdown(1.0),
            Scenario::Kill => site.fleet.launch(&site.first_vm()).await?,
        }
        Ok(())
    }
}

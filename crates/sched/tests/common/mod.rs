//! Fixtures shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use sched::{
    Config, Descriptor, Event, LoadReport, Permit, RunEnd, RunReport, Scheduler, ShedReason,
    TargetPhase, TargetSpec,
};

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn spec(name: &str, capacity: u64, cold_limit: u32) -> TargetSpec {
    TargetSpec {
        name: name.into(),
        capacity,
        cold_limit,
        speed: 1.0,
        schedulable: true,
    }
}

pub fn closed(name: &str, capacity: u64, cold_limit: u32) -> TargetSpec {
    TargetSpec {
        schedulable: false,
        ..spec(name, capacity, cold_limit)
    }
}

/// Descriptor with a unique fingerprint and a distant deadline.
pub fn work(id: &str, tier: u8, workspace: &str, cost: u64) -> Descriptor {
    Descriptor {
        id: id.into(),
        tier,
        workspace: workspace.into(),
        cost,
        prompt: cost / 2,
        prefix: 0,
        deadline: secs(3_600),
        hard_deadline: secs(7_200),
        fingerprint: {
            let mut hasher = DefaultHasher::new();
            id.hash(&mut hasher);
            hasher.finish()
        },
        coarse_fingerprint: None,
    }
}

pub fn report(end: RunEnd) -> RunReport {
    RunReport {
        end,
        tokens: 10,
        first_token: None,
        token_gap: None,
    }
}

pub fn load(running: u32, cold: bool, start: u64) -> LoadReport {
    LoadReport {
        running,
        tokens: 0,
        cold,
        start,
    }
}

/// Adds a target in the serving phase, as after a handover.
pub fn add_warm(scheduler: &mut Scheduler, now: Duration, spec: &TargetSpec) {
    let handover = sched::Handover {
        target: spec.name.clone(),
        phase: TargetPhase::Serving,
        limit: spec.capacity,
        in_flight: Vec::new(),
    };
    scheduler.adopt(now, spec.clone(), &handover);
}

/// Scheduler with warm targets of the given names and capacity.
pub fn warm(names: &[&str], capacity: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(Config::default());
    for name in names {
        add_warm(&mut scheduler, Duration::ZERO, &spec(name, capacity, 1));
    }
    scheduler
}

pub fn grants(events: &[Event]) -> Vec<Permit> {
    let granted = events.iter().filter_map(|event| match event {
        Event::Granted(permit) => Some(permit.clone()),
        Event::Shed { .. } => None,
    });
    granted.collect()
}

pub fn sheds(events: &[Event]) -> Vec<(String, ShedReason)> {
    let shed = events.iter().filter_map(|event| match event {
        Event::Shed { id, reason, .. } => Some((id.to_string(), *reason)),
        Event::Granted(_) => None,
    });
    shed.collect()
}

/// Offers one request, checks that it is granted at once, and returns its permit.
pub fn run(scheduler: &mut Scheduler, now: Duration, descriptor: Descriptor) -> Permit {
    let id = descriptor.id.clone();
    scheduler.offer(now, descriptor);
    let events = scheduler.poll(now);
    let permit = grants(&events)
        .into_iter()
        .find(|permit| permit.request == id);
    permit.unwrap_or_else(|| panic!("{id} was not granted: {events:?}"))
}

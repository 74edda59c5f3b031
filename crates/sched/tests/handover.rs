//! Handover of a cold target.

use std::time::Duration;

use sched::{
    Config, Descriptor, Event, Handover, InFlight, LoadReport, PermitId, RunEnd, RunReport,
    Scheduler, TargetPhase, TargetSpec,
};

const CAPACITY: u64 = 4096;

fn descriptor(now: Duration, id: &str) -> Descriptor {
    Descriptor {
        id: id.into(),
        tier: 0,
        workspace: "salon".into(),
        cost: 20,
        prompt: 10,
        prefix: 0,
        deadline: now + Duration::from_secs(20),
        hard_deadline: now + Duration::from_mins(1),
        fingerprint: 1,
        coarse_fingerprint: None,
    }
}

/// Scheduler of the new owner of a cold target, with one run in flight and two requests waiting.
fn adopted_scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(Config::default());
    let spec = TargetSpec {
        name: "worker-1".into(),
        capacity: CAPACITY,
        cold_limit: 1,
        speed: 1.0,
        schedulable: true,
    };
    let handover = Handover {
        target: "worker-1".into(),
        phase: TargetPhase::Cold,
        limit: CAPACITY,
        in_flight: vec![InFlight {
            request: "old".into(),
            permit: PermitId(7),
            cost: 20,
            hard_deadline: Duration::from_secs(30),
        }],
    };
    scheduler.adopt(Duration::ZERO, spec, &handover);
    for id in ["first", "second"] {
        scheduler.offer(Duration::ZERO, descriptor(Duration::ZERO, id));
    }
    scheduler
}

fn complete() -> RunReport {
    RunReport {
        end: RunEnd::Complete,
        tokens: 10,
        first_token: Some(Duration::from_millis(10)),
        token_gap: Some(Duration::from_millis(1)),
    }
}

fn count_grants(scheduler: &mut Scheduler, now: Duration) -> usize {
    let events = scheduler.poll(now);
    let grants = events.iter().filter(|e| matches!(e, Event::Granted(_)));
    grants.count()
}

/// Guards against overloading a cold target: a new owner without a load report took the end of a
/// run that the old owner had granted as evidence that the target is warm.
#[test]
fn cold_target_stays_cold_until_its_first_report() {
    let now = Duration::from_millis(100);
    let mut scheduler = adopted_scheduler();
    assert_eq!(
        count_grants(&mut scheduler, now),
        0,
        "the cold limit is reached"
    );

    assert!(scheduler.release_request(now, "old", complete()));

    assert_eq!(count_grants(&mut scheduler, now), 1);
    assert_eq!(scheduler.phase("worker-1"), Some(TargetPhase::Cold));
}

/// Guards against a target that stays cold forever after a handover.
#[test]
fn completed_work_warms_the_target_after_a_report() {
    let now = Duration::from_millis(100);
    let mut scheduler = adopted_scheduler();
    let report = LoadReport {
        running: 1,
        tokens: 20,
        cold: false,
        start: 1,
    };
    scheduler.load_report(now, "worker-1", report);

    assert!(scheduler.release_request(now, "old", complete()));

    assert_eq!(scheduler.phase("worker-1"), Some(TargetPhase::Warming));
}

/// Guards against a target that stays cold forever because it sends no reports, such as a plain
/// service.
#[test]
fn completed_work_warms_a_silent_target_after_the_report_timeout() {
    let mut scheduler = adopted_scheduler();
    let now = Config::default().report_timeout;
    count_grants(&mut scheduler, now);

    assert!(scheduler.release_request(now, "old", complete()));

    assert_eq!(scheduler.phase("worker-1"), Some(TargetPhase::Warming));
}

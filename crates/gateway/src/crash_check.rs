//! Checks whether the target of a broken run has crashed.
//!
//! A connection breaks for many reasons: a target drops an idle one, a response is damaged, a link
//! fails. After a crash the target does not accept connections for a while.

use std::rc::Rc;
use std::time::Duration;

use admit::{Target, target_key};
use log::{info, warn};
use metrics::counter;
use tokio::time::sleep;

use crate::attempt::OutboundRequest;
use crate::clock;
use crate::left_runs::{CHECK_DELAY, EndedRun};
use crate::node::Node;
use crate::upstream;

/// A target that was silent for this long when its caller left may have failed. Sound ones pause for
/// less between most events.
pub(crate) const CHECKED_SILENCE: Duration = Duration::from_millis(300);

fn ended_run(req: &OutboundRequest) -> EndedRun {
    EndedRun {
        id: req.id.clone(),
        parts: Rc::clone(&req.parts),
    }
}

/// A run that waits for its target. If it is dropped before it has ended, its caller has left.
pub(crate) struct AwaitedRun {
    node: Rc<Node>,
    target: Target,
    run: Option<EndedRun>,
    since: Duration,
}

impl AwaitedRun {
    pub(crate) fn start(node: &Rc<Node>, req: &OutboundRequest, target: &Target) -> Self {
        AwaitedRun {
            node: Rc::clone(node),
            target: target.clone(),
            run: Some(ended_run(req)),
            since: clock::now(),
        }
    }

    /// The target has responded or was given up.
    pub(crate) fn end(mut self) {
        self.run = None;
    }
}

impl Drop for AwaitedRun {
    fn drop(&mut self) {
        let silence = clock::now().saturating_sub(self.since);
        if let Some(run) = self.run.take()
            && silence >= CHECKED_SILENCE
        {
            add_left_run(&self.node, &self.target, run);
        }
    }
}

/// Checks the target of a run that broke, or was given up for silence, and blames the request and the
/// parts of its prompt if it has crashed. Does not delay the caller.
pub(crate) fn check_target(node: &Rc<Node>, req: &OutboundRequest, target: &Target) {
    let (node, run, target) = (Rc::clone(node), ended_run(req), target.clone());
    tokio::task::spawn_local(async move {
        sleep(CHECK_DELAY).await;
        check(&node, &target, &[run]).await;
    });
}

/// Checks the target of a run that nobody waits for any more. Runs that are left on a target share
/// their checks.
pub(crate) fn check_left_target(node: &Node, req: &OutboundRequest, target: &Target) {
    add_left_run(node, target, ended_run(req));
}

fn add_left_run(node: &Node, target: &Target, run: EndedRun) {
    let mut left_runs = node.left_runs.borrow_mut();
    if left_runs.add(clock::now(), target, run) {
        node.run_left.notify_one();
    } else {
        counter!("primrosechute_crash_checks_total", "outcome" => "left_out").increment(1);
    }
}

/// Checks the targets of runs whose callers left.
pub(crate) async fn run_left_checks(node: Rc<Node>) {
    loop {
        let next = node.left_runs.borrow().next_check();
        match next {
            Some(at) => sleep(at.saturating_sub(clock::now())).await,
            None => node.run_left.notified().await,
        }
        let due = node.left_runs.borrow_mut().take_due(clock::now());
        for (target, runs) in due {
            let node = Rc::clone(&node);
            tokio::task::spawn_local(async move { check(&node, &target, &runs).await });
        }
    }
}

async fn check(node: &Node, target: &Target, runs: &[EndedRun]) {
    // The connection is not kept: the pool takes its connections for used ones, on which a
    // refusal without the id of its request doesn't count.
    let outcome = if upstream::connect(target.address).await.is_err() {
        for run in runs {
            blame(node, run, target);
        }
        "crashed"
    } else {
        "alive"
    };
    counter!("primrosechute_crash_checks_total", "outcome" => outcome).increment(1);
}

fn blame(node: &Node, EndedRun { id, parts }: &EndedRun, target: &Target) {
    let mut poison_parts = node.poison_parts.borrow_mut();
    let blame = poison_parts.record_crash(clock::now(), parts, target_key(target));
    counter!("primrosechute_crashed_runs_total").increment(1);
    // Parts that are not blamed are cleared by answers. If these are all parts of a run, the crash counts
    // against nothing.
    info!(
        id = &**id, target = &*target.id, parts = parts.len(), blamed = blame.parts.len();
        "poison: a crash cut off a run"
    );
    for &part in &blame.parts {
        warn!(part = &*hex(part), target = &*target.id; "poison: a target crashed");
    }
    if !blame.parts.is_empty() {
        node.heartbeat_requested.notify_one();
    }
    announce_refused(node, &blame.refused);
}

/// Logs parts that are refused from now on, and passes them on at once: until all members know them,
/// each of their requests crashes a target.
pub(crate) fn announce_refused(node: &Node, parts: &[u64]) {
    for &part in parts {
        warn!(part = &*hex(part); "poison: requests with a part are refused");
    }
    if !parts.is_empty() {
        node.heartbeat_requested.notify_one();
    }
}

fn hex(part: u64) -> String {
    format!("{part:x}")
}

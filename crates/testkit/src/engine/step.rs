use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::core::{Active, Core, Fall, tokens};
use super::model::{EngineConfig, RunEnd};

/// Longest time by which the driver catches up after it was not scheduled.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

impl Core {
    /// Plans one step of the batch and returns its time, `None` when the batch is empty.
    fn plan(&self) -> Option<Duration> {
        let mut state = self.state.lock();
        if state.active.is_empty() {
            return None;
        }
        let in_flight = state.active.iter().map(tokens).sum();
        let mut budget = self.cfg.prefill_chunk;
        for active in &mut state.active {
            active.decodes = active.prefill_left == 0;
            active.planned = active.prefill_left.min(budget);
            budget -= active.planned;
        }
        let time = step_time(&self.cfg, in_flight, self.cfg.prefill_chunk - budget);
        Some(time.mul_f64(self.cfg.time_scale * state.faults.slowdown / self.cfg.speed))
    }

    /// Applies the planned step.
    fn apply(&self) {
        let mut state = self.state.lock();
        let (mut prefilled, mut generated, mut poisoned) = (0, 0, false);
        let mut batch = std::mem::take(&mut state.active);
        for active in &mut batch {
            prefilled += active.planned;
            active.prefill_left -= active.planned;
            let record = &mut state.records[active.run.record];
            record.prefilled_tokens += std::mem::take(&mut active.planned);
            // A crash by content strikes once the prompt was computed.
            poisoned |= active.poison && active.prefill_left == 0;
            if std::mem::take(&mut active.decodes) {
                active.generated += 1;
                generated += 1;
                record.generated = active.generated;
                active.run.progress.send_modify(|p| p.generated += 1);
            }
        }
        let done = |active: &mut Active| active.generated >= active.run.ask.max_tokens;
        let ended: Vec<Active> = batch
            .extract_if(.., |active| !poisoned && done(active))
            .collect();
        state.active = batch;
        for active in ended {
            self.finish(&mut state, &active, RunEnd::Complete);
        }
        self.stats.send_modify(|stats| {
            stats.steps += 1;
            stats.prefill_tokens += prefilled;
            stats.generated_tokens += generated;
        });
        if poisoned {
            self.end_locked(&mut state, Some(Fall::Poison));
        } else {
            self.report(&mut state);
        }
    }
}

/// Time of one step, before it is scaled.
fn step_time(cfg: &EngineConfig, tokens: u64, prefilled: u64) -> Duration {
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    let (over, prefilled) = (
        (tokens as f64 / cfg.batch_tokens.max(1) as f64).max(1.0),
        prefilled as f64,
    );
    cfg.step_time.mul_f64(over) + Duration::from_secs_f64(prefilled / cfg.prefill_rate.max(1.0))
}

/// Steps the batch until the engine is dropped.
pub(crate) async fn drive(core: Arc<Core>, closed: CancellationToken) {
    let mut stalled = core.stalled.subscribe();
    let mut next = Instant::now();
    let work = async {
        loop {
            if stalled.wait_for(|stalled| !stalled).await.is_err() {
                return;
            }
            let Some(time) = core.plan() else {
                core.wake.notified().await;
                next = Instant::now();
                continue;
            };
            // Steps shorter than the timer's grain run back to back up to the present.
            next = next.max(Instant::now().checked_sub(MAX_CATCH_UP).unwrap_or(next)) + time;
            if next > Instant::now() {
                tokio::select! {
                    () = tokio::time::sleep_until(next) => {}
                    // A step that takes long must not outlast the fault that made it so.
                    () = core.replan.notified() => {
                        next = Instant::now();
                        continue;
                    }
                }
            } else {
                tokio::task::yield_now().await;
            }
            if !*stalled.borrow() {
                core.apply();
            }
        }
    };
    tokio::select! {
        () = closed.cancelled() => {}
        () = work => {}
    }
}

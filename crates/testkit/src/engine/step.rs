use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::core::{ActiveRun, Core, CrashCause, tokens_in_flight};
use super::model::{EngineConfig, RunEnd};

/// Maximum delay that the step loop makes up for after it was not scheduled in time.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

impl Core {
    /// Plans a step of the batch and returns its duration, or `None` if the batch is empty.
    fn plan_step(&self) -> Option<Duration> {
        let mut state = self.state.lock();
        if state.active.is_empty() {
            return None;
        }
        let in_flight = state.active.iter().map(tokens_in_flight).sum();
        let mut budget = self.cfg.prefill_chunk;
        for active in &mut state.active {
            active.decodes = active.prefill_left == 0;
            active.planned_prefill = active.prefill_left.min(budget);
            budget -= active.planned_prefill;
        }
        let time = step_time(&self.cfg, in_flight, self.cfg.prefill_chunk - budget);
        Some(time.mul_f64(self.cfg.time_scale * state.faults.slowdown / self.cfg.speed))
    }

    /// Applies the planned step.
    fn apply_step(&self) {
        let mut state = self.state.lock();
        let (mut prefilled, mut generated, mut poisoned) = (0, 0, false);
        let mut batch = std::mem::take(&mut state.active);
        for active in &mut batch {
            prefilled += active.planned_prefill;
            active.prefill_left -= active.planned_prefill;
            let record = &mut state.records[active.run.record_index];
            record.prefilled_tokens += std::mem::take(&mut active.planned_prefill);
            // A poison request crashes the engine once its prompt is computed.
            poisoned |= active.poison && active.prefill_left == 0;
            if std::mem::take(&mut active.decodes) {
                active.generated += 1;
                generated += 1;
                record.generated = active.generated;
                active.run.progress.send_modify(|p| p.generated += 1);
            }
        }
        let done = |active: &mut ActiveRun| active.generated >= active.run.request.max_tokens;
        let ended: Vec<ActiveRun> = batch
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
            self.shut_down_locked(&mut state, Some(CrashCause::Poison));
        } else {
            self.record_load(&mut state);
        }
    }
}

/// Duration of a step, before scaling.
fn step_time(cfg: &EngineConfig, tokens: u64, prefilled: u64) -> Duration {
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    let (overload_factor, prefilled) = (
        (tokens as f64 / cfg.batch_tokens.max(1) as f64).max(1.0),
        prefilled as f64,
    );
    cfg.step_time.mul_f64(overload_factor)
        + Duration::from_secs_f64(prefilled / cfg.prefill_rate.max(1.0))
}

/// Computes steps of the batch until the engine is dropped.
pub(crate) async fn run_steps(core: Arc<Core>, closed: CancellationToken) {
    let mut stalled = core.stalled.subscribe();
    let mut step_end = Instant::now();
    let work = async {
        loop {
            if stalled.wait_for(|stalled| !stalled).await.is_err() {
                return;
            }
            let Some(time) = core.plan_step() else {
                core.wake.notified().await;
                step_end = Instant::now();
                continue;
            };
            // The next step ends one duration after the last one, not after now. Steps shorter than
            // the timer resolution therefore run back to back until they have caught up.
            step_end =
                step_end.max(Instant::now().checked_sub(MAX_CATCH_UP).unwrap_or(step_end)) + time;
            if step_end > Instant::now() {
                tokio::select! {
                    () = tokio::time::sleep_until(step_end) => {}
                    // A change of the slowdown replans the step, so that a long step does not
                    // outlast the fault that caused it.
                    () = core.replan.notified() => {
                        step_end = Instant::now();
                        continue;
                    }
                }
            } else {
                tokio::task::yield_now().await;
            }
            if !*stalled.borrow() {
                core.apply_step();
            }
        }
    };
    tokio::select! {
        () = closed.cancelled() => {}
        () = work => {}
    }
}

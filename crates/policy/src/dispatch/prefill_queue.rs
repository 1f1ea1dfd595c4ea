//! The pending prefill of one engine, and estimates of when each part will be done.
//!
//! An engine with decoding runs works in long passes: the parts that arrive during one pass are
//! prefilled completely in the next, and all decoding runs wait for that. An engine without
//! decoding runs prefills one part after the other. The newest part of a prompt that several
//! engines share goes ahead of everything else; prompts that one engine prefills alone follow in
//! order of arrival (docs/design/09-worst-load.md has the traces).

use super::placement::RunKey;

/// Time from a grant until the request reaches its engine, in milliseconds: a few messages between
/// failure domains, from the dispatcher to the instance and on to the engine. A part granted less
/// than this before the end of a pass is expected to miss the next pass.
const GRANT_DELIVERY_MS: f64 = 6.0;

/// Whether one engine prefills a prompt or several share it.
#[derives::tag]
pub(super) enum PrefillShare {
    /// The engine prefills the whole prompt.
    Whole,
    /// The engine prefills a part of the prompt.
    Part,
}

impl PrefillShare {
    /// The share of each engine when `engines` of them prefill the prompt.
    pub(super) fn for_engines(engines: usize) -> Self {
        if engines > 1 { Self::Part } else { Self::Whole }
    }
}

/// The pass that prefills a part, on an engine with decoding runs.
#[derives::tag]
enum ScheduledPass {
    /// The pass in progress.
    Current,
    /// The pass after the current one.
    Next,
    /// The pass after the next one, which the part arrives too late for.
    AfterNext,
}

/// A part of a prompt that is queued for prefill.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedPart {
    /// The run.
    pub(super) key: RunKey,
    /// Whether other engines prefill parts of the same prompt.
    pub(super) share: PrefillShare,
    /// Remaining prefill time, in milliseconds at the engine's speed.
    pub(super) remaining_ms: f64,
    /// Time by which the part should have been prefilled, in milliseconds of the clock.
    pub(super) due_ms: f64,
}

/// The time, and the decode load of an engine at that time.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineSnapshot {
    /// The time, in milliseconds of the clock.
    pub(super) now: f64,
    /// Length of a pass without prefill, in milliseconds; zero if no run is decoding.
    pub(super) decode_pass_ms: f64,
}

/// A pass of an engine with decoding runs; times in milliseconds of the clock.
#[derive(Debug, Clone, Copy)]
struct EnginePass {
    start_ms: f64,
    end_ms: f64,
}

/// Model of the pending prefill of one engine, resynchronized by the events that the engine's runs
/// report.
///
/// Invariant: a part is in the queue from its grant until its prefill is expected to be done, or
/// its run is known to have passed prefill or ended.
#[derive(Debug, Clone, Default)]
pub(super) struct PrefillQueue {
    /// Parts in the order of their prefill.
    parts: Vec<(ScheduledPass, QueuedPart)>,
    /// The pass in progress; `None` if no run is decoding.
    pass: Option<EnginePass>,
    /// Time up to which the model has been advanced, in milliseconds of the clock.
    advanced_to_ms: f64,
}

impl PrefillQueue {
    /// Advances the model to the time of `snapshot`.
    pub(super) fn advance(&mut self, snapshot: EngineSnapshot) {
        let EngineSnapshot {
            now,
            decode_pass_ms,
        } = snapshot;
        let elapsed_ms = (now - self.advanced_to_ms).max(0.0);
        self.advanced_to_ms = now;
        match self.pass {
            None if decode_pass_ms > 0.0 => {
                self.prefill_in_order(elapsed_ms);
                self.start_pass(now, decode_pass_ms);
            }
            None => self.prefill_in_order(elapsed_ms),
            Some(pass) if decode_pass_ms <= 0.0 => self.stop_passes(pass, now),
            Some(pass) => self.advance_passes(pass, snapshot),
        }
    }

    /// Prefills one part after the other for `elapsed_ms`.
    fn prefill_in_order(&mut self, mut elapsed_ms: f64) {
        self.parts.retain_mut(|(_, part)| {
            let done_ms = part.remaining_ms.min(elapsed_ms);
            elapsed_ms -= done_ms;
            part.remaining_ms -= done_ms;
            part.remaining_ms > 0.0
        });
    }

    /// Starts a pass that prefills all queued parts.
    fn start_pass(&mut self, now: f64, decode_pass_ms: f64) {
        for (scheduled, _) in &mut self.parts {
            *scheduled = ScheduledPass::Current;
        }
        let end_ms = now + decode_pass_ms + self.scheduled_prefill_ms(ScheduledPass::Current);
        self.pass = Some(EnginePass {
            start_ms: now,
            end_ms,
        });
    }

    /// Ends the passes because no run is decoding any more: what the current pass has not prefilled
    /// yet is prefilled one part after the other.
    fn stop_passes(&mut self, pass: EnginePass, now: f64) {
        self.pass = None;
        let remaining_share = ((pass.end_ms - now) / (pass.end_ms - pass.start_ms)).clamp(0.0, 1.0);
        self.parts.retain_mut(|(scheduled, part)| {
            if *scheduled == ScheduledPass::Current {
                part.remaining_ms *= remaining_share;
            }
            *scheduled = ScheduledPass::Next;
            part.remaining_ms > 0.0
        });
    }

    fn advance_passes(&mut self, mut pass: EnginePass, snapshot: EngineSnapshot) {
        let EngineSnapshot {
            now,
            decode_pass_ms,
        } = snapshot;
        while pass.end_ms <= now {
            if self.parts.is_empty() {
                // Without prefill, all passes until now have the same length.
                let passes = ((now - pass.end_ms) / decode_pass_ms).floor();
                pass.end_ms += passes * decode_pass_ms;
            }
            pass = self.next_pass(pass.end_ms, decode_pass_ms);
        }
        self.pass = Some(pass);
    }

    /// Moves the parts on by one pass and returns the pass that starts at `pass_start_ms`.
    fn next_pass(&mut self, pass_start_ms: f64, decode_pass_ms: f64) -> EnginePass {
        self.parts
            .retain(|(scheduled, _)| *scheduled != ScheduledPass::Current);
        for (scheduled, _) in &mut self.parts {
            *scheduled = match scheduled {
                ScheduledPass::AfterNext => ScheduledPass::Next,
                ScheduledPass::Next | ScheduledPass::Current => ScheduledPass::Current,
            };
        }
        EnginePass {
            start_ms: pass_start_ms,
            end_ms: pass_start_ms
                + decode_pass_ms
                + self.scheduled_prefill_ms(ScheduledPass::Current),
        }
    }

    /// Resynchronizes the model with an event of the engine, which shows that a pass ended just
    /// now.
    ///
    /// The model moves to whichever pass boundary is nearer: the start of the current pass or its
    /// end.
    pub(super) fn pass_ended(&mut self, snapshot: EngineSnapshot) {
        self.advance(snapshot);
        let now = snapshot.now;
        let Some(pass) = self.pass else {
            return;
        };
        self.pass = Some(if now - pass.start_ms <= pass.end_ms - now {
            EnginePass {
                start_ms: now,
                end_ms: pass.end_ms + now - pass.start_ms,
            }
        } else {
            self.next_pass(now, snapshot.decode_pass_ms)
        });
    }

    /// Queues a part for prefill.
    pub(super) fn push(&mut self, part: QueuedPart, snapshot: EngineSnapshot) {
        self.advance(snapshot);
        let misses_next = self
            .pass
            .is_some_and(|pass| pass.end_ms - snapshot.now < GRANT_DELIVERY_MS);
        let scheduled = if misses_next {
            ScheduledPass::AfterNext
        } else {
            ScheduledPass::Next
        };
        match part.share {
            PrefillShare::Part => self.parts.insert(0, (scheduled, part)),
            PrefillShare::Whole => self.parts.push((scheduled, part)),
        }
    }

    /// Removes the part of a run that has been prefilled or is no longer needed.
    pub(super) fn remove(&mut self, key: RunKey, snapshot: EngineSnapshot) {
        self.advance(snapshot);
        let is_kept = |(scheduled, part): &(ScheduledPass, QueuedPart)| {
            // The current pass completes the prefill that it has started.
            part.key != key || *scheduled == ScheduledPass::Current && self.pass.is_some()
        };
        self.parts.retain(is_kept);
    }

    fn scheduled_prefill_ms(&self, scheduled: ScheduledPass) -> f64 {
        let scheduled_parts = self.parts.iter().filter(|(pass, _)| *pass == scheduled);
        scheduled_parts.map(|(_, part)| part.remaining_ms).sum()
    }

    /// Estimate for a part that is queued at `snapshot`; the model must have been advanced to it.
    pub(super) fn estimate(&self, share: PrefillShare, snapshot: EngineSnapshot) -> PartEstimate {
        match self.pass {
            None => self.prefill_only_estimate(share, snapshot.now),
            Some(pass) => self.decoding_estimate(pass, snapshot),
        }
    }

    fn prefill_only_estimate(&self, share: PrefillShare, now: f64) -> PartEstimate {
        let (mut end, mut slack_ms) = (now, f64::INFINITY);
        for (_, part) in &self.parts {
            end += part.remaining_ms;
            slack_ms = slack_ms.min(part.due_ms - end);
        }
        let pending_ms = end - now;
        let (delay_ms, slack_ms) = match share {
            PrefillShare::Part => (0.0, slack_ms),
            PrefillShare::Whole => (pending_ms, f64::INFINITY),
        };
        PartEstimate {
            mode: EngineMode::PrefillOnly,
            delay_ms,
            same_pass_ms: pending_ms,
            pending_ms,
            slack_ms,
        }
    }

    fn decoding_estimate(&self, pass: EnginePass, snapshot: EngineSnapshot) -> PartEstimate {
        let EngineSnapshot {
            now,
            decode_pass_ms,
        } = snapshot;
        let remaining_ms = pass.end_ms - now;
        let next_ms = self.scheduled_prefill_ms(ScheduledPass::Next);
        let after_next_ms = self.scheduled_prefill_ms(ScheduledPass::AfterNext);
        let next_end_ms = remaining_ms + decode_pass_ms + next_ms;
        let after_next_end_ms = next_end_ms + decode_pass_ms + after_next_ms;
        let (scheduled, delay_ms, same_pass_ms) = if remaining_ms < GRANT_DELIVERY_MS {
            (ScheduledPass::AfterNext, after_next_end_ms, after_next_ms)
        } else {
            (ScheduledPass::Next, next_end_ms, next_ms)
        };
        let delayed = self
            .parts
            .iter()
            .filter(|(pass, _)| *pass == scheduled || *pass == ScheduledPass::AfterNext);
        let slacks = delayed.map(|(pass, part)| {
            let end = if *pass == ScheduledPass::Next {
                next_end_ms
            } else {
                after_next_end_ms
            };
            part.due_ms - now - end
        });
        PartEstimate {
            mode: EngineMode::Decoding,
            delay_ms,
            same_pass_ms,
            pending_ms: next_ms + after_next_ms + self.scheduled_prefill_ms(ScheduledPass::Current),
            slack_ms: slacks.fold(f64::INFINITY, f64::min),
        }
    }
}

/// Whether an engine has decoding runs.
#[derives::tag]
pub(super) enum EngineMode {
    /// The engine only prefills, or is idle.
    PrefillOnly,
    /// At least one run is decoding.
    Decoding,
}

/// Estimate for a part that is queued now; times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartEstimate {
    /// Whether the engine has decoding runs.
    pub(super) mode: EngineMode,
    /// Time until its prefill is done, without the time of its own prefill.
    pub(super) delay_ms: f64,
    /// Prefill of other parts in the pass that prefills the part.
    pub(super) same_pass_ms: f64,
    /// All pending prefill of the engine.
    pub(super) pending_ms: f64,
    /// Longest prefill time of the part that makes no part behind it late.
    pub(super) slack_ms: f64,
}

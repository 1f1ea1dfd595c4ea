//! What an engine is reading, and when each part will have been read.
//!
//! An engine on which something writes works in long passes: what arrives during one is read in the
//! next, whole, and everybody who writes there waits for that. An engine on which nothing writes
//! reads one part after the other. The newest part of a prompt that several engines read goes ahead
//! of everything else; prompts that an engine reads alone follow in the order of their arrival
//! (docs/design/09-worst-load.md has the traces).

use super::work::RunKey;

/// Time that a granted request takes to its engine, in milliseconds: from the board to the instance
/// and on, a few messages between failure domains. What is granted later than this before the end
/// of a pass is expected to miss the next.
const ARRIVAL_MS: f64 = 6.0;

/// Whether a prompt is read by one engine or by several.
#[derives::tag]
pub(super) enum ReadingShare {
    /// The engine reads the prompt alone.
    Alone,
    /// The engine reads a part of it.
    Part,
}

impl ReadingShare {
    /// That of each of `engines`.
    pub(super) fn among(engines: usize) -> Self {
        if engines > 1 { Self::Part } else { Self::Alone }
    }
}

/// Which pass reads a part, on an engine on which something writes.
#[derives::tag]
enum PartTurn {
    /// The one under way.
    Present,
    /// The one after it.
    Next,
    /// The one after that: it arrives too late for the next.
    Later,
}

/// A part that is to be read.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedPart {
    /// The run.
    pub(super) key: RunKey,
    /// Whether others read parts of the same prompt.
    pub(super) share: ReadingShare,
    /// Reading left, in milliseconds at the engine's pace.
    pub(super) left_ms: f64,
    /// Moment by which it should have been read, in milliseconds.
    pub(super) due: f64,
}

/// A moment of an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineMoment {
    /// The moment, in milliseconds.
    pub(super) now: f64,
    /// A pass of those who write, without reading, in milliseconds; zero if nobody does.
    pub(super) writing_ms: f64,
}

/// A pass of an engine on which something writes.
#[derive(Debug, Clone, Copy)]
struct EnginePass {
    began: f64,
    ends: f64,
}

/// The reading of one engine, kept in step by the events that are heard of.
///
/// Invariant: a part is in the queue from its grant until it is expected to have been read, or its
/// run is known to be further or over.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadingQueue {
    /// In the order in which they are read.
    parts: Vec<(PartTurn, QueuedPart)>,
    /// The pass under way, if something writes.
    pass: Option<EnginePass>,
    /// Up to when the queue has been brought.
    at: f64,
}

impl ReadingQueue {
    /// Brings the queue to `moment`.
    pub(super) fn advance(&mut self, moment: EngineMoment) {
        let EngineMoment { now, writing_ms } = moment;
        let passed = (now - self.at).max(0.0);
        self.at = now;
        match self.pass {
            None if writing_ms > 0.0 => {
                self.read(passed);
                self.begin_pass(now, writing_ms);
            }
            None => self.read(passed),
            Some(pass) if writing_ms <= 0.0 => self.end_passes(pass, now),
            Some(pass) => self.pass_by(pass, moment),
        }
    }

    /// Reads one part after the other for `passed` milliseconds.
    fn read(&mut self, mut passed: f64) {
        self.parts.retain_mut(|(_, part)| {
            let read = part.left_ms.min(passed);
            passed -= read;
            part.left_ms -= read;
            part.left_ms > 0.0
        });
    }

    /// Begins a pass that reads everything that has arrived.
    fn begin_pass(&mut self, now: f64, writing_ms: f64) {
        for (turn, _) in &mut self.parts {
            *turn = PartTurn::Present;
        }
        let ends = now + writing_ms + self.reading_ms(PartTurn::Present);
        self.pass = Some(EnginePass { began: now, ends });
    }

    /// Nobody writes any more: what the pass has not read yet is read one after the other.
    fn end_passes(&mut self, pass: EnginePass, now: f64) {
        self.pass = None;
        let left = ((pass.ends - now) / (pass.ends - pass.began)).clamp(0.0, 1.0);
        self.parts.retain_mut(|(turn, part)| {
            if *turn == PartTurn::Present {
                part.left_ms *= left;
            }
            *turn = PartTurn::Next;
            part.left_ms > 0.0
        });
    }

    fn pass_by(&mut self, mut pass: EnginePass, moment: EngineMoment) {
        let EngineMoment { now, writing_ms } = moment;
        while pass.ends <= now {
            if self.parts.is_empty() {
                // Nothing but equal passes until now.
                let passes = ((now - pass.ends) / writing_ms).floor();
                pass.ends += passes * writing_ms;
            }
            pass = self.next_pass(pass.ends, writing_ms);
        }
        self.pass = Some(pass);
    }

    /// The pass that begins at `begin`.
    fn next_pass(&mut self, begin: f64, writing_ms: f64) -> EnginePass {
        self.parts.retain(|(turn, _)| *turn != PartTurn::Present);
        for (turn, _) in &mut self.parts {
            *turn = match turn {
                PartTurn::Later => PartTurn::Next,
                PartTurn::Next | PartTurn::Present => PartTurn::Present,
            };
        }
        EnginePass {
            began: begin,
            ends: begin + writing_ms + self.reading_ms(PartTurn::Present),
        }
    }

    /// An event of the engine was heard of, so that a pass ended just now.
    pub(super) fn pass_ended(&mut self, moment: EngineMoment) {
        self.advance(moment);
        let now = moment.now;
        let Some(pass) = self.pass else {
            return;
        };
        self.pass = Some(if now - pass.began <= pass.ends - now {
            EnginePass {
                began: now,
                ends: pass.ends + now - pass.began,
            }
        } else {
            self.next_pass(now, moment.writing_ms)
        });
    }

    /// Queues a part.
    pub(super) fn queue(&mut self, part: QueuedPart, moment: EngineMoment) {
        self.advance(moment);
        let misses_next = self
            .pass
            .is_some_and(|pass| pass.ends - moment.now < ARRIVAL_MS);
        let turn = if misses_next {
            PartTurn::Later
        } else {
            PartTurn::Next
        };
        match part.share {
            ReadingShare::Part => self.parts.insert(0, (turn, part)),
            ReadingShare::Alone => self.parts.push((turn, part)),
        }
    }

    /// A run's part has been read, or is not wanted any more.
    pub(super) fn remove(&mut self, key: RunKey, moment: EngineMoment) {
        self.advance(moment);
        let is_other = |(turn, part): &(PartTurn, QueuedPart)| {
            // What the present pass has begun to read still takes its time.
            part.key != key || *turn == PartTurn::Present && self.pass.is_some()
        };
        self.parts.retain(is_other);
    }

    fn reading_ms(&self, turn: PartTurn) -> f64 {
        let of_turn = self.parts.iter().filter(|(known, _)| *known == turn);
        of_turn.map(|(_, part)| part.left_ms).sum()
    }

    /// What would become of a part that is queued at `moment`, to which the queue has been brought.
    pub(super) fn outlook(&self, share: ReadingShare, moment: EngineMoment) -> PartOutlook {
        match self.pass {
            None => self.reading_outlook(share, moment.now),
            Some(pass) => self.pass_outlook(pass, moment),
        }
    }

    fn reading_outlook(&self, share: ReadingShare, now: f64) -> PartOutlook {
        let (mut end, mut slack_ms) = (now, f64::INFINITY);
        for (_, part) in &self.parts {
            end += part.left_ms;
            slack_ms = slack_ms.min(part.due - end);
        }
        let pending_ms = end - now;
        let (starts_ms, slack_ms) = match share {
            ReadingShare::Part => (0.0, slack_ms),
            ReadingShare::Alone => (pending_ms, f64::INFINITY),
        };
        PartOutlook {
            work: EngineWork::Reading,
            starts_ms,
            beside_ms: pending_ms,
            pending_ms,
            slack_ms,
        }
    }

    fn pass_outlook(&self, pass: EnginePass, moment: EngineMoment) -> PartOutlook {
        let EngineMoment { now, writing_ms } = moment;
        let left_ms = pass.ends - now;
        let next_ms = self.reading_ms(PartTurn::Next);
        let later_ms = self.reading_ms(PartTurn::Later);
        let next_end = left_ms + writing_ms + next_ms;
        let later_end = next_end + writing_ms + later_ms;
        let (turn, starts_ms, beside_ms) = if left_ms < ARRIVAL_MS {
            (PartTurn::Later, later_end, later_ms)
        } else {
            (PartTurn::Next, next_end, next_ms)
        };
        let delayed = self
            .parts
            .iter()
            .filter(|(known, _)| *known == turn || *known == PartTurn::Later);
        let slacks = delayed.map(|(known, part)| {
            let end = if *known == PartTurn::Next {
                next_end
            } else {
                later_end
            };
            part.due - now - end
        });
        PartOutlook {
            work: EngineWork::Writing,
            starts_ms,
            beside_ms,
            pending_ms: next_ms + later_ms + self.reading_ms(PartTurn::Present),
            slack_ms: slacks.fold(f64::INFINITY, f64::min),
        }
    }
}

/// What an engine does.
#[derives::tag]
pub(super) enum EngineWork {
    /// It only reads, or is idle.
    Reading,
    /// Something writes.
    Writing,
}

/// What becomes of a part that is queued now; times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartOutlook {
    /// What the engine does.
    pub(super) work: EngineWork,
    /// Time until it has been read, without its own reading.
    pub(super) starts_ms: f64,
    /// Reading of others that a pass does which reads it too.
    pub(super) beside_ms: f64,
    /// All reading that is still to be done.
    pub(super) pending_ms: f64,
    /// How much longer it may be without any part that it delays being late.
    pub(super) slack_ms: f64,
}

//! One engine: works in passes, reads prompts in parts and writes an event of each answer a pass.

use std::collections::VecDeque;

use crate::load::EngineGroup;
use policy::cast::usize_to_f64;

/// Tokens in a kilotoken.
const KILOTOKEN: f64 = 1e3;

/// A part of a prompt to be read.
#[derive(Debug, Clone)]
pub struct ReadPart {
    /// The run.
    pub run: usize,
    /// Tokens left.
    pub tokens: f64,
    /// Reading time left, in milliseconds.
    pub read_ms: f64,
}

/// A run that writes on an engine.
#[derive(Debug, Clone)]
struct WritingRun {
    run: usize,
    events_left: u32,
    context: f64,
}

/// What a pass has brought.
#[derive(Debug, Default)]
pub struct PassYield {
    /// Runs of which a part has been read.
    pub parts: Vec<usize>,
    /// Runs that wrote an event, and whether it was their last.
    pub events: Vec<(usize, EventKind)>,
}

/// Whether an event is an answer's last.
#[derives::tag]
pub enum EventKind {
    /// More follow.
    More,
    /// It is the last.
    Last,
}

/// One engine.
#[derive(Debug)]
pub struct ModelEngine {
    shared: VecDeque<ReadPart>,
    own: VecDeque<ReadPart>,
    writing: Vec<WritingRun>,
    /// Runs whose prompt is read, to begin writing with the next pass.
    begun: Vec<WritingRun>,
    /// Parts that the present pass finishes.
    finishing: Vec<usize>,
    /// End of the present pass, in milliseconds; none while there is nothing to do.
    pub pass_end: Option<f64>,
    /// Time spent on passes, in milliseconds.
    pub busy_ms: f64,
}

impl Default for ModelEngine {
    fn default() -> Self {
        Self::new()
    }
}

impl ModelEngine {
    /// An idle engine.
    #[must_use]
    pub fn new() -> Self {
        Self {
            shared: VecDeque::new(),
            own: VecDeque::new(),
            writing: Vec::new(),
            begun: Vec::new(),
            finishing: Vec::new(),
            pass_end: None,
            busy_ms: 0.0,
        }
    }

    /// Queues a part of a prompt that several engines read; it goes ahead of all other reading, of
    /// earlier parts too.
    pub fn read_part(&mut self, part: ReadPart) {
        self.shared.push_front(part);
    }

    /// Queues a prompt that the engine reads alone.
    pub fn read_whole(&mut self, part: ReadPart) {
        self.own.push_back(part);
    }

    /// A run's prompt has been read whole; its answer begins.
    pub fn write(&mut self, run: usize, events: u32, context: f64) {
        self.begun.push(WritingRun {
            run,
            events_left: events,
            context,
        });
    }

    /// Forgets a run.
    pub fn cancel(&mut self, run: usize) {
        self.shared.retain(|part| part.run != run);
        self.own.retain(|part| part.run != run);
        self.writing.retain(|writing| writing.run != run);
        self.begun.retain(|writing| writing.run != run);
        self.finishing.retain(|finished| *finished != run);
    }

    /// Begins a pass at `now` if there is anything to do.
    pub fn start_pass(&mut self, group: &EngineGroup, pace: f64, now: f64) {
        self.writing.append(&mut self.begun);
        let steps = if self.writing.is_empty() {
            1.0
        } else {
            group.steps_per_pass
        };
        let mut tokens = group.chunk_tokens * steps;
        let mut read_ms = 0.0;
        while tokens > 0.0 {
            let queue = if self.shared.is_empty() {
                &mut self.own
            } else {
                &mut self.shared
            };
            let Some(part) = queue.front_mut() else {
                break;
            };
            let share = (tokens / part.tokens.max(1.0)).min(1.0);
            let (read_tokens, ms) = (part.tokens * share, part.read_ms * share);
            tokens -= read_tokens.max(1.0);
            read_ms += ms;
            part.tokens -= read_tokens;
            part.read_ms -= ms;
            if part.tokens < 1.0 {
                self.finishing.push(part.run);
                queue.pop_front();
            }
        }
        if self.writing.is_empty() && read_ms <= 0.0 {
            self.pass_end = None;
            return;
        }
        let context: f64 = self.writing.iter().map(|run| run.context).sum();
        let step = group.step_ms
            + usize_to_f64(self.writing.len()) * group.writer_step_ms
            + context / KILOTOKEN * group.context_step_ms;
        let length = (steps * step + read_ms) * pace;
        self.busy_ms += length;
        self.pass_end = Some(now + length);
    }

    /// Ends the present pass.
    pub fn end_pass(&mut self) -> PassYield {
        let mut brought = PassYield {
            parts: std::mem::take(&mut self.finishing),
            events: Vec::new(),
        };
        for run in &mut self.writing {
            run.events_left -= 1;
            let kind = if run.events_left == 0 {
                EventKind::Last
            } else {
                EventKind::More
            };
            brought.events.push((run.run, kind));
        }
        self.writing.retain(|run| run.events_left > 0);
        brought
    }
}

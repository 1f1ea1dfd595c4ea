//! One stream's frames, as server-sent events.

use std::time::Duration;

use futures::Stream;
use futures::stream::unfold;
use ntex::util::Bytes;

use super::state::EngineStandin;
use super::text::token_text;
use crate::serve::pause;

/// What a stream is to send.
#[derive(Debug)]
pub(super) struct StreamPlan {
    pub(super) attempt: String,
    pub(super) prompt_hash: u64,
    pub(super) prefill: Duration,
    pub(super) token_time: Duration,
    pub(super) offset: u64,
    pub(super) tokens: u64,
    pub(super) generation: u64,
}

/// Frees the stream's slot and memory when the stream ends, however it ends.
struct StreamHold {
    engine: EngineStandin,
    attempt: String,
}

impl Drop for StreamHold {
    fn drop(&mut self) {
        self.engine.table.lock().streams.remove(&self.attempt);
    }
}

struct StreamCursor {
    hold: StreamHold,
    plan: StreamPlan,
    sequence: u64,
    next: u64,
    left_until_cut: Option<u32>,
    phase: CursorPhase,
}

enum CursorPhase {
    Prefill,
    Tokens,
    Ended,
}

/// Frames after which a truncated stream closes.
const TRUNCATED_FRAMES: u32 = 3;

type Frame = Result<Bytes, std::io::Error>;

/// The frames of one attempt.
pub(super) fn frames(engine: EngineStandin, plan: StreamPlan) -> impl Stream<Item = Frame> {
    let left_until_cut = take_truncation(&engine);
    let cursor = StreamCursor {
        hold: StreamHold {
            engine,
            attempt: plan.attempt.clone(),
        },
        sequence: 0,
        next: plan.offset,
        left_until_cut,
        phase: CursorPhase::Prefill,
        plan,
    };
    Box::pin(unfold(cursor, next_frame))
}

fn take_truncation(engine: &EngineStandin) -> Option<u32> {
    let mut table = engine.table.lock();
    if table.faults.truncate_streams == 0 {
        return None;
    }
    table.faults.truncate_streams -= 1;
    Some(TRUNCATED_FRAMES)
}

async fn next_frame(mut cursor: StreamCursor) -> Option<(Frame, StreamCursor)> {
    match cursor.phase {
        CursorPhase::Ended => return None,
        CursorPhase::Prefill => {
            pause(cursor.plan.prefill).await;
            cursor.phase = CursorPhase::Tokens;
        }
        CursorPhase::Tokens => pause(cursor.plan.token_time).await,
    }
    cursor.wait_while_silent().await;
    if cursor.is_cancelled() {
        return None;
    }
    if let Some(left) = &mut cursor.left_until_cut {
        if *left == 0 {
            let cut = std::io::Error::other("the stream is cut off");
            cursor.phase = CursorPhase::Ended;
            return Some((Err(cut), cursor));
        }
        *left -= 1;
    }
    let frame = cursor.frame();
    Some((Ok(frame), cursor))
}

impl StreamCursor {
    async fn wait_while_silent(&self) {
        let engine = &self.hold.engine;
        crate::serve::hold_while(|| {
            let table = engine.table.lock();
            let is_old = self.plan.generation < table.generation;
            table.faults.frozen || (table.faults.silence_open && is_old && self.is_listed(&table))
        })
        .await;
    }

    fn is_listed(&self, table: &super::state::EngineTable) -> bool {
        table.streams.contains_key(&self.plan.attempt)
    }

    fn is_cancelled(&self) -> bool {
        let table = self.hold.engine.table.lock();
        !self.is_listed(&table)
    }

    fn frame(&mut self) -> Bytes {
        let is_end = self.next >= self.plan.tokens;
        let (tokens, text) = if is_end {
            self.phase = CursorPhase::Ended;
            (0, String::new())
        } else {
            (1, token_text(self.plan.prompt_hash, self.next))
        };
        let form = serde_json::json!({
            "attempt": self.echoed_attempt(),
            "sequence": self.sequence,
            "offset": self.next,
            "tokens": tokens,
            "text": text,
            "end": is_end,
        });
        self.sequence += 1;
        self.next += tokens;
        let event = format!("data: {form}\n\n");
        let mut table = self.hold.engine.table.lock();
        if table.faults.repeat_frames > 0 {
            table.faults.repeat_frames -= 1;
            return Bytes::from(event.repeat(2));
        }
        Bytes::from(event)
    }

    fn echoed_attempt(&self) -> String {
        let mut table = self.hold.engine.table.lock();
        if table.faults.cross_frames == 0 {
            return self.plan.attempt.clone();
        }
        table.faults.cross_frames -= 1;
        format!("{:032x}-1", 7)
    }
}

//! Frames of one stream, sent as server-sent events.

use std::time::Duration;

use futures::Stream;
use futures::stream::unfold;
use ntex::util::Bytes;

use super::state::EngineStandin;
use super::text::token_text;
use crate::serve::delay;

/// Content and timing of a stream.
#[derive(Debug)]
pub(super) struct StreamPlan {
    pub(super) attempt: String,
    pub(super) prompt_hash: u64,
    pub(super) prefill: Duration,
    pub(super) token_time: Duration,
    /// Index of the first token to send, which is above zero when an answer is resumed.
    pub(super) offset: u64,
    /// Length of the complete answer in tokens.
    pub(super) tokens: u64,
    /// Value of `EngineState::generation` when the stream was opened.
    pub(super) generation: u64,
}

/// Frees the stream's slot and memory on drop, so that every end of the stream releases them.
struct StreamGuard {
    engine: EngineStandin,
    attempt: String,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.engine.state.lock().streams.remove(&self.attempt);
    }
}

struct StreamCursor {
    guard: StreamGuard,
    plan: StreamPlan,
    sequence: u64,
    next_token: u64,
    frames_until_truncation: Option<u32>,
    phase: CursorPhase,
}

enum CursorPhase {
    Prefill,
    Decode,
    Ended,
}

/// Number of frames that a truncated stream sends before it breaks off.
const TRUNCATED_FRAMES: u32 = 3;

type Frame = Result<Bytes, std::io::Error>;

/// Returns the frames of one attempt.
pub(super) fn frames(engine: EngineStandin, plan: StreamPlan) -> impl Stream<Item = Frame> {
    let frames_until_truncation = take_truncation_fault(&engine);
    let cursor = StreamCursor {
        guard: StreamGuard {
            engine,
            attempt: plan.attempt.clone(),
        },
        sequence: 0,
        next_token: plan.offset,
        frames_until_truncation,
        phase: CursorPhase::Prefill,
        plan,
    };
    Box::pin(unfold(cursor, next_frame))
}

fn take_truncation_fault(engine: &EngineStandin) -> Option<u32> {
    let mut state = engine.state.lock();
    if state.faults.truncate_streams == 0 {
        return None;
    }
    state.faults.truncate_streams -= 1;
    Some(TRUNCATED_FRAMES)
}

async fn next_frame(mut cursor: StreamCursor) -> Option<(Frame, StreamCursor)> {
    match cursor.phase {
        CursorPhase::Ended => return None,
        CursorPhase::Prefill => {
            delay(cursor.plan.prefill).await;
            cursor.phase = CursorPhase::Decode;
        }
        CursorPhase::Decode => delay(cursor.plan.token_time).await,
    }
    cursor.wait_while_silent().await;
    if cursor.is_cancelled() {
        return None;
    }
    if let Some(remaining) = &mut cursor.frames_until_truncation {
        if *remaining == 0 {
            let error = std::io::Error::other("stream truncated by an injected fault");
            cursor.phase = CursorPhase::Ended;
            return Some((Err(error), cursor));
        }
        *remaining -= 1;
    }
    let frame = cursor.frame();
    Some((Ok(frame), cursor))
}

impl StreamCursor {
    async fn wait_while_silent(&self) {
        let engine = &self.guard.engine;
        crate::serve::wait_while(|| {
            let state = engine.state.lock();
            let predates_fault = self.plan.generation < state.generation;
            state.faults.frozen
                || (state.faults.silence_open && predates_fault && self.is_listed(&state))
        })
        .await;
    }

    fn is_listed(&self, state: &super::state::EngineState) -> bool {
        state.streams.contains_key(&self.plan.attempt)
    }

    fn is_cancelled(&self) -> bool {
        let state = self.guard.engine.state.lock();
        !self.is_listed(&state)
    }

    fn frame(&mut self) -> Bytes {
        let is_end = self.next_token >= self.plan.tokens;
        let (tokens, text) = if is_end {
            self.phase = CursorPhase::Ended;
            (0, String::new())
        } else {
            (1, token_text(self.plan.prompt_hash, self.next_token))
        };
        let payload = serde_json::json!({
            "attempt": self.reported_attempt(),
            "sequence": self.sequence,
            "offset": self.next_token,
            "tokens": tokens,
            "text": text,
            "end": is_end,
        });
        self.sequence += 1;
        self.next_token += tokens;
        let event = format!("data: {payload}\n\n");
        let mut state = self.guard.engine.state.lock();
        if state.faults.repeat_frames > 0 {
            state.faults.repeat_frames -= 1;
            return Bytes::from(event.repeat(2));
        }
        Bytes::from(event)
    }

    fn reported_attempt(&self) -> String {
        let mut state = self.guard.engine.state.lock();
        if state.faults.cross_frames == 0 {
            return self.plan.attempt.clone();
        }
        state.faults.cross_frames -= 1;
        format!("{:032x}-1", 7)
    }
}

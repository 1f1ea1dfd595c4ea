//! Events of one run, as they arrive from its host.

use std::collections::VecDeque;

use ntex::util::{Bytes, BytesMut};
use policy::dispatch::placement::RunOutcome;
use policy::outcome::RetryReason;
use transport::{EventSplitter, is_after};

use super::run_error::RunError;
use crate::connections::{AnswerBody, BodyChunk, BufferedAnswer};

/// Events of one run.
pub(super) struct EventStream {
    body: AnswerBody,
    splitter: EventSplitter,
    /// Counts the partial event in the splitter.
    buffered: BufferedAnswer,
    pub(super) events: VecDeque<Bytes>,
    pub(super) is_ended: bool,
    has_content: bool,
    /// Whether the run resumes an earlier one, so that it must have at least one event.
    is_resumed: bool,
    /// Why nothing more is read, once the events that arrived before have been taken.
    failed: Option<RetryReason>,
}

impl EventStream {
    pub(super) fn new(body: AnswerBody, is_resumed: bool) -> Self {
        Self {
            buffered: body.buffered(),
            body,
            splitter: EventSplitter::new(),
            events: VecDeque::new(),
            is_ended: false,
            has_content: false,
            is_resumed,
            failed: None,
        }
    }

    /// Reads the next chunk; events up to `last_event` are dropped. An error comes after the events
    /// that arrived before it.
    pub(super) async fn read(&mut self, last_event: &mut Option<String>) -> Result<(), RunError> {
        let broken = |reason| RunError::new(RunOutcome::Broken, reason);
        if let Some(reason) = self.failed {
            return Err(broken(reason));
        }
        match self.body.next_chunk().await {
            BodyChunk::Bytes(bytes) => {
                self.has_content |= !bytes.is_empty();
                if self.splitter.push(&bytes).is_err() {
                    self.failed = Some(RetryReason::FrameRejected);
                }
            }
            BodyChunk::End if self.is_whole() => self.is_ended = true,
            BodyChunk::End | BodyChunk::Broken => return Err(broken(RetryReason::StreamClosed)),
        }
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                let is_duplicate = last_event.as_ref().is_some_and(|last| !is_after(&id, last));
                if is_duplicate {
                    continue;
                }
                *last_event = Some(id);
            } else if last_event.is_some() && !event.is_comment() {
                // In a stream whose events have ids, this is none of them.
                self.failed = Some(RetryReason::FrameRejected);
                break;
            }
            self.events.push_back(event.bytes);
        }
        if !self.buffered.set(self.splitter.buffered_bytes()) {
            self.failed = Some(RetryReason::FrameRejected);
        }
        match self.failed {
            Some(reason) if self.events.is_empty() => Err(broken(reason)),
            _ => Ok(()),
        }
    }

    /// Takes the events that have arrived, and their number; `None` if there are none.
    pub(super) fn take_events(&mut self) -> Option<(u64, Bytes)> {
        let first = self.events.pop_front()?;
        // The caller may take long to read them.
        self.body.end_turn();
        if self.events.is_empty() {
            return Some((1, first));
        }
        let count = 1 + self.events.len() as u64;
        let mut taken = BytesMut::from(first);
        for event in self.events.drain(..) {
            taken.extend_from_slice(&event);
        }
        Some((count, taken.freeze()))
    }

    /// Whether a stream that has ended here is whole: not inside an event, and not before the first
    /// one if its end may be that of the endpoint, or if the first one is due.
    fn is_whole(&self) -> bool {
        let may_be_empty = !self.is_resumed && !self.body.ends_with_connection();
        self.splitter.is_empty() && (self.has_content || may_be_empty)
    }
}

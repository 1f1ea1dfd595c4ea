//! Events of one run, as they arrive from its host.

use std::collections::VecDeque;

use ntex::util::Bytes;
use policy::dispatch::placement::RunOutcome;
use policy::outcome::RetryReason;

use super::run_error::RunError;
use crate::connections::{AnswerBody, BodyChunk};
use crate::events::{EventSplitter, is_after};

/// Events of one run.
pub(super) struct EventStream {
    body: AnswerBody,
    splitter: EventSplitter,
    pub(super) events: VecDeque<Bytes>,
    pub(super) is_ended: bool,
    has_content: bool,
}

impl EventStream {
    pub(super) fn new(body: AnswerBody) -> Self {
        Self {
            body,
            splitter: EventSplitter::new(),
            events: VecDeque::new(),
            is_ended: false,
            has_content: false,
        }
    }

    /// Reads the next chunk; events up to `last_event` are dropped.
    pub(super) async fn read(&mut self, last_event: &mut Option<String>) -> Result<(), RunError> {
        let broken = |reason| RunError::new(RunOutcome::Broken, reason);
        match self.body.next_chunk().await {
            BodyChunk::Bytes(bytes) => {
                self.has_content |= !bytes.is_empty();
                self.splitter
                    .push(&bytes)
                    .map_err(|_| broken(RetryReason::FrameRejected))?;
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
            }
            self.events.push_back(event.bytes);
        }
        Ok(())
    }

    /// Whether a stream that has ended here is whole: not inside an event, and not before the first
    /// one if its end may be that of the endpoint.
    fn is_whole(&self) -> bool {
        self.splitter.is_empty() && (self.has_content || !self.body.ends_with_connection())
    }
}

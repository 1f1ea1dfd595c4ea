//! Checks each answer frame of an engine against the attempt that expects it.

use crate::ids::AttemptId;

/// The header of one answer frame.
#[derives::value]
pub struct FrameHead {
    /// The attempt that the engine echoes.
    pub attempt: AttemptId,
    /// Number of the frame within the attempt, from zero.
    pub sequence: u64,
    /// Offset of the frame's first token in the whole answer.
    pub offset: u64,
    /// Tokens in the frame.
    pub tokens: u64,
    /// Whether the frame ends the answer.
    pub kind: FrameKind,
}

/// Whether more frames follow.
#[derives::tag]
pub enum FrameKind {
    /// More follow.
    Part,
    /// The explicit end mark.
    End,
}

/// Why a frame was rejected.
#[derives::tag]
pub enum FrameFault {
    /// It belongs to another attempt.
    OtherAttempt,
    /// A frame is missing or repeated.
    OutOfOrder,
    /// Its token offset leaves a gap or overlaps what the caller has.
    WrongOffset,
}

/// Accepts the frames of one attempt in order.
///
/// Invariant: the tokens of accepted frames follow each other without a gap or a repeat.
#[derives::value]
pub struct FrameCheck {
    attempt: AttemptId,
    next_sequence: u64,
    next_offset: u64,
}

impl FrameCheck {
    /// Expects the frames of `attempt`, the first of which starts at token `offset`.
    #[must_use]
    pub fn new(attempt: AttemptId, offset: u64) -> Self {
        Self {
            attempt,
            next_sequence: 0,
            next_offset: offset,
        }
    }

    /// The offset of the next token that the caller lacks.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.next_offset
    }

    /// Takes the next frame.
    ///
    /// # Errors
    ///
    /// Says why the frame cannot be part of this attempt's answer; the check is unchanged then.
    pub fn accept(&mut self, head: &FrameHead) -> Result<FrameKind, FrameFault> {
        if head.attempt != self.attempt {
            return Err(FrameFault::OtherAttempt);
        }
        if head.sequence != self.next_sequence {
            return Err(FrameFault::OutOfOrder);
        }
        if head.offset != self.next_offset {
            return Err(FrameFault::WrongOffset);
        }
        self.next_sequence += 1;
        self.next_offset += head.tokens;
        Ok(head.kind)
    }
}

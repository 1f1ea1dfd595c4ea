//! Validation of an engine's answer frames against the attempt that expects them.

use crate::ids::AttemptId;

/// Header of an answer frame.
#[derives::value]
pub struct FrameHeader {
    /// Id of the attempt, echoed by the engine.
    pub attempt: AttemptId,
    /// Sequence number of the frame within the attempt, from zero.
    pub sequence: u64,
    /// Offset of the frame's first token in the complete answer.
    pub offset: u64,
    /// Number of tokens in the frame.
    pub tokens: u64,
    /// Whether more frames follow.
    pub kind: FrameKind,
}

/// Position of a frame in the answer.
#[derives::tag]
pub enum FrameKind {
    /// More frames follow.
    Part,
    /// The explicit end frame.
    End,
}

/// Why a frame was rejected.
#[derives::tag]
pub enum FrameError {
    /// The frame belongs to another attempt.
    OtherAttempt,
    /// The sequence number is not the expected one: a frame is missing or repeated.
    OutOfOrder,
    /// The token offset leaves a gap or overlaps tokens that the caller has received.
    WrongOffset,
}

/// Validates the frames of one attempt in order.
///
/// Invariant: the tokens of accepted frames are contiguous, without gaps or repeats.
#[derives::value]
pub struct FrameCheck {
    attempt: AttemptId,
    next_sequence: u64,
    next_offset: u64,
}

impl FrameCheck {
    /// Creates a check for the frames of `attempt`, the first of which starts at token `offset`.
    #[must_use]
    pub fn new(attempt: AttemptId, offset: u64) -> Self {
        Self {
            attempt,
            next_sequence: 0,
            next_offset: offset,
        }
    }

    /// Offset of the next expected token.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.next_offset
    }

    /// Validates the next frame.
    ///
    /// # Errors
    ///
    /// Returns why the frame cannot be the next one of this attempt's answer; the check is
    /// unchanged then.
    pub fn accept(&mut self, header: &FrameHeader) -> Result<FrameKind, FrameError> {
        if header.attempt != self.attempt {
            return Err(FrameError::OtherAttempt);
        }
        if header.sequence != self.next_sequence {
            return Err(FrameError::OutOfOrder);
        }
        if header.offset != self.next_offset {
            return Err(FrameError::WrongOffset);
        }
        self.next_sequence += 1;
        self.next_offset += header.tokens;
        Ok(header.kind)
    }
}

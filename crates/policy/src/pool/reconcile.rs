//! Compares an engine's own list of what it holds with the steward's counts.

use crate::ids::{AttemptId, OwnerId};

/// A stream that an engine says it runs.
#[derives::value]
pub struct RunningStream {
    /// The attempt that started it.
    pub attempt: AttemptId,
    /// Who owns it.
    pub owner: OwnerId,
    /// Memory that it can come to hold, in tokens.
    pub tokens: u64,
}

/// Exported or imported key-value memory that an engine holds.
#[derives::value]
pub struct HeldMemory {
    /// The attempt that it is held for.
    pub attempt: AttemptId,
    /// Who owns it.
    pub owner: OwnerId,
    /// Tokens held.
    pub tokens: u64,
}

/// Everything that an engine says it holds.
#[derives::value]
pub struct EngineListing {
    /// Running streams.
    pub streams: Vec<RunningStream>,
    /// Exported and imported memory.
    pub memory: Vec<HeldMemory>,
}

/// What the steward has the engine cancel and release.
#[derives::value]
#[derive(Default)]
pub struct Reconciliation {
    /// Streams whose owner is gone.
    pub cancel: Vec<AttemptId>,
    /// Memory whose owner is gone.
    pub release: Vec<AttemptId>,
}

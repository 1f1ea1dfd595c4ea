//! Data for the reconciliation of the steward's grants with the listings of engines.

use crate::ids::{AttemptId, OwnerId};

/// A stream that an engine reports as running.
#[derives::value]
pub struct RunningStream {
    /// The attempt that started it.
    pub attempt: AttemptId,
    /// The owner of the stream.
    pub owner: OwnerId,
    /// Most key-value cache memory that the stream can occupy, in tokens.
    pub tokens: u64,
}

/// Exported or imported key-value cache memory that an engine holds.
#[derives::value]
pub struct HeldMemory {
    /// The attempt for which the memory is held.
    pub attempt: AttemptId,
    /// The owner of the memory.
    pub owner: OwnerId,
    /// Tokens held.
    pub tokens: u64,
}

/// Everything that an engine reports as held.
#[derives::value]
pub struct EngineListing {
    /// Running streams.
    pub streams: Vec<RunningStream>,
    /// Exported and imported memory.
    pub memory: Vec<HeldMemory>,
}

/// What the engine has to cancel and release.
#[derives::value]
#[derive(Default)]
pub struct Reconciliation {
    /// Streams whose owner is gone.
    pub cancel: Vec<AttemptId>,
    /// Memory whose owner is gone.
    pub release: Vec<AttemptId>,
}

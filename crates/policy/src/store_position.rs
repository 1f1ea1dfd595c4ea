//! Points in the history of a key-value service.

/// A point in the history of a key-value service.
///
/// A service that comes back from an older copy of itself begins a new era, in which it gives
/// revisions out again. So positions order by era first, and revisions are only compared within one.
#[derives::tag]
pub struct StorePosition {
    /// Era of the service; zero if it states none.
    pub era: u64,
    /// Revision within the era; zero is before the first change.
    pub revision: u64,
}

impl StorePosition {
    /// The position from which a watch returns the present content.
    pub const START: Self = Self {
        era: 0,
        revision: 0,
    };

    /// A position in the history of a service that states no eras.
    #[must_use]
    pub fn without_era(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

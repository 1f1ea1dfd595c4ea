//! Which entry instance keeps the exact grants of a pool.
//!
//! Rendezvous (highest random weight) hashing, after Thaler and Ravishankar, "Using name-based
//! mappings to increase hit rates" (1998): when one member of `n` goes, only its pools move.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceId, PoolId};

/// The steward of `pool` among `members`; none where there are no members.
///
/// Invariant: all callers with the same members name the same steward, in whatever order the
/// members are listed.
#[must_use]
pub fn steward_of<'a>(
    pool: &PoolId,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    members
        .into_iter()
        .max_by_key(|member| (weight(pool, member), *member))
}

fn weight(pool: &PoolId, member: &InstanceId) -> u64 {
    let text = format!("{pool}\n{member}");
    xxh3_64(text.as_bytes())
}

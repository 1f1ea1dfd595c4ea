//! Selection of a pool's steward: the entry instance that coordinates the pool and tracks its
//! grants.
//!
//! Uses rendezvous (highest random weight) hashing after Thaler and Ravishankar, "Using name-based
//! mappings to increase hit rates" (1998), over the live members; nothing is elected. When a member
//! goes, only its own pools move.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceId, PoolId};

/// The steward of `pool` among `members`; `None` if there are no members.
///
/// Invariant: the result depends only on the set of members, not on their order.
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

//! Index of the prompt prefixes in the endpoints' caches.
//!
//! Engines publish cache events late and with gaps, so the index is only a hint: it is filled from
//! routing decisions and corrected by cache events. A wrong hint costs a prefill, never
//! correctness.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::EndpointId;

/// Hash of the first bytes of a prompt, up to one of the lengths in [`PREFIX_BYTES`].
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Prefix lengths that are hashed, in bytes.
pub const PREFIX_BYTES: [usize; 6] = [2_048, 8_192, 32_768, 131_072, 524_288, 2_097_152];

/// Estimated bytes of prompt text per token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Hash and length of a prompt's prefix.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PromptPrefix {
    /// Hash of the prefix's bytes.
    pub hash: PrefixHash,
    /// Estimated length in tokens.
    pub tokens: u64,
}

/// Hashes the prefixes of `prompt` at each length in [`PREFIX_BYTES`] that it reaches, shortest
/// first.
///
/// # Panics
///
/// If a prefix length does not fit in 64 bits, which cannot happen.
#[must_use]
pub fn prompt_prefixes(prompt: &[u8]) -> Vec<PromptPrefix> {
    PREFIX_BYTES
        .iter()
        .take_while(|length| **length <= prompt.len())
        .map(|length| PromptPrefix {
            hash: PrefixHash(xxh3_64(&prompt[..*length])),
            tokens: u64::try_from(*length).expect("a prefix length fits in 64 bits")
                / BYTES_PER_TOKEN,
        })
        .collect()
}

/// The endpoints that hold each prefix; the oldest prefixes are evicted first.
#[derive(Debug)]
pub struct PrefixIndex {
    holders: HashMap<PrefixHash, Vec<EndpointId>>,
    insertion_order: VecDeque<PrefixHash>,
    capacity: usize,
}

impl PrefixIndex {
    /// Creates an empty index of at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::new(),
            insertion_order: VecDeque::new(),
            capacity,
        }
    }

    /// Records that `endpoint` holds or will soon hold a prefix.
    pub fn stored(&mut self, hash: PrefixHash, endpoint: &EndpointId) {
        if !self.holders.contains_key(&hash) {
            self.evict_oldest();
            self.insertion_order.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        if !holders.contains(endpoint) {
            holders.push(endpoint.clone());
        }
    }

    fn evict_oldest(&mut self) {
        while self.insertion_order.len() >= self.capacity {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }

    /// Records that `endpoint` has evicted a prefix.
    pub fn evicted(&mut self, hash: PrefixHash, endpoint: &EndpointId) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.retain(|holder| holder != endpoint);
        }
    }

    /// Removes all prefixes of an endpoint that restarted.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder != endpoint);
        }
    }

    /// Length in tokens of the longest of `prefixes` that `endpoint` holds; zero if it holds none.
    #[must_use]
    pub fn cached_tokens(&self, prefixes: &[PromptPrefix], endpoint: &EndpointId) -> u64 {
        prefixes
            .iter()
            .rev()
            .find(|prefix| self.holds(prefix.hash, endpoint))
            .map_or(0, |prefix| prefix.tokens)
    }

    fn holds(&self, hash: PrefixHash, endpoint: &EndpointId) -> bool {
        self.holders
            .get(&hash)
            .is_some_and(|holders| holders.contains(endpoint))
    }
}

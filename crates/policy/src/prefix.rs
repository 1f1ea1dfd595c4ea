//! Which endpoints hold which prompt prefixes in their caches.
//!
//! Engines publish cache events late and with gaps, so the index is a hint: it is fed by what was
//! routed where and corrected by events. A wrong hint costs a prefill, never correctness.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::EndpointId;

/// Hash of the first bytes of a prompt, up to one of the [`BLOCK_BYTES`] marks.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Prompt lengths, in bytes, at which a prefix is hashed.
pub const BLOCK_BYTES: [usize; 6] = [2_048, 8_192, 32_768, 131_072, 524_288, 2_097_152];

/// Bytes of prompt text that make a token, for estimates.
pub const BYTES_PER_TOKEN: u64 = 4;

/// A prefix of a prompt: its hash and its length.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PromptPrefix {
    /// Hash of the text.
    pub hash: PrefixHash,
    /// Length in tokens.
    pub tokens: u64,
}

/// Hashes the prefixes of `prompt` at each mark that it reaches, shortest first.
///
/// # Panics
///
/// When a mark does not fit in 64 bits, which none does.
#[must_use]
pub fn prompt_prefixes(prompt: &[u8]) -> Vec<PromptPrefix> {
    BLOCK_BYTES
        .iter()
        .take_while(|mark| **mark <= prompt.len())
        .map(|mark| PromptPrefix {
            hash: PrefixHash(xxh3_64(&prompt[..*mark])),
            tokens: u64::try_from(*mark).expect("a mark fits in 64 bits") / BYTES_PER_TOKEN,
        })
        .collect()
}

/// Prefixes by endpoint, the oldest forgotten first.
#[derive(Debug)]
pub struct PrefixIndex {
    holders: HashMap<PrefixHash, Vec<EndpointId>>,
    order: VecDeque<PrefixHash>,
    capacity: usize,
}

impl PrefixIndex {
    /// An empty index of at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Records that `endpoint` holds, or soon will hold, a prefix.
    pub fn stored(&mut self, hash: PrefixHash, endpoint: &EndpointId) {
        if !self.holders.contains_key(&hash) {
            self.make_room();
            self.order.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        if !holders.contains(endpoint) {
            holders.push(endpoint.clone());
        }
    }

    fn make_room(&mut self) {
        while self.order.len() >= self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }

    /// Records that `endpoint` has dropped a prefix.
    pub fn evicted(&mut self, hash: PrefixHash, endpoint: &EndpointId) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.retain(|holder| holder != endpoint);
        }
    }

    /// Forgets everything held by an endpoint that restarted.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder != endpoint);
        }
    }

    /// Tokens of the longest of `prefixes` that `endpoint` holds.
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

//! The text that the stand-in generates: a function of the prompt, so that a resumed answer can
//! be compared byte for byte.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A prompt that holds this text crashes the engine.
pub const CRASH_MARK: &str = "[[crash]]";

/// The text of token `index` of the answer to `prompt`.
#[must_use]
pub fn token_text(prompt_hash: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!("w{:04x} ", hash & 0xffff)
}

/// The hash of a prompt that its answer depends on.
#[must_use]
pub(super) fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), 0)
}

/// The whole answer of `tokens` tokens to `prompt`.
#[must_use]
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|index| token_text(hash, index)).collect()
}

//! Text that the engine stand-in generates. It depends only on the prompt and the token index, so
//! that a resumed answer can be compared byte for byte.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A prompt that contains this text makes the engine process exit.
pub const CRASH_MARKER: &str = "[[crash]]";

/// Returns the text of token `index` of the answer to the prompt with hash `prompt_hash`.
#[must_use]
pub fn token_text(prompt_hash: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!("w{:04x} ", hash & 0xffff)
}

/// Returns the hash of a prompt, which determines the generated answer.
#[must_use]
pub(super) fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), 0)
}

/// Returns the complete answer to `prompt` with `tokens` tokens.
#[must_use]
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|index| token_text(hash, index)).collect()
}

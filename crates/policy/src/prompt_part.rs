//! Parts of prompts that requests share.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

const HEX: u32 = 16;

/// Identity of a part of a prompt. Requests whose prompts share the part name the same one.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// The part with this name. Short hexadecimal names keep their value, so that logs show them.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(u64::from_str_radix(name, HEX).unwrap_or_else(|_| xxh3_64(name.as_bytes())))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// The parts as text, separated by commas.
#[must_use]
pub fn parts_text(parts: &[PromptPart]) -> String {
    let names: Vec<String> = parts.iter().map(PromptPart::to_string).collect();
    names.join(",")
}

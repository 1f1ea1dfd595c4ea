//! Stand-in for a model engine with streams, KV-cache memory, cache events, model orders and fault
//! injection.

mod http;
mod state;
mod stream;
mod text;

pub use state::{EngineFaults, EngineOptions, EngineServing, EngineStandin};
pub use text::{CRASH_MARKER, expected_text, token_text};

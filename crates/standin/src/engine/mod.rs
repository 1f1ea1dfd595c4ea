//! Stand-in of a model engine: streams, memory, cache events, orders and faults.

mod http;
mod state;
mod stream;
mod text;

pub use state::{EngineFaults, EngineOptions, EngineServing, EngineStandin};
pub use text::{CRASH_MARK, expected_text, token_text};

//! Limits on the size of messages between instances, which are kept until they are whole.

use capnp::message::ReaderOptions;

const BYTES_PER_WORD: usize = 8;

/// Largest request of an instance to another one's steward, in bytes: the runs of a whole fleet, a few
/// hundred bytes each. An instance receives such requests from all others at the same time.
const STEWARD_REQUEST_BYTES: usize = 1_024 * 1_024;

/// Largest other message, in bytes: several times what the store answers at once. It has
/// configurations, and an instance receives few at the same time.
const MESSAGE_BYTES: usize = 16 * 1_024 * 1_024;

/// Options for reading requests to a steward.
pub(crate) fn steward_request_options() -> ReaderOptions {
    options(STEWARD_REQUEST_BYTES)
}

/// Options for reading other messages.
pub(crate) fn message_options() -> ReaderOptions {
    options(MESSAGE_BYTES)
}

fn options(bytes: usize) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(bytes / BYTES_PER_WORD));
    options
}

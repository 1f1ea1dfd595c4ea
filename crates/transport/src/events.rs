//! Splits a byte stream into server-sent events.

use ntex::util::{Bytes, BytesMut};

/// Largest event, in bytes. A longer one means that the bytes are no event stream.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Prefix of the line that carries an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Begin of a line that is a comment.
const COMMENT_FIELD: &[u8] = b":";

/// A complete event, including the blank line that ends it.
#[derives::value]
pub struct WholeEvent {
    /// The event as received.
    pub bytes: Bytes,
    /// Value of the `id` field, if present.
    pub id: Option<String>,
}

impl WholeEvent {
    /// Whether the event has only comments, which servers send to keep a connection open.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
        lines.all(|line| line.is_empty() || line.starts_with(COMMENT_FIELD))
    }
}

/// An event is larger than 1 MiB.
#[derives::tag]
pub struct EventTooLarge;

/// Buffers bytes and returns complete events.
///
/// Invariant: a partial event is never returned, so that an answer that breaks off inside an event
/// can be resumed after the last complete one.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of buffered bytes that have been scanned for the end of an event.
    scanned: usize,
    /// Start of the incomplete line at the end of these bytes.
    line_start: usize,
}

impl Default for EventSplitter {
    fn default() -> Self {
        Self::new()
    }
}

impl EventSplitter {
    /// Creates a splitter with an empty buffer.
    #[must_use]
    pub fn new() -> Self {
        Self {
            buffer: BytesMut::new(),
            scanned: 0,
            line_start: 0,
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// If the buffered bytes exceed the largest event size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Removes the next complete event from the buffer.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end);
        (self.scanned, self.line_start) = (0, 0);
        let id = event_id(&bytes);
        Some(WholeEvent { bytes, id })
    }

    /// Whether the buffer is empty; if not, it holds a partial event once `next_event` returns
    /// `None`.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Number of bytes in the buffer.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Length of the first event including its blank line; lines end with LF or CRLF.
    fn event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.scanned) {
            let at = self.scanned;
            self.scanned += 1;
            if *byte != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                return Some(self.scanned);
            }
            self.line_start = self.scanned;
        }
        None
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = ids.next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_owned())
}

/// Whether event `id` comes after event `last`. Numeric ids increase; other ids are only compared
/// for equality.
#[must_use]
pub fn is_after(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}

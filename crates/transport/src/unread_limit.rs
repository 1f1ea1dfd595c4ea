//! Limit on what a connection keeps that its reader cannot use yet.

use std::io;

use ntex::io::{FilterBuf, FilterLayer};

/// Largest number of bytes that a connection keeps while its reader waits for more, such as the line that
/// begins a chunk: twice that of a head.
const MAX_UNREAD_BYTES: usize = 128 * 1_024;

/// Ends a connection whose reader waits for more although [`MAX_UNREAD_BYTES`] are there. A reader that is
/// merely slow is not sent that much: the connection is not read meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct UnreadLimit;

impl FilterLayer for UnreadLimit {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|received, unread| {
            match received.take() {
                Some(received) if unread.is_empty() => *unread = received,
                Some(received) => unread.extend_from_slice(&received),
                None => {}
            }
            if unread.len() <= MAX_UNREAD_BYTES {
                return Ok(());
            }
            let message = format!("nothing to read in {MAX_UNREAD_BYTES} bytes");
            Err(io::Error::new(io::ErrorKind::InvalidData, message))
        })
    }

    fn process_write_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_write_buffers(|written, sent| {
            written.move_to(sent);
        });
        Ok(())
    }
}

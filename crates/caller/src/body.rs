//! Reads a caller's request within limits of size and time.

use std::time::Duration;

use ntex::http::header::{CONTENT_LENGTH, EXPECT};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use policy::outcome::RefusalReason;
use tokio::time::timeout;

use crate::routes::CallerLimits;

/// Largest rest of a refused body that is read and dropped, in bytes: what a caller may have in its
/// socket's buffer.
const MAX_DROPPED_BYTES: usize = 256 * 1_024;

/// Longest time for which the rest of a refused body is read.
const DROP_TIME: Duration = Duration::from_millis(500);

/// Reads the complete body. An oversized request is refused only after it, or after a part of it that
/// has a bound: refusing while bytes are unread closes the connection, and a caller that is still
/// sending may not see the response.
///
/// # Errors
///
/// `BodyTooLarge`, `HeadersTooLarge`, `SlowCaller` if the body does not arrive in time, or
/// `BadRequest` if the transfer fails.
pub(crate) async fn read_body(
    request: &HttpRequest,
    mut payload: Payload,
    limits: &CallerLimits,
) -> Result<Bytes, RefusalReason> {
    let declared_bytes = content_length(request);
    if declared_bytes > limits.body_bytes {
        if !awaits_permission(request) {
            drop_rest(&mut payload).await;
        }
        return Err(RefusalReason::BodyTooLarge);
    }
    let time_limit = Duration::from_millis(limits.body_ms);
    let read = collect_body(&mut payload, declared_bytes, limits.body_bytes);
    let Ok(body) = timeout(time_limit, read).await else {
        return Err(RefusalReason::SlowCaller);
    };
    if head_bytes(request) > limits.header_bytes {
        return Err(RefusalReason::HeadersTooLarge);
    }
    if body == Err(RefusalReason::BodyTooLarge) {
        drop_rest(&mut payload).await;
    }
    body
}

/// Whether the caller sends its body only once it is told to.
fn awaits_permission(request: &HttpRequest) -> bool {
    request.headers().contains_key(EXPECT)
}

/// Reads and drops the rest of a body, up to a number of bytes and for a time.
async fn drop_rest(payload: &mut Payload) {
    let read = async {
        let mut dropped = 0;
        while let Some(Ok(chunk)) = payload.recv().await {
            dropped += chunk.len();
            if dropped >= MAX_DROPPED_BYTES {
                return;
            }
        }
    };
    // The connection of a slower caller is closed under its request.
    timeout(DROP_TIME, read).await.unwrap_or_default();
}

/// Length in bytes of the path and the headers, with four bytes of separators (`: ` and CRLF) for
/// each header.
fn head_bytes(request: &HttpRequest) -> usize {
    let headers = request.headers().iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    request.uri().path().len() + lines.sum::<usize>()
}

fn content_length(request: &HttpRequest) -> usize {
    request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Collects the body. With a declared length the buffer is allocated once, and this is the only
/// copy of the body.
async fn collect_body(
    payload: &mut Payload,
    declared_bytes: usize,
    limit: usize,
) -> Result<Bytes, RefusalReason> {
    let mut body = BytesMut::with_capacity(declared_bytes);
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| RefusalReason::BadRequest)?;
        if body.len() + chunk.len() > limit {
            return Err(RefusalReason::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

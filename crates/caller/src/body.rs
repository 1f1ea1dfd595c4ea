//! Reads what a caller sends within bounds of size and time.

use ntex::http::header::CONTENT_LENGTH;
use ntex::time::{Millis, timeout};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use policy::outcome::RefusalReason;

use crate::routes::CallerLimits;

/// Reads the whole body, unless the head is too large already.
///
/// # Errors
///
/// Names why the body is refused.
pub(crate) async fn read_body(
    request: &HttpRequest,
    payload: Payload,
    limits: &CallerLimits,
) -> Result<Bytes, RefusalReason> {
    if head_length(request) > limits.header_bytes {
        return Err(RefusalReason::HeadersTooLarge);
    }
    let announced = announced_length(request);
    if announced > limits.body_bytes {
        return Err(RefusalReason::BodyTooLarge);
    }
    let bound = Millis(u32::try_from(limits.body_ms).unwrap_or(u32::MAX));
    let read = collect(payload, announced, limits.body_bytes);
    match timeout(bound, read).await {
        Ok(body) => body,
        Err(()) => Err(RefusalReason::SlowCaller),
    }
}

/// Bytes of the path and the headers, with two separators for each header.
fn head_length(request: &HttpRequest) -> usize {
    let headers = request.headers().iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    request.uri().path().len() + lines.sum::<usize>()
}

fn announced_length(request: &HttpRequest) -> usize {
    request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Gathers the body in one allocation where its length was announced: this is its only copy.
async fn collect(
    mut payload: Payload,
    announced: usize,
    limit: usize,
) -> Result<Bytes, RefusalReason> {
    let mut body = BytesMut::with_capacity(announced);
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| RefusalReason::BadRequest)?;
        if body.len() + chunk.len() > limit {
            return Err(RefusalReason::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

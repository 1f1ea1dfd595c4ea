//! Messages that open a tunnel, and the framing of what it carries.
//!
//! Each frame has a length in front. The first one in each direction is a message. Later ones carry
//! bytes, and an empty one says that the endpoint has closed its connection in an orderly way: a
//! tunnel that ends without it has been broken off, by the endpoint or by the instance in between.

use std::io;

use policy::ids::EndpointId;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 64 * 1_024;

/// Why an instance opens no tunnel.
#[derives::tag]
pub enum TunnelRefusal {
    /// The instance does not know the endpoint.
    UnknownEndpoint,
    /// The endpoint cannot be reached; the instance reaches others.
    EndpointUnreachable,
    /// The instance reaches no endpoint itself, is stopping, or has too many tunnels.
    Unavailable,
}

/// First message to the instance that is asked for a tunnel.
#[derives::wire]
pub(crate) struct TunnelRequest {
    pub(crate) endpoint: String,
}

impl From<&EndpointId> for TunnelRequest {
    fn from(endpoint: &EndpointId) -> Self {
        Self {
            endpoint: endpoint.as_str().to_owned(),
        }
    }
}

impl From<TunnelRequest> for EndpointId {
    fn from(request: TunnelRequest) -> Self {
        Self::new(request.endpoint)
    }
}

/// Answer to a [`TunnelRequest`].
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum TunnelAnswer {
    Open,
    UnknownEndpoint,
    EndpointUnreachable,
    Unavailable,
}

impl From<Result<(), TunnelRefusal>> for TunnelAnswer {
    fn from(result: Result<(), TunnelRefusal>) -> Self {
        match result {
            Ok(()) => Self::Open,
            Err(TunnelRefusal::UnknownEndpoint) => Self::UnknownEndpoint,
            Err(TunnelRefusal::EndpointUnreachable) => Self::EndpointUnreachable,
            Err(TunnelRefusal::Unavailable) => Self::Unavailable,
        }
    }
}

impl From<TunnelAnswer> for Result<(), TunnelRefusal> {
    fn from(answer: TunnelAnswer) -> Self {
        match answer {
            TunnelAnswer::Open => Ok(()),
            TunnelAnswer::UnknownEndpoint => Err(TunnelRefusal::UnknownEndpoint),
            TunnelAnswer::EndpointUnreachable => Err(TunnelRefusal::EndpointUnreachable),
            TunnelAnswer::Unavailable => Err(TunnelRefusal::Unavailable),
        }
    }
}

pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// The error of a tunnel that ended without a word of the endpoint's end.
pub(crate) fn broken_off() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

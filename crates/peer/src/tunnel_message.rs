//! Messages that open a tunnel, and the framing of what it carries.
//!
//! Each frame has a length in front. The first one in each direction is a message. Later ones carry
//! bytes, and an empty one says that the endpoint has closed its connection in an orderly way: a
//! tunnel that ends without it has been broken off, by the endpoint or by the instance in between.

use std::io;

use policy::ids::{EndpointId, Millis};
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
    /// The endpoint wants no requests from the instance now.
    EndpointHeld,
    /// The endpoint leaves, or was removed recently.
    EndpointLeaving,
    /// The instance reaches no endpoint itself, is stopping, or has too many tunnels.
    Unavailable,
}

/// What a tunnel is opened for.
#[derives::tag]
pub enum TunnelPurpose {
    /// A request, which the host holds back if it may send none to the endpoint.
    Request,
    /// An order for memory of a run that the endpoint has accepted. An evacuation does not hold it
    /// back.
    MemoryOrder,
}

/// First message to the instance that is asked for a tunnel.
#[derives::wire]
pub(crate) struct TunnelRequest {
    endpoint: String,
    /// `None` if a tunnel is to be opened. Otherwise the endpoint has refused a request that came
    /// through a tunnel, and wants none from the host of the tunnel for this time, in milliseconds.
    #[serde(default)]
    retry_after: Option<Millis>,
    /// Whether the endpoint has said that it leaves. Such a message also has a `retry_after`, which
    /// is what a version reads that does not know this member.
    #[serde(default)]
    leaving: bool,
    /// Whether the sender reads [`TunnelAnswer::EndpointLeaving`].
    #[serde(default)]
    pub(crate) reads_leaving: bool,
    /// Whether the tunnel is for an order for memory of a run that the endpoint has accepted.
    #[serde(default)]
    memory_order: bool,
}

/// Time for which a host of a version that does not know that endpoints leave sends nothing to one, in
/// milliseconds.
const LEAVING_RETRY_AFTER: Millis = 5_000;

/// What an endpoint has said in an answer that came through a tunnel, for the tunnel's host.
#[derives::value]
pub enum HostReport {
    /// It wants no requests from the host for a time, in milliseconds.
    Refused(EndpointId, Millis),
    /// It leaves.
    Leaving(EndpointId),
}

/// First message to an instance on its port for tunnels.
pub(crate) enum TunnelCall {
    /// Opens a tunnel to the endpoint.
    Open(EndpointId, TunnelPurpose),
    /// Reports what an endpoint has said.
    Report(HostReport),
}

impl From<TunnelCall> for TunnelRequest {
    fn from(call: TunnelCall) -> Self {
        let memory_order = matches!(call, TunnelCall::Open(_, TunnelPurpose::MemoryOrder));
        let (endpoint, retry_after, leaving) = match call {
            TunnelCall::Open(endpoint, _) => (endpoint, None, false),
            TunnelCall::Report(HostReport::Refused(endpoint, retry_after)) => {
                (endpoint, Some(retry_after), false)
            }
            TunnelCall::Report(HostReport::Leaving(endpoint)) => {
                (endpoint, Some(LEAVING_RETRY_AFTER), true)
            }
        };
        Self {
            endpoint: endpoint.as_str().to_owned(),
            retry_after,
            leaving,
            reads_leaving: true,
            memory_order,
        }
    }
}

impl From<TunnelRequest> for TunnelCall {
    fn from(request: TunnelRequest) -> Self {
        let endpoint = EndpointId::new(request.endpoint);
        match request.retry_after {
            None if request.memory_order => Self::Open(endpoint, TunnelPurpose::MemoryOrder),
            None => Self::Open(endpoint, TunnelPurpose::Request),
            Some(_) if request.leaving => Self::Report(HostReport::Leaving(endpoint)),
            Some(retry_after) => Self::Report(HostReport::Refused(endpoint, retry_after)),
        }
    }
}

/// Answer to a [`TunnelCall::Open`].
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum TunnelAnswer {
    Open,
    UnknownEndpoint,
    EndpointUnreachable,
    EndpointHeld,
    EndpointLeaving,
    Unavailable,
}

impl TunnelAnswer {
    /// The answer as a version reads it that does not know that endpoints leave.
    pub(crate) fn without_leaving(self) -> Self {
        match self {
            Self::EndpointLeaving => Self::EndpointHeld,
            answer => answer,
        }
    }
}

impl From<Result<(), TunnelRefusal>> for TunnelAnswer {
    fn from(result: Result<(), TunnelRefusal>) -> Self {
        match result {
            Ok(()) => Self::Open,
            Err(TunnelRefusal::UnknownEndpoint) => Self::UnknownEndpoint,
            Err(TunnelRefusal::EndpointUnreachable) => Self::EndpointUnreachable,
            Err(TunnelRefusal::EndpointHeld) => Self::EndpointHeld,
            Err(TunnelRefusal::EndpointLeaving) => Self::EndpointLeaving,
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
            TunnelAnswer::EndpointHeld => Err(TunnelRefusal::EndpointHeld),
            TunnelAnswer::EndpointLeaving => Err(TunnelRefusal::EndpointLeaving),
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

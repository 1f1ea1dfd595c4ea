//! Tunnels through other instances to endpoints.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream, unfold};
use futures::{SinkExt, Stream, StreamExt};
use policy::ids::EndpointId;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

use crate::tunnel_message::{
    HostReport, MAX_FRAME_BYTES, TunnelAnswer, TunnelCall, TunnelPurpose, TunnelRefusal,
    TunnelRequest, broken_off, frame_codec,
};

type TunnelFrames = Framed<TcpStream, LengthDelimitedCodec>;

type TunnelReader = StreamReader<Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>, Bytes>;

type TunnelWriter = FrameWriter<SinkWriter<CopyToBytes<SplitSink<TunnelFrames, Bytes>>>>;

/// Writes at most one frame at once.
pub struct FrameWriter<W> {
    inner: W,
}

impl<W: AsyncWrite + Unpin> AsyncWrite for FrameWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = &bytes[..bytes.len().min(MAX_FRAME_BYTES)];
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// A connection to an endpoint through another instance. Reading ends with an error unless the
/// endpoint closed its connection in an orderly way.
pub type TunnelStream = tokio::io::Join<TunnelReader, TunnelWriter>;

/// Why no tunnel was opened.
#[derives::tag]
pub enum TunnelError {
    /// The instance refused.
    Refused(TunnelRefusal),
    /// The instance was not reached, or did not answer in time.
    Unanswered,
}

/// Asks the instance at `address` for a tunnel to `endpoint` for `purpose`.
///
/// # Errors
///
/// If the instance refuses, or has not opened the tunnel within `time_limit`.
pub async fn open_tunnel(
    address: SocketAddr,
    endpoint: &EndpointId,
    purpose: TunnelPurpose,
    time_limit: Duration,
) -> Result<TunnelStream, TunnelError> {
    let opened = timeout(time_limit, request_tunnel(address, endpoint, purpose)).await;
    let answered = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let (frames, answer) = answered.map_err(|_| TunnelError::Unanswered)?;
    Result::from(answer).map_err(TunnelError::Refused)?;
    let (sink, frames) = frames.split();
    let reader: Pin<Box<dyn Stream<Item = io::Result<Bytes>>>> = Box::pin(content(frames));
    Ok(tokio::io::join(
        StreamReader::new(reader),
        FrameWriter {
            inner: SinkWriter::new(CopyToBytes::new(sink)),
        },
    ))
}

/// Tells the instance at `address` what an endpoint has said in an answer that came through a tunnel of
/// it.
///
/// # Errors
///
/// If the message was not sent within `time_limit`. Whether it arrives is not known.
pub async fn report_to_host(
    address: SocketAddr,
    report: &HostReport,
    time_limit: Duration,
) -> io::Result<()> {
    let call = TunnelCall::Report(report.clone());
    timeout(time_limit, send_call(address, call)).await??;
    Ok(())
}

async fn send_call(address: SocketAddr, call: TunnelCall) -> io::Result<TunnelFrames> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, frame_codec());
    let request = serde_json::to_vec(&TunnelRequest::from(call))?;
    frames.send(Bytes::from(request)).await?;
    Ok(frames)
}

async fn request_tunnel(
    address: SocketAddr,
    endpoint: &EndpointId,
    purpose: TunnelPurpose,
) -> io::Result<(TunnelFrames, TunnelAnswer)> {
    let mut frames = send_call(address, TunnelCall::Open(endpoint.clone(), purpose)).await?;
    let answer = frames.next().await.ok_or_else(broken_off)??;
    Ok((frames, serde_json::from_slice(&answer)?))
}

/// The bytes that the endpoint sends.
fn content(frames: SplitStream<TunnelFrames>) -> impl Stream<Item = io::Result<Bytes>> {
    unfold(Some(frames), |frames| async move {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(bytes)) if bytes.is_empty() => None,
            Some(Ok(bytes)) => Some((Ok(bytes.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(broken_off()), None)),
        }
    })
}

//! The side of a tunnel that connects to the endpoint.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::{Sink, SinkExt, Stream, StreamExt};
use policy::ids::EndpointId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::accept::accept;
use crate::tunnel_message::{
    HostReport, TunnelAnswer, TunnelCall, TunnelPurpose, TunnelRefusal, TunnelRequest, broken_off,
    frame_codec,
};

/// Largest number of bytes in a frame.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Limit for the first message.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts a tunnel as open until it is dropped.
pub trait TunnelGuard {}

/// A connection to an endpoint for a tunnel.
pub struct TunnelTarget {
    /// The connection.
    pub stream: TcpStream,
    /// Dropped at the end of the tunnel.
    pub guard: Box<dyn TunnelGuard>,
}

/// Connects to endpoints for other instances.
pub trait TunnelHandler {
    /// Connects directly to `endpoint`, never through a tunnel, so that tunnels have one hop.
    fn connect(
        &self,
        endpoint: EndpointId,
        purpose: TunnelPurpose,
    ) -> LocalBoxFuture<'_, Result<TunnelTarget, TunnelRefusal>>;

    /// Records what an endpoint has said in an answer that came through a tunnel of this instance.
    fn told(&self, report: HostReport);
}

/// Serves tunnels on `listener`. Runs on the calling thread and never returns; connections are
/// spawned on the thread's local task set.
pub async fn serve_tunnels(listener: TcpListener, handler: Rc<dyn TunnelHandler>) {
    loop {
        let stream = accept(&listener).await;
        let handler = Rc::clone(&handler);
        tokio::task::spawn_local(async move {
            // Both ends notice themselves how a tunnel ended.
            if let Err(error) = serve_tunnel(stream, handler.as_ref()).await {
                spdlog::debug!("tunnel broken off", kv: { error: });
            }
        });
    }
}

async fn serve_tunnel(stream: TcpStream, handler: &dyn TunnelHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, frame_codec());
    let first = timeout(REQUEST_TIMEOUT, frames.next()).await?;
    let request: TunnelRequest = serde_json::from_slice(&first.ok_or_else(broken_off)??)?;
    let reads_leaving = request.reads_leaving;
    let (endpoint, purpose) = match TunnelCall::from(request) {
        TunnelCall::Open(endpoint, purpose) => (endpoint, purpose),
        TunnelCall::Report(report) => {
            handler.told(report);
            return Ok(());
        }
    };
    let connected = handler.connect(endpoint, purpose).await;
    let result = connected.as_ref().map(|_| ()).map_err(|refusal| *refusal);
    let mut answer = TunnelAnswer::from(result);
    if !reads_leaving {
        answer = answer.without_leaving();
    }
    let answer = serde_json::to_vec(&answer)?;
    frames.send(Bytes::from(answer)).await?;
    let Ok(TunnelTarget { stream, guard }) = connected else {
        return Ok(());
    };
    let (reader, writer) = stream.into_split();
    let (sink, frames) = frames.split();
    let is_writing = Cell::new(false);
    let ended = tokio::select! {
        sent = send_requests(frames, writer, &is_writing) => sent,
        answered = send_answers(reader, sink, &is_writing) => answered,
    };
    drop(guard);
    ended
}

/// Passes on what the instance sends, until it ends the tunnel. `is_writing` tells whether the endpoint
/// has yet to take a part of it.
async fn send_requests(
    mut frames: impl Stream<Item = io::Result<bytes::BytesMut>> + Unpin,
    mut endpoint: OwnedWriteHalf,
    is_writing: &Cell<bool>,
) -> io::Result<()> {
    while let Some(bytes) = frames.next().await {
        is_writing.set(true);
        endpoint.write_all(&bytes?).await?;
        is_writing.set(false);
    }
    Ok(())
}

/// Passes on what the endpoint sends, and that it has closed the connection in an orderly way, which one
/// that closes it in the middle of a request has not.
async fn send_answers(
    mut endpoint: OwnedReadHalf,
    mut frames: impl Sink<Bytes, Error = io::Error> + Unpin,
    is_writing: &Cell<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = endpoint.read(&mut buffer).await?;
        if length == 0 {
            if is_writing.get() {
                return Err(broken_off());
            }
            endpoint.as_ref().take_error()?.map_or(Ok(()), Err)?;
        }
        frames
            .send(Bytes::copy_from_slice(&buffer[..length]))
            .await?;
        if length == 0 {
            return Ok(());
        }
    }
}

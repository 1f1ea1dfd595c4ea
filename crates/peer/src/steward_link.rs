//! An instance's session with a steward.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::future::LocalBoxFuture;
use futures::{AsyncReadExt, FutureExt};
use peer_schema::dispatch_capnp::{instance, session};
use policy::dispatch::placement::{InFlightRun, PlacementDecision, PlacementRequest};
use policy::ids::InstanceId;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::dispatch_message::{RunNote, read_verdict, write_held, write_note, write_work};
use crate::message::list_length;
use crate::port::PeerFault;

/// A session with a steward. Dropping it ends the session.
pub struct StewardLink {
    session: session::Client,
    task: AbortHandle,
}

impl Drop for StewardLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StewardLink {
    /// Connects to the steward at `address` and tells it of the runs in `held`, within `bound`.
    ///
    /// # Errors
    ///
    /// When it cannot be reached or does not answer.
    pub async fn join(
        address: SocketAddr,
        instance: &InstanceId,
        held: &[InFlightRun],
        bound: Duration,
    ) -> Result<Self, PeerFault> {
        let (steward, task) = open(address, bound).await?;
        let joined = timeout(bound, join_session(&steward, instance, held)).await;
        let Ok(Ok(session)) = joined else {
            task.abort();
            return Err(PeerFault::AnswerLost);
        };
        Ok(Self { session, task })
    }

    /// Whether the connection still stands, as far as is known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.task.is_finished()
    }

    /// Asks for a place; dropping the answer withdraws the ask.
    #[must_use]
    pub fn ask(
        &self,
        number: u64,
        work: &PlacementRequest,
    ) -> LocalBoxFuture<'static, Result<PlacementDecision, PeerFault>> {
        let mut request = self.session.ask_request();
        let mut form = request.get();
        form.set_number(number);
        let written = write_work(form.init_work(), work);
        async move {
            written.map_err(|_| PeerFault::Unreachable)?;
            let answer = request.send().promise.await.map_err(lost)?;
            let verdict = answer
                .get()
                .and_then(session::ask_results::Reader::get_verdict);
            verdict.and_then(read_verdict).map_err(lost)
        }
        .boxed_local()
    }

    /// Tells what became of granted runs.
    pub fn note(&self, notes: &[RunNote]) {
        let Ok(length) = list_length(notes.len()) else {
            return;
        };
        let mut request = self.session.note_request();
        let mut list = request.get().init_notes(length);
        for (index, note) in (0..length).zip(notes) {
            write_note(list.reborrow().get(index), note);
        }
        let sent = request.send().promise;
        tokio::task::spawn_local(async move {
            // A steward that is gone forgets the runs; its successor is told of those that live.
            let _ = sent.await;
        });
    }

    /// Shows that the steward is there.
    #[must_use]
    pub fn ping(&self) -> LocalBoxFuture<'static, Result<(), PeerFault>> {
        let sent = self.session.ping_request().send().promise;
        async move { sent.await.map(|_| ()).map_err(lost) }.boxed_local()
    }
}

fn lost(_error: Error) -> PeerFault {
    PeerFault::AnswerLost
}

/// Connects to the instance at `address`.
pub(crate) async fn open(
    address: SocketAddr,
    bound: Duration,
) -> Result<(instance::Client, AbortHandle), PeerFault> {
    let connected = timeout(bound, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(PeerFault::Unreachable);
    };
    stream
        .set_nodelay(true)
        .map_err(|_| PeerFault::Unreachable)?;
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let options = capnp::message::ReaderOptions::new();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let task = tokio::task::spawn_local(async move {
        // The end of the connection is seen by the messages that wait on it.
        let _ = system.await;
    });
    Ok((client, task.abort_handle()))
}

async fn join_session(
    steward: &instance::Client,
    instance: &InstanceId,
    held: &[InFlightRun],
) -> Result<session::Client, Error> {
    let mut request = steward.join_request();
    let mut form = request.get();
    form.set_instance(instance.as_str());
    let length = list_length(held.len())?;
    let mut list = form.init_held(length);
    for (index, run) in (0..length).zip(held) {
        write_held(list.reborrow().get(index), run)?;
    }
    let answer = request.send().promise.await?;
    answer.get()?.get_session()
}

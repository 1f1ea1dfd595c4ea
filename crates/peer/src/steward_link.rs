//! An instance's session with a steward: the instance whose dispatcher places the requests of the
//! fleet or of a failure domain (see `policy::fleet`). The stewards of pools, to which the messages
//! of [`PeerPort`](crate::port::PeerPort) go, have no sessions.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::{Error, ErrorKind};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::future::LocalBoxFuture;
use futures::{AsyncReadExt, FutureExt};
use peer_schema::dispatch_capnp::{instance, session};
use policy::dispatch::placement::{InFlightRun, PlacementDecision, PlacementRequest};
use policy::ids::{EndpointId, InstanceId};
use policy::rate_limit::PermitDecision;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::dispatch_message::{
    RunUpdate, read_placement_decision, write_in_flight_run, write_placement_request,
    write_run_update,
};
use crate::message::list_length;
use crate::message_size::message_options;
use crate::port::PeerError;

/// A session with a steward; dropping it ends the session.
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
    /// Connects to the steward at `address` and reports the runs in flight. Connecting and joining
    /// may each take up to `time_limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the steward cannot be reached or does not answer in time.
    pub async fn join(
        address: SocketAddr,
        instance: &InstanceId,
        runs: &[InFlightRun],
        time_limit: Duration,
    ) -> Result<Self, PeerError> {
        let (steward, task) = open(address, time_limit).await?;
        let joined = timeout(time_limit, join_session(&steward, instance, runs)).await;
        let fault = match joined {
            Ok(Ok(session)) => return Ok(Self { session, task }),
            Ok(Err(error)) => message_fault(&error),
            Err(_) => PeerError::Silent,
        };
        task.abort();
        Err(fault)
    }

    /// Whether the connection is still open; a broken connection may be noticed late.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.task.is_finished()
    }

    /// Sends a placement request. Dropping the future only drops the decision; a report of the run's
    /// end withdraws the request.
    #[must_use]
    pub fn request_placement(
        &self,
        number: u64,
        placement_request: &PlacementRequest,
    ) -> LocalBoxFuture<'static, Result<PlacementDecision, PeerError>> {
        let mut request = self.session.ask_request();
        let mut builder = request.get();
        builder.set_number(number);
        let written = write_placement_request(builder.init_work(), placement_request);
        async move {
            written.map_err(|_| PeerError::Unreachable)?;
            let answer = request.send().promise.await.map_err(answer_lost)?;
            let decision = answer
                .get()
                .and_then(session::ask_results::Reader::get_verdict);
            decision
                .and_then(read_placement_decision)
                .map_err(answer_lost)
        }
        .boxed_local()
    }

    /// Asks for permission to send a call to a limited endpoint of a plain service.
    #[must_use]
    pub fn request_permit(
        &self,
        endpoint: &EndpointId,
    ) -> LocalBoxFuture<'static, Result<PermitDecision, PeerError>> {
        let mut request = self.session.permit_request();
        request.get().set_endpoint(endpoint.as_str());
        let sent = request.send().promise;
        async move {
            let answer = sent.await.map_err(answer_lost)?;
            let reader = answer.get().map_err(answer_lost)?;
            Ok(if reader.get_granted() {
                PermitDecision::Granted
            } else {
                PermitDecision::Wait(reader.get_wait_ms())
            })
        }
        .boxed_local()
    }

    /// Reports progress and ends of granted runs, without waiting for an answer.
    pub fn report_runs(&self, updates: &[RunUpdate]) {
        let Ok(length) = list_length(updates.len()) else {
            return;
        };
        let mut request = self.session.note_request();
        let mut list = request.get().init_notes(length);
        for (index, update) in (0..length).zip(updates) {
            write_run_update(list.reborrow().get(index), update);
        }
        let sent = request.send().promise;
        tokio::task::spawn_local(async move {
            // If the steward is gone, the report is not needed: its successor is told of the runs
            // in flight when this instance joins.
            let _ = sent.await;
        });
    }

    /// Checks that the steward answers and the session is still valid.
    #[must_use]
    pub fn ping(&self) -> LocalBoxFuture<'static, Result<(), PeerError>> {
        let sent = self.session.ping_request().send().promise;
        async move { sent.await.map(|_| ()).map_err(answer_lost) }.boxed_local()
    }
}

fn answer_lost(_error: Error) -> PeerError {
    PeerError::AnswerLost
}

/// Why a message has no answer: an instance that does not accept one answers with an error.
pub(crate) fn message_fault(error: &Error) -> PeerError {
    match error.kind {
        ErrorKind::Failed => PeerError::Refused,
        _ => PeerError::AnswerLost,
    }
}

/// Connects to the instance at `address` within `time_limit`; aborting the task closes the
/// connection.
pub(crate) async fn open(
    address: SocketAddr,
    time_limit: Duration,
) -> Result<(instance::Client, AbortHandle), PeerError> {
    let connected = timeout(time_limit, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(PeerError::Unreachable);
    };
    stream
        .set_nodelay(true)
        .map_err(|_| PeerError::Unreachable)?;
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let options = message_options();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let task = tokio::task::spawn_local(async move {
        // Messages in flight fail when the connection ends, so its result is not needed.
        let _ = system.await;
    });
    Ok((client, task.abort_handle()))
}

async fn join_session(
    steward: &instance::Client,
    instance: &InstanceId,
    runs: &[InFlightRun],
) -> Result<session::Client, Error> {
    let mut request = steward.join_request();
    let mut builder = request.get();
    builder.set_instance(instance.as_str());
    let length = list_length(runs.len())?;
    let mut list = builder.init_held(length);
    for (index, run) in (0..length).zip(runs) {
        write_in_flight_run(list.reborrow().get(index), run)?;
    }
    let answer = request.send().promise.await?;
    answer.get()?.get_session()
}

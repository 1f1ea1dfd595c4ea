//! Serves other instances: the sessions of the instances whose steward this instance is, and
//! changes of the platform's key-value store.

use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use futures::future::LocalBoxFuture;
use peer_schema::dispatch_capnp::{instance, session};
use policy::dispatch::placement::{InFlightRun, PlacementDecision, PlacementRequest};
use policy::ids::{EndpointId, InstanceId};
use policy::rate_limit::PermitDecision;
use policy::store_position::StorePosition;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::accept::accept;
use crate::change_link::{ChangeHandler, write_answer};
use crate::dispatch_message::{
    RunUpdate, read_in_flight_run, read_placement_request, read_run_update,
    write_placement_decision,
};
use crate::message_size::steward_request_options;
use crate::silence_timer::{HeardReader, SilenceTimer};

/// Time without a byte from another instance after which its connection is closed. Members ping and
/// followers ask about once a second; a session without a message ends sooner.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// Handles the sessions of other instances on a steward.
pub trait StewardHandler {
    /// Begins a session of an instance with its runs in flight. Returns the session's number, which
    /// is never zero, or `None` if this instance knows no pool yet and cannot decide on requests.
    fn join(&self, instance: InstanceId, runs: Vec<InFlightRun>) -> Option<u64>;

    /// Decides on a placement request. Dropping the future does not withdraw the request; that takes
    /// a report of the run's end, or the end of the session.
    fn request_placement(
        &self,
        session: u64,
        number: u64,
        placement_request: PlacementRequest,
    ) -> LocalBoxFuture<'static, PlacementDecision>;

    /// Counts a call to a limited endpoint of a plain service if the endpoint may get one now.
    fn request_permit(&self, endpoint: &EndpointId) -> PermitDecision;

    /// Records progress and ends of granted runs.
    fn report_runs(&self, session: u64, updates: Vec<RunUpdate>);

    /// Whether the session is still valid; called for every message, so it also counts as a sign
    /// of life.
    fn is_current(&self, session: u64) -> bool;

    /// Ends a session after its connection closed.
    fn leave(&self, session: u64);
}

/// Serves sessions and changes of the platform's key-value store to other instances on `listener`.
/// Runs on the calling thread and never returns; connections are spawned on the thread's local task
/// set.
pub async fn serve_instance(
    listener: TcpListener,
    handler: Rc<dyn StewardHandler>,
    change_handler: Rc<dyn ChangeHandler>,
) {
    let server = Rc::new(InstanceService {
        handler,
        change_handler,
    });
    let client: instance::Client = capnp_rpc::new_client_from_rc(server);
    loop {
        let stream = accept(&listener).await;
        tokio::task::spawn_local(serve_stream(stream, client.clone()));
    }
}

async fn serve_stream(stream: TcpStream, client: instance::Client) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.compat().split();
    let silence = Rc::new(SilenceTimer::new(MAX_SILENCE));
    let reader = HeardReader::new(reader, Rc::clone(&silence));
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let options = steward_request_options();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Server, options);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    // When the connection ends, its `SessionService` is dropped, which ends the session.
    tokio::select! {
        // What has arrived is read before the silence is judged: this process may have been suspended.
        biased;
        _ = system => {}
        () = silence.wait() => spdlog::info!("silent connection of an instance closed"),
    }
}

struct InstanceService {
    handler: Rc<dyn StewardHandler>,
    change_handler: Rc<dyn ChangeHandler>,
}

impl instance::Server for InstanceService {
    async fn changes(
        self: Rc<Self>,
        params: instance::ChangesParams,
        mut results: instance::ChangesResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let wait = Duration::from_millis(reader.get_wait_ms());
        let after = StorePosition {
            era: reader.get_era(),
            revision: reader.get_after(),
        };
        let answer = self.change_handler.changes(after, wait).await;
        write_answer(results.get(), &answer)
    }

    async fn join(
        self: Rc<Self>,
        params: instance::JoinParams,
        mut results: instance::JoinResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let instance = InstanceId::new(reader.get_instance()?.to_str()?);
        let runs = reader.get_held()?.iter().map(read_in_flight_run);
        let runs = runs.collect::<Result<_, Error>>()?;
        let Some(number) = self.handler.join(instance, runs) else {
            return Err(Error::failed("no pool is known yet".to_owned()));
        };
        let session = SessionService {
            number,
            handler: Rc::clone(&self.handler),
        };
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

struct SessionService {
    number: u64,
    handler: Rc<dyn StewardHandler>,
}

impl SessionService {
    fn check(&self) -> Result<(), Error> {
        if self.handler.is_current(self.number) {
            return Ok(());
        }
        Err(Error::disconnected("the session has ended".to_owned()))
    }
}

impl Drop for SessionService {
    fn drop(&mut self) {
        self.handler.leave(self.number);
    }
}

impl session::Server for SessionService {
    async fn ask(
        self: Rc<Self>,
        params: session::AskParams,
        mut results: session::AskResults,
    ) -> Result<(), Error> {
        self.check()?;
        let reader = params.get()?;
        let placement_request = read_placement_request(reader.get_work()?)?;
        let decision = self
            .handler
            .request_placement(self.number, reader.get_number(), placement_request)
            .await;
        write_placement_decision(results.get().init_verdict(), &decision)
    }

    async fn note(
        self: Rc<Self>,
        params: session::NoteParams,
        _results: session::NoteResults,
    ) -> Result<(), Error> {
        self.check()?;
        let updates = params.get()?.get_notes()?.iter().map(read_run_update);
        self.handler
            .report_runs(self.number, updates.collect::<Result<_, Error>>()?);
        Ok(())
    }

    async fn permit(
        self: Rc<Self>,
        params: session::PermitParams,
        mut results: session::PermitResults,
    ) -> Result<(), Error> {
        self.check()?;
        let endpoint = EndpointId::new(params.get()?.get_endpoint()?.to_str()?);
        match self.handler.request_permit(&endpoint) {
            PermitDecision::Granted => results.get().set_granted(true),
            PermitDecision::Wait(wait) => results.get().set_wait_ms(wait),
        }
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: session::PingParams,
        _results: session::PingResults,
    ) -> Result<(), Error> {
        self.check()
    }
}

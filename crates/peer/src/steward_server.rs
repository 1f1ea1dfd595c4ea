//! Serves other instances: the sessions of those that this instance is steward for, and changes of
//! the platform's store.

use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use futures::future::LocalBoxFuture;
use peer_schema::dispatch_capnp::{instance, session};
use policy::dispatch::placement::{InFlightRun, PlacementDecision, PlacementRequest};
use policy::ids::InstanceId;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::change_link::{ChangeHandler, write_batch};
use crate::dispatch_message::{RunNote, read_held, read_note, read_work, write_verdict};

/// Decides for other instances.
pub trait StewardHandler {
    /// An instance begins a session; the answer is the session's number, never zero, or `None` if
    /// this instance cannot decide for anyone yet.
    fn join(&self, instance: InstanceId, held: Vec<InFlightRun>) -> Option<u64>;

    /// Takes an ask; dropping the future withdraws it.
    fn ask(
        &self,
        session: u64,
        number: u64,
        work: PlacementRequest,
    ) -> LocalBoxFuture<'static, PlacementDecision>;

    /// Hears what became of granted runs.
    fn note(&self, session: u64, notes: Vec<RunNote>);

    /// Whether the session still stands; it has just been heard.
    fn is_current(&self, session: u64) -> bool;

    /// The session has ended.
    fn leave(&self, session: u64);
}

/// Serves other instances on `listener`: sessions, and changes of the platform's store, on the calling thread, for as long as it is polled.
pub async fn serve_instance(
    listener: TcpListener,
    handler: Rc<dyn StewardHandler>,
    changes: Rc<dyn ChangeHandler>,
) {
    let server = Rc::new(InstanceServer { handler, changes });
    let client: instance::Client = capnp_rpc::new_client_from_rc(server);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accept failed", kv: { error: });
                continue;
            }
        };
        tokio::task::spawn_local(serve_stream(stream, client.clone()));
    }
}

async fn serve_stream(stream: TcpStream, client: instance::Client) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let options = capnp::message::ReaderOptions::new();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Server, options);
    // With the connection its session is dropped, and so ended.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

struct InstanceServer {
    handler: Rc<dyn StewardHandler>,
    changes: Rc<dyn ChangeHandler>,
}

impl instance::Server for InstanceServer {
    async fn changes(
        self: Rc<Self>,
        params: instance::ChangesParams,
        mut results: instance::ChangesResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let wait = Duration::from_millis(form.get_wait_ms());
        let batch = self.changes.changes(form.get_after(), wait).await;
        write_batch(results.get(), batch.as_ref())
    }

    async fn join(
        self: Rc<Self>,
        params: instance::JoinParams,
        mut results: instance::JoinResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let instance = InstanceId::new(form.get_instance()?.to_str()?);
        let held = form.get_held()?.iter().map(read_held);
        let held = held.collect::<Result<_, Error>>()?;
        let Some(number) = self.handler.join(instance, held) else {
            return Err(Error::failed("no pool is known yet".to_owned()));
        };
        let session = SessionServer {
            number,
            handler: Rc::clone(&self.handler),
        };
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

struct SessionServer {
    number: u64,
    handler: Rc<dyn StewardHandler>,
}

impl SessionServer {
    fn check(&self) -> Result<(), Error> {
        if self.handler.is_current(self.number) {
            return Ok(());
        }
        Err(Error::disconnected("the session has ended".to_owned()))
    }
}

impl Drop for SessionServer {
    fn drop(&mut self) {
        self.handler.leave(self.number);
    }
}

impl session::Server for SessionServer {
    async fn ask(
        self: Rc<Self>,
        params: session::AskParams,
        mut results: session::AskResults,
    ) -> Result<(), Error> {
        self.check()?;
        let form = params.get()?;
        let work = read_work(form.get_work()?)?;
        let verdict = self.handler.ask(self.number, form.get_number(), work).await;
        write_verdict(results.get().init_verdict(), &verdict)
    }

    async fn note(
        self: Rc<Self>,
        params: session::NoteParams,
        _results: session::NoteResults,
    ) -> Result<(), Error> {
        self.check()?;
        let notes = params.get()?.get_notes()?.iter().map(read_note);
        self.handler
            .note(self.number, notes.collect::<Result<_, Error>>()?);
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

//! Listens for other entry instances.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use peer_schema::peer_capnp::peer;
use policy::ids::{EndpointId, PoolId};
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::GrantId;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::handler::{PeerHandler, ProbeMessage, RelayVerdict};
use crate::message::{
    from_json, list_length, read_ask, read_digest, read_updates, to_json, write_decision,
    write_digest, write_updates,
};

/// Serves other entry instances on `listener`, on the calling thread, for as long as it is
/// polled.
pub async fn serve_peers(listener: TcpListener, handler: Rc<dyn PeerHandler>) {
    let server = Rc::new(PeerServer { handler });
    let client: peer::Client = capnp_rpc::new_client_from_rc(server);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let client = client.clone();
        tokio::task::spawn_local(serve_stream(stream, client));
    }
}

async fn serve_stream(stream: TcpStream, client: peer::Client) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Server,
        capnp::message::ReaderOptions::new(),
    );
    // A broken connection is the caller's to notice and replace.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

struct PeerServer {
    handler: Rc<dyn PeerHandler>,
}

impl peer::Server for PeerServer {
    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let message = ProbeMessage {
            from: form.get_from()?.to_string()?,
            updates: read_updates(form.get_updates()?)?,
            digest: read_digest(form.get_digest()?),
        };
        let answer = self.handler.probe(message);
        let mut form = results.get();
        let length = list_length(answer.updates.len())?;
        write_updates(form.reborrow().init_updates(length), &answer.updates);
        write_digest(form.init_digest(), answer.digest);
        Ok(())
    }

    async fn relay(
        self: Rc<Self>,
        params: peer::RelayParams,
        mut results: peer::RelayResults,
    ) -> Result<(), Error> {
        let address = params.get()?.get_address()?.to_string()?;
        let verdict = self.handler.relay(address).await;
        results
            .get()
            .set_answered(verdict == RelayVerdict::Answered);
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: peer::AskParams,
        mut results: peer::AskResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let pool = PoolId::new(form.get_pool()?.to_str()?);
        let ask = read_ask(form.get_ask()?)?;
        let decision = self.handler.ask(pool, ask).await;
        write_decision(results.get().init_decision(), &decision)
    }

    async fn release(
        self: Rc<Self>,
        params: peer::ReleaseParams,
        _results: peer::ReleaseResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let pool = PoolId::new(form.get_pool()?.to_str()?);
        self.handler.release(&pool, GrantId(form.get_id()));
        Ok(())
    }

    async fn announce(
        self: Rc<Self>,
        params: peer::AnnounceParams,
        mut results: peer::AnnounceResults,
    ) -> Result<(), Error> {
        let list: Vec<_> = from_json(params.get()?.get_announcements()?.to_str()?)?;
        let known = self.handler.announce(&list);
        results.get().set_announcements(to_json(&known)?);
        Ok(())
    }

    async fn documents(
        self: Rc<Self>,
        params: peer::DocumentsParams,
        mut results: peer::DocumentsResults,
    ) -> Result<(), Error> {
        let batch = self.handler.documents(params.get()?.get_since());
        let mut form = results.get();
        form.set_version(batch.version);
        form.set_documents(to_json(&batch.documents)?);
        Ok(())
    }

    async fn apply(
        self: Rc<Self>,
        params: peer::ApplyParams,
        mut results: peer::ApplyResults,
    ) -> Result<(), Error> {
        let documents: Vec<_> = from_json(params.get()?.get_documents()?.to_str()?)?;
        let report = self.handler.apply(&documents);
        let mut form = results.get();
        form.set_version(report.version);
        let length = list_length(report.members.len())?;
        write_updates(form.init_members(length), &report.members);
        Ok(())
    }

    async fn rollout(
        self: Rc<Self>,
        params: peer::RolloutParams,
        mut results: peer::RolloutResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let documents = from_json(form.get_documents()?.to_str()?)?;
        let report = self.handler.rollout(form.get_version(), documents).await;
        results.get().set_report(to_json(&report)?);
        Ok(())
    }

    async fn crashed(
        self: Rc<Self>,
        params: peer::CrashedParams,
        _results: peer::CrashedResults,
    ) -> Result<(), Error> {
        let form = params.get()?.get_crash()?;
        self.handler.crashed(&CrashReport {
            fingerprint: Fingerprint(form.get_fingerprint()),
            endpoint: EndpointId::new(form.get_endpoint()?.to_str()?),
        });
        Ok(())
    }

    async fn failed(
        self: Rc<Self>,
        params: peer::FailedParams,
        _results: peer::FailedResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let pool = PoolId::new(form.get_pool()?.to_str()?);
        let endpoint = EndpointId::new(form.get_endpoint()?.to_str()?);
        self.handler.failed(&pool, &endpoint);
        Ok(())
    }

    async fn demand(
        self: Rc<Self>,
        params: peer::DemandParams,
        mut results: peer::DemandResults,
    ) -> Result<(), Error> {
        let form = params.get()?;
        let pool = PoolId::new(form.get_pool()?.to_str()?);
        let changing: Vec<EndpointId> = form
            .get_changing()?
            .iter()
            .map(|text| Ok(EndpointId::new(text?.to_str()?)))
            .collect::<Result<_, Error>>()?;
        let demand = self.handler.demand(&pool, &changing);
        results.get().set_demand(to_json(&demand)?);
        Ok(())
    }

    async fn quarantined(
        self: Rc<Self>,
        _params: peer::QuarantinedParams,
        mut results: peer::QuarantinedResults,
    ) -> Result<(), Error> {
        let prints = self.handler.quarantined();
        let length = list_length(prints.len())?;
        let mut list = results.get().init_fingerprints(length);
        for (index, print) in (0..length).zip(&prints) {
            list.set(index, print.0);
        }
        Ok(())
    }
}

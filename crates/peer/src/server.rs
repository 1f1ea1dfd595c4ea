//! The server side of messages between entry instances.

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

use crate::accept::accept;
use crate::handler::{PeerHandler, ProbeMessage, RelayOutcome};
use crate::message::{
    from_json, list_length, read_digest, read_grant_request, read_updates, to_json, write_decision,
    write_digest, write_updates,
};
use crate::message_size::message_options;

/// Serves other entry instances on `listener`. Runs on the calling thread and never returns;
/// connections are spawned on the thread's local task set.
pub async fn serve_peers(listener: TcpListener, handler: Rc<dyn PeerHandler>) {
    let server = Rc::new(PeerService { handler });
    let client: peer::Client = capnp_rpc::new_client_from_rc(server);
    loop {
        let stream = accept(&listener).await;
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
    let options = message_options();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Server, options);
    // The client notices a broken connection and replaces it.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

struct PeerService {
    handler: Rc<dyn PeerHandler>,
}

impl peer::Server for PeerService {
    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let message = ProbeMessage {
            from: reader.get_from()?.to_string()?,
            updates: read_updates(reader.get_updates()?)?,
            digest: read_digest(reader.get_digest()?),
        };
        let answer = self.handler.probe(message);
        let mut builder = results.get();
        let length = list_length(answer.updates.len())?;
        write_updates(builder.reborrow().init_updates(length), &answer.updates);
        write_digest(builder.init_digest(), answer.digest);
        Ok(())
    }

    async fn relay(
        self: Rc<Self>,
        params: peer::RelayParams,
        mut results: peer::RelayResults,
    ) -> Result<(), Error> {
        let address = params.get()?.get_address()?.to_string()?;
        let outcome = self.handler.relay(address).await;
        results
            .get()
            .set_answered(outcome == RelayOutcome::Answered);
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: peer::AskParams,
        mut results: peer::AskResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let pool = PoolId::new(reader.get_pool()?.to_str()?);
        let request = read_grant_request(reader.get_ask()?)?;
        let decision = self.handler.request_grant(pool, request).await;
        write_decision(results.get().init_decision(), &decision)
    }

    async fn release(
        self: Rc<Self>,
        params: peer::ReleaseParams,
        _results: peer::ReleaseResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let pool = PoolId::new(reader.get_pool()?.to_str()?);
        self.handler.release(&pool, GrantId(reader.get_id()));
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
        let mut builder = results.get();
        builder.set_version(batch.version);
        builder.set_documents(to_json(&batch.documents)?);
        Ok(())
    }

    async fn apply(
        self: Rc<Self>,
        params: peer::ApplyParams,
        mut results: peer::ApplyResults,
    ) -> Result<(), Error> {
        let documents: Vec<_> = from_json(params.get()?.get_documents()?.to_str()?)?;
        let report = self.handler.apply(&documents);
        let mut builder = results.get();
        builder.set_version(report.version);
        let length = list_length(report.members.len())?;
        write_updates(builder.init_members(length), &report.members);
        Ok(())
    }

    async fn rollout(
        self: Rc<Self>,
        params: peer::RolloutParams,
        mut results: peer::RolloutResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let documents = from_json(reader.get_documents()?.to_str()?)?;
        let report = self.handler.rollout(reader.get_version(), documents).await;
        results.get().set_report(to_json(&report)?);
        Ok(())
    }

    async fn crashed(
        self: Rc<Self>,
        params: peer::CrashedParams,
        _results: peer::CrashedResults,
    ) -> Result<(), Error> {
        let reader = params.get()?.get_crash()?;
        self.handler.crashed(&CrashReport {
            fingerprint: Fingerprint(reader.get_fingerprint()),
            endpoint: EndpointId::new(reader.get_endpoint()?.to_str()?),
        });
        Ok(())
    }

    async fn failed(
        self: Rc<Self>,
        params: peer::FailedParams,
        _results: peer::FailedResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let pool = PoolId::new(reader.get_pool()?.to_str()?);
        let endpoint = EndpointId::new(reader.get_endpoint()?.to_str()?);
        self.handler.failed(&pool, &endpoint);
        Ok(())
    }

    async fn demand(
        self: Rc<Self>,
        params: peer::DemandParams,
        mut results: peer::DemandResults,
    ) -> Result<(), Error> {
        let reader = params.get()?;
        let pool = PoolId::new(reader.get_pool()?.to_str()?);
        let changing: Vec<EndpointId> = reader
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
        let fingerprints = self.handler.quarantined();
        let length = list_length(fingerprints.len())?;
        let mut list = results.get().init_fingerprints(length);
        for (index, fingerprint) in (0..length).zip(&fingerprints) {
            list.set(index, fingerprint.0);
        }
        Ok(())
    }
}

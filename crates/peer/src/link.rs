//! Connections to other entry instances: one per peer address, replaced when an answer times out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::{AsyncReadExt, FutureExt};
use peer_schema::peer_capnp::peer;
use policy::demand::PoolDemand;
use policy::ids::{EndpointId, PoolId};
use policy::leaving::Announcement;
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::{GrantDecision, GrantId, GrantRequest};
use policy::rollout::DomainReport;
use policy::template::ConfigDocument;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::handler::{ApplyReport, DocumentBatch, ProbeMessage, RelayOutcome};
use crate::message::{
    from_json, list_length, read_decision, read_digest, read_updates, to_json, write_digest,
    write_grant_request, write_updates,
};
use crate::message_size::message_options;
use crate::port::{PeerAnswer, PeerError, PeerPort};

struct PeerConnection {
    client: peer::Client,
    task: AbortHandle,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections of one thread to other entry instances.
///
/// Invariant: a message that gets no answer in time closes its connection, so that the next
/// message uses a new connection. A grant request that times out leaves its connection open.
pub struct PeerLinks {
    connections: RefCell<HashMap<String, PeerConnection>>,
    answer_timeout: Duration,
}

impl std::fmt::Debug for PeerLinks {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PeerLinks")
            .field("open", &self.connections.borrow().len())
            .finish_non_exhaustive()
    }
}

impl PeerLinks {
    /// Creates a client without connections. `answer_timeout` bounds connecting and ordinary
    /// answers; a relayed probe gets twice and a rollout three times as long.
    #[must_use]
    pub fn new(answer_timeout: Duration) -> Self {
        Self {
            connections: RefCell::new(HashMap::new()),
            answer_timeout,
        }
    }

    async fn client(&self, address: &str) -> Result<peer::Client, PeerError> {
        if let Some(connection) = self.connections.borrow().get(address)
            && !connection.task.is_finished()
        {
            return Ok(connection.client.clone());
        }
        let connect = TcpStream::connect(address);
        let Ok(Ok(stream)) = timeout(self.answer_timeout, connect).await else {
            return Err(PeerError::Unreachable);
        };
        stream
            .set_nodelay(true)
            .map_err(|_| PeerError::Unreachable)?;
        let connection = open_connection(stream);
        let client = connection.client.clone();
        self.connections
            .borrow_mut()
            .insert(address.to_owned(), connection);
        Ok(client)
    }

    /// Sends one message and waits for its answer; closes the connection if it fails or times out.
    async fn exchange<A, F>(
        &self,
        address: &str,
        time_limit: Duration,
        call: impl FnOnce(peer::Client) -> F,
    ) -> Result<A, PeerError>
    where
        F: Future<Output = Result<A, Error>>,
    {
        let client = self.client(address).await?;
        if let Ok(Ok(answer)) = timeout(time_limit, call(client)).await {
            return Ok(answer);
        }
        self.close(address);
        Err(PeerError::AnswerLost)
    }
}

impl PeerPort for PeerLinks {
    fn close(&self, address: &str) {
        self.connections.borrow_mut().remove(address);
    }

    fn probe<'a>(
        &'a self,
        address: &'a str,
        message: &'a ProbeMessage,
    ) -> PeerAnswer<'a, ProbeMessage> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.probe_request();
                let mut builder = request.get();
                builder.set_from(&message.from);
                let length = list_length(message.updates.len())?;
                write_updates(builder.reborrow().init_updates(length), &message.updates);
                write_digest(builder.init_digest(), message.digest);
                let answer = request.send().promise.await?;
                let reader = answer.get()?;
                Ok(ProbeMessage {
                    from: address.to_owned(),
                    updates: read_updates(reader.get_updates()?)?,
                    digest: read_digest(reader.get_digest()?),
                })
            })
            .await
        }
        .boxed_local()
    }

    fn relay<'a>(&'a self, relay: &'a str, address: &'a str) -> PeerAnswer<'a, RelayOutcome> {
        async move {
            self.exchange(relay, self.answer_timeout * 2, async |client| {
                let mut request = client.relay_request();
                request.get().set_address(address);
                let answer = request.send().promise.await?;
                Ok(if answer.get()?.get_answered() {
                    RelayOutcome::Answered
                } else {
                    RelayOutcome::Silent
                })
            })
            .await
        }
        .boxed_local()
    }

    fn request_grant<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        grant_request: &'a GrantRequest,
    ) -> PeerAnswer<'a, GrantDecision> {
        async move {
            let client = self.client(address).await?;
            let call = async {
                let mut request = client.ask_request();
                let mut builder = request.get();
                builder.set_pool(pool.as_str());
                write_grant_request(builder.init_ask(), grant_request)?;
                let answer = request.send().promise.await?;
                read_decision(answer.get()?.get_decision()?, grant_request)
            };
            let time_limit = Duration::from_millis(grant_request.time_left) + self.answer_timeout;
            match timeout(time_limit, call).await {
                Ok(Ok(decision)) => Ok(decision),
                Ok(Err(_)) | Err(_) => Err(PeerError::AnswerLost),
            }
        }
        .boxed_local()
    }

    fn release<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        grant: GrantId,
    ) -> PeerAnswer<'a, ()> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.release_request();
                request.get().set_pool(pool.as_str());
                request.get().set_id(grant.0);
                request.send().promise.await?;
                Ok(())
            })
            .await
        }
        .boxed_local()
    }

    fn announce<'a>(
        &'a self,
        address: &'a str,
        announcements: &'a [Announcement],
    ) -> PeerAnswer<'a, Vec<Announcement>> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.announce_request();
                request.get().set_announcements(to_json(&announcements)?);
                let answer = request.send().promise.await?;
                from_json(answer.get()?.get_announcements()?.to_str()?)
            })
            .await
        }
        .boxed_local()
    }

    fn documents<'a>(&'a self, address: &'a str, since: u64) -> PeerAnswer<'a, DocumentBatch> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.documents_request();
                request.get().set_since(since);
                let answer = request.send().promise.await?;
                let reader = answer.get()?;
                Ok(DocumentBatch {
                    version: reader.get_version(),
                    documents: from_json(reader.get_documents()?.to_str()?)?,
                })
            })
            .await
        }
        .boxed_local()
    }

    fn apply<'a>(
        &'a self,
        address: &'a str,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, ApplyReport> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.apply_request();
                request.get().set_documents(to_json(&documents)?);
                let answer = request.send().promise.await?;
                let reader = answer.get()?;
                Ok(ApplyReport {
                    version: reader.get_version(),
                    members: read_updates(reader.get_members()?)?,
                })
            })
            .await
        }
        .boxed_local()
    }

    fn rollout<'a>(
        &'a self,
        address: &'a str,
        version: u64,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, DomainReport> {
        async move {
            self.exchange(address, self.answer_timeout * 3, async |client| {
                let mut request = client.rollout_request();
                request.get().set_version(version);
                request.get().set_documents(to_json(&documents)?);
                let answer = request.send().promise.await?;
                from_json(answer.get()?.get_report()?.to_str()?)
            })
            .await
        }
        .boxed_local()
    }

    fn crashed<'a>(&'a self, address: &'a str, report: &'a CrashReport) -> PeerAnswer<'a, ()> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.crashed_request();
                let mut builder = request.get().init_crash();
                builder.set_fingerprint(report.fingerprint.0);
                builder.set_endpoint(report.endpoint.as_str());
                request.send().promise.await?;
                Ok(())
            })
            .await
        }
        .boxed_local()
    }

    fn failed<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        endpoint: &'a EndpointId,
    ) -> PeerAnswer<'a, ()> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.failed_request();
                request.get().set_pool(pool.as_str());
                request.get().set_endpoint(endpoint.as_str());
                request.send().promise.await?;
                Ok(())
            })
            .await
        }
        .boxed_local()
    }

    fn demand<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        changing: &'a [EndpointId],
    ) -> PeerAnswer<'a, PoolDemand> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let mut request = client.demand_request();
                request.get().set_pool(pool.as_str());
                let length = list_length(changing.len())?;
                let mut list = request.get().init_changing(length);
                for (index, endpoint) in (0..length).zip(changing) {
                    list.set(index, endpoint.as_str());
                }
                let answer = request.send().promise.await?;
                from_json(answer.get()?.get_demand()?.to_str()?)
            })
            .await
        }
        .boxed_local()
    }

    fn quarantined<'a>(&'a self, address: &'a str) -> PeerAnswer<'a, Vec<Fingerprint>> {
        async move {
            self.exchange(address, self.answer_timeout, async |client| {
                let answer = client.quarantined_request().send().promise.await?;
                let list = answer.get()?.get_fingerprints()?;
                Ok(list.iter().map(Fingerprint).collect())
            })
            .await
        }
        .boxed_local()
    }
}

fn open_connection(stream: TcpStream) -> PeerConnection {
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let options = message_options();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let task = tokio::task::spawn_local(async move {
        // Messages in flight fail when the connection ends, so its result is not needed.
        let _ = system.await;
    });
    PeerConnection {
        client,
        task: task.abort_handle(),
    }
}

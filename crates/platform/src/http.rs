//! Platform client over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use ntex::http::{Method, StatusCode};
use policy::store_position::StorePosition;
use serde::de::DeserializeOwned;
use transport::{ExchangeError, ExchangeLimits, HttpClient};

use crate::key_value::{
    CasOutcome, KeyValue, KeyValueError, LeaseId, LeaseState, ListedInstance, PlatformFuture,
    StoredKey, StoredValue, WatchReport,
};
use crate::wire::{
    InstanceEntry, KeyEntry, LeaseRequest, LeaseResponse, PutRequest, RenewResponse, SwapResponse,
    ValueResponse, WatchResponse,
};

/// Timeout of calls other than a watch, as [`ExchangeLimits::head`].
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a watch, as [`ExchangeLimits::head`]. The service holds a watch open until a change
/// or the end of the requested wait.
const WATCH_TIMEOUT: Duration = Duration::from_secs(35);

/// [`KeyValue`] over HTTP, for use on one thread.
#[derive(Debug, Clone)]
pub struct HttpPlatformClient {
    calls: HttpClient,
    watches: HttpClient,
    key_value: SocketAddr,
    instances: SocketAddr,
}

impl HttpPlatformClient {
    /// Creates a client for the key-value service and the instance list at these addresses.
    pub async fn new(key_value: SocketAddr, instances: SocketAddr) -> Self {
        let limits = |head| ExchangeLimits {
            head,
            ..ExchangeLimits::default()
        };
        Self {
            calls: HttpClient::new(limits(ANSWER_TIMEOUT)).await,
            watches: HttpClient::new(limits(WATCH_TIMEOUT)).await,
            key_value,
            instances,
        }
    }

    fn key_url(&self, key: &str) -> String {
        format!("http://{}/v1/kv/{key}", self.key_value)
    }
}

impl KeyValue for HttpPlatformClient {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<StoredValue>> {
        async move {
            let url = self.key_url(key);
            let (status, response) = self
                .calls
                .fetch::<ValueResponse>(Method::GET, &url)
                .await
                .map_err(key_value_error)?;
            if status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            require_body(response).map(|response| Some(response.into()))
        }
        .boxed_local()
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
        lease: Option<LeaseId>,
    ) -> PlatformFuture<'a, CasOutcome> {
        async move {
            let body = PutRequest {
                value: value.into(),
                expected,
                lease: lease.map(|lease| lease.0),
            };
            let url = self.key_url(key);
            let answer = self
                .calls
                .post::<SwapResponse>(Method::PUT, &url, &body)
                .await;
            swap_outcome(answer)
        }
        .boxed_local()
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> PlatformFuture<'a, CasOutcome> {
        async move {
            let url = format!("{}?expected={expected}", self.key_url(key));
            let answer = self.calls.fetch::<SwapResponse>(Method::DELETE, &url).await;
            swap_outcome(answer)
        }
        .boxed_local()
    }

    fn list<'a>(&'a self, prefix: &'a str, limit: usize) -> PlatformFuture<'a, Vec<StoredKey>> {
        async move {
            let url = format!(
                "http://{}/v1/list?prefix={prefix}&limit={limit}",
                self.key_value
            );
            let (_, entries) = self
                .calls
                .fetch::<Vec<KeyEntry>>(Method::GET, &url)
                .await
                .map_err(key_value_error)?;
            let entries = require_body(entries)?;
            Ok(entries.into_iter().map(StoredKey::from).collect())
        }
        .boxed_local()
    }

    fn grant_lease(&self, ttl: u64) -> PlatformFuture<'_, LeaseId> {
        async move {
            let url = format!("http://{}/v1/leases", self.key_value);
            let body = LeaseRequest { ttl_ms: ttl };
            let answer = self.calls.post::<LeaseResponse>(Method::POST, &url, &body);
            let (_, response) = answer.await.map_err(key_value_error)?;
            require_body(response).map(|response| LeaseId(response.lease))
        }
        .boxed_local()
    }

    fn renew_lease(&self, lease: LeaseId) -> PlatformFuture<'_, LeaseState> {
        async move {
            let url = format!("http://{}/v1/leases/{}", self.key_value, lease.0);
            let answer = self.calls.fetch::<RenewResponse>(Method::PUT, &url);
            let (_, response) = answer.await.map_err(key_value_error)?;
            let response = require_body(response)?;
            Ok(if response.renewed {
                LeaseState::Renewed
            } else {
                LeaseState::Expired
            })
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        wait: u64,
    ) -> PlatformFuture<'a, WatchReport> {
        async move {
            let url = format!(
                "http://{}/v1/watch?prefix={prefix}&after={}&wait_ms={wait}",
                self.key_value, after.revision
            );
            let answer = self.watches.fetch::<WatchResponse>(Method::GET, &url);
            let (_, response) = answer.await.map_err(key_value_error)?;
            require_body(response).map(WatchReport::from)
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        async move {
            let url = format!("http://{}/v1/instances", self.instances);
            let answer = self.calls.fetch::<Vec<InstanceEntry>>(Method::GET, &url);
            let (_, entries) = answer.await.map_err(key_value_error)?;
            let entries = require_body(entries)?;
            Ok(entries.into_iter().map(ListedInstance::from).collect())
        }
        .boxed_local()
    }
}

fn swap_outcome(
    answer: Result<(StatusCode, Option<SwapResponse>), ExchangeError>,
) -> Result<CasOutcome, KeyValueError> {
    let (_, response) = answer.map_err(key_value_error)?;
    let response = require_body(response)?;
    if response.written {
        return Ok(CasOutcome::Written(response.revision));
    }
    Ok(CasOutcome::Conflict(response.revision))
}

/// Returns the body of a successful answer. An error status counts as a lost answer, since a write
/// may have taken effect all the same.
fn require_body<A: DeserializeOwned>(response: Option<A>) -> Result<A, KeyValueError> {
    response.ok_or(KeyValueError::AnswerLost)
}

fn key_value_error(error: ExchangeError) -> KeyValueError {
    match error {
        ExchangeError::NotSent => KeyValueError::Unreachable,
        ExchangeError::Lost | ExchangeError::Silent => KeyValueError::AnswerLost,
        ExchangeError::Unreadable => KeyValueError::Unreadable,
    }
}

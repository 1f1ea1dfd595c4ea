//! The platform over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use ntex::http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use transport::{ExchangeFault, ExchangeLimits, HttpLink};

use crate::key_value::{
    CasVerdict, KeyValue, KeyValueFault, LeaseId, LeaseState, ListedInstance, PlatformFuture,
    StoredKey, StoredValue, WatchReport,
};
use crate::wire::{
    InstanceForm, KeyForm, LeaseForm, LeaseRequestForm, PutForm, RenewForm, SwapForm, ValueForm,
    WatchForm,
};

/// Longest wait for an ordinary answer.
const ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Longest wait for a watch, which the service holds open.
const WATCH_TIME: Duration = Duration::from_secs(35);

/// The platform's services, called from one thread.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    calls: HttpLink,
    watches: HttpLink,
    key_value: SocketAddr,
    instances: SocketAddr,
}

impl HttpPlatform {
    /// A client of the services at these addresses.
    pub async fn new(key_value: SocketAddr, instances: SocketAddr) -> Self {
        let limits = |head| ExchangeLimits {
            head,
            ..ExchangeLimits::default()
        };
        Self {
            calls: HttpLink::new(limits(ANSWER_TIME)).await,
            watches: HttpLink::new(limits(WATCH_TIME)).await,
            key_value,
            instances,
        }
    }

    fn key_url(&self, key: &str) -> String {
        format!("http://{}/v1/kv/{key}", self.key_value)
    }
}

impl KeyValue for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<StoredValue>> {
        async move {
            let url = self.key_url(key);
            let (status, form) = self
                .calls
                .fetch::<ValueForm>(Method::GET, &url)
                .await
                .map_err(fault)?;
            if status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            expect(form).map(|form| Some(form.into()))
        }
        .boxed_local()
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
        lease: Option<LeaseId>,
    ) -> PlatformFuture<'a, CasVerdict> {
        async move {
            let body = PutForm {
                value: value.into(),
                expected,
                lease: lease.map(|lease| lease.0),
            };
            let url = self.key_url(key);
            let answer = self.calls.post::<SwapForm>(Method::PUT, &url, &body).await;
            swap_verdict(answer)
        }
        .boxed_local()
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> PlatformFuture<'a, CasVerdict> {
        async move {
            let url = format!("{}?expected={expected}", self.key_url(key));
            let answer = self.calls.fetch::<SwapForm>(Method::DELETE, &url).await;
            swap_verdict(answer)
        }
        .boxed_local()
    }

    fn list<'a>(&'a self, prefix: &'a str, limit: usize) -> PlatformFuture<'a, Vec<StoredKey>> {
        async move {
            let url = format!(
                "http://{}/v1/list?prefix={prefix}&limit={limit}",
                self.key_value
            );
            let (_, forms) = self
                .calls
                .fetch::<Vec<KeyForm>>(Method::GET, &url)
                .await
                .map_err(fault)?;
            let forms = expect(forms)?;
            Ok(forms.into_iter().map(StoredKey::from).collect())
        }
        .boxed_local()
    }

    fn grant_lease(&self, ttl: u64) -> PlatformFuture<'_, LeaseId> {
        async move {
            let url = format!("http://{}/v1/leases", self.key_value);
            let body = LeaseRequestForm { ttl_ms: ttl };
            let answer = self.calls.post::<LeaseForm>(Method::POST, &url, &body);
            let (_, form) = answer.await.map_err(fault)?;
            expect(form).map(|form| LeaseId(form.lease))
        }
        .boxed_local()
    }

    fn renew_lease(&self, lease: LeaseId) -> PlatformFuture<'_, LeaseState> {
        async move {
            let url = format!("http://{}/v1/leases/{}", self.key_value, lease.0);
            let answer = self.calls.fetch::<RenewForm>(Method::PUT, &url);
            let (_, form) = answer.await.map_err(fault)?;
            let form = expect(form)?;
            Ok(if form.renewed {
                LeaseState::Renewed
            } else {
                LeaseState::Lapsed
            })
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: u64,
    ) -> PlatformFuture<'a, WatchReport> {
        async move {
            let url = format!(
                "http://{}/v1/watch?prefix={prefix}&after={revision}&wait_ms={wait}",
                self.key_value
            );
            let answer = self.watches.fetch::<WatchForm>(Method::GET, &url);
            let (_, form) = answer.await.map_err(fault)?;
            expect(form).map(WatchReport::from)
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        async move {
            let url = format!("http://{}/v1/instances", self.instances);
            let answer = self.calls.fetch::<Vec<InstanceForm>>(Method::GET, &url);
            let (_, forms) = answer.await.map_err(fault)?;
            let forms = expect(forms)?;
            Ok(forms.into_iter().map(ListedInstance::from).collect())
        }
        .boxed_local()
    }
}

fn swap_verdict(
    answer: Result<(StatusCode, Option<SwapForm>), ExchangeFault>,
) -> Result<CasVerdict, KeyValueFault> {
    let (_, form) = answer.map_err(fault)?;
    let form = expect(form)?;
    if form.written {
        return Ok(CasVerdict::Written(form.revision));
    }
    Ok(CasVerdict::Conflict(form.revision))
}

/// An answer that reports an error of the service; a write may have taken effect all the same.
fn expect<A: DeserializeOwned>(form: Option<A>) -> Result<A, KeyValueFault> {
    form.ok_or(KeyValueFault::AnswerLost)
}

fn fault(fault: ExchangeFault) -> KeyValueFault {
    match fault {
        ExchangeFault::NotSent => KeyValueFault::Unreachable,
        ExchangeFault::Lost | ExchangeFault::Silent => KeyValueFault::AnswerLost,
        ExchangeFault::Unreadable => KeyValueFault::Unreadable,
    }
}

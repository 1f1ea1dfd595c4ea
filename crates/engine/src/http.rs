//! Engines over HTTP: JSON for calls, server-sent events for streams.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures::future::LocalBoxFuture;
use futures::{FutureExt, StreamExt};
use ntex::client::ClientRequest;
use ntex::http::{Method, StatusCode};
use policy::ids::AttemptId;
use policy::pool::EngineListing;
use serde::de::DeserializeOwned;
use transport::{ExchangeFault, ExchangeLimits, HttpLink};

use crate::client::{
    CacheEvents, EngineClient, EngineFault, EngineFrame, EngineFuture, EngineReport, FrameStream,
    MemoryOrder, ModelOrder, OpenFault, OrderAnswer, StreamFault, StreamOrder,
};
use crate::wire::{
    CacheEventsForm, DoneForm, FrameForm, ListingForm, MemoryForm, OrderAnswerForm, OrderForm,
    ReportForm,
};

/// Longest wait for an ordinary answer.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// Engines over HTTP, called from one thread.
#[derive(Debug, Clone)]
pub struct HttpEngines {
    streams: HttpLink,
    calls: HttpLink,
}

impl HttpEngines {
    /// A client that gives a connection `connect` to stand and an opened stream `head` to answer.
    pub async fn new(connect: Duration, head: Duration) -> Self {
        let limits = |head| ExchangeLimits {
            connect,
            head,
            ..ExchangeLimits::default()
        };
        Self {
            streams: HttpLink::new(limits(head)).await,
            calls: HttpLink::new(limits(ANSWER_TIME)).await,
        }
    }

    fn stream_request(&self, address: SocketAddr, order: &StreamOrder) -> ClientRequest {
        let url = format!("http://{address}{}", order.path);
        self.streams
            .request(Method::POST, &url)
            .content_type("application/json")
            .header("x-attempt", order.attempt.to_string())
            .header("x-owner", order.owner.to_string())
            .header("x-offset", order.offset.to_string())
            .header("x-priority", order.priority.to_string())
            .header("x-model", order.model.as_str())
            .header("x-adapter", order.adapter.as_str())
            .header("x-version", order.version.as_str())
            .header("x-memory-tokens", order.memory_tokens.to_string())
    }

    async fn call<A: DeserializeOwned>(&self, method: Method, url: &str) -> Result<A, EngineFault> {
        let answer = self.calls.fetch::<A>(method, url).await;
        let (_, form) = answer.map_err(|_| EngineFault::Unavailable)?;
        form.ok_or(EngineFault::Unavailable)
    }
}

impl EngineClient for HttpEngines {
    fn open<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a StreamOrder,
    ) -> LocalBoxFuture<'a, Result<FrameStream, OpenFault>> {
        async move {
            let request = self.stream_request(address, order);
            let answer = self.streams.send(request, order.body.clone()).await;
            let response = answer.map_err(open_fault)?;
            match response.status() {
                StatusCode::OK => Ok(response.eventsource().map(read_frame).boxed_local()),
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                    Err(OpenFault::Refused)
                }
                _ => Err(OpenFault::Closed),
            }
        }
        .boxed_local()
    }

    fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()> {
        async move {
            let url = format!("http://{address}/v1/streams/{attempt}");
            self.call::<DoneForm>(Method::DELETE, &url).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn listing(&self, address: SocketAddr) -> EngineFuture<'_, EngineListing> {
        async move {
            let url = format!("http://{address}/v1/streams");
            let form: ListingForm = self.call(Method::GET, &url).await?;
            form.try_into().map_err(|_| EngineFault::Unavailable)
        }
        .boxed_local()
    }

    fn report(&self, address: SocketAddr) -> EngineFuture<'_, EngineReport> {
        async move {
            let url = format!("http://{address}/v1/report");
            let form: ReportForm = self.call(Method::GET, &url).await?;
            Ok(form.into())
        }
        .boxed_local()
    }

    fn cache_events(&self, address: SocketAddr, after: u64) -> EngineFuture<'_, CacheEvents> {
        async move {
            let url = format!("http://{address}/v1/cache/events?after={after}");
            let form: CacheEventsForm = self.call(Method::GET, &url).await?;
            Ok(form.into())
        }
        .boxed_local()
    }

    fn import_memory<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a MemoryOrder,
    ) -> EngineFuture<'a, ()> {
        async move {
            let url = format!("http://{address}/v1/memory/{}", order.attempt);
            let body = MemoryForm {
                owner: order.owner.to_string(),
                tokens: order.tokens,
            };
            let answer = self.calls.post::<DoneForm>(Method::PUT, &url, &body).await;
            let (_, form) = answer.map_err(|_| EngineFault::Unavailable)?;
            form.map(|_| ()).ok_or(EngineFault::Unavailable)
        }
        .boxed_local()
    }

    fn release_memory(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()> {
        async move {
            let url = format!("http://{address}/v1/memory/{attempt}");
            self.call::<DoneForm>(Method::DELETE, &url).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn order_model<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a ModelOrder,
    ) -> EngineFuture<'a, OrderAnswer> {
        async move {
            let url = format!("http://{address}/v1/orders");
            let body = OrderForm {
                fencing: order.fencing,
                model: order.model.clone(),
            };
            let answer = self
                .calls
                .post::<OrderAnswerForm>(Method::POST, &url, &body);
            let (_, form) = answer.await.map_err(|_| EngineFault::Unavailable)?;
            Ok(match form.ok_or(EngineFault::Unavailable)? {
                OrderAnswerForm::Taken => OrderAnswer::Taken,
                OrderAnswerForm::Fenced => OrderAnswer::Fenced,
                OrderAnswerForm::Busy => OrderAnswer::Busy,
            })
        }
        .boxed_local()
    }
}

fn read_frame<E>(event: Result<Event, EventStreamError<E>>) -> Result<EngineFrame, StreamFault> {
    let event = event.map_err(|_| StreamFault::Closed)?;
    let form: FrameForm = serde_json::from_str(&event.data).map_err(|_| StreamFault::Unreadable)?;
    form.try_into().map_err(|_| StreamFault::Unreadable)
}

fn open_fault(fault: ExchangeFault) -> OpenFault {
    match fault {
        ExchangeFault::NotSent => OpenFault::NotSent,
        ExchangeFault::Lost | ExchangeFault::Unreadable => OpenFault::Closed,
        ExchangeFault::Silent => OpenFault::Silent,
    }
}

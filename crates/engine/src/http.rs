//! Engine client over HTTP: JSON for calls, server-sent events for streams.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures::future::LocalBoxFuture;
use futures::stream::unfold;
use futures::{FutureExt, Stream, StreamExt};
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use policy::ids::AttemptId;
use policy::pool::EngineListing;
use serde::de::DeserializeOwned;
use transport::{EventSplitter, ExchangeError, ExchangeLimits, HttpClient};

use crate::client::{
    CacheEvents, EngineClient, EngineError, EngineFrame, EngineFuture, EngineReport, FrameStream,
    MemoryImport, ModelOrder, OpenError, OrderAnswer, StreamError, StreamRequest,
};
use crate::wire::{
    CacheEventsResponse, EmptyResponse, FrameMessage, ImportMemoryRequest, ListingResponse,
    OrderRequest, OrderResponse, ReportResponse,
};

/// Timeout of calls other than the opening of a stream, as [`ExchangeLimits::head`].
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// [`EngineClient`] over HTTP, for use on one thread.
#[derive(Debug, Clone)]
pub struct HttpEngineClient {
    streams: HttpClient,
    calls: HttpClient,
}

impl HttpEngineClient {
    /// Creates a client. `connect` limits the time to establish a connection, `head` the time until
    /// the response head of an opened stream.
    pub async fn new(connect: Duration, head: Duration) -> Self {
        let limits = |head| ExchangeLimits {
            connect,
            head,
            ..ExchangeLimits::default()
        };
        Self {
            streams: HttpClient::new(limits(head)).await,
            calls: HttpClient::new(limits(ANSWER_TIMEOUT)).await,
        }
    }

    fn stream_request(&self, address: SocketAddr, request: &StreamRequest) -> ClientRequest {
        let url = format!("http://{address}{}", request.path);
        self.streams
            .request(Method::POST, &url)
            .content_type("application/json")
            .header("x-attempt", request.attempt.to_string())
            .header("x-owner", request.owner.to_string())
            .header("x-offset", request.offset.to_string())
            .header("x-priority", request.priority.to_string())
            .header("x-model", request.model.as_str())
            .header("x-adapter", request.adapter.as_str())
            .header("x-version", request.version.as_str())
            .header("x-memory-tokens", request.memory_tokens.to_string())
    }

    async fn call<A: DeserializeOwned>(&self, method: Method, url: &str) -> Result<A, EngineError> {
        let answer = self.calls.fetch::<A>(method, url).await;
        let (_, response) = answer.map_err(|_| EngineError::Unavailable)?;
        response.ok_or(EngineError::Unavailable)
    }
}

impl EngineClient for HttpEngineClient {
    fn open<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a StreamRequest,
    ) -> LocalBoxFuture<'a, Result<FrameStream, OpenError>> {
        async move {
            let http_request = self.stream_request(address, request);
            let answer = self.streams.send(http_request, request.body.clone()).await;
            let response = answer.map_err(open_error)?;
            match response.status() {
                StatusCode::OK => {
                    let frames = whole_events(response).eventsource().map(parse_frame);
                    Ok(frames.boxed_local())
                }
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                    Err(OpenError::Refused)
                }
                _ => Err(OpenError::Closed),
            }
        }
        .boxed_local()
    }

    fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()> {
        async move {
            let url = format!("http://{address}/v1/streams/{attempt}");
            self.call::<EmptyResponse>(Method::DELETE, &url).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn listing(&self, address: SocketAddr) -> EngineFuture<'_, EngineListing> {
        async move {
            let url = format!("http://{address}/v1/streams");
            let response: ListingResponse = self.call(Method::GET, &url).await?;
            response.try_into().map_err(|_| EngineError::Unavailable)
        }
        .boxed_local()
    }

    fn report(&self, address: SocketAddr) -> EngineFuture<'_, EngineReport> {
        async move {
            let url = format!("http://{address}/v1/report");
            let response: ReportResponse = self.call(Method::GET, &url).await?;
            Ok(response.into())
        }
        .boxed_local()
    }

    fn cache_events(&self, address: SocketAddr, after: u64) -> EngineFuture<'_, CacheEvents> {
        async move {
            let url = format!("http://{address}/v1/cache/events?after={after}");
            let response: CacheEventsResponse = self.call(Method::GET, &url).await?;
            Ok(response.into())
        }
        .boxed_local()
    }

    fn import_memory<'a>(
        &'a self,
        address: SocketAddr,
        import: &'a MemoryImport,
    ) -> EngineFuture<'a, ()> {
        async move {
            let url = format!("http://{address}/v1/memory/{}", import.attempt);
            let body = ImportMemoryRequest {
                owner: import.owner.to_string(),
                tokens: import.tokens,
            };
            let answer = self
                .calls
                .post::<EmptyResponse>(Method::PUT, &url, &body)
                .await;
            let (_, response) = answer.map_err(|_| EngineError::Unavailable)?;
            response.map(|_| ()).ok_or(EngineError::Unavailable)
        }
        .boxed_local()
    }

    fn release_memory(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()> {
        async move {
            let url = format!("http://{address}/v1/memory/{attempt}");
            self.call::<EmptyResponse>(Method::DELETE, &url).await?;
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
            let body = OrderRequest {
                fencing: order.fencing,
                model: order.model.clone(),
            };
            let answer = self.calls.post::<OrderResponse>(Method::POST, &url, &body);
            let (_, response) = answer.await.map_err(|_| EngineError::Unavailable)?;
            Ok(match response.ok_or(EngineError::Unavailable)? {
                OrderResponse::Taken => OrderAnswer::Taken,
                OrderResponse::Fenced => OrderAnswer::Fenced,
                OrderResponse::Busy => OrderAnswer::Busy,
            })
        }
        .boxed_local()
    }
}

/// The events of an answer. The event parser has no size limit, so it gets complete events, whose size is
/// bounded.
fn whole_events(response: ClientResponse) -> impl Stream<Item = Result<Bytes, StreamError>> {
    let state = (response, EventSplitter::new());
    unfold(state, |(mut response, mut splitter)| async move {
        loop {
            if let Some(event) = splitter.next_event() {
                return Some((Ok(event.bytes), (response, splitter)));
            }
            let read = response.next().await?.map_err(|_| StreamError::Closed);
            let pushed = read.and_then(|bytes| {
                let pushed = splitter.push(&bytes);
                pushed.map_err(|_| StreamError::Unreadable)
            });
            if let Err(error) = pushed {
                return Some((Err(error), (response, splitter)));
            }
        }
    })
    .boxed_local()
}

fn parse_frame<E>(event: Result<Event, EventStreamError<E>>) -> Result<EngineFrame, StreamError> {
    let event = event.map_err(|_| StreamError::Closed)?;
    let message: FrameMessage =
        serde_json::from_str(&event.data).map_err(|_| StreamError::Unreadable)?;
    message.try_into().map_err(|_| StreamError::Unreadable)
}

fn open_error(error: ExchangeError) -> OpenError {
    match error {
        ExchangeError::NotSent => OpenError::NotSent,
        ExchangeError::Lost | ExchangeError::Unreadable => OpenError::Closed,
        ExchangeError::Silent => OpenError::Silent,
    }
}

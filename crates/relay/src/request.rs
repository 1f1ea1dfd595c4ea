//! State of a request while it is served.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use ntex::http::{HeaderMap, Method};
use policy::catalog::{AdmittedRoute, ServiceCatalog};
use policy::ids::{EndpointId, Millis, PoolId};
use policy::poison::{Fingerprint, RequestFingerprints};
use xxhash_rust::xxh3::Xxh3;

use crate::core::RouteTrial;
use crate::dialect::{CallerHead, ForwardHead, WireDialect};

/// An admitted request.
#[derive(Debug)]
pub struct RelayRequest {
    /// Metadata from the request's headers.
    pub head: CallerHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent by the caller.
    pub path_and_query: String,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Route and client account.
    pub admitted: AdmittedRoute,
    /// Configuration in force at admission.
    pub catalog: Rc<ServiceCatalog>,
    /// Service that receives the request.
    pub service: PoolId,
    /// Time at which the head was read, on the relay's clock.
    pub arrived: Millis,
    /// Deadline of the request, on the relay's clock.
    pub ends_at: Millis,
    /// Data for the log line at the end of the request.
    pub trace: RequestTrace,
    /// Result of [`Self::fingerprints`], once computed.
    pub(crate) fingerprints: OnceCell<RequestFingerprints>,
    /// Set if the request is a trial of its route at an instance that stops.
    pub(crate) _trial: Option<RouteTrial>,
}

impl RelayRequest {
    /// Time until the deadline, in milliseconds.
    #[must_use]
    pub fn time_left(&self, now: Millis) -> Millis {
        self.ends_at.saturating_sub(now)
    }

    /// Hashes of the request; the same for every attempt.
    #[must_use]
    pub fn fingerprints(&self) -> RequestFingerprints {
        *self.fingerprints.get_or_init(|| {
            let exact = self.hash_with(&self.path_and_query);
            let family = match self.path_and_query.split_once('?') {
                Some((path, _query)) => self.hash_with(path),
                None => exact,
            };
            RequestFingerprints { exact, family }
        })
    }

    fn hash_with(&self, target: &str) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash.update(target.as_bytes());
        if let Some(account) = &self.admitted.account {
            hash.update(account.as_str().as_bytes());
        }
        hash.update(&self.body);
        Fingerprint(hash.digest())
    }

    /// Headers for an endpoint, with the metadata in `head`.
    #[must_use]
    pub fn forward_headers(&self, dialect: &dyn WireDialect, head: &ForwardHead<'_>) -> HeaderMap {
        let mut headers = self.headers.clone();
        dialect.write_forward(&mut headers, head);
        headers
    }
}

/// What was done for a request, for its log line.
#[derive(Debug, Default)]
pub struct RequestTrace {
    /// Endpoints that the request was sent to, in order.
    pub endpoints: RefCell<Vec<EndpointId>>,
    /// Largest number of helpers in one placement.
    pub helpers: Cell<usize>,
    /// Number of tunnels that it was sent through.
    pub tunnels: Cell<u32>,
    /// Whether an endpoint may have run the request, or may be running it.
    pub may_have_run: Cell<bool>,
    /// Number of retries.
    pub retries: Cell<u32>,
    /// Total time spent waiting for placements, in milliseconds.
    pub queued: Cell<Millis>,
    /// Time from arrival to the first event, in milliseconds.
    pub first_event: Cell<Option<Millis>>,
    /// Number of events forwarded to the caller.
    pub events: Cell<u64>,
    /// Expected time to the first event for the last placement, in milliseconds.
    pub expected: Cell<Millis>,
}

impl RequestTrace {
    /// Names of the endpoints, separated by commas.
    #[must_use]
    pub fn endpoints_text(&self) -> String {
        let endpoints = self.endpoints.borrow();
        let names: Vec<&str> = endpoints.iter().map(EndpointId::as_str).collect();
        names.join(",")
    }
}

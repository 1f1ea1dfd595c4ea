//! Whether requests may go to an endpoint now.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use ntex::http::{HeaderMap, StatusCode};
use policy::ids::{EndpointId, Millis};

use crate::clock::BootClock;
use crate::dialect::{LeavingStatement, WireDialect};
use crate::endpoint_backoffs::EndpointBackoffs;
use crate::endpoint_view::{EndpointView, ViewChange};

/// Why nothing may be sent to an endpoint now.
#[derives::tag]
pub enum GateRefusal {
    /// The endpoint leaves, or was removed recently.
    Departed,
    /// The endpoint's entry may be older than its removal.
    Doubted,
    /// The endpoint wants no requests from this instance for a time.
    Held,
    /// The endpoint's failure domain is evacuated.
    Evacuated,
}

/// Learns that endpoints leave.
pub trait LeavingListener {
    /// An endpoint says that it leaves; `heard_from` names the way on which it was heard.
    fn endpoint_leaves(&self, endpoint: &EndpointId, heard_from: &str);
}

/// What an answer says of the endpoint that gave it.
#[derives::tag]
pub(crate) struct EndpointStatement {
    /// Time, in milliseconds, for which the endpoint wants no requests.
    pub(crate) retry_after: Option<Millis>,
    pub(crate) leaving: LeavingStatement,
}

/// What this instance knows of endpoints that may forbid sending to them.
///
/// Invariant: asked before every send, for this instance's own requests and for those of another that
/// come through a tunnel; and reads the head of every answer, whoever waits for it.
pub struct EndpointGate {
    dialect: Rc<dyn WireDialect>,
    backoffs: EndpointBackoffs,
    view: RefCell<EndpointView>,
    listener: RefCell<Option<Weak<dyn LeavingListener>>>,
    /// Number of requests that were held back because of an evacuation.
    evacuation_refusals: Cell<u64>,
}

impl EndpointGate {
    /// Creates a gate that knows no endpoints; `clock` is that of the relay, and `dialect` reads
    /// answers.
    #[must_use]
    pub fn new(clock: BootClock, dialect: Rc<dyn WireDialect>) -> Self {
        Self {
            dialect,
            backoffs: EndpointBackoffs::new(clock),
            view: RefCell::new(EndpointView::new()),
            listener: RefCell::new(None),
            evacuation_refusals: Cell::new(0),
        }
    }

    /// Sets who learns that endpoints leave.
    pub fn set_listener(&self, listener: Weak<dyn LeavingListener>) {
        *self.listener.borrow_mut() = Some(listener);
    }

    /// The endpoints as listed in the platform's store.
    pub(crate) fn view(&self) -> &RefCell<EndpointView> {
        &self.view
    }

    /// Endpoints that want no requests from this instance for a time.
    pub(crate) fn backoffs(&self) -> &EndpointBackoffs {
        &self.backoffs
    }

    /// Why nothing may be sent to the endpoint now; `None` if requests may go there. An evacuation
    /// comes first: unlike the other reasons it says nothing about the endpoint. A refusal because of
    /// one counts as a request held back.
    pub(crate) fn refusal(&self, endpoint: &EndpointId) -> Option<GateRefusal> {
        if self.is_evacuated(endpoint) {
            self.evacuation_refusals
                .set(self.evacuation_refusals.get() + 1);
            return Some(GateRefusal::Evacuated);
        }
        self.endpoint_refusal(endpoint)
    }

    /// Why nothing may be sent to the endpoint now, apart from an evacuation.
    pub(crate) fn endpoint_refusal(&self, endpoint: &EndpointId) -> Option<GateRefusal> {
        let view = self.view.borrow();
        if view.is_doubted(endpoint) {
            return Some(GateRefusal::Doubted);
        }
        if view.is_departed(endpoint) {
            return Some(GateRefusal::Departed);
        }
        self.backoffs.holds(endpoint).then_some(GateRefusal::Held)
    }

    /// Whether the endpoint's failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, endpoint: &EndpointId) -> bool {
        self.view.borrow().is_evacuated(endpoint)
    }

    /// Number of requests that were held back because of an evacuation.
    pub(crate) fn evacuation_refusals(&self) -> u64 {
        self.evacuation_refusals.get()
    }

    /// Reads the head of an answer of `endpoint`, whichever request it answers.
    pub(crate) fn read_answer(
        &self,
        endpoint: &EndpointId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> EndpointStatement {
        let head = self.dialect.read_answer(status, headers);
        let statement = EndpointStatement {
            retry_after: head
                .retry_after
                .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE),
            // Another endpoint answers at the address of the one that was meant.
            leaving: if status == StatusCode::MISDIRECTED_REQUEST {
                LeavingStatement::Unstated
            } else {
                head.leaving
            },
        };
        if let Some(retry_after) = statement.retry_after {
            self.backoffs.record(endpoint, retry_after, "answer");
        }
        if statement.leaving == LeavingStatement::Leaving {
            self.endpoint_leaves(endpoint, "answer");
        }
        statement
    }

    /// Records that an endpoint says that it leaves.
    pub(crate) fn endpoint_leaves(&self, endpoint: &EndpointId, heard_from: &str) {
        let listener = self.listener.borrow().as_ref().and_then(Weak::upgrade);
        if let Some(listener) = listener {
            listener.endpoint_leaves(endpoint, heard_from);
            return;
        }
        if self.view.borrow_mut().mark_leaving(endpoint) == ViewChange::Changed {
            spdlog::info!("endpoint says that it leaves; nobody is told", kv: {
                endpoint = endpoint.as_str(),
                heard_from = heard_from,
            });
        }
    }
}

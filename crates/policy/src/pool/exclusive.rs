//! Requests that run on an endpoint by themselves because they may crash it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::endpoint::PoolEndpointState;
use super::queue::QueuedRequest;
use crate::ids::{EndpointId, Millis};
use crate::poison::Fingerprint;

/// First-in-first-out queue of exclusive requests, which run one at a time on a reserved endpoint.
#[derive(Debug, Default)]
pub(super) struct ExclusiveQueue {
    waiting: VecDeque<QueuedRequest>,
    reserved: Option<EndpointId>,
}

impl ExclusiveQueue {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn push(&mut self, waiting: QueuedRequest) {
        self.waiting.push_back(waiting);
    }

    /// The endpoint that is reserved for the queue and gets no other work.
    pub(super) fn reserved(&self) -> Option<&EndpointId> {
        self.reserved.as_ref()
    }

    /// Reserves the open endpoint with the fewest grants for the first waiting request.
    ///
    /// An earlier reservation stays while its endpoint is open; it is dropped when the queue is
    /// empty.
    pub(super) fn reserve(
        &mut self,
        endpoints: &BTreeMap<EndpointId, PoolEndpointState>,
        now: Millis,
    ) {
        let Some(first) = self.waiting.front() else {
            self.reserved = None;
            return;
        };
        let excluded = &first.request.excluded;
        let is_open = |endpoint: &EndpointId| {
            let state = endpoints.get(endpoint);
            state.is_some_and(|state| state.is_open(now)) && !excluded.contains(endpoint)
        };
        if self.reserved.as_ref().is_some_and(is_open) {
            return;
        }
        self.reserved = endpoints
            .iter()
            .filter(|(endpoint, _)| is_open(endpoint))
            .min_by_key(|(_, state)| state.running())
            .map(|(endpoint, _)| endpoint.clone());
    }

    /// Removes the first request whose fingerprint runs nowhere, once the reserved endpoint has no
    /// grants.
    pub(super) fn pop_ready(
        &mut self,
        endpoints: &BTreeMap<EndpointId, PoolEndpointState>,
        running_fingerprints: &HashMap<Fingerprint, (EndpointId, usize)>,
    ) -> Option<(QueuedRequest, EndpointId)> {
        let endpoint = self.reserved.clone()?;
        if endpoints.get(&endpoint)?.running() > 0 {
            return None;
        }
        let is_running = |waiting: &QueuedRequest| {
            running_fingerprints.contains_key(&waiting.request.fingerprint)
        };
        let ready = self
            .waiting
            .iter()
            .position(|waiting| !is_running(waiting))?;
        let waiting = self.waiting.remove(ready)?;
        Some((waiting, endpoint))
    }

    /// Removes and returns the requests for which `matches` holds.
    pub(super) fn remove_where(
        &mut self,
        mut matches: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let (matching, kept): (VecDeque<QueuedRequest>, VecDeque<QueuedRequest>) =
            self.waiting.drain(..).partition(|waiting| matches(waiting));
        self.waiting = kept;
        matching.into()
    }
}

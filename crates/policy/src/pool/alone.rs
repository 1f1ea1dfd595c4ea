//! Requests that may not run beside others, since they may crash their endpoint.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::endpoint::EndpointState;
use super::queue::Waiting;
use crate::ids::{EndpointId, Millis};
use crate::poison::Fingerprint;

/// First come, first served, on an endpoint that is kept free for them.
#[derive(Debug, Default)]
pub(super) struct AloneQueue {
    waiting: VecDeque<Waiting>,
    reserved: Option<EndpointId>,
}

impl AloneQueue {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// The endpoint that gets no other work.
    pub(super) fn reserved(&self) -> Option<&EndpointId> {
        self.reserved.as_ref()
    }

    /// Chooses the endpoint with the fewest grants while something waits.
    pub(super) fn reserve(&mut self, endpoints: &BTreeMap<EndpointId, EndpointState>, now: Millis) {
        let Some(first) = self.waiting.front() else {
            self.reserved = None;
            return;
        };
        let excluded = &first.ask.excluded;
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

    /// Takes the first request if the reserved endpoint is empty and the same content does not
    /// run anywhere else.
    pub(super) fn pop_ready(
        &mut self,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
        prints: &HashMap<Fingerprint, (EndpointId, usize)>,
    ) -> Option<(Waiting, EndpointId)> {
        let endpoint = self.reserved.clone()?;
        if endpoints.get(&endpoint)?.running() > 0 {
            return None;
        }
        let is_running = |waiting: &Waiting| prints.contains_key(&waiting.ask.fingerprint);
        let ready = self
            .waiting
            .iter()
            .position(|waiting| !is_running(waiting))?;
        let waiting = self.waiting.remove(ready)?;
        Some((waiting, endpoint))
    }

    /// Takes out every request for which `is_over` holds.
    pub(super) fn remove_where(
        &mut self,
        mut is_over: impl FnMut(&Waiting) -> bool,
    ) -> Vec<Waiting> {
        let (over, kept): (VecDeque<Waiting>, VecDeque<Waiting>) =
            self.waiting.drain(..).partition(|waiting| is_over(waiting));
        self.waiting = kept;
        over.into()
    }
}

//! Selection of the endpoints on which a request can run now.

use std::collections::BTreeMap;

use super::endpoint::PoolEndpointState;
use super::grant::{GrantPart, GrantRequest, PrefillPriority, Sharing, WorkClass};
use crate::ids::{EndpointId, Millis};
use crate::prefix::PrefixIndex;

/// Prompt tokens that engines prefill in one chunk, before they check priorities again.
const PREFILL_CHUNK_TOKENS: u64 = 2_048;

/// Endpoints on which a request can run.
#[derives::value]
pub(super) struct Placement {
    /// Memory to reserve, the primary endpoint first.
    pub(super) parts: Vec<GrantPart>,
    /// Milliseconds of prefill on the primary endpoint.
    pub(super) prefill: Millis,
    /// Expected milliseconds until the first token.
    pub(super) first_token: Millis,
}

/// The pool's state that a placement depends on.
pub(super) struct PlacementView<'a> {
    pub(super) endpoints: &'a BTreeMap<EndpointId, PoolEndpointState>,
    pub(super) prefixes: &'a PrefixIndex,
    pub(super) lane_size: usize,
    pub(super) largest_span: usize,
    pub(super) priority: PrefillPriority,
    /// Endpoints that are reserved for waiting requests.
    pub(super) reserved: Vec<&'a EndpointId>,
    /// The endpoint on which a request with the same fingerprint runs; the request may run only
    /// there.
    pub(super) pinned: Option<&'a EndpointId>,
    pub(super) now: Millis,
}

impl<'a> PlacementView<'a> {
    /// The placement with the shortest expected time to first token; `None` if the request does not
    /// fit anywhere now.
    pub(super) fn place(&self, request: &GrantRequest, class: WorkClass) -> Option<Placement> {
        if let Some(placement) = self.place_on_one_endpoint(request, class) {
            return Some(placement);
        }
        self.place_across_endpoints(request, class)
    }

    fn candidates(
        &self,
        request: &'a GrantRequest,
        class: WorkClass,
    ) -> impl Iterator<Item = &'a PoolEndpointState> {
        let lane_size = self.lane_size;
        let now = self.now;
        // A prompt that needs several endpoints also uses the excluded ones: too few remain
        // otherwise.
        let excluded: &[EndpointId] = if self.fits_on_one_endpoint(request.memory_tokens()) {
            &request.excluded
        } else {
            &[]
        };
        self.endpoints
            .values()
            .filter(move |state| state.is_open(now))
            .enumerate()
            .filter(move |(index, _)| may_run_on_index(*index, class, lane_size))
            .map(|(_, state)| state)
            .filter(|state| state.served.serves(&request.model))
            .filter(|state| !self.reserved.contains(&&state.spec.id))
            .filter(|state| self.pinned.is_none_or(|pinned| *pinned == state.spec.id))
            .filter(move |state| !excluded.contains(&state.spec.id))
            .filter(|state| state.has_slot(request.sharing))
    }

    fn place_on_one_endpoint(&self, request: &GrantRequest, class: WorkClass) -> Option<Placement> {
        let tokens = request.memory_tokens();
        let (first_token, _, prefill, state) = self
            .candidates(request, class)
            .filter(|state| state.free_tokens() >= tokens)
            .map(|state| {
                let prefill = self.prefill(request, state);
                let first_token = self.start_delay(state, class) + prefill;
                (first_token, state.running(), prefill, state)
            })
            .min_by_key(|(first_token, running, _, _)| (*first_token, *running))?;
        let parts = vec![GrantPart {
            endpoint: state.spec.id.clone(),
            tokens,
        }];
        Some(Placement {
            parts,
            prefill,
            first_token,
        })
    }

    /// Spreads a prompt over the memory of several endpoints; `None` if they cannot hold all of it.
    fn place_across_endpoints(
        &self,
        request: &GrantRequest,
        class: WorkClass,
    ) -> Option<Placement> {
        let tokens = request.memory_tokens();
        if class == WorkClass::Short
            || request.sharing == Sharing::Exclusive
            || self.fits_on_one_endpoint(tokens)
        {
            return None;
        }
        let mut states: Vec<&PoolEndpointState> = self.candidates(request, class).collect();
        states.sort_by_key(|state| std::cmp::Reverse(state.free_tokens()));
        states.truncate(self.largest_span);
        let free: u64 = states.iter().map(|state| state.free_tokens()).sum();
        if free < tokens {
            return None;
        }
        let primary = *states.first()?;
        let prefill = self.prefill(request, primary);
        let first_token = self.start_delay(primary, class) + prefill;
        Some(Placement {
            parts: split_tokens(tokens, &states),
            prefill,
            first_token,
        })
    }

    /// The endpoints to reserve for `request`: the endpoints of the lane with the most free memory,
    /// as many as its tokens need.
    pub(super) fn endpoints_to_reserve(&self, request: &GrantRequest) -> Vec<EndpointId> {
        let lane = self
            .endpoints
            .values()
            .filter(|state| state.is_open(self.now));
        let mut lane: Vec<&PoolEndpointState> = lane.take(self.lane_size).collect();
        lane.sort_by_key(|state| std::cmp::Reverse(state.free_tokens()));
        let tokens = request.memory_tokens();
        let mut reserved_capacity = 0;
        lane.into_iter()
            .take(self.largest_span)
            .take_while(|state| {
                let is_needed = reserved_capacity < tokens;
                reserved_capacity += state.spec.memory_tokens;
                is_needed
            })
            .map(|state| state.spec.id.clone())
            .collect()
    }

    fn fits_on_one_endpoint(&self, tokens: u64) -> bool {
        self.endpoints
            .values()
            .any(|state| state.spec.memory_tokens >= tokens)
    }

    /// Milliseconds until `state` would start the prefill. A short prompt beside a long one also
    /// waits for the chunk that is in progress.
    fn start_delay(&self, state: &PoolEndpointState, class: WorkClass) -> Millis {
        let delay = state.start_delay(self.priority, self.now);
        if class == WorkClass::Long || state.long_grants() == 0 {
            return delay;
        }
        delay + state.spec.prefill_millis(PREFILL_CHUNK_TOKENS)
    }

    fn prefill(&self, request: &GrantRequest, state: &PoolEndpointState) -> Millis {
        let cached = self
            .prefixes
            .cached_tokens(&request.prefixes, &state.spec.id);
        let uncached = request.prompt_tokens.saturating_sub(cached);
        state.spec.prefill_millis(uncached)
    }
}

/// Long requests run in the lane only. Short ones run anywhere, because engines prefill them first.
fn may_run_on_index(index: usize, class: WorkClass, lane_size: usize) -> bool {
    match class {
        WorkClass::Long => index < lane_size,
        WorkClass::Short => true,
    }
}

fn split_tokens(tokens: u64, states: &[&PoolEndpointState]) -> Vec<GrantPart> {
    let mut remaining = tokens;
    let mut parts = Vec::new();
    for state in states {
        let share = remaining.min(state.free_tokens());
        if share == 0 {
            break;
        }
        remaining -= share;
        parts.push(GrantPart {
            endpoint: state.spec.id.clone(),
            tokens: share,
        });
    }
    parts
}

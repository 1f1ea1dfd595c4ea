//! Which endpoints an ask could run on now.

use std::collections::BTreeMap;

use super::ask::{GrantAsk, GrantPart, ReadPriority, Sharing, WorkClass};
use super::endpoint::EndpointState;
use crate::ids::{EndpointId, Millis};
use crate::prefix::PrefixIndex;

/// Tokens of a prompt that engines read before they look at priorities again.
const READ_CHUNK_TOKENS: u64 = 2_048;

/// Where an ask could run.
#[derives::value]
pub(super) struct Placement {
    /// The lead endpoint first.
    pub(super) parts: Vec<GrantPart>,
    /// Milliseconds of prefill on the lead endpoint.
    pub(super) prefill: Millis,
    /// Milliseconds until the first token is expected.
    pub(super) first_token: Millis,
}

/// What placing needs to see of the pool.
pub(super) struct PlaceView<'a> {
    pub(super) endpoints: &'a BTreeMap<EndpointId, EndpointState>,
    pub(super) prefixes: &'a PrefixIndex,
    pub(super) lane_size: usize,
    pub(super) largest_span: usize,
    pub(super) priority: ReadPriority,
    /// Endpoints that are kept free for a request that waits for them.
    pub(super) reserved: Vec<&'a EndpointId>,
    /// The endpoint on which the same content runs now.
    pub(super) pinned: Option<&'a EndpointId>,
    pub(super) now: Millis,
}

impl<'a> PlaceView<'a> {
    /// The best placement of `ask`, if any endpoint is free for it.
    pub(super) fn place(&self, ask: &GrantAsk, class: WorkClass) -> Option<Placement> {
        if let Some(placement) = self.place_on_one(ask, class) {
            return Some(placement);
        }
        self.place_across(ask, class)
    }

    fn candidates(
        &self,
        ask: &'a GrantAsk,
        class: WorkClass,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let lane_size = self.lane_size;
        let now = self.now;
        // A prompt that needs several endpoints cannot be choosy about them.
        let excluded: &[EndpointId] = if self.fits_one(ask.memory_tokens()) {
            &ask.excluded
        } else {
            &[]
        };
        self.endpoints
            .values()
            .filter(move |state| state.is_open(now))
            .enumerate()
            .filter(move |(index, _)| is_allowed(*index, class, lane_size))
            .map(|(_, state)| state)
            .filter(|state| state.served.serves(&ask.model))
            .filter(|state| !self.reserved.contains(&&state.spec.id))
            .filter(|state| self.pinned.is_none_or(|pinned| *pinned == state.spec.id))
            .filter(move |state| !excluded.contains(&state.spec.id))
            .filter(|state| state.has_slot(ask.sharing))
    }

    fn place_on_one(&self, ask: &GrantAsk, class: WorkClass) -> Option<Placement> {
        let tokens = ask.memory_tokens();
        let (first_token, _, prefill, state) = self
            .candidates(ask, class)
            .filter(|state| state.free_tokens() >= tokens)
            .map(|state| {
                let prefill = self.prefill(ask, state);
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

    /// Spreads a prompt over several endpoints' memory, all or nothing.
    fn place_across(&self, ask: &GrantAsk, class: WorkClass) -> Option<Placement> {
        let tokens = ask.memory_tokens();
        if class == WorkClass::Short || ask.sharing == Sharing::Alone || self.fits_one(tokens) {
            return None;
        }
        let mut states: Vec<&EndpointState> = self.candidates(ask, class).collect();
        states.sort_by_key(|state| std::cmp::Reverse(state.free_tokens()));
        states.truncate(self.largest_span);
        let free: u64 = states.iter().map(|state| state.free_tokens()).sum();
        if free < tokens {
            return None;
        }
        let lead = *states.first()?;
        let prefill = self.prefill(ask, lead);
        let first_token = self.start_delay(lead, class) + prefill;
        Some(Placement {
            parts: split(tokens, &states),
            prefill,
            first_token,
        })
    }

    /// The endpoints that will be free for `ask` soonest: those of the lane with the most free
    /// memory, as many as its tokens need.
    pub(super) fn reserve(&self, ask: &GrantAsk) -> Vec<EndpointId> {
        let lane = self
            .endpoints
            .values()
            .filter(|state| state.is_open(self.now));
        let mut lane: Vec<&EndpointState> = lane.take(self.lane_size).collect();
        lane.sort_by_key(|state| std::cmp::Reverse(state.free_tokens()));
        let tokens = ask.memory_tokens();
        let mut reach = 0;
        lane.into_iter()
            .take(self.largest_span)
            .take_while(|state| {
                let is_needed = reach < tokens;
                reach += state.spec.memory_tokens;
                is_needed
            })
            .map(|state| state.spec.id.clone())
            .collect()
    }

    fn fits_one(&self, tokens: u64) -> bool {
        self.endpoints
            .values()
            .any(|state| state.spec.memory_tokens >= tokens)
    }

    /// Milliseconds until `state` would start to read the prompt. Beside a long prompt, a short one
    /// also waits for the chunk that is being read.
    fn start_delay(&self, state: &EndpointState, class: WorkClass) -> Millis {
        let delay = state.start_delay(self.priority, self.now);
        if class == WorkClass::Long || state.long_grants() == 0 {
            return delay;
        }
        delay + state.spec.prefill_millis(READ_CHUNK_TOKENS)
    }

    fn prefill(&self, ask: &GrantAsk, state: &EndpointState) -> Millis {
        let cached = self.prefixes.cached_tokens(&ask.prefixes, &state.spec.id);
        let uncached = ask.prompt_tokens.saturating_sub(cached);
        state.spec.prefill_millis(uncached)
    }
}

/// Longs run in the lane only; engines read shorts first, so that these run anywhere.
fn is_allowed(index: usize, class: WorkClass, lane_size: usize) -> bool {
    match class {
        WorkClass::Long => index < lane_size,
        WorkClass::Short => true,
    }
}

fn split(tokens: u64, states: &[&EndpointState]) -> Vec<GrantPart> {
    let mut left = tokens;
    let mut parts = Vec::new();
    for state in states {
        let share = left.min(state.free_tokens());
        if share == 0 {
            break;
        }
        left -= share;
        parts.push(GrantPart {
            endpoint: state.spec.id.clone(),
            tokens: share,
        });
    }
    parts
}

//! Routing policies that are compared.

use policy::ids::{AccountId, EndpointId, Incarnation, InstanceId, Millis, OwnerId, RequestId};
use policy::poison::Fingerprint;
use policy::pool::{
    EndpointSpec, Grant, GrantDecision, GrantId, GrantRequest, PoolLimits, PoolObjective,
    PoolTable, Sharing, TicketId,
};

use crate::engine_model::EngineModel;
use crate::workload::WorkItem;

/// Part of a request on one engine, with the memory in tokens that it takes there.
#[derives::value]
pub(crate) struct RoutePart {
    pub(crate) engine: usize,
    pub(crate) memory: u64,
}

/// Decision on a request.
#[derives::value]
pub(crate) enum RouteDecision {
    /// The request runs on these engines. The first one is the primary, which runs the stream.
    Dispatch {
        grant: Option<GrantId>,
        parts: Vec<RoutePart>,
        priority: u32,
    },
    /// The request waits in the router's queue.
    Wait(TicketId),
    /// The request is refused.
    Refuse,
}

/// A routing policy.
pub(crate) trait Router {
    /// Decides on a request that arrives now.
    fn arrive(
        &mut self,
        number: usize,
        item: &WorkItem,
        engines: &[EngineModel],
        now: Millis,
    ) -> RouteDecision;

    /// Releases a grant. Returns the decisions on queued requests.
    fn release(&mut self, grant: Option<GrantId>, now: Millis) -> Vec<(TicketId, RouteDecision)>;

    /// Records that the prefill of a grant's prompt is complete.
    fn prefill_done(&mut self, grant: Option<GrantId>);

    /// Advances the time. Returns the decisions on queued requests.
    fn tick(&mut self, now: Millis) -> Vec<(TicketId, RouteDecision)>;
}

/// Places a request on one engine and caps its memory at the engine's. This favours the routers
/// that lack exact counts: their requests would deadlock each other if they took memory on several
/// engines.
fn on_one_engine(engine: usize, tokens: u64, memory: u64) -> Vec<RoutePart> {
    vec![RoutePart {
        engine,
        memory: tokens.min(memory),
    }]
}

/// Sends each request to the next engine in turn.
#[derive(Debug)]
pub(crate) struct RoundRobin {
    next: usize,
    memory: u64,
}

impl RoundRobin {
    pub(crate) fn new(memory: u64) -> Self {
        Self { next: 0, memory }
    }
}

impl Router for RoundRobin {
    fn arrive(
        &mut self,
        _number: usize,
        item: &WorkItem,
        engines: &[EngineModel],
        _now: Millis,
    ) -> RouteDecision {
        let first = self.next % engines.len();
        self.next += 1;
        RouteDecision::Dispatch {
            grant: None,
            parts: on_one_engine(first, item.prompt_tokens + item.output_tokens, self.memory),
            priority: 0,
        }
    }

    fn release(&mut self, _: Option<GrantId>, _: Millis) -> Vec<(TicketId, RouteDecision)> {
        Vec::new()
    }

    fn prefill_done(&mut self, _: Option<GrantId>) {}

    fn tick(&mut self, _: Millis) -> Vec<(TicketId, RouteDecision)> {
        Vec::new()
    }
}

/// Sends each request to the engine with the fewest running and waiting streams.
#[derive(Debug)]
pub(crate) struct LeastOutstanding {
    memory: u64,
    short_priority: u32,
}

impl LeastOutstanding {
    /// Creates the router. With a `short_priority` above zero, engines prefill short prompts first.
    pub(crate) fn new(memory: u64, short_priority: u32) -> Self {
        Self {
            memory,
            short_priority,
        }
    }
}

impl Router for LeastOutstanding {
    fn arrive(
        &mut self,
        _number: usize,
        item: &WorkItem,
        engines: &[EngineModel],
        _now: Millis,
    ) -> RouteDecision {
        let loads = engines.iter().map(EngineModel::outstanding).enumerate();
        let first = loads.min_by_key(|(_, load)| *load);
        let first = first.map_or(0, |(engine, _)| engine);
        let is_short = item.prompt_tokens <= SHORT_TOKENS;
        RouteDecision::Dispatch {
            grant: None,
            parts: on_one_engine(first, item.prompt_tokens + item.output_tokens, self.memory),
            priority: if is_short { self.short_priority } else { 0 },
        }
    }

    fn release(&mut self, _: Option<GrantId>, _: Millis) -> Vec<(TicketId, RouteDecision)> {
        Vec::new()
    }

    fn prefill_done(&mut self, _: Option<GrantId>) {}

    fn tick(&mut self, _: Millis) -> Vec<(TicketId, RouteDecision)> {
        Vec::new()
    }
}

/// Length in tokens up to which a prompt counts as short for the routers and in the results.
pub(crate) const SHORT_TOKENS: u64 = 32_768;

/// The routing policy of jackdawpoint: a pool steward with an exact table of grants.
pub(crate) struct Steward {
    table: PoolTable,
    engines: Vec<EndpointId>,
    timeout: Millis,
}

impl Steward {
    pub(crate) fn new(
        engines: usize,
        rate: u64,
        slots: u32,
        memory: u64,
        limits: PoolLimits,
        timeout: Millis,
    ) -> Self {
        let names: Vec<EndpointId> = (0..engines)
            .map(|engine| EndpointId::new(format!("engine-{engine:05}")))
            .collect();
        let table = names.iter().fold(PoolTable::new(limits, 1), |table, id| {
            table.with_endpoint(EndpointSpec {
                id: id.clone(),
                slots,
                memory_tokens: memory,
                prefill_rate: rate,
            })
        });
        Self {
            table,
            engines: names,
            timeout,
        }
    }

    /// Returns the pool limits for an objective.
    pub(crate) fn limits(objective: PoolObjective) -> PoolLimits {
        PoolLimits {
            long_tokens: SHORT_TOKENS,
            ..PoolLimits::new(objective)
        }
    }

    fn dispatch(&self, grant: &Grant) -> RouteDecision {
        let parts = grant.parts.iter().map(|part| {
            let engine = self.engines.binary_search(&part.endpoint);
            RoutePart {
                engine: engine.expect("a grant names engines of the pool"),
                memory: part.tokens,
            }
        });
        RouteDecision::Dispatch {
            grant: Some(grant.id),
            parts: parts.collect(),
            priority: u32::try_from(grant.priority.level()).unwrap_or(0),
        }
    }

    fn route_decisions(
        &self,
        decided: Vec<(TicketId, GrantDecision)>,
    ) -> Vec<(TicketId, RouteDecision)> {
        let decisions = decided.into_iter().map(|(ticket, decision)| {
            let decision = match decision {
                GrantDecision::Granted(grant) => self.dispatch(&grant),
                GrantDecision::Queued(ticket) => RouteDecision::Wait(ticket),
                GrantDecision::Refused(_) => RouteDecision::Refuse,
            };
            (ticket, decision)
        });
        decisions.collect()
    }
}

/// Returns the grant request that an entry instance would send for `item`.
pub(crate) fn grant_request(number: usize, item: &WorkItem, timeout: Millis) -> GrantRequest {
    let request = u128::try_from(number).unwrap_or(0);
    GrantRequest {
        owner: OwnerId::new(InstanceId::new("entry"), Incarnation(1)),
        request_id: RequestId(request),
        fingerprint: Fingerprint(u64::try_from(number).unwrap_or(0) + 1),
        account: AccountId::new(format!("account-{}", item.account)),
        weight: 1,
        model: String::new(),
        prompt_tokens: item.prompt_tokens,
        output_tokens: item.output_tokens,
        prefixes: Vec::new(),
        time_left: timeout,
        sharing: Sharing::Shared,
        excluded: Vec::new(),
    }
}

impl Router for Steward {
    fn arrive(
        &mut self,
        number: usize,
        item: &WorkItem,
        _engines: &[EngineModel],
        now: Millis,
    ) -> RouteDecision {
        let request = grant_request(number, item, self.timeout);
        match self.table.request_grant(request, now) {
            GrantDecision::Granted(grant) => self.dispatch(&grant),
            GrantDecision::Queued(ticket) => RouteDecision::Wait(ticket),
            GrantDecision::Refused(_) => RouteDecision::Refuse,
        }
    }

    fn release(&mut self, grant: Option<GrantId>, now: Millis) -> Vec<(TicketId, RouteDecision)> {
        if let Some(grant) = grant {
            self.table.release(grant, now);
        }
        let decided = self.table.decide_queued(now);
        self.route_decisions(decided)
    }

    fn prefill_done(&mut self, grant: Option<GrantId>) {
        if let Some(grant) = grant {
            self.table.prefill_done(grant);
        }
    }

    fn tick(&mut self, now: Millis) -> Vec<(TicketId, RouteDecision)> {
        if self.table.is_idle() {
            return Vec::new();
        }
        let decided = self.table.decide_queued(now);
        self.route_decisions(decided)
    }
}

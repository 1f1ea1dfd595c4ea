//! The ways of routing that are compared.

use policy::ids::{AccountId, EndpointId, Incarnation, InstanceId, Millis, OwnerId, RequestId};
use policy::poison::Fingerprint;
use policy::pool::{
    EndpointSpec, Grant, GrantDecision, GrantId, GrantRequest, PoolLimits, PoolObjective,
    PoolTable, Sharing, TicketId,
};

use crate::engine_model::EngineModel;
use crate::workload::WorkItem;

/// Where a request goes.
#[derives::value]
pub(crate) struct RoutePart {
    pub(crate) engine: usize,
    pub(crate) memory: u64,
}

/// What becomes of a request that arrives.
#[derives::value]
pub(crate) enum RouteDecision {
    /// It goes to these engines, the first of which leads.
    Go {
        grant: Option<GrantId>,
        parts: Vec<RoutePart>,
        priority: u32,
    },
    /// It waits at the router.
    Wait(TicketId),
    /// It is refused.
    Refuse,
}

/// A way of routing.
pub(crate) trait Router {
    fn arrive(
        &mut self,
        number: usize,
        item: &WorkItem,
        engines: &[EngineModel],
        now: Millis,
    ) -> RouteDecision;

    /// Takes back a grant; gives the decisions on those who waited.
    fn release(&mut self, grant: Option<GrantId>, now: Millis) -> Vec<(TicketId, RouteDecision)>;

    /// Hears that a prompt has been read.
    fn prefill_done(&mut self, grant: Option<GrantId>);

    /// Lets time pass; gives the decisions on those who waited.
    fn tick(&mut self, now: Millis) -> Vec<(TicketId, RouteDecision)>;
}

/// Runs a request on one engine, with at most all of its memory. A router without exact counts
/// that took several engines' memory would deadlock with itself; this favours it.
fn on_one(engine: usize, tokens: u64, memory: u64) -> Vec<RoutePart> {
    vec![RoutePart {
        engine,
        memory: tokens.min(memory),
    }]
}

/// Each request to the next engine.
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
        RouteDecision::Go {
            grant: None,
            parts: on_one(first, item.prompt + item.answer, self.memory),
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

/// Each request to the engine with the fewest streams.
#[derive(Debug)]
pub(crate) struct LeastOutstanding {
    memory: u64,
    short_priority: u32,
}

impl LeastOutstanding {
    /// With a `short_priority` above zero, engines read short prompts first.
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
        let is_short = item.prompt <= SHORT_TOKENS;
        RouteDecision::Go {
            grant: None,
            parts: on_one(first, item.prompt + item.answer, self.memory),
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

/// Prompts of at most this many tokens count as short.
pub(crate) const SHORT_TOKENS: u64 = 32_768;

/// The product's own decisions: a steward's exact table.
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

    /// The limits that suit an objective.
    pub(crate) fn limits(objective: PoolObjective) -> PoolLimits {
        PoolLimits {
            long_tokens: SHORT_TOKENS,
            ..PoolLimits::new(objective)
        }
    }

    fn go(&self, grant: &Grant) -> RouteDecision {
        let parts = grant.parts.iter().map(|part| {
            let engine = self.engines.binary_search(&part.endpoint);
            RoutePart {
                engine: engine.expect("grants name the pool's engines"),
                memory: part.tokens,
            }
        });
        RouteDecision::Go {
            grant: Some(grant.id),
            parts: parts.collect(),
            priority: u32::try_from(grant.priority.level()).unwrap_or(0),
        }
    }

    fn decisions(&self, drained: Vec<(TicketId, GrantDecision)>) -> Vec<(TicketId, RouteDecision)> {
        let decided = drained.into_iter().map(|(ticket, decision)| {
            let decision = match decision {
                GrantDecision::Granted(grant) => self.go(&grant),
                GrantDecision::Queued(ticket) => RouteDecision::Wait(ticket),
                GrantDecision::Refused(_) => RouteDecision::Refuse,
            };
            (ticket, decision)
        });
        decided.collect()
    }
}

/// An ask as an entry instance would make it.
pub(crate) fn ask_of(number: usize, item: &WorkItem, timeout: Millis) -> GrantRequest {
    let request = u128::try_from(number).unwrap_or(0);
    GrantRequest {
        owner: OwnerId::new(InstanceId::new("entry"), Incarnation(1)),
        request_id: RequestId(request),
        fingerprint: Fingerprint(u64::try_from(number).unwrap_or(0) + 1),
        account: AccountId::new(format!("account-{}", item.account)),
        weight: 1,
        model: String::new(),
        prompt_tokens: item.prompt,
        output_tokens: item.answer,
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
        let ask = ask_of(number, item, self.timeout);
        match self.table.request_grant(ask, now) {
            GrantDecision::Granted(grant) => self.go(&grant),
            GrantDecision::Queued(ticket) => RouteDecision::Wait(ticket),
            GrantDecision::Refused(_) => RouteDecision::Refuse,
        }
    }

    fn release(&mut self, grant: Option<GrantId>, now: Millis) -> Vec<(TicketId, RouteDecision)> {
        if let Some(grant) = grant {
            self.table.release(grant, now);
        }
        let drained = self.table.drain(now);
        self.decisions(drained)
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
        let drained = self.table.drain(now);
        self.decisions(drained)
    }
}

//! Simulates a load against a dispatcher in virtual time.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use policy::cast::{f64_to_u64, u64_to_f64, usize_to_f64};
use policy::dispatch::engine::EngineProfile;
use policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementGrant,
    PlacementRequest, PlacementScope, RunKey, RunOutcome, RunReport, StartPhase,
};
use policy::dispatch::{DispatchLimits, Dispatcher};
use policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use policy::poison::Fingerprint;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::engine::{PrefillPart, SimulatedEngine, StreamEvent};
use crate::load::{LoadFile, SizeDistribution};
use crate::report::{RequestRecord, RequestResult};

/// Time between two rounds of the dispatcher while placement requests are queued, in milliseconds.
const ROUND_INTERVAL_MS: f64 = 15.0;

/// Largest supported [`LoadFile::arrival_factor`]: arrivals are drawn at the base rate times this
/// factor and thinned to the factor in force.
const MAX_ARRIVAL_FACTOR: f64 = 8.0;

/// Longest delay of a caller's retry after a refusal, as a share of the time left to its deadline.
const MAX_RETRY_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Event of the simulation; the indexes are those of request records or of engines.
#[derive(Debug)]
enum SimEvent {
    Arrival(usize),
    CallerRetry(usize),
    PassEnd(usize),
    Round,
    Deadline(usize),
}

/// Entry of the event queue. The entry that is due first compares as the greatest, since
/// `BinaryHeap` is a max-heap; `sequence` orders entries of the same time by their insertion.
struct ScheduledEvent {
    at: f64,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.at.total_cmp(&self.at);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

/// A placed request that has not ended.
struct ActiveRun {
    record: usize,
    host: usize,
    helpers: Vec<usize>,
    /// Parts of the prompt that are still in prefill, on the host or on a helper.
    parts_left: usize,
    /// Time of the last event or, before the first event, of the placement.
    last_event: f64,
}

/// Simulation of one load with one seed.
pub struct LoadExperiment<'a> {
    load: &'a LoadFile,
    dispatcher: Dispatcher,
    pool: PoolId,
    engines: Vec<SimulatedEngine>,
    addresses: HashMap<SocketAddr, usize>,
    event_queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    now: f64,
    records: Vec<RequestRecord>,
    runs: HashMap<usize, ActiveRun>,
    /// Number of runs that each engine hosts.
    hosted: Vec<usize>,
    is_round_scheduled: bool,
}

impl<'a> LoadExperiment<'a> {
    /// Sets up the simulation of `load`. For the same load, the arrivals depend on `seed` alone, so
    /// that different dispatch limits can be compared on the same requests.
    #[must_use]
    pub fn new(load: &'a LoadFile, limits: DispatchLimits, seed: u64) -> Self {
        let pool = PoolId::new("engines");
        let mut dispatcher = Dispatcher::new(limits);
        dispatcher.set_pool(&pool, &EngineProfile::from(&load.engines));
        let endpoints: Vec<EndpointInfo> = (0..load.engines.count)
            .map(|index| endpoint_info(index, load.engines.domains))
            .collect();
        dispatcher.set_endpoints(&pool, &endpoints);
        let indexed_endpoints = endpoints.iter().enumerate();
        let mut experiment = Self {
            load,
            dispatcher,
            pool,
            engines: (0..load.engines.count)
                .map(|_| SimulatedEngine::new())
                .collect(),
            addresses: indexed_endpoints
                .map(|(index, endpoint)| (endpoint.target.address, index))
                .collect(),
            event_queue: BinaryHeap::new(),
            sequence: 0,
            now: 0.0,
            records: Vec::new(),
            runs: HashMap::new(),
            hosted: vec![0; load.engines.count],
            is_round_scheduled: false,
        };
        experiment.draw_arrivals(seed);
        experiment
    }

    /// Runs the simulation until every request has ended.
    #[must_use]
    pub fn run(mut self) -> ExperimentOutcome {
        while let Some(scheduled) = self.event_queue.pop() {
            self.now = scheduled.at;
            match scheduled.event {
                SimEvent::Arrival(record) | SimEvent::CallerRetry(record) => self.submit(record),
                SimEvent::PassEnd(engine) => self.end_pass(engine),
                SimEvent::Round => {
                    self.is_round_scheduled = false;
                    let decisions = self.dispatcher.decide(f64_to_u64(self.now));
                    self.apply(decisions);
                }
                SimEvent::Deadline(record) => self.expire(record),
            }
        }
        let busy_ms: f64 = self.engines.iter().map(|engine| engine.busy_ms).sum();
        let engine_time_ms = self.load.seconds * 1_000.0 * usize_to_f64(self.engines.len());
        ExperimentOutcome {
            records: self.records,
            use_share: busy_ms / engine_time_ms,
        }
    }

    fn draw_arrivals(&mut self, seed: u64) {
        for (kind, request_kind) in self.load.kinds.iter().enumerate() {
            let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(kind as u64));
            let rate = request_kind.per_second * MAX_ARRIVAL_FACTOR;
            let Ok(gaps) = Exp::new(rate) else {
                continue;
            };
            let mut at = 0.0;
            loop {
                at += gaps.sample(&mut rng);
                if at >= self.load.seconds {
                    break;
                }
                let prompt_tokens = draw_size(&request_kind.prompt_tokens, &mut rng);
                let events = draw_size(&request_kind.events, &mut rng);
                let uniform: f64 = rng.random();
                if uniform * MAX_ARRIVAL_FACTOR >= self.load.arrival_factor(kind, at) {
                    continue;
                }
                let record = self.records.len();
                self.records.push(RequestRecord::new(
                    kind,
                    at * 1_000.0,
                    prompt_tokens,
                    events,
                ));
                self.push(at * 1_000.0, SimEvent::Arrival(record));
                let deadline = at * 1_000.0 + u64_to_f64(request_kind.deadline);
                self.push(deadline, SimEvent::Deadline(record));
            }
        }
    }

    fn push(&mut self, at: f64, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.push(ScheduledEvent {
            at,
            sequence: self.sequence,
            event,
        });
    }

    fn submit(&mut self, record: usize) {
        let request = &self.records[record];
        if request.result != RequestResult::Open {
            return;
        }
        let kind = &self.load.kinds[request.kind];
        let waited = self.now - request.arrived_at;
        let placement_request = PlacementRequest {
            pool: self.pool.clone(),
            account: AccountId::new("account"),
            scope: PlacementScope::Fleet,
            prompt_tokens: request.prompt_tokens,
            output_tokens: u64::from(request.events) * tokens_per_event(self.load),
            waited: f64_to_u64(waited),
            first_event_aim: kind.first_event_aim,
            pause_aim: kind.pause_aim,
            time_left: kind.deadline.saturating_sub(f64_to_u64(waited)),
            retry: None,
            excluded: Vec::new(),
            caller_domain: Some(domain_name(record % self.load.engines.domains)),
            fingerprint: Fingerprint(record as u64),
        };
        let key = RunKey::new(1, record as u64);
        let refusal = self
            .dispatcher
            .submit(key, placement_request, f64_to_u64(self.now));
        if let Some(refusal) = refusal {
            self.on_refusal(record, refusal.retry_after);
        }
        self.decide();
    }

    fn decide(&mut self) {
        let now = f64_to_u64(self.now);
        let decisions = self.dispatcher.decide_after_change(now);
        self.apply(decisions);
    }

    fn apply(&mut self, decisions: Vec<(RunKey, PlacementDecision)>) {
        for (key, decision) in decisions {
            let record = usize::try_from(key.number).unwrap_or(usize::MAX);
            match decision {
                PlacementDecision::Granted(grant) => self.start_run(record, &grant),
                PlacementDecision::Refused(refusal) => self.on_refusal(record, refusal.retry_after),
            }
        }
        if self.dispatcher.has_queued() && !self.is_round_scheduled {
            self.is_round_scheduled = true;
            self.push(self.now + ROUND_INTERVAL_MS, SimEvent::Round);
        }
    }

    fn on_refusal(&mut self, record: usize, retry_after: Millis) {
        let request = &mut self.records[record];
        let kind = &self.load.kinds[request.kind];
        request.refusals += 1;
        if request.refusals > kind.returns {
            request.result = RequestResult::Refused;
            return;
        }
        let time_left = request.arrived_at + u64_to_f64(kind.deadline) - self.now;
        let retry_delay = u64_to_f64(retry_after).min(time_left * MAX_RETRY_DELAY_SHARE);
        self.push(self.now + retry_delay + 2.0, SimEvent::CallerRetry(record));
    }

    fn start_run(&mut self, record: usize, grant: &PlacementGrant) {
        let host = self.addresses[&grant.host.address];
        let helpers: Vec<usize> = grant
            .helpers
            .iter()
            .map(|helper| self.addresses[&helper.target.address])
            .collect();
        let request = &mut self.records[record];
        request.expected_first_event = grant.expected_first;
        request.granted_at = self.now;
        request.helpers = helpers.len();
        let profile = EngineProfile::from(&self.load.engines);
        let part_count = usize_to_f64(helpers.len() + 1);
        let part = PrefillPart {
            run: record,
            tokens: u64_to_f64(request.prompt_tokens) / part_count,
            prefill_ms: profile.prefill_ms(request.prompt_tokens) / part_count,
        };
        if helpers.is_empty() {
            self.engines[host].queue_prompt(part);
        } else {
            for engine in std::iter::once(&host).chain(&helpers) {
                self.engines[*engine].queue_shared_part(part.clone());
            }
        }
        let run = ActiveRun {
            record,
            host,
            parts_left: helpers.len() + 1,
            helpers: helpers.clone(),
            last_event: self.now,
        };
        self.runs.insert(record, run);
        self.hosted[host] += 1;
        self.start_if_idle(host);
        for helper in helpers {
            self.start_if_idle(helper);
        }
    }

    /// Starts a pass on an idle engine; a busy engine takes up new work with its next pass.
    fn start_if_idle(&mut self, engine: usize) {
        if self.engines[engine].pass_end.is_none() {
            self.start_pass(engine, self.now + self.load.engines.transit_ms);
        }
    }

    fn start_pass(&mut self, engine: usize, at: f64) {
        let slowdown = self
            .load
            .slowdown(engine, self.hosted[engine], at / 1_000.0);
        self.engines[engine].start_pass(&self.load.engines, slowdown, at);
        if let Some(end) = self.engines[engine].pass_end {
            self.push(end, SimEvent::PassEnd(engine));
        }
    }

    fn end_pass(&mut self, engine: usize) {
        let outcome = self.engines[engine].end_pass();
        for (record, event) in outcome.events {
            self.on_stream_event(record, event);
        }
        for record in outcome.prefilled_runs {
            let Some(run) = self.runs.get_mut(&record) else {
                continue;
            };
            run.parts_left -= 1;
            if run.parts_left == 0 {
                self.on_first_event(record);
            }
        }
        self.start_pass(engine, self.now);
        self.decide();
    }

    fn on_first_event(&mut self, record: usize) {
        let transit = self.load.engines.transit_ms;
        let (host, request) = (self.runs[&record].host, &mut self.records[record]);
        request.first_event = self.now + transit - request.arrived_at;
        let key = RunKey::new(1, record as u64);
        self.dispatcher
            .first_event(key, f64_to_u64(self.now + transit));
        let (events, context) = (request.events, u64_to_f64(request.prompt_tokens));
        if let Some(run) = self.runs.get_mut(&record) {
            run.last_event = self.now;
        }
        if events <= 1 {
            self.finish(record, RequestResult::Served);
            return;
        }
        self.engines[host].start_decoding(record, events - 1, context);
        self.start_if_idle(host);
    }

    fn on_stream_event(&mut self, record: usize, event: StreamEvent) {
        let Some(run) = self.runs.get_mut(&record) else {
            return;
        };
        let pause = self.now - run.last_event;
        run.last_event = self.now;
        let request = &mut self.records[record];
        request.longest_pause = request.longest_pause.max(pause);
        if event == StreamEvent::Last {
            self.finish(record, RequestResult::Served);
        }
    }

    fn finish(&mut self, record: usize, result: RequestResult) {
        let Some(run) = self.runs.remove(&record) else {
            return;
        };
        self.hosted[run.host] -= 1;
        self.records[run.record].result = result;
        self.records[run.record].ended_at = self.now;
        let outcome = match result {
            RequestResult::Served => RunOutcome::Served,
            RequestResult::Open | RequestResult::Refused | RequestResult::Expired => {
                RunOutcome::CallerLeft
            }
        };
        let key = RunKey::new(1, record as u64);
        let now = f64_to_u64(self.now);
        self.dispatcher.finish(key, &RunReport::new(outcome), now);
        self.engines[run.host].cancel(record);
        for helper in run.helpers {
            self.engines[helper].cancel(record);
        }
    }

    fn expire(&mut self, record: usize) {
        if self.records[record].result != RequestResult::Open {
            return;
        }
        if self.runs.contains_key(&record) {
            self.finish(record, RequestResult::Expired);
        } else {
            let key = RunKey::new(1, record as u64);
            let report = RunReport::new(RunOutcome::CallerLeft);
            self.dispatcher.finish(key, &report, f64_to_u64(self.now));
            self.records[record].result = RequestResult::Expired;
        }
        self.decide();
    }
}

/// Result of a simulation.
#[derive(Debug)]
pub struct ExperimentOutcome {
    /// One record per request.
    pub records: Vec<RequestRecord>,
    /// Time of all passes as a share of the engines' time while requests arrive.
    pub use_share: f64,
}

fn domain_name(index: usize) -> DomainId {
    DomainId::new(format!("domain-{index}"))
}

fn endpoint_info(index: usize, domains: usize) -> EndpointInfo {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    let address = IpAddr::V4(Ipv4Addr::new(127, 1, high, low));
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: SocketAddr::new(address, 1),
        },
        domain: domain_name(index % domains),
        state: EndpointState::Ready,
        started: StartPhase::Settled,
    }
}

fn draw_size(size: &SizeDistribution, rng: &mut SmallRng) -> f64 {
    let location = size.mean.ln() - size.spread * size.spread / 2.0;
    let Ok(sizes) = LogNormal::new(location, size.spread) else {
        return size.mean;
    };
    sizes.sample(rng).clamp(1.0, size.max)
}

/// Tokens of one stream event: each decode step of a pass generates one.
fn tokens_per_event(load: &LoadFile) -> u64 {
    f64_to_u64(load.engines.steps_per_pass)
}

//! Plays a load against a dispatch board on virtual time.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use policy::cast::{f64_to_u64, u64_to_f64, usize_to_f64};
use policy::dispatch::engine::EngineProfile;
use policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementGrant,
    PlacementRequest, PlacementScope, RunKey, RunOutcome, RunReport,
};
use policy::dispatch::{DispatchLimits, Dispatcher};
use policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use policy::poison::Fingerprint;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::engine::{EventKind, ModelEngine, ReadPart};
use crate::load::{LoadFile, SizeSpread};
use crate::report::{RequestRecord, RequestResult};

/// Time between two rounds of the board while asks wait, in milliseconds.
const ROUND_MS: f64 = 15.0;

/// Largest factor of a load's bursts; arrivals are drawn at this rate and thinned.
const LARGEST_FACTOR: f64 = 8.0;

/// Most part of its time left for which a refused caller stays away.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// What happens at a moment.
#[derive(Debug)]
enum Happening {
    Arrival(usize),
    Return(usize),
    PassEnd(usize),
    Round,
    Deadline(usize),
}

struct Moment {
    at: f64,
    order: u64,
    happening: Happening,
}

impl PartialEq for Moment {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Moment {}

impl PartialOrd for Moment {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Moment {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.at.total_cmp(&self.at);
        by_time.then(other.order.cmp(&self.order))
    }
}

/// A request in hand.
struct ModelRun {
    record: usize,
    host: usize,
    helpers: Vec<usize>,
    parts_left: usize,
    last_event: f64,
}

/// Plays one load with one seed.
pub struct LoadExperiment<'a> {
    load: &'a LoadFile,
    board: Dispatcher,
    pool: PoolId,
    engines: Vec<ModelEngine>,
    addresses: HashMap<SocketAddr, usize>,
    moments: BinaryHeap<Moment>,
    order: u64,
    now: f64,
    records: Vec<RequestRecord>,
    runs: HashMap<usize, ModelRun>,
    has_round: bool,
}

impl<'a> LoadExperiment<'a> {
    /// Prepares a load; the arrivals depend on `seed` alone.
    #[must_use]
    pub fn new(load: &'a LoadFile, limits: DispatchLimits, seed: u64) -> Self {
        let pool = PoolId::new("engines");
        let mut board = Dispatcher::new(limits);
        board.set_pool(&pool, &EngineProfile::from(&load.engines));
        let facts: Vec<EndpointInfo> = (0..load.engines.count)
            .map(|index| engine_facts(index, load.engines.domains))
            .collect();
        board.set_endpoints(&pool, &facts);
        let places = facts.iter().enumerate();
        let mut experiment = Self {
            load,
            board,
            pool,
            engines: (0..load.engines.count)
                .map(|_| ModelEngine::new())
                .collect(),
            addresses: places
                .map(|(index, facts)| (facts.target.address, index))
                .collect(),
            moments: BinaryHeap::new(),
            order: 0,
            now: 0.0,
            records: Vec::new(),
            runs: HashMap::new(),
            has_round: false,
        };
        experiment.draw_arrivals(seed);
        experiment
    }

    /// Plays it and returns what became of each request.
    #[must_use]
    pub fn run(mut self) -> ExperimentYield {
        while let Some(moment) = self.moments.pop() {
            self.now = moment.at;
            match moment.happening {
                Happening::Arrival(record) | Happening::Return(record) => self.ask(record),
                Happening::PassEnd(engine) => self.end_pass(engine),
                Happening::Round => {
                    self.has_round = false;
                    self.decide();
                }
                Happening::Deadline(record) => self.give_up(record),
            }
        }
        let busy: f64 = self.engines.iter().map(|engine| engine.busy_ms).sum();
        let span = self.load.seconds * 1_000.0 * usize_to_f64(self.engines.len());
        ExperimentYield {
            records: self.records,
            use_share: busy / span,
        }
    }

    fn draw_arrivals(&mut self, seed: u64) {
        for (kind, request) in self.load.kinds.iter().enumerate() {
            let mut random =
                SmallRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(kind as u64));
            let rate = request.per_second * LARGEST_FACTOR;
            let Ok(gaps) = Exp::new(rate) else {
                continue;
            };
            let mut at = 0.0;
            loop {
                at += gaps.sample(&mut random);
                if at >= self.load.seconds {
                    break;
                }
                let prompt = draw_size(&request.prompt_tokens, &mut random);
                let events = draw_size(&request.events, &mut random);
                let keep: f64 = random.random();
                if keep * LARGEST_FACTOR >= self.load.factor(kind, at) {
                    continue;
                }
                let record = self.records.len();
                self.records
                    .push(RequestRecord::new(kind, at * 1_000.0, prompt, events));
                self.push(at * 1_000.0, Happening::Arrival(record));
                let deadline = at * 1_000.0 + u64_to_f64(request.deadline);
                self.push(deadline, Happening::Deadline(record));
            }
        }
    }

    fn push(&mut self, at: f64, happening: Happening) {
        self.order += 1;
        self.moments.push(Moment {
            at,
            order: self.order,
            happening,
        });
    }

    fn ask(&mut self, record: usize) {
        let request = &self.records[record];
        if request.result != RequestResult::Open {
            return;
        }
        let kind = &self.load.kinds[request.kind];
        let waited = self.now - request.arrived;
        let work = PlacementRequest {
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
        let refused = self.board.submit(key, work, f64_to_u64(self.now));
        if let Some(refusal) = refused {
            self.refuse(record, refusal.retry_after);
        }
        self.decide();
    }

    fn decide(&mut self) {
        let verdicts = self.board.decide(f64_to_u64(self.now));
        for (key, verdict) in verdicts {
            let record = usize::try_from(key.number).unwrap_or(usize::MAX);
            match verdict {
                PlacementDecision::Granted(grant) => self.start(record, &grant),
                PlacementDecision::Refused(refusal) => self.refuse(record, refusal.retry_after),
            }
        }
        if self.board.has_queued() && !self.has_round {
            self.has_round = true;
            self.push(self.now + ROUND_MS, Happening::Round);
        }
    }

    fn refuse(&mut self, record: usize, retry_after: Millis) {
        let request = &mut self.records[record];
        let kind = &self.load.kinds[request.kind];
        request.refusals += 1;
        if request.refusals > kind.returns {
            request.result = RequestResult::Refused;
            return;
        }
        let left = request.arrived + u64_to_f64(kind.deadline) - self.now;
        let away = u64_to_f64(retry_after).min(left * RETURN_SHARE);
        self.push(self.now + away + 2.0, Happening::Return(record));
    }

    fn start(&mut self, record: usize, grant: &PlacementGrant) {
        let host = self.addresses[&grant.host.address];
        let helpers: Vec<usize> = grant
            .helpers
            .iter()
            .map(|helper| self.addresses[&helper.target.address])
            .collect();
        let request = &mut self.records[record];
        request.expected = grant.expected_first;
        request.granted = self.now;
        request.helpers = helpers.len();
        let profile = EngineProfile::from(&self.load.engines);
        let split = usize_to_f64(helpers.len() + 1);
        let part = ReadPart {
            run: record,
            tokens: u64_to_f64(request.prompt_tokens) / split,
            read_ms: profile.prefill_ms(request.prompt_tokens) / split,
        };
        if helpers.is_empty() {
            self.engines[host].read_whole(part);
        } else {
            for engine in std::iter::once(&host).chain(&helpers) {
                self.engines[*engine].read_part(part.clone());
            }
        }
        let run = ModelRun {
            record,
            host,
            parts_left: helpers.len() + 1,
            helpers: helpers.clone(),
            last_event: self.now,
        };
        self.runs.insert(record, run);
        self.wake(host);
        for helper in helpers {
            self.wake(helper);
        }
    }

    /// Begins a pass on an engine that has nothing to do.
    fn wake(&mut self, engine: usize) {
        if self.engines[engine].pass_end.is_none() {
            self.start_pass(engine, self.now + self.load.engines.transit_ms);
        }
    }

    fn start_pass(&mut self, engine: usize, at: f64) {
        let pace = self.load.pace(engine, at / 1_000.0);
        self.engines[engine].start_pass(&self.load.engines, pace, at);
        if let Some(end) = self.engines[engine].pass_end {
            self.push(end, Happening::PassEnd(engine));
        }
    }

    fn end_pass(&mut self, engine: usize) {
        let brought = self.engines[engine].end_pass();
        for (record, event) in brought.events {
            self.event(record, event);
        }
        for record in brought.parts {
            let Some(run) = self.runs.get_mut(&record) else {
                continue;
            };
            run.parts_left -= 1;
            if run.parts_left == 0 {
                self.first_event(record);
            }
        }
        self.start_pass(engine, self.now);
        self.decide();
    }

    fn first_event(&mut self, record: usize) {
        let transit = self.load.engines.transit_ms;
        let (host, request) = (self.runs[&record].host, &mut self.records[record]);
        request.first_event = self.now + transit - request.arrived;
        let key = RunKey::new(1, record as u64);
        self.board.first_event(key, f64_to_u64(self.now + transit));
        let (events, context) = (request.events, u64_to_f64(request.prompt_tokens));
        if let Some(run) = self.runs.get_mut(&record) {
            run.last_event = self.now;
        }
        if events <= 1 {
            self.finish(record, RequestResult::Served);
            return;
        }
        self.engines[host].write(record, events - 1, context);
        self.wake(host);
    }

    fn event(&mut self, record: usize, event: EventKind) {
        let Some(run) = self.runs.get_mut(&record) else {
            return;
        };
        let pause = self.now - run.last_event;
        run.last_event = self.now;
        let request = &mut self.records[record];
        request.longest_pause = request.longest_pause.max(pause);
        if event == EventKind::Last {
            self.finish(record, RequestResult::Served);
        }
    }

    fn finish(&mut self, record: usize, result: RequestResult) {
        let Some(run) = self.runs.remove(&record) else {
            return;
        };
        self.records[run.record].result = result;
        self.records[run.record].ended = self.now;
        let end = match result {
            RequestResult::Served => RunOutcome::Served,
            RequestResult::Open | RequestResult::Refused | RequestResult::Expired => {
                RunOutcome::CallerLeft
            }
        };
        let key = RunKey::new(1, record as u64);
        let now = f64_to_u64(self.now);
        self.board.finish(key, &RunReport::new(end), now);
        self.engines[run.host].cancel(record);
        for helper in run.helpers {
            self.engines[helper].cancel(record);
        }
    }

    fn give_up(&mut self, record: usize) {
        if self.records[record].result != RequestResult::Open {
            return;
        }
        if self.runs.contains_key(&record) {
            self.finish(record, RequestResult::Expired);
        } else {
            let key = RunKey::new(1, record as u64);
            let left = RunReport::new(RunOutcome::CallerLeft);
            self.board.finish(key, &left, f64_to_u64(self.now));
            self.records[record].result = RequestResult::Expired;
        }
        self.decide();
    }
}

/// What an experiment has brought.
#[derive(Debug)]
pub struct ExperimentYield {
    /// What became of each request.
    pub records: Vec<RequestRecord>,
    /// Share of the engines' time that passes took.
    pub use_share: f64,
}

fn domain_name(index: usize) -> DomainId {
    DomainId::new(format!("domain-{index}"))
}

fn engine_facts(index: usize, domains: usize) -> EndpointInfo {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    let address = IpAddr::V4(Ipv4Addr::new(127, 1, high, low));
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: SocketAddr::new(address, 1),
        },
        domain: domain_name(index % domains),
        state: EndpointState::Ready,
    }
}

fn draw_size(size: &SizeSpread, random: &mut SmallRng) -> f64 {
    let location = size.mean.ln() - size.spread * size.spread / 2.0;
    let Ok(sizes) = LogNormal::new(location, size.spread) else {
        return size.mean;
    };
    sizes.sample(random).clamp(1.0, size.max)
}

/// Tokens that one event holds: one a step.
fn tokens_per_event(load: &LoadFile) -> u64 {
    f64_to_u64(load.engines.steps_per_pass)
}

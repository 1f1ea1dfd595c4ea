//! Fault schedule of a run, derived from its seed.

use adapter_standin::{FaultyAnswer, ProxyMode, StoreFault, WorkerFault};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::flood::EndlessRequest;

/// Number of faults in a run.
const FAULT_COUNT: usize = 14;

/// Time within which all faults begin, in milliseconds.
const FAULT_WINDOW_MS: u64 = 12_000;

/// Shortest and longest duration of a fault, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 3_000);

/// Number of limits that endpoints name in a run.
const LIMIT_COUNT: usize = 3;

/// Longest duration of a limit, in milliseconds.
const LONGEST_LIMIT_MS: u64 = 6_000;

/// Shortest and longest duration of a cut of instances from all endpoints, in milliseconds.
const CUT_DURATION_MS: (u64, u64) = (500, 5_000);

/// Number of such cuts in a run.
const CUT_COUNT: usize = 2;

/// Forms of such cuts: open connections live on, are reset, or hang.
const CUT_MODES: [ProxyMode; 3] = [
    ProxyMode::Refuse,
    ProxyMode::Disconnect,
    ProxyMode::Blackhole,
];

/// Number of times in a run at which the store comes back from a copy, and at which a daemon's open
/// connections to the store fall silent.
const RESTORE_COUNT: usize = 2;
const SILENCE_COUNT: usize = 2;

/// Faulty answers of endpoints, and the number of times in a run at which one gives them.
const FAULTY_ANSWERS: [FaultyAnswer; 4] = [
    FaultyAnswer::EndlessInterim,
    FaultyAnswer::EndlessBody,
    FaultyAnswer::PartThenReset,
    FaultyAnswer::InvalidStatus,
];
const ANSWER_COUNT: usize = 4;

/// Failures after a run that may be taken for refusals, since all answers name their endpoint, and the
/// number of times in a run at which an endpoint of the plain service gives them.
const FAILURES: [WorkerFault; 3] = [
    WorkerFault::Failing,
    WorkerFault::FailingAsNotRun,
    WorkerFault::FailingAsBusy,
];
const FAILURE_COUNT: usize = 3;

/// Number of times in a run at which callers send requests that do not end.
const FLOOD_COUNT: usize = 2;

/// Lowest and highest age of a copy from which the store comes back, in milliseconds.
const COPY_AGE_MS: (u64, u64) = (300, 4_000);

/// Daemons that are cut off from all endpoints at once.
#[derives::tag]
pub enum CutScope {
    /// One daemon.
    Daemon(usize),
    /// All daemons of a failure domain.
    Domain(usize),
}

impl CutScope {
    /// Whether the daemon with this index is cut off.
    #[must_use]
    pub fn covers(self, daemon: usize) -> bool {
        match self {
            Self::Daemon(index) => daemon == index,
            Self::Domain(domain) => daemon % DOMAIN_COUNT == domain,
        }
    }
}

/// Number of failure domains; daemons and endpoints are spread over them in turn.
pub const DOMAIN_COUNT: usize = 2;

/// Size of the system under test.
#[derives::value]
pub struct SoakSize {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of endpoints of the plain service.
    pub service_endpoints: usize,
}

/// A fault or change that is injected into the system. Daemons and endpoints are named by index;
/// the indices of engines come before those of the plain service's endpoints.
#[derives::tag]
pub enum SoakFault {
    /// A daemon is killed and started again.
    Kill(usize),
    /// A daemon is stopped gracefully and started again.
    Stop(usize),
    /// A daemon's process is suspended, then resumed.
    Pause(usize),
    /// A daemon is signalled to reload its settings.
    Reload(usize),
    /// The store has a fault.
    Store(StoreFault),
    /// The store compacts its history of changes.
    Compact,
    /// The store comes back at the end from the copy of the begin, after it was away in this way.
    Restore(StoreFault),
    /// A daemon's open connections to the store fall silent for good.
    Silence(usize),
    /// The network path from a daemon to the store is delayed or interrupted.
    StorePath(usize, ProxyMode),
    /// The network path to an endpoint is delayed or interrupted.
    EndpointPath(usize, ProxyMode),
    /// An endpoint has a fault.
    Endpoint(usize, WorkerFault),
    /// An endpoint is marked as draining, then as ready again.
    Leave(usize),
    /// A new version of the configuration is published.
    Configure,
    /// An endpoint names a limit, in requests a second.
    Limit(usize, u32),
    /// Daemons are cut off from all endpoints.
    Cut(CutScope, ProxyMode),
    /// An endpoint gives faulty answers on new connections.
    Answers(usize, FaultyAnswer),
    /// Callers send a daemon requests that do not end.
    Flood(usize, EndlessRequest),
}

/// A fault with its begin and end, in milliseconds since the schedule started.
#[derives::value]
pub struct FaultTime {
    /// Fault to inject.
    pub fault: SoakFault,
    /// Begin of the fault.
    pub from: u64,
    /// End of the fault.
    pub until: u64,
}

/// Returns the fault schedule of a seed, ordered by begin. Faults may overlap and repeat.
#[must_use]
pub fn draw_schedule(seed: u64, size: &SoakSize) -> Vec<FaultTime> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut times: Vec<FaultTime> = (0..FAULT_COUNT)
        .map(|_| {
            let from = rng.random_range(0..FAULT_WINDOW_MS);
            let length = rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
            FaultTime {
                fault: draw_fault(&mut rng, size),
                from,
                until: from + length,
            }
        })
        .collect();
    times.extend(draw_limits(seed, size));
    times.extend(draw_cuts(seed, size));
    times.extend(draw_restores(seed, size));
    times.extend(draw_answers(seed, size));
    times.extend(draw_failures(seed, size));
    times.extend(draw_floods(seed, size));
    times.sort_by_key(|time| time.from);
    times
}

/// Draws endpoints that name a limit, from numbers of their own, so that the other faults of a seed
/// stay as they are.
fn draw_limits(seed: u64, size: &SoakSize) -> Vec<FaultTime> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    (0..LIMIT_COUNT)
        .map(|_| {
            let endpoint = rng.random_range(0..size.engines + size.service_endpoints);
            let from = rng.random_range(0..FAULT_WINDOW_MS);
            FaultTime {
                fault: SoakFault::Limit(endpoint, rng.random_range(0..6)),
                from,
                until: from + rng.random_range(FAULT_DURATION_MS.0..LONGEST_LIMIT_MS),
            }
        })
        .collect()
}

/// Draws returns of the store from copies, and silences of its connections, from numbers of their own.
fn draw_restores(seed: u64, size: &SoakSize) -> Vec<FaultTime> {
    let mut rng = SmallRng::seed_from_u64(seed.reverse_bits());
    let mut times = Vec::new();
    for _ in 0..RESTORE_COUNT {
        let from = rng.random_range(0..FAULT_WINDOW_MS);
        let ways = [StoreFault::None, StoreFault::Refusing, StoreFault::Silent];
        let way = ways.choose(&mut rng).copied().unwrap_or(StoreFault::None);
        times.push(FaultTime {
            fault: SoakFault::Restore(way),
            from,
            until: from + rng.random_range(COPY_AGE_MS.0..COPY_AGE_MS.1),
        });
    }
    for _ in 0..SILENCE_COUNT {
        let from = rng.random_range(0..FAULT_WINDOW_MS);
        times.push(FaultTime {
            fault: SoakFault::Silence(rng.random_range(0..size.daemons)),
            from,
            until: from,
        });
    }
    times
}

/// Draws faulty answers of endpoints, from numbers of their own. The first is a part of an answer to
/// uploads, which go to the plain service.
fn draw_answers(seed: u64, size: &SoakSize) -> Vec<FaultTime> {
    let mut rng = SmallRng::seed_from_u64(!seed.swap_bytes());
    (0..ANSWER_COUNT)
        .map(|number| {
            let mut endpoint = rng.random_range(0..size.engines + size.service_endpoints);
            let mut answer = FAULTY_ANSWERS.choose(&mut rng).copied();
            if number == 0 {
                endpoint = size.engines + endpoint % size.service_endpoints;
                answer = Some(FaultyAnswer::PartThenReset);
            }
            let from = rng.random_range(0..FAULT_WINDOW_MS);
            FaultTime {
                fault: SoakFault::Answers(endpoint, answer.unwrap_or(FAULTY_ANSWERS[0])),
                from,
                until: from + rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1),
            }
        })
        .collect()
}

/// Draws failures of the plain service's endpoints, from numbers of their own.
fn draw_failures(seed: u64, size: &SoakSize) -> Vec<FaultTime> {
    let mut rng = SmallRng::seed_from_u64(!seed.reverse_bits());
    (0..FAILURE_COUNT)
        .map(|_| {
            let endpoint = size.engines + rng.random_range(0..size.service_endpoints);
            let failure = FAILURES.choose(&mut rng).copied().unwrap_or(FAILURES[0]);
            let from = rng.random_range(0..FAULT_WINDOW_MS);
            FaultTime {
                fault: SoakFault::Endpoint(endpoint, failure),
                from,
                until: from + rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1),
            }
        })
        .collect()
}

/// Draws requests that do not end, from numbers of their own.
fn draw_floods(seed: u64, size: &SoakSize) -> Vec<FaultTime> {
    let mut rng = SmallRng::seed_from_u64(seed.swap_bytes().reverse_bits());
    (0..FLOOD_COUNT)
        .map(|_| {
            let daemon = rng.random_range(0..size.daemons);
            let request = EndlessRequest::ALL.choose(&mut rng).copied();
            let from = rng.random_range(0..FAULT_WINDOW_MS);
            FaultTime {
                fault: SoakFault::Flood(daemon, request.unwrap_or(EndlessRequest::ALL[0])),
                from,
                until: from + rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1),
            }
        })
        .collect()
}

/// Draws cuts of daemons from all endpoints, from numbers of their own.
fn draw_cuts(seed: u64, size: &SoakSize) -> Vec<FaultTime> {
    let mut rng = SmallRng::seed_from_u64(seed.swap_bytes());
    (0..CUT_COUNT)
        .map(|_| {
            let from = rng.random_range(0..FAULT_WINDOW_MS);
            let (scope, mode) = draw_cut(&mut rng, size);
            FaultTime {
                fault: SoakFault::Cut(scope, mode),
                from,
                until: from + rng.random_range(CUT_DURATION_MS.0..CUT_DURATION_MS.1),
            }
        })
        .collect()
}

/// Draws which daemons are cut off from all endpoints, and how.
pub(crate) fn draw_cut(rng: &mut SmallRng, size: &SoakSize) -> (CutScope, ProxyMode) {
    let scope = if rng.random_bool(0.5) {
        CutScope::Domain(rng.random_range(0..DOMAIN_COUNT))
    } else {
        CutScope::Daemon(rng.random_range(0..size.daemons))
    };
    let mode = CUT_MODES.choose(rng).copied().unwrap_or(CUT_MODES[0]);
    (scope, mode)
}

fn draw_fault(rng: &mut SmallRng, size: &SoakSize) -> SoakFault {
    let daemon = rng.random_range(0..size.daemons);
    let endpoint = rng.random_range(0..size.engines + size.service_endpoints);
    match rng.random_range(0..12) {
        0 => SoakFault::Kill(daemon),
        1 => SoakFault::Stop(daemon),
        2 => SoakFault::Pause(daemon),
        3 => SoakFault::Reload(daemon),
        4 => SoakFault::Store(draw_store_fault(rng)),
        5 => SoakFault::Compact,
        6 => SoakFault::StorePath(daemon, draw_proxy_mode(rng)),
        7 | 8 => SoakFault::EndpointPath(endpoint, draw_proxy_mode(rng)),
        9 => SoakFault::Endpoint(endpoint, draw_endpoint_fault(rng)),
        10 => SoakFault::Leave(endpoint),
        _ => SoakFault::Configure,
    }
}

fn draw_store_fault(rng: &mut SmallRng) -> StoreFault {
    let faults = [
        StoreFault::Refusing,
        StoreFault::Silent,
        StoreFault::LosingWrites,
    ];
    faults.choose(rng).copied().unwrap_or(StoreFault::None)
}

fn draw_proxy_mode(rng: &mut SmallRng) -> ProxyMode {
    let modes = [
        ProxyMode::Delay(rng.random_range(5..400)),
        ProxyMode::Silent,
        ProxyMode::SilentForward,
        ProxyMode::SilentBack,
        ProxyMode::Reset,
    ];
    modes.choose(rng).copied().unwrap_or(ProxyMode::Pass)
}

fn draw_endpoint_fault(rng: &mut SmallRng) -> WorkerFault {
    let faults = [
        WorkerFault::Refusing,
        WorkerFault::Failing,
        WorkerFault::FailingAsNotRun,
        WorkerFault::FailingAsBusy,
        WorkerFault::LosingAnswers,
        WorkerFault::BreakingStreams,
        WorkerFault::Hanging,
        WorkerFault::MixingUp,
    ];
    faults.choose(rng).copied().unwrap_or(WorkerFault::None)
}

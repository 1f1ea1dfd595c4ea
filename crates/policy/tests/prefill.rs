//! The dispatcher's model of prefill on engines, and placements that keep the prefill of other
//! requests on time.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::dispatch::engine::EngineProfile;
use jackdawpoint_policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementGrant,
    PlacementRequest, PlacementScope, RunKey, RunOutcome, RunReport, StartPhase,
};
use jackdawpoint_policy::dispatch::{DispatchLimits, Dispatcher};
use jackdawpoint_policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use jackdawpoint_policy::poison::Fingerprint;

/// Tolerance for rounding of an expected time, in milliseconds.
const ROUNDING: Millis = 2;

/// A pass in which one short prompt decodes, in milliseconds: 51 steps of 0.85 ms and a little for
/// the context.
const PASS: Millis = 45;

/// Prefill time of a short prompt, in milliseconds.
const SHORT_PREFILL: Millis = 31;

fn pool() -> PoolId {
    PoolId::new("engines")
}

fn dispatcher(engines: u8) -> Dispatcher {
    let profile = EngineProfile {
        slots: 16,
        memory_tokens: 315_000,
        step_ms: 0.85,
        writer_step_ms: 0.004_25,
        context_step_ms: 0.002_85,
        read_tokens_per_ms: 177.0,
        million_pairs_ms: 0.184,
        steps_per_pass: 51.0,
    };
    let info = |index: u8| EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80),
        },
        domain: DomainId::new("domain"),
        state: EndpointState::Ready,
        started: StartPhase::Settled,
    };
    let mut dispatcher = Dispatcher::new(DispatchLimits::default());
    dispatcher.set_pool(&pool(), &profile);
    dispatcher.set_endpoints(&pool(), &(0..engines).map(info).collect::<Vec<_>>());
    dispatcher
}

fn request(prompt_tokens: u64, aim: Millis, pause: Millis) -> PlacementRequest {
    PlacementRequest {
        pool: pool(),
        account: AccountId::new("account"),
        scope: PlacementScope::Fleet,
        prompt_tokens,
        output_tokens: 1_500,
        waited: 0,
        first_event_aim: aim,
        pause_aim: pause,
        time_left: 15_000,
        retry: None,
        excluded: Vec::new(),
        caller_domain: None,
        fingerprint: Fingerprint(prompt_tokens),
    }
}

fn short() -> PlacementRequest {
    request(5_000, 300, 250)
}

fn long(prompt_tokens: u64) -> PlacementRequest {
    request(prompt_tokens, 3_000, 1_000)
}

fn key(number: u64) -> RunKey {
    RunKey::new(1, number)
}

/// Submits a request and runs one round; `None` if the request stays queued.
fn try_grant(
    dispatcher: &mut Dispatcher,
    number: u64,
    request: PlacementRequest,
    now: Millis,
) -> Option<PlacementGrant> {
    assert_eq!(dispatcher.submit(key(number), request, now), None);
    let decisions = dispatcher.decide(now);
    let own = decisions
        .into_iter()
        .find(|(decided, _)| *decided == key(number));
    match own?.1 {
        PlacementDecision::Granted(grant) => Some(grant),
        PlacementDecision::Refused(refusal) => panic!("request {number} was refused: {refusal:?}"),
    }
}

fn grant(
    dispatcher: &mut Dispatcher,
    number: u64,
    request: PlacementRequest,
    now: Millis,
) -> PlacementGrant {
    try_grant(dispatcher, number, request, now)
        .unwrap_or_else(|| panic!("request {number} was not placed"))
}

fn engines(grant: &PlacementGrant) -> Vec<EndpointId> {
    let helpers = grant.helpers.iter().map(|helper| &helper.target);
    let all = std::iter::once(&grant.host).chain(helpers);
    all.map(|target| target.endpoint.clone()).collect()
}

#[test]
fn first_event_is_expected_at_end_of_prefill_pass() {
    struct Case {
        name: &'static str,
        /// Time of the decoding run's first event; `None` if no run is decoding.
        first_event_at: Option<Millis>,
        submitted_at: Millis,
        expected: Millis,
    }
    let cases = [
        Case {
            name: "no run is decoding",
            first_event_at: None,
            submitted_at: 1_000,
            expected: SHORT_PREFILL,
        },
        Case {
            name: "a pass is in progress",
            first_event_at: Some(1_000),
            submitted_at: 1_015,
            expected: PASS - 15 + PASS + SHORT_PREFILL,
        },
        Case {
            name: "too late for the next pass",
            first_event_at: Some(1_000),
            submitted_at: 1_000 + PASS - 3,
            expected: 3 + 2 * PASS + SHORT_PREFILL,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(1);
        if let Some(first_event_at) = case.first_event_at {
            grant(&mut dispatcher, 1, short(), first_event_at - SHORT_PREFILL);
            dispatcher.first_event(key(1), first_event_at);
        }
        let grant = grant(&mut dispatcher, 2, short(), case.submitted_at);
        assert!(
            grant.expected_first.abs_diff(case.expected) <= ROUNDING,
            "{}: first event is expected in {} ms instead of {} ms",
            case.name,
            grant.expected_first,
            case.expected
        );
    }
}

#[test]
fn observed_events_resynchronize_passes() {
    let mut dispatcher = dispatcher(1);
    grant(&mut dispatcher, 1, short(), 0);
    dispatcher.first_event(key(1), SHORT_PREFILL);
    let second = grant(&mut dispatcher, 2, short(), SHORT_PREFILL + 15);
    // The event arrives 8 ms later than expected, so the passes end 8 ms later too.
    let arrived = SHORT_PREFILL + 15 + second.expected_first + 8;
    dispatcher.first_event(key(2), arrived);
    let third = grant(&mut dispatcher, 3, short(), arrived + 10);
    let expected = PASS - 10 + PASS + SHORT_PREFILL;
    // The estimated slowdown of the engine has grown a little: 8 ms in 106, weighted by 0.3.
    let slower = 3;
    assert!(
        third.expected_first.abs_diff(expected) <= ROUNDING + slower,
        "{third:?}"
    );
}

#[test]
fn prefill_in_progress_is_delayed_only_within_its_slack() {
    // Other prompts arrive while a large prompt is in prefill. An engine prefills the newest part
    // first, so that each new part on its engines delays the large prompt.
    struct Case {
        name: &'static str,
        engines: u8,
        free: usize,
    }
    let cases = [
        Case {
            name: "all engines prefill the large prompt",
            engines: 5,
            free: 0,
        },
        Case {
            name: "one engine is idle",
            engines: 7,
            free: 1,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(case.engines);
        let large = engines(&grant(&mut dispatcher, 1, long(300_000), 0));
        assert_eq!(large.len() + case.free, usize::from(case.engines));
        let next = try_grant(&mut dispatcher, 2, long(130_000), 10);
        let shared = next.iter().flat_map(engines);
        let delayed = shared.filter(|engine| large.contains(engine)).count();
        assert_eq!(delayed, 0, "{}", case.name);
        assert_eq!(next.is_some(), case.free > 0, "{}", case.name);
        // The prefill of the large prompt is done, so nothing is delayed any more.
        dispatcher.first_event(key(1), 2_100);
        dispatcher.decide(2_100);
        assert!(!dispatcher.has_queued(), "{}", case.name);
    }
}

#[test]
fn short_prompts_join_the_engine_with_most_of_them() {
    // Many short prompts decode on few engines. When fewer arrive, some engines should become idle
    // for long prompts.
    let mut dispatcher = dispatcher(3);
    for number in 0..8 {
        let now = number * 400;
        grant(&mut dispatcher, number, short(), now);
        dispatcher.first_event(key(number), now + 150);
    }
    let now = 3_600;
    let placed = grant(&mut dispatcher, 20, short(), now);
    dispatcher.first_event(key(20), now + 150);
    dispatcher.finish(key(20), &RunReport::new(RunOutcome::Served), now + 200);
    // A second engine hosts a single short prompt.
    let elsewhere = PlacementRequest {
        excluded: vec![placed.host.endpoint.clone()],
        ..short()
    };
    let alone = grant(&mut dispatcher, 21, elsewhere, now + 300);
    dispatcher.first_event(key(21), now + 450);
    assert_ne!(alone.host, placed.host);
    let next = grant(&mut dispatcher, 22, short(), now + 800);
    assert_eq!(next.host, placed.host);
}

#[test]
fn burst_of_short_prompts_is_spread_to_keep_pause_targets() {
    // Short prompts arrive faster than one engine can prefill them.
    let mut dispatcher = dispatcher(10);
    let mut prefill_by_engine = std::collections::HashMap::new();
    for number in 0..16 {
        let grant = grant(&mut dispatcher, number, short(), number * 5);
        *prefill_by_engine.entry(grant.host.endpoint).or_insert(0) += SHORT_PREFILL;
    }
    // The prefill of one pass must not pause decoding runs for longer than their target.
    for (endpoint, prefill) in prefill_by_engine {
        assert!(
            prefill + PASS <= 250,
            "{endpoint:?} prefills for {prefill} ms in one pass"
        );
    }
}

#[test]
fn host_is_in_callers_failure_domain() {
    // Answers stream for seconds. When a failure domain is cut off, the streams that cross its
    // border are lost.
    let mut dispatcher = dispatcher(6);
    let info = |index: u8| EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80),
        },
        domain: DomainId::new(if index < 3 { "near" } else { "far" }),
        state: EndpointState::Ready,
        started: StartPhase::Settled,
    };
    dispatcher.set_endpoints(&pool(), &(0..6).map(info).collect::<Vec<_>>());
    let caller_domains = ["near", "far", "near", "far", "near", "far"];
    for (number, caller_domain) in (0..).zip(caller_domains) {
        let request = PlacementRequest {
            caller_domain: Some(DomainId::new(caller_domain)),
            ..short()
        };
        let now = number * 300;
        let placed = grant(&mut dispatcher, number, request, now);
        dispatcher.first_event(key(number), now + placed.expected_first);
        let engines = if caller_domain == "near" { 0..3 } else { 3..6 };
        let hosts: Vec<EndpointId> = engines.map(|index| info(index).target.endpoint).collect();
        assert!(
            hosts.contains(&placed.host.endpoint),
            "{caller_domain}: {placed:?}"
        );
    }
}

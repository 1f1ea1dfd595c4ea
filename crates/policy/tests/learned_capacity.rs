//! Learned capacity of endpoints: slowdown by load, and what it changes in decisions.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::balance::CallBalancer;
use jackdawpoint_policy::cast::{f64_to_u64, usize_to_f64};
use jackdawpoint_policy::dispatch::engine::EngineProfile;
use jackdawpoint_policy::dispatch::health::EndpointHealth;
use jackdawpoint_policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementRequest,
    PlacementScope, RunKey, RunOutcome, RunReport, StartPhase,
};
use jackdawpoint_policy::dispatch::{DispatchLimits, Dispatcher};
use jackdawpoint_policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use jackdawpoint_policy::learned_capacity::{CapacityLevel, ENGINE_HALF_LIFE, LearnedCapacity};
use jackdawpoint_policy::poison::Fingerprint;

const SLOTS: usize = 12;

/// Slowdown of an engine by the number of runs that it hosts.
type LoadSlowdown = fn(usize) -> f64;

/// Slowdown of an engine whose times rise from six runs on.
fn rising(runs: usize) -> f64 {
    1.0 + 0.5 * usize_to_f64(runs.saturating_sub(6))
}

fn even(_runs: usize) -> f64 {
    1.0
}

/// Records first events of an engine with `slowdown` under every load, `rounds` times, 100 ms apart.
/// Returns the time of the last one.
fn learn(
    learned: &mut LearnedCapacity,
    slowdown: LoadSlowdown,
    rounds: usize,
    from: Millis,
) -> Millis {
    let mut now = from;
    for _ in 0..rounds {
        for runs in 1..=SLOTS {
            now += 100;
            learned.record(runs, slowdown(runs), now);
        }
    }
    now
}

#[test]
fn the_estimate_follows_the_load_from_which_times_rise() {
    struct Case {
        name: &'static str,
        /// Slowdown by load, number of rounds with it and time without news after it, in turn.
        phases: &'static [(LoadSlowdown, usize, Millis)],
        capacity: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "a new steward starts from the published cost",
            phases: &[],
            capacity: SLOTS..=SLOTS,
        },
        Case {
            name: "an even engine keeps all its slots",
            phases: &[(even, 5, 0)],
            capacity: SLOTS..=SLOTS,
        },
        Case {
            name: "an engine that slows from half of its load on",
            phases: &[(rising, 4, 0)],
            capacity: 5..=7,
        },
        Case {
            name: "an engine that changes while it is loaded",
            phases: &[(even, 5, 0), (rising, 4, 0)],
            capacity: 5..=7,
        },
        Case {
            name: "an engine that is slow at any load is not slower when loaded",
            phases: &[(|_| 3.0, 5, 0)],
            capacity: SLOTS..=SLOTS,
        },
        Case {
            name: "an engine that recovers under load",
            phases: &[(rising, 4, 0), (even, 4, 0)],
            capacity: SLOTS..=SLOTS,
        },
        Case {
            name: "an engine that gets no more work is tried again",
            phases: &[(rising, 4, 5 * ENGINE_HALF_LIFE)],
            capacity: SLOTS..=SLOTS,
        },
    ];
    for case in cases {
        let mut learned = LearnedCapacity::new(ENGINE_HALF_LIFE);
        let mut now = 0;
        for (slowdown, rounds, pause) in case.phases {
            now = learn(&mut learned, *slowdown, *rounds, now) + pause;
        }
        let capacity = learned.curve(now).capacity(SLOTS);
        assert!(
            case.capacity.contains(&capacity),
            "{}: {capacity}",
            case.name
        );
    }
}

#[test]
fn one_slow_answer_changes_nothing() {
    // A lost packet must not cost an endpoint any of its share, whether it is known or not.
    for rounds in [0, 3] {
        let mut learned = LearnedCapacity::new(ENGINE_HALF_LIFE);
        let now = learn(&mut learned, even, rounds, 0);
        let before = learned.curve(now);
        learned.record(3, 8.0, now);
        assert_eq!(learned.curve(now), before, "{rounds} rounds");
    }
}

#[test]
fn a_slowdown_at_few_runs_holds_at_more() {
    let mut learned = LearnedCapacity::new(ENGINE_HALF_LIFE);
    for now in [100, 200, 300, 400] {
        learned.record(2, 4.0, now);
    }
    let curve = learned.curve(400);
    assert!(curve.at(12) >= curve.at(2) && curve.at(2) > 2.0);
    assert!(
        (curve.at(1) - 1.0).abs() < 0.01,
        "nothing is known of one run"
    );
}

#[test]
fn crossings_of_half_are_not_reported_while_the_estimate_wavers() {
    let levels: Vec<CapacityLevel> = [12, 6, 5, 6, 7, 6]
        .iter()
        .scan(CapacityLevel::Ample, |level, capacity| {
            *level = level.after(*capacity, SLOTS);
            Some(*level)
        })
        .collect();
    let (ample, low) = (CapacityLevel::Ample, CapacityLevel::Low);
    assert_eq!(levels, [ample, ample, low, low, ample, ample]);
}

#[test]
fn without_the_member_the_load_makes_no_difference() {
    let mut health = EndpointHealth::new();
    for now in [100, 200, 300, 400] {
        health.record_latency(10, 100.0, 400.0, now);
    }
    for runs in [0, 1, 6, 12, 100] {
        assert!((health.slowdown_at(runs, 400) - health.slowdown(400)).abs() < f64::EPSILON);
    }
    assert!(health.curve(400).is_none());
}

fn info(index: u8, domain: &str) -> EndpointInfo {
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("endpoint-{index}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80),
        },
        domain: DomainId::new(domain),
        state: EndpointState::Ready,
        started: StartPhase::Settled,
    }
}

fn pool() -> PoolId {
    PoolId::new("engines")
}

fn short(number: u64) -> PlacementRequest {
    PlacementRequest {
        pool: pool(),
        account: AccountId::new("account"),
        scope: PlacementScope::Fleet,
        prompt_tokens: 1_000,
        output_tokens: 500,
        waited: 0,
        first_event_aim: 300,
        pause_aim: 250,
        time_left: 10_000,
        retry: None,
        excluded: Vec::new(),
        caller_domain: Some(DomainId::new("near")),
        fingerprint: Fingerprint(number),
    }
}

/// Places twelve requests at once; returns the keys with their hosts and expected first events.
fn place_twelve(
    dispatcher: &mut Dispatcher,
    first_number: u64,
    now: Millis,
) -> Vec<(RunKey, String, Millis)> {
    (first_number..first_number + 12)
        .map(|number| {
            let key = RunKey::new(1, number);
            assert!(dispatcher.submit(key, short(number), now).is_none());
            match dispatcher.decide(now).pop() {
                Some((_, PlacementDecision::Granted(grant))) => {
                    let host = grant.host.endpoint.as_str().to_owned();
                    (key, host, grant.expected_first)
                }
                other => panic!("request {number} was not placed: {other:?}"),
            }
        })
        .collect()
}

/// How many of each burst of twelve short requests the callers' nearest engine gets, if its times
/// rise from six runs on.
fn shares_of_bursts(learned_capacity: bool) -> Vec<usize> {
    let limits = DispatchLimits {
        learned_capacity,
        ..DispatchLimits::default()
    };
    let mut dispatcher = Dispatcher::new(limits);
    let profile = EngineProfile {
        slots: SLOTS,
        memory_tokens: 315_000,
        step_ms: 0.85,
        writer_step_ms: 0.004_25,
        context_step_ms: 0.002_85,
        read_tokens_per_ms: 177.0,
        million_pairs_ms: 0.184,
        steps_per_pass: 51.0,
    };
    dispatcher.set_pool(&pool(), &profile);
    dispatcher.set_endpoints(&pool(), &[info(1, "near"), info(2, "far")]);
    let mut now = 10_000;
    let burst_share = |burst: u64| {
        let placed = place_twelve(&mut dispatcher, burst * 100, now);
        let is_near = |(_, host, _): &&(RunKey, String, Millis)| host == "endpoint-1";
        let share = placed.iter().filter(is_near).count();
        for run in &placed {
            let factor = if is_near(&run) { rising(share) } else { 1.0 };
            let published = usize_to_f64(usize::try_from(run.2).expect("a short time"));
            dispatcher.first_event(run.0, now + f64_to_u64(published.min(200.0) * factor));
        }
        now += 900;
        for (key, _, _) in &placed {
            dispatcher.finish(*key, &RunReport::new(RunOutcome::Served), now);
        }
        share
    };
    (0..8).map(burst_share).collect()
}

#[test]
fn an_engine_that_slows_at_half_load_gets_its_share_and_no_more() {
    // It is learned in two bursts; then the engine gets about the six runs that it takes well.
    let learned = shares_of_bursts(true);
    assert!(learned[0] == 12, "nothing is known at first: {learned:?}");
    assert!(
        learned[2..].iter().all(|share| (5..=7).contains(share)),
        "{learned:?}"
    );
    // With one slowdown for every load, the engine is avoided altogether.
    let not_learned = shares_of_bursts(false);
    assert!(
        not_learned[2..].iter().all(|share| *share < 5),
        "{not_learned:?}"
    );
}

/// How many of 30 single calls each of three endpoints gets after `calls` calls to the first one that
/// took `duration` where the others take 50 ms.
fn picks_after(
    learned_capacity: bool,
    calls: usize,
    duration: Millis,
    pause: Millis,
) -> [usize; 3] {
    let mut balancer =
        CallBalancer::new(DomainId::new("near")).with_learned_capacity(learned_capacity);
    let infos = [info(1, "near"), info(2, "near"), info(3, "near")];
    balancer.set_endpoints(&infos);
    let target = |index: usize| infos[index].target.endpoint.clone();
    let mut call = |index: usize, duration: Millis, now: Millis| {
        let excluded: Vec<EndpointId> =
            (0..3).filter(|other| *other != index).map(target).collect();
        let picked = balancer.start(&excluded, 0.5, now);
        assert!(picked.is_some(), "endpoint {index} is ready");
        balancer.finish(
            &target(index),
            RunOutcome::Served,
            Some(duration),
            now + duration,
        );
    };
    for index in [0, 1, 2, 0, 1, 2] {
        call(index, 50, 1_000);
    }
    for _ in 0..calls {
        call(0, duration, 2_000);
    }
    let now = 4_000 + pause;
    let mut picks = [0; 3];
    for step in 0..30 {
        let draw = (usize_to_f64(step) + 0.5) / 30.0;
        let picked = balancer.start(&[], draw, now).expect("all are ready");
        let index = (0..3).find(|index| target(*index) == picked.endpoint);
        picks[index.expect("a listed endpoint")] += 1;
        balancer.finish(&picked.endpoint, RunOutcome::CallerLeft, Some(5), now);
    }
    picks
}

#[test]
fn calls_prefer_endpoints_that_answered_sooner() {
    struct Case {
        name: &'static str,
        learned_capacity: bool,
        calls: usize,
        pause: Millis,
        picks: [usize; 3],
    }
    let case = |name, learned_capacity, calls, pause, picks| Case {
        name,
        learned_capacity,
        calls,
        pause,
        picks,
    };
    let cases = [
        case("not learned", false, 5, 0, [10, 10, 10]),
        case("one slow answer", true, 1, 0, [10, 10, 10]),
        // A tie that the draw gives to the slow endpoint goes to the next one.
        case("slow", true, 5, 0, [0, 20, 10]),
        case("slow, long ago", true, 5, 150_000, [10, 10, 10]),
    ];
    for case in cases {
        let picks = picks_after(case.learned_capacity, case.calls, 400, case.pause);
        assert_eq!(picks, case.picks, "{}", case.name);
    }
}

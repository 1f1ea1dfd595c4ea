//! Placement, queueing and refusal of requests by the dispatcher.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::cold_limit::ColdLimit;
use jackdawpoint_policy::dispatch::engine::EngineProfile;
use jackdawpoint_policy::dispatch::health::EndpointHealth;
use jackdawpoint_policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, InFlightEndpoint, InFlightRun, PlacementDecision,
    PlacementGrant, PlacementRequest, PlacementScope, RunKey, RunOutcome, RunPhase, RunReport,
    StartPhase,
};
use jackdawpoint_policy::dispatch::{DispatchLimits, Dispatcher};
use jackdawpoint_policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use jackdawpoint_policy::outcome::{RefusalReason, RetryReason};
use jackdawpoint_policy::poison::Fingerprint;
use jackdawpoint_policy::rate_limit::{RateNotice, RequestRate};
use jackdawpoint_policy::retry::BudgetLimits;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MEMORY: u64 = 315_000;

fn profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        memory_tokens: MEMORY,
        step_ms: 0.85,
        writer_step_ms: 0.004_25,
        context_step_ms: 0.002_85,
        read_tokens_per_ms: 177.0,
        million_pairs_ms: 0.184,
        steps_per_pass: 51.0,
    }
}

fn pool() -> PoolId {
    PoolId::new("engines")
}

fn info(index: u8, state: EndpointState) -> EndpointInfo {
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80);
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address,
        },
        domain: DomainId::new(format!("domain-{}", index % 3)),
        state,
        started: StartPhase::Settled,
    }
}

fn dispatcher(engines: u8) -> Dispatcher {
    dispatcher_with(engines, DispatchLimits::default())
}

fn dispatcher_with(engines: u8, limits: DispatchLimits) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(limits);
    dispatcher.set_pool(&pool(), &profile());
    let list: Vec<EndpointInfo> = (0..engines)
        .map(|index| info(index, EndpointState::Ready))
        .collect();
    dispatcher.set_endpoints(&pool(), &list);
    dispatcher
}

fn short() -> PlacementRequest {
    request(5_000, 300, 250, 10_000)
}

fn long(prompt_tokens: u64) -> PlacementRequest {
    request(prompt_tokens, 3_000, 1_000, 15_000)
}

fn request(prompt_tokens: u64, aim: Millis, pause: Millis, time_left: Millis) -> PlacementRequest {
    PlacementRequest {
        pool: pool(),
        account: AccountId::new("account"),
        scope: PlacementScope::Fleet,
        prompt_tokens,
        output_tokens: 1_500,
        waited: 0,
        first_event_aim: aim,
        pause_aim: pause,
        time_left,
        retry: None,
        excluded: Vec::new(),
        caller_domain: None,
        fingerprint: Fingerprint(prompt_tokens),
    }
}

fn key(number: u64) -> RunKey {
    RunKey::new(1, number)
}

/// Submits a request and returns the decision of one round; `None` if the request stays queued.
fn decide(
    dispatcher: &mut Dispatcher,
    number: u64,
    request: PlacementRequest,
    now: Millis,
) -> Option<PlacementDecision> {
    if let Some(refusal) = dispatcher.submit(key(number), request, now) {
        return Some(PlacementDecision::Refused(refusal));
    }
    let decisions = dispatcher.decide(now);
    let own = decisions
        .into_iter()
        .find(|(decided, _)| *decided == key(number));
    own.map(|(_, decision)| decision)
}

fn grant(
    dispatcher: &mut Dispatcher,
    number: u64,
    request: PlacementRequest,
    now: Millis,
) -> PlacementGrant {
    match decide(dispatcher, number, request, now) {
        Some(PlacementDecision::Granted(grant)) => grant,
        other => panic!("request {number} was not placed: {other:?}"),
    }
}

#[test]
fn prefill_time_follows_published_cost_model() {
    struct Case {
        tokens: u64,
        millis: f64,
    }
    // n / 177 ms for the tokens, and 0.184 ms per million of the n^2 / 2 pairs.
    let cases = [
        Case {
            tokens: 5_000,
            millis: 30.5,
        },
        Case {
            tokens: 45_000,
            millis: 440.5,
        },
        Case {
            tokens: 154_000,
            millis: 3_051.9,
        },
        Case {
            tokens: 616_000,
            millis: 38_390.2,
        },
    ];
    for case in cases {
        let actual = profile().prefill_ms(case.tokens);
        assert!(
            (actual - case.millis).abs() < 0.1,
            "{} tokens: {actual}",
            case.tokens
        );
    }
}

#[test]
fn short_prompts_are_packed_and_leave_engines_to_long_prompts() {
    let mut dispatcher = dispatcher(23);
    let mut hosts = std::collections::BTreeSet::new();
    for number in 0..40 {
        let now = number * 60;
        let grant = grant(&mut dispatcher, number, short(), now);
        dispatcher.first_event(key(number), now + 50);
        hosts.insert(grant.host.endpoint);
    }
    assert!(
        hosts.len() <= 5,
        "40 short prompts decode on {} of 23 engines",
        hosts.len()
    );
    let grant = grant(&mut dispatcher, 100, long(154_000), 2_500);
    let engines = std::iter::once(&grant.host.endpoint)
        .chain(grant.helpers.iter().map(|helper| &helper.target.endpoint));
    for endpoint in engines {
        assert!(
            !hosts.contains(endpoint),
            "{endpoint} prefills a long prompt while it hosts tight pause targets"
        );
    }
}

#[test]
fn long_prompt_is_split_to_meet_its_target() {
    let mut dispatcher = dispatcher(23);
    let grant = grant(&mut dispatcher, 1, long(400_000 / 2), 0);
    assert!(!grant.helpers.is_empty());
    assert!(grant.helpers.len() <= 16);
    assert!(
        grant.expected_first <= 3_000,
        "first event is expected in {} ms, target is 3000 ms",
        grant.expected_first
    );
}

#[test]
fn prompt_larger_than_one_engine_reserves_helper_memory() {
    let mut dispatcher = dispatcher(23);
    let tokens = 500_000;
    let grant = grant(&mut dispatcher, 1, long(tokens), 0);
    let reserved: u64 = grant
        .helpers
        .iter()
        .map(|helper| helper.reserved_tokens)
        .sum();
    assert!(
        reserved + MEMORY >= tokens + 1_500,
        "helpers reserve {reserved} tokens, prompt and answer need more"
    );
    for helper in &grant.helpers {
        assert!(helper.reserved_tokens <= MEMORY);
    }
    let first_without = grant
        .helpers
        .iter()
        .position(|helper| helper.reserved_tokens == 0);
    let last_with = grant
        .helpers
        .iter()
        .rposition(|helper| helper.reserved_tokens > 0);
    assert!(
        last_with < first_without.or(Some(usize::MAX)),
        "helpers with reserved memory come first"
    );
}

#[test]
fn memory_and_slots_are_never_overcommitted() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut dispatcher = dispatcher(6);
        let mut used = std::collections::HashMap::<EndpointId, (u64, usize)>::new();
        let mut in_flight = Vec::new();
        for number in 0..300 {
            let now = number * 20;
            let tokens = random.random_range(500..250_000);
            let request = if tokens < 20_000 {
                request(tokens, 300, 250, 10_000)
            } else {
                long(tokens)
            };
            if let Some(PlacementDecision::Granted(grant)) =
                decide(&mut dispatcher, number, request, now)
            {
                let reserved: u64 = grant
                    .helpers
                    .iter()
                    .map(|helper| helper.reserved_tokens)
                    .sum();
                let mut parts = vec![(
                    grant.host.endpoint.clone(),
                    tokens + 1_500 - reserved.min(tokens),
                    1,
                )];
                for helper in &grant.helpers {
                    parts.push((helper.target.endpoint.clone(), helper.reserved_tokens, 0));
                }
                for (endpoint, memory, slot) in &parts {
                    let entry = used.entry(endpoint.clone()).or_default();
                    *entry = (entry.0 + memory, entry.1 + slot);
                    assert!(
                        entry.0 <= MEMORY,
                        "seed {seed}: {endpoint} holds {} tokens",
                        entry.0
                    );
                    assert!(
                        entry.1 <= 16,
                        "seed {seed}: {endpoint} hosts {} runs",
                        entry.1
                    );
                }
                dispatcher.first_event(key(number), now);
                in_flight.push((number, parts));
            }
            if in_flight.len() > 12 {
                let (number, parts) = in_flight.remove(random.random_range(0..in_flight.len()));
                dispatcher.finish(key(number), &RunReport::new(RunOutcome::Served), now);
                for (endpoint, memory, slot) in parts {
                    let entry = used.entry(endpoint).or_default();
                    *entry = (entry.0 - memory, entry.1 - slot);
                }
            }
            // Withdraws queued requests, which would otherwise be granted later to runs that the
            // test does not count.
            dispatcher.finish(
                key(number + 10_000),
                &RunReport::new(RunOutcome::CallerLeft),
                now,
            );
            for queued in 0..number {
                if !in_flight.iter().any(|(known, _)| *known == queued) {
                    dispatcher.finish(key(queued), &RunReport::new(RunOutcome::CallerLeft), now);
                }
            }
        }
    }
}

#[test]
fn slow_placement_is_declined_while_a_better_one_is_near() {
    // In a burst of long prompts, all engines but two still prefill parts.
    let mut dispatcher = dispatcher(20);
    for number in 0..2 {
        grant(&mut dispatcher, number, long(200_000), 0);
    }
    let decision = decide(&mut dispatcher, 10, long(290_000), 1);
    let is_slow = matches!(&decision, Some(PlacementDecision::Granted(grant)) if grant.expected_first > 3_000);
    assert!(!is_slow, "{decision:?}");
    let is_refused = matches!(decision, Some(PlacementDecision::Refused(_)));
    assert!(
        !is_refused,
        "refused although the engines are idle again in under a second"
    );
    for number in 0..2 {
        dispatcher.first_event(key(number), 500);
    }
    let decisions = dispatcher.decide(900);
    let granted = decisions.iter().any(|(decided, decision)| {
        *decided == key(10)
            && matches!(decision, PlacementDecision::Granted(grant) if grant.expected_first <= 2_100)
    });
    assert!(granted, "{decisions:?}");
}

#[test]
fn unservable_request_is_refused_at_once() {
    struct Case {
        name: &'static str,
        engines: u8,
        request: PlacementRequest,
        reason: RefusalReason,
    }
    let cases = [
        Case {
            name: "no endpoint",
            engines: 0,
            request: short(),
            reason: RefusalReason::NoEndpoint,
        },
        Case {
            name: "prompt exceeds the memory of all engines",
            engines: 2,
            request: long(700_000),
            reason: RefusalReason::PromptTooLarge,
        },
        Case {
            name: "prefill takes longer than the deadline",
            engines: 1,
            request: long(310_000),
            reason: RefusalReason::Overloaded,
        },
    ];
    for case in cases {
        let left = case.request.time_left;
        match decide(&mut dispatcher(case.engines), 1, case.request, 0) {
            Some(PlacementDecision::Refused(refusal)) => {
                assert_eq!(refusal.reason, case.reason, "{}", case.name);
                if refusal.reason == RefusalReason::Overloaded {
                    assert!(refusal.retry_after <= left / 3, "{}", case.name);
                }
            }
            other => panic!("{}: unexpected decision {other:?}", case.name),
        }
    }
}

#[test]
fn every_queued_request_is_decided_before_its_deadline() {
    let mut dispatcher = dispatcher(2);
    for number in 0..30 {
        dispatcher.submit(key(number), long(200_000), 0);
    }
    let mut undecided: std::collections::BTreeSet<u64> = (0..30).collect();
    for now in (0..15_000).step_by(15) {
        for (decided, _) in dispatcher.decide(now) {
            undecided.remove(&decided.number);
        }
    }
    assert!(
        undecided.is_empty(),
        "requests {undecided:?} were never decided"
    );
}

#[test]
fn leaving_and_excluded_endpoints_get_no_runs() {
    let mut dispatcher = dispatcher(3);
    let mut list: Vec<EndpointInfo> = (0..3)
        .map(|index| info(index, EndpointState::Ready))
        .collect();
    list[0].state = EndpointState::Leaving;
    dispatcher.set_endpoints(&pool(), &list);
    for number in 0..20 {
        let mut request = short();
        request.excluded = vec![EndpointId::new("engine-1")];
        let grant = grant(&mut dispatcher, number, request, number * 100);
        assert_eq!(grant.host.endpoint.as_str(), "engine-2");
        dispatcher.finish(
            key(number),
            &RunReport::new(RunOutcome::Served),
            number * 100 + 50,
        );
    }
}

#[test]
fn failing_endpoint_is_ejected_and_tried_again() {
    struct Case {
        name: &'static str,
        outcome: RunOutcome,
        failures: u64,
    }
    let cases = [
        Case {
            name: "not connected",
            outcome: RunOutcome::NotConnected,
            failures: 1,
        },
        Case {
            name: "silent",
            outcome: RunOutcome::Silent,
            failures: 1,
        },
        Case {
            name: "answer broken off twice",
            outcome: RunOutcome::Broken,
            failures: 2,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(2);
        let first = grant(&mut dispatcher, 0, short(), 0).host.endpoint;
        dispatcher.finish(key(0), &RunReport::new(case.outcome), 1);
        for again in 1..case.failures {
            let mut request = short();
            request.excluded = vec![EndpointId::new(if first.as_str() == "engine-0" {
                "engine-1"
            } else {
                "engine-0"
            })];
            grant(&mut dispatcher, again, request, again);
            dispatcher.finish(key(again), &RunReport::new(case.outcome), again + 1);
        }
        let next = grant(&mut dispatcher, 50, short(), 10).host.endpoint;
        assert_ne!(next, first, "{}", case.name);
        dispatcher.finish(key(50), &RunReport::new(RunOutcome::Served), 20);
        let mut request = short();
        request.excluded = vec![next];
        let later = grant(&mut dispatcher, 51, request, 7_000).host.endpoint;
        assert_eq!(later, first, "{}: not tried again", case.name);
    }
}

#[test]
fn retry_budget_bounds_retries() {
    let limits = DispatchLimits {
        retries: BudgetLimits {
            earned_per_first: 100,
            saved_retries: 2,
        },
        ..DispatchLimits::default()
    };
    let mut dispatcher = dispatcher_with(23, limits);
    let (mut allowed, mut exhausted) = (0, 0);
    for number in 0..200 {
        decide(&mut dispatcher, number, short(), number);
        dispatcher.finish(key(number), &RunReport::new(RunOutcome::Served), number);
        let mut again = short();
        again.retry = Some(RetryReason::StreamClosed);
        match decide(&mut dispatcher, number + 1_000, again, number) {
            Some(PlacementDecision::Granted(_)) => allowed += 1,
            Some(PlacementDecision::Refused(refusal)) => {
                assert_eq!(refusal.reason, RefusalReason::RetryBudget);
                exhausted += 1;
            }
            None => panic!("retry stays queued although engines are idle"),
        }
        dispatcher.finish(
            key(number + 1_000),
            &RunReport::new(RunOutcome::Served),
            number,
        );
    }
    assert!(allowed <= 22, "{allowed} retries for 200 first attempts");
    assert_eq!(allowed + exhausted, 200);
}

#[test]
fn dropped_owner_releases_all_engines() {
    let mut dispatcher = dispatcher(17);
    for number in 0..30 {
        decide(&mut dispatcher, number, long(250_000), number);
    }
    dispatcher.drop_owner(1, 10);
    assert_eq!(dispatcher.counts(), (0, 0));
    // All engines are idle again: a prompt that needs every one of them is placed.
    grant(&mut dispatcher, 100, long(600_000), 60_000);
}

#[test]
fn adopted_runs_count_like_placed_runs() {
    let mut first = dispatcher(2);
    let request = long(200_000);
    let granted = grant(&mut first, 1, request.clone(), 0);
    let targets =
        std::iter::once(&granted.host).chain(granted.helpers.iter().map(|helper| &helper.target));
    let in_flight = InFlightRun {
        number: 1,
        request,
        endpoints: targets
            .map(|target| InFlightEndpoint {
                endpoint: target.endpoint.clone(),
                reserved_tokens: 0,
            })
            .collect(),
        phase: RunPhase::Decode,
    };
    let mut second = dispatcher(2);
    second.adopt(7, &in_flight, 0);
    assert_eq!(second.counts(), (0, 1));
    let next = grant(&mut second, 2, long(120_000), 1);
    assert_ne!(
        next.host.endpoint, granted.host.endpoint,
        "the first engine's memory is in use"
    );
    second.drop_owner(7, 2);
    second.finish(key(2), &RunReport::new(RunOutcome::Served), 3);
    assert_eq!(second.counts(), (0, 0));
}

#[test]
fn domain_scope_uses_only_endpoints_of_the_domain() {
    let mut dispatcher = dispatcher(9);
    for number in 0..12 {
        let mut request = short();
        request.scope = PlacementScope::Domain(DomainId::new("domain-1"));
        let grant = grant(&mut dispatcher, number, request, number * 100);
        let index: u8 = grant.host.endpoint.as_str()[7..]
            .parse()
            .expect("endpoint name ends in a number");
        assert_eq!(index % 3, 1);
    }
}

#[test]
fn slow_endpoint_does_not_host_long_prompt() {
    // Ten short prompts on the first engine take five times as long as the cost model says: 31 ms
    // of prefill and a pass of 44 ms.
    const PUBLISHED: Millis = 75;
    let mut dispatcher = dispatcher(4);
    for number in 0..10 {
        let now = number * 2_000;
        let mut request = short();
        request.excluded = (1..4)
            .map(|index| EndpointId::new(format!("engine-{index}")))
            .collect();
        grant(&mut dispatcher, number, request, now);
        let late = now + 5 * PUBLISHED;
        dispatcher.first_event(key(number), late);
        dispatcher.finish(key(number), &RunReport::new(RunOutcome::Served), late + 10);
    }
    let granted = grant(&mut dispatcher, 100, long(60_000), 20_000);
    assert_ne!(granted.host.endpoint.as_str(), "engine-0");
}

#[test]
fn prompt_that_crashes_three_endpoints_is_quarantined() {
    let mut dispatcher = dispatcher(6);
    let mut now = 0;
    let mut excluded = Vec::new();
    for number in 0..3 {
        let mut request = short();
        request.excluded.clone_from(&excluded);
        let granted = grant(&mut dispatcher, number, request, now);
        excluded.push(granted.host.endpoint);
        now += 3_000;
        dispatcher.finish(key(number), &RunReport::new(RunOutcome::Broken), now);
    }
    match decide(&mut dispatcher, 10, short(), now) {
        Some(PlacementDecision::Refused(refusal)) => {
            assert_eq!(refusal.reason, RefusalReason::Quarantined);
        }
        other => panic!("unexpected decision {other:?}"),
    }
    // Another prompt of the same size is served, and this one once its quarantine is over.
    let mut other = short();
    other.fingerprint = Fingerprint(77);
    grant(&mut dispatcher, 11, other, now);
    grant(&mut dispatcher, 12, short(), now + 40_000);
}

#[test]
fn unreachable_domain_is_ejected_as_a_whole() {
    struct Case {
        name: &'static str,
        /// Number of endpoints that fail, all in one domain of eight endpoints.
        failed: u64,
        is_ejected: bool,
    }
    let cases = [
        Case {
            name: "two independent crashes",
            failed: 2,
            is_ejected: false,
        },
        Case {
            name: "domain cut off",
            failed: 3,
            is_ejected: true,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(24);
        let mut request = short();
        request.scope = PlacementScope::Domain(DomainId::new("domain-0"));
        for number in 0..case.failed {
            let now = 100 + number * 50;
            grant(&mut dispatcher, number, request.clone(), now);
            dispatcher.finish(key(number), &RunReport::new(RunOutcome::NotConnected), now);
        }
        let granted = grant(&mut dispatcher, 50, request.clone(), 400);
        let index: u8 = granted.host.endpoint.as_str()[7..]
            .parse()
            .expect("endpoint name ends in a number");
        assert_eq!(
            !index.is_multiple_of(3),
            case.is_ejected,
            "{}: {index}",
            case.name
        );
        // The domain is tried again once the ejection is over.
        let granted = grant(&mut dispatcher, 51, request, 4_000);
        let index: u8 = granted.host.endpoint.as_str()[7..]
            .parse()
            .expect("endpoint name ends in a number");
        assert_eq!(index % 3, 0, "{}", case.name);
    }
}

#[test]
fn unreachable_helper_is_ejected() {
    let mut dispatcher = dispatcher(6);
    let granted = grant(&mut dispatcher, 1, long(150_000), 0);
    let helper = granted.helpers[0].target.clone();
    let report = RunReport::new(RunOutcome::NotConnected).with_fault_at(Some(helper.address));
    dispatcher.finish(key(1), &report, 10);
    let again = grant(&mut dispatcher, 2, long(150_000), 20);
    let uses = |target: &EndpointTarget| *target == helper;
    assert!(!uses(&again.host) && !again.helpers.iter().any(|helper| uses(&helper.target)));
}

fn limit(dispatcher: &mut Dispatcher, index: u8, per_second: f64, now: Millis) {
    let notice = RateNotice {
        endpoint: EndpointId::new(format!("engine-{index}")),
        rate: RequestRate::new(per_second),
        age: 0,
    };
    dispatcher.rates_mut().apply(&notice, now);
}

#[test]
fn limits_of_all_engines_refuse_at_once_with_the_time_to_come_back() {
    let mut dispatcher = dispatcher(2);
    for index in 0..2 {
        limit(&mut dispatcher, index, 0.5, 0);
    }
    match decide(&mut dispatcher, 1, short(), 10) {
        Some(PlacementDecision::Refused(refusal)) => {
            assert_eq!(refusal.reason, RefusalReason::EndpointLimits);
            assert!((1_500..=2_000).contains(&refusal.retry_after));
        }
        other => panic!("unexpected decision {other:?}"),
    }
    grant(&mut dispatcher, 2, short(), 2_000);
}

#[test]
fn unlimited_engines_take_what_a_limited_one_may_not() {
    let mut dispatcher = dispatcher(2);
    limit(&mut dispatcher, 1, 1.0, 0);
    let mut limited = 0;
    for number in 0..40 {
        let now = number * 100;
        let granted = grant(&mut dispatcher, number, short(), now);
        limited += usize::from(granted.host.endpoint.as_str() == "engine-1");
        dispatcher.finish(key(number), &RunReport::new(RunOutcome::Served), now + 50);
    }
    assert!(limited <= 4, "{limited}");
}

#[test]
fn answer_without_a_limit_ends_a_limit_that_another_instance_heard() {
    struct Case {
        name: &'static str,
        /// Whether the answer names the limit again.
        is_named: bool,
        has_ended: bool,
    }
    let cases = [
        Case {
            name: "the answer names no limit",
            is_named: false,
            has_ended: true,
        },
        Case {
            name: "the answer names the limit",
            is_named: true,
            has_ended: false,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(1);
        // Sent before the limit was heard of; its answer says nothing of what came later.
        grant(&mut dispatcher, 1, short(), 0);
        limit(&mut dispatcher, 0, 1.0, 100);
        dispatcher.first_event(key(1), 200);
        let endpoint = EndpointId::new("engine-0");
        assert!(
            dispatcher.rates().rate(&endpoint, 200).is_some(),
            "{}",
            case.name
        );
        dispatcher.finish(key(1), &RunReport::new(RunOutcome::Served), 300);
        grant(&mut dispatcher, 2, short(), 1_200);
        if case.is_named {
            limit(&mut dispatcher, 0, 1.0, 1_300);
        }
        dispatcher.first_event(key(2), 1_300);
        let has_ended = dispatcher.rates().rate(&endpoint, 1_300).is_none();
        assert_eq!(has_ended, case.has_ended, "{}", case.name);
    }
}

#[test]
fn limited_engine_helps_no_other() {
    let mut dispatcher = dispatcher(4);
    limit(&mut dispatcher, 1, 5.0, 0);
    let granted = grant(&mut dispatcher, 1, long(154_000), 0);
    assert!(!granted.helpers.is_empty());
    let names: Vec<&str> = granted
        .helpers
        .iter()
        .map(|helper| helper.target.endpoint.as_str())
        .collect();
    assert!(!names.contains(&"engine-1"), "{names:?}");
}

/// A burst of long prompts has passed its peak: one engine still prefills, the other is idle, and
/// prompts that have missed their targets are queued.
#[test]
fn late_prompt_takes_the_engine_time_that_nothing_on_time_needs() {
    struct Case {
        name: &'static str,
        /// Prompt that can still be in time and waits for its placement.
        queued: Option<PlacementRequest>,
        is_granted: bool,
    }
    let cases = [
        Case {
            name: "nothing else is queued",
            queued: None,
            is_granted: true,
        },
        Case {
            name: "a prompt that can still be in time is queued",
            queued: Some(request(320_000, 3_000, 1_000, 30_000)),
            is_granted: false,
        },
    ];
    for case in cases {
        let limits = DispatchLimits {
            most_splits: 2,
            ..DispatchLimits::default()
        };
        let mut dispatcher = dispatcher_with(2, limits);
        grant(&mut dispatcher, 0, long(120_000), 0);
        if let Some(queued) = case.queued {
            let decision = decide(&mut dispatcher, 10, queued, 1);
            assert!(decision.is_none(), "{}: {decision:?}", case.name);
        }
        let late = PlacementRequest {
            waited: 4_000,
            ..request(260_000, 3_000, 1_000, 20_000)
        };
        let decision = decide(&mut dispatcher, 11, late, 2);
        let is_granted = matches!(decision, Some(PlacementDecision::Granted(_)));
        assert_eq!(is_granted, case.is_granted, "{}: {decision:?}", case.name);
    }
}

/// Time for which engines are cold, in milliseconds.
const COLD_TIME: Millis = 3_000;

fn turn_cold(dispatcher: &mut Dispatcher, index: u8, per_second: f64, now: Millis) {
    let limit = ColdLimit {
        rate: RequestRate::new(per_second).expect("the rate is valid"),
        until: now + COLD_TIME,
    };
    let endpoint = EndpointId::new(format!("engine-{index}"));
    dispatcher.rates_mut().set_cold(&endpoint, Some(limit), now);
}

/// Most grants in a second, for each engine that hosts any.
fn busiest_seconds(hosted: &[(Millis, String)]) -> HashMap<String, usize> {
    let mut busiest = HashMap::new();
    for (first, engine) in hosted {
        let in_window = |(at, other): &&(Millis, String)| {
            other == engine && *at >= *first && *at < *first + 1_000
        };
        let count = hosted.iter().filter(in_window).count();
        let most = busiest.entry(engine.clone()).or_insert(0);
        *most = count.max(*most);
    }
    busiest
}

/// Short requests every 4 ms from `now` on, each of which runs for 100 ms. Returns the grants and the
/// number of requests that are refused.
fn serve_burst(
    dispatcher: &mut Dispatcher,
    from: Millis,
    until: Millis,
) -> (Vec<(Millis, String)>, usize) {
    let mut hosted = Vec::new();
    let mut running: Vec<(Millis, RunKey)> = Vec::new();
    let mut refused = 0;
    for now in (from..until).step_by(4) {
        running.retain(|(ends_at, run)| {
            if *ends_at <= now {
                dispatcher.finish(*run, &RunReport::new(RunOutcome::Served), now);
            }
            *ends_at > now
        });
        refused += usize::from(dispatcher.submit(key(now), short(), now).is_some());
        for (run, decision) in dispatcher.decide(now) {
            match decision {
                PlacementDecision::Granted(grant) => {
                    hosted.push((now, grant.host.endpoint.as_str().to_owned()));
                    running.push((now + 100, run));
                }
                PlacementDecision::Refused(_) => refused += 1,
            }
        }
    }
    for (_, run) in running {
        dispatcher.finish(run, &RunReport::new(RunOutcome::Served), until);
    }
    (hosted, refused)
}

/// Guards against bursts on the cold engines of a failure domain, which are idle, and against requests
/// that are lost though the other engines can carry them.
#[test]
fn cold_failure_domain_is_paced_while_the_others_carry_the_load() {
    struct Case {
        name: &'static str,
        /// Engines that turn cold, after a second of load.
        cold: &'static [u8],
        /// Whether nothing may be sent to them before, as to an evacuated failure domain.
        is_withdrawn: bool,
        max_refused: usize,
    }
    let cases = [
        Case {
            name: "a third of the engines",
            cold: &[0, 3, 6],
            is_withdrawn: false,
            max_refused: 0,
        },
        Case {
            name: "a third, from the withdrawal of their evacuation on",
            cold: &[0, 3, 6],
            is_withdrawn: true,
            max_refused: 0,
        },
        Case {
            name: "all engines",
            cold: &[0, 1, 2, 3, 4, 5, 6, 7, 8],
            is_withdrawn: false,
            max_refused: 750,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(9);
        let state = |index: &u8| {
            if case.is_withdrawn && case.cold.contains(index) {
                EndpointState::Leaving
            } else {
                EndpointState::Ready
            }
        };
        let list: Vec<EndpointInfo> = (0..9).map(|index| info(index, state(&index))).collect();
        dispatcher.set_endpoints(&pool(), &list);
        serve_burst(&mut dispatcher, 0, 1_000);
        for index in case.cold {
            turn_cold(&mut dispatcher, *index, 5.0, 1_000);
        }
        let ready: Vec<EndpointInfo> = (0..9)
            .map(|index| info(index, EndpointState::Ready))
            .collect();
        dispatcher.set_endpoints(&pool(), &ready);
        let (hosted, refused) = serve_burst(&mut dispatcher, 1_000, 1_000 + COLD_TIME);
        for (engine, busiest) in busiest_seconds(&hosted) {
            let is_cold = case
                .cold
                .iter()
                .any(|index| engine == format!("engine-{index}"));
            assert!(!is_cold || busiest <= 6, "{}: {busiest}", case.name);
        }
        assert!(refused <= case.max_refused, "{}: {refused}", case.name);
        if case.cold.len() == 9 {
            // Five a second from each of nine engines, after a second for the load before.
            assert!(hosted.len() >= 80, "{}: {}", case.name, hosted.len());
            let (warm, refused) = serve_burst(&mut dispatcher, 4_000, 5_000);
            assert!(
                warm.len() >= 240 && refused <= 20,
                "{}, {refused}",
                warm.len()
            );
        }
    }
}

/// Guards against refusals that name a time at which the engines are still cold, or wait for the
/// deadline instead of refusing.
#[test]
fn request_that_only_cold_engines_could_serve_is_refused_at_once() {
    let mut dispatcher = dispatcher(2);
    for index in 0..2 {
        turn_cold(&mut dispatcher, index, 0.5, 0);
    }
    match decide(&mut dispatcher, 1, short(), 10) {
        Some(PlacementDecision::Refused(refusal)) => {
            assert_eq!(refusal.reason, RefusalReason::EndpointLimits);
            assert!((1_900..=2_000).contains(&refusal.retry_after));
        }
        other => panic!("unexpected decision {other:?}"),
    }
    grant(&mut dispatcher, 2, short(), 2_000);
    grant(&mut dispatcher, 3, short(), COLD_TIME);
}

/// Guards against cold engines that get more work as helpers than as hosts.
#[test]
fn cold_engine_helps_at_its_pace() {
    let mut dispatcher = dispatcher(4);
    for index in 0..4 {
        turn_cold(&mut dispatcher, index, 1.0, 0);
    }
    let granted = grant(&mut dispatcher, 1, long(154_000), 1_000);
    assert!(!granted.helpers.is_empty());
    let engines = granted.helpers.iter().map(|helper| &helper.target);
    for target in engines.chain([&granted.host]) {
        let wait = dispatcher.rates().wait_ms(&target.endpoint, 1_000);
        assert!(wait >= 900, "{wait}");
    }
}

/// Guards against full work for an engine that has just started, and against one that stays short of
/// work though it answers fast.
#[test]
fn started_engine_gets_a_growing_share() {
    struct Case {
        name: &'static str,
        /// Time after the start.
        age: Millis,
        /// Answers before, each as fast as published.
        answers: u64,
        slowdowns: (f64, f64),
    }
    let cases = [
        Case {
            name: "just started",
            age: 0,
            answers: 0,
            slowdowns: (2.9, 3.1),
        },
        Case {
            name: "half of the time has passed",
            age: 2_000,
            answers: 0,
            slowdowns: (1.4, 1.6),
        },
        Case {
            name: "the time has passed",
            age: 4_000,
            answers: 0,
            slowdowns: (1.0, 1.0),
        },
        Case {
            name: "fast answers",
            age: 100,
            answers: 4,
            slowdowns: (1.0, 1.1),
        },
    ];
    for case in cases {
        let mut health = EndpointHealth::new();
        health.set_start(StartPhase::StartedAt(10_000));
        for _ in 0..case.answers {
            health.answered(1.1);
            health.answered(3.0);
        }
        let slowdown = health.slowdown(10_000 + case.age);
        let (least, most) = case.slowdowns;
        assert!(
            (least..=most).contains(&slowdown),
            "{}: {slowdown}",
            case.name
        );
        // The same start, told again, does not begin anew; another one does.
        health.set_start(StartPhase::StartedAt(10_000));
        assert!((health.slowdown(10_000 + case.age) - slowdown).abs() < 1e-9);
        health.set_start(StartPhase::StartedAt(20_000));
        assert!(health.is_starting(20_000));
    }
}

/// Guards against a start that the dispatcher is told of and does not apply.
#[test]
fn engine_that_started_during_traffic_gets_fewer_prompts() {
    let mut dispatcher = dispatcher(2);
    let started = EndpointInfo {
        started: StartPhase::StartedAt(5_000),
        ..info(0, EndpointState::Ready)
    };
    let list = [started, info(1, EndpointState::Ready)];
    dispatcher.set_endpoints(&pool(), &list);
    let mut hosted = [0, 0];
    for number in 0..4 {
        let granted = grant(&mut dispatcher, number, long(20_000), 5_000);
        hosted[usize::from(granted.host.endpoint.as_str() == "engine-1")] += 1;
    }
    assert!(hosted[0] >= 1 && hosted[0] < hosted[1], "{hosted:?}");
}

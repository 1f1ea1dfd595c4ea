//! Placement, waiting and refusal on a dispatch board.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::dispatch::engine::EngineProfile;
use jackdawpoint_policy::dispatch::work::{
    AskReach, EndpointFacts, EndpointPlace, EndpointState, HeldPlace, HeldRun, RunEnd, RunKey,
    RunPhase, RunReport, WorkAsk, WorkGrant, WorkVerdict,
};
use jackdawpoint_policy::dispatch::{DispatchBoard, DispatchLimits};
use jackdawpoint_policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use jackdawpoint_policy::outcome::{RefusalReason, RetryReason};
use jackdawpoint_policy::poison::Fingerprint;
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

fn facts(index: u8, state: EndpointState) -> EndpointFacts {
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80);
    EndpointFacts {
        place: EndpointPlace {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address,
        },
        domain: DomainId::new(format!("domain-{}", index % 3)),
        state,
    }
}

fn board(engines: u8) -> DispatchBoard {
    board_with(engines, DispatchLimits::default())
}

fn board_with(engines: u8, limits: DispatchLimits) -> DispatchBoard {
    let mut board = DispatchBoard::new(limits);
    board.set_pool(&pool(), &profile());
    let list: Vec<EndpointFacts> = (0..engines)
        .map(|index| facts(index, EndpointState::Ready))
        .collect();
    board.set_endpoints(&pool(), &list);
    board
}

fn short() -> WorkAsk {
    work(5_000, 300, 250, 10_000)
}

fn long(prompt_tokens: u64) -> WorkAsk {
    work(prompt_tokens, 3_000, 1_000, 15_000)
}

fn work(prompt_tokens: u64, aim: Millis, pause: Millis, time_left: Millis) -> WorkAsk {
    WorkAsk {
        pool: pool(),
        account: AccountId::new("account"),
        reach: AskReach::Fleet,
        prompt_tokens,
        output_tokens: 1_500,
        waited: 0,
        first_event_aim: aim,
        pause_aim: pause,
        time_left,
        retry: None,
        excluded: Vec::new(),
        home: None,
        fingerprint: Fingerprint(prompt_tokens),
    }
}

fn key(ask: u64) -> RunKey {
    RunKey::new(1, ask)
}

/// Asks, and expects an answer at once.
fn decide(board: &mut DispatchBoard, ask: u64, work: WorkAsk, now: Millis) -> Option<WorkVerdict> {
    if let Some(refusal) = board.ask(key(ask), work, now) {
        return Some(WorkVerdict::Refused(refusal));
    }
    let verdicts = board.decide(now);
    let mine = verdicts.into_iter().find(|(asked, _)| *asked == key(ask));
    mine.map(|(_, verdict)| verdict)
}

fn grant(board: &mut DispatchBoard, ask: u64, work: WorkAsk, now: Millis) -> WorkGrant {
    match decide(board, ask, work, now) {
        Some(WorkVerdict::Granted(grant)) => grant,
        other => panic!("ask {ask} got {other:?}"),
    }
}

#[test]
fn reading_costs_what_the_operator_publishes() {
    struct Case {
        tokens: u64,
        millis: f64,
    }
    // n / 177 ms for the tokens and n^2 / 2 pairs at 0.184 ms a million.
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
        let actual = profile().read_ms(case.tokens);
        assert!(
            (actual - case.millis).abs() < 0.1,
            "{} tokens: {actual}",
            case.tokens
        );
    }
}

#[test]
fn short_prompts_are_gathered_and_leave_engines_to_long_ones() {
    let mut board = board(23);
    let mut hosts = std::collections::BTreeSet::new();
    for ask in 0..40 {
        let now = ask * 60;
        let grant = grant(&mut board, ask, short(), now);
        board.first_event(key(ask), now + 50);
        hosts.insert(grant.host.endpoint);
    }
    assert!(
        hosts.len() <= 5,
        "40 short prompts write on {} of 23 engines",
        hosts.len()
    );
    let grant = grant(&mut board, 100, long(154_000), 2_500);
    let everyone = std::iter::once(&grant.host.endpoint)
        .chain(grant.helpers.iter().map(|helper| &helper.place.endpoint));
    for endpoint in everyone {
        assert!(
            !hosts.contains(endpoint),
            "{endpoint} reads beside tight pauses"
        );
    }
}

#[test]
fn a_long_prompt_is_split_so_that_it_meets_its_aim() {
    let mut board = board(23);
    let grant = grant(&mut board, 1, long(400_000 / 2), 0);
    assert!(!grant.helpers.is_empty());
    assert!(grant.helpers.len() <= 16);
    assert!(
        grant.expected_first <= 3_000,
        "expected in {} ms",
        grant.expected_first
    );
}

#[test]
fn a_prompt_beyond_one_engine_reserves_memory_on_helpers() {
    let mut board = board(23);
    let tokens = 500_000;
    let grant = grant(&mut board, 1, long(tokens), 0);
    let reserved: u64 = grant
        .helpers
        .iter()
        .map(|helper| helper.reserved_tokens)
        .sum();
    assert!(
        reserved + MEMORY >= tokens + 1_500,
        "{reserved} tokens reserved"
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
        "reserved memory comes first"
    );
}

#[test]
fn memory_and_slots_are_never_given_out_twice() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut board = board(6);
        let mut used = std::collections::HashMap::<EndpointId, (u64, usize)>::new();
        let mut held = Vec::new();
        for ask in 0..300 {
            let now = ask * 20;
            let tokens = random.random_range(500..250_000);
            let asked = if tokens < 20_000 {
                work(tokens, 300, 250, 10_000)
            } else {
                long(tokens)
            };
            if let Some(WorkVerdict::Granted(grant)) = decide(&mut board, ask, asked, now) {
                let reserved: u64 = grant.helpers.iter().map(|one| one.reserved_tokens).sum();
                let mut parts = vec![(
                    grant.host.endpoint.clone(),
                    tokens + 1_500 - reserved.min(tokens),
                    1,
                )];
                for helper in &grant.helpers {
                    parts.push((helper.place.endpoint.clone(), helper.reserved_tokens, 0));
                }
                for (endpoint, memory, slot) in &parts {
                    let entry = used.entry(endpoint.clone()).or_default();
                    *entry = (entry.0 + memory, entry.1 + slot);
                    assert!(
                        entry.0 <= MEMORY,
                        "seed {seed}: {endpoint} holds {} tokens",
                        entry.0
                    );
                    assert!(entry.1 <= 16, "seed {seed}: {endpoint} hosts {}", entry.1);
                }
                board.first_event(key(ask), now);
                held.push((ask, parts));
            }
            if held.len() > 12 {
                let (ask, parts) = held.remove(random.random_range(0..held.len()));
                board.finish(key(ask), &RunReport::new(RunEnd::Served), now);
                for (endpoint, memory, slot) in parts {
                    let entry = used.entry(endpoint).or_default();
                    *entry = (entry.0 - memory, entry.1 - slot);
                }
            }
            // Asks that wait are granted later, to runs that the test does not follow.
            board.finish(key(ask + 10_000), &RunReport::new(RunEnd::CallerLeft), now);
            for waiting in 0..ask {
                if !held.iter().any(|(known, _)| *known == waiting) {
                    board.finish(key(waiting), &RunReport::new(RunEnd::CallerLeft), now);
                }
            }
        }
    }
}

#[test]
fn a_poor_place_is_not_taken_while_a_good_one_can_be_waited_for() {
    // Load pattern: a burst of long prompts; all engines but two still read parts.
    let mut board = board(20);
    for ask in 0..2 {
        grant(&mut board, ask, long(200_000), 0);
    }
    let answer = decide(&mut board, 10, long(290_000), 1);
    let is_poor =
        matches!(&answer, Some(WorkVerdict::Granted(grant)) if grant.expected_first > 3_000);
    assert!(!is_poor, "{answer:?}");
    let is_refused = matches!(answer, Some(WorkVerdict::Refused(_)));
    assert!(
        !is_refused,
        "refused although the engines are free in under a second"
    );
    for ask in 0..2 {
        board.first_event(key(ask), 500);
    }
    let verdicts = board.decide(900);
    let granted = verdicts.iter().any(|(asked, verdict)| {
        *asked == key(10)
            && matches!(verdict, WorkVerdict::Granted(grant) if grant.expected_first <= 2_100)
    });
    assert!(granted, "{verdicts:?}");
}

#[test]
fn what_cannot_be_served_in_time_is_refused_at_once() {
    struct Case {
        name: &'static str,
        engines: u8,
        work: WorkAsk,
        reason: RefusalReason,
    }
    let cases = [
        Case {
            name: "no endpoint",
            engines: 0,
            work: short(),
            reason: RefusalReason::NoEndpoint,
        },
        Case {
            name: "larger than all engines together",
            engines: 2,
            work: long(700_000),
            reason: RefusalReason::PromptTooLarge,
        },
        Case {
            name: "more reading than the deadline allows",
            engines: 1,
            work: long(310_000),
            reason: RefusalReason::Overloaded,
        },
    ];
    for case in cases {
        let left = case.work.time_left;
        match decide(&mut board(case.engines), 1, case.work, 0) {
            Some(WorkVerdict::Refused(refusal)) => {
                assert_eq!(refusal.reason, case.reason, "{}", case.name);
                if refusal.reason == RefusalReason::Overloaded {
                    assert!(refusal.retry_after <= left / 3, "{}", case.name);
                }
            }
            other => panic!("{}: {other:?}", case.name),
        }
    }
}

#[test]
fn waiting_asks_never_outlive_their_time() {
    let mut board = board(2);
    for ask in 0..30 {
        board.ask(key(ask), long(200_000), 0);
    }
    let mut open: std::collections::BTreeSet<u64> = (0..30).collect();
    for now in (0..15_000).step_by(15) {
        for (asked, _) in board.decide(now) {
            open.remove(&asked.ask);
        }
    }
    assert!(open.is_empty(), "{open:?} were never answered");
}

#[test]
fn a_leaving_or_excluded_endpoint_gets_nothing() {
    let mut board = board(3);
    let mut list: Vec<EndpointFacts> = (0..3).map(|one| facts(one, EndpointState::Ready)).collect();
    list[0].state = EndpointState::Leaving;
    board.set_endpoints(&pool(), &list);
    for ask in 0..20 {
        let mut work = short();
        work.excluded = vec![EndpointId::new("engine-1")];
        let grant = grant(&mut board, ask, work, ask * 100);
        assert_eq!(grant.host.endpoint.as_str(), "engine-2");
        board.finish(key(ask), &RunReport::new(RunEnd::Served), ask * 100 + 50);
    }
}

#[test]
fn an_endpoint_that_fails_is_set_aside_and_tried_again() {
    struct Case {
        name: &'static str,
        end: RunEnd,
        failures: u64,
    }
    let cases = [
        Case {
            name: "not connected",
            end: RunEnd::NotConnected,
            failures: 1,
        },
        Case {
            name: "silent",
            end: RunEnd::Silent,
            failures: 1,
        },
        Case {
            name: "broke off twice",
            end: RunEnd::Broken,
            failures: 2,
        },
    ];
    for case in cases {
        let mut board = board(2);
        let first = grant(&mut board, 0, short(), 0).host.endpoint;
        board.finish(key(0), &RunReport::new(case.end), 1);
        for again in 1..case.failures {
            let mut work = short();
            work.excluded = vec![EndpointId::new(if first.as_str() == "engine-0" {
                "engine-1"
            } else {
                "engine-0"
            })];
            grant(&mut board, again, work, again);
            board.finish(key(again), &RunReport::new(case.end), again + 1);
        }
        let next = grant(&mut board, 50, short(), 10).host.endpoint;
        assert_ne!(next, first, "{}", case.name);
        board.finish(key(50), &RunReport::new(RunEnd::Served), 20);
        let mut work = short();
        work.excluded = vec![next];
        let later = grant(&mut board, 51, work, 7_000).host.endpoint;
        assert_eq!(later, first, "{}: tried again", case.name);
    }
}

#[test]
fn retries_are_a_bounded_share_of_first_attempts() {
    let limits = DispatchLimits {
        retries: BudgetLimits {
            earned_per_first: 100,
            saved_retries: 2,
        },
        ..DispatchLimits::default()
    };
    let mut board = board_with(23, limits);
    let (mut allowed, mut spent) = (0, 0);
    for ask in 0..200 {
        decide(&mut board, ask, short(), ask);
        board.finish(key(ask), &RunReport::new(RunEnd::Served), ask);
        let mut again = short();
        again.retry = Some(RetryReason::StreamClosed);
        match decide(&mut board, ask + 1_000, again, ask) {
            Some(WorkVerdict::Granted(_)) => allowed += 1,
            Some(WorkVerdict::Refused(refusal)) => {
                assert_eq!(refusal.reason, RefusalReason::RetryBudget);
                spent += 1;
            }
            None => panic!("a retry waits on idle engines"),
        }
        board.finish(key(ask + 1_000), &RunReport::new(RunEnd::Served), ask);
    }
    assert!(allowed <= 22, "{allowed} retries for 200 first attempts");
    assert_eq!(allowed + spent, 200);
}

#[test]
fn an_owner_that_is_gone_holds_nothing() {
    let mut board = board(17);
    for ask in 0..30 {
        decide(&mut board, ask, long(250_000), ask);
    }
    board.drop_owner(1, 10);
    assert_eq!(board.counts(), (0, 0));
    // All engines are free again: a prompt that needs every one of them finds a place.
    grant(&mut board, 100, long(600_000), 60_000);
}

#[test]
fn adopted_runs_count_like_placed_ones() {
    let mut first = board(2);
    let work = long(200_000);
    let granted = grant(&mut first, 1, work.clone(), 0);
    let places =
        std::iter::once(&granted.host).chain(granted.helpers.iter().map(|helper| &helper.place));
    let held = HeldRun {
        ask: 1,
        work,
        places: places
            .map(|place| HeldPlace {
                endpoint: place.endpoint.clone(),
                reserved_tokens: 0,
            })
            .collect(),
        phase: RunPhase::Writing,
    };
    let mut second = board(2);
    second.adopt(7, &held, 0);
    assert_eq!(second.counts(), (0, 1));
    let next = grant(&mut second, 2, long(120_000), 1);
    assert_ne!(
        next.host.endpoint, granted.host.endpoint,
        "its memory is in use"
    );
    second.drop_owner(7, 2);
    second.finish(key(2), &RunReport::new(RunEnd::Served), 3);
    assert_eq!(second.counts(), (0, 0));
}

#[test]
fn a_domain_alone_uses_its_own_endpoints() {
    let mut board = board(9);
    for ask in 0..12 {
        let mut work = short();
        work.reach = AskReach::Domain(DomainId::new("domain-1"));
        let grant = grant(&mut board, ask, work, ask * 100);
        let index: u8 = grant.host.endpoint.as_str()[7..].parse().expect("a number");
        assert_eq!(index % 3, 1);
    }
}

#[test]
fn a_slow_endpoint_gets_less_long_work() {
    // Ten short prompts on the first engine take five times as long as published: 31 ms of reading
    // and a pass of 44 ms.
    const PUBLISHED: Millis = 75;
    let mut board = board(4);
    for ask in 0..10 {
        let now = ask * 2_000;
        let mut work = short();
        work.excluded = (1..4)
            .map(|one| EndpointId::new(format!("engine-{one}")))
            .collect();
        grant(&mut board, ask, work, now);
        let late = now + 5 * PUBLISHED;
        board.first_event(key(ask), late);
        board.finish(key(ask), &RunReport::new(RunEnd::Served), late + 10);
    }
    let granted = grant(&mut board, 100, long(60_000), 20_000);
    assert_ne!(granted.host.endpoint.as_str(), "engine-0");
}

#[test]
fn a_prompt_that_crashes_three_endpoints_is_refused_for_a_while() {
    let mut board = board(6);
    let mut now = 0;
    let mut excluded = Vec::new();
    for ask in 0..3 {
        let mut work = short();
        work.excluded.clone_from(&excluded);
        let granted = grant(&mut board, ask, work, now);
        excluded.push(granted.host.endpoint);
        now += 3_000;
        board.finish(key(ask), &RunReport::new(RunEnd::Broken), now);
    }
    match decide(&mut board, 10, short(), now) {
        Some(WorkVerdict::Refused(refusal)) => {
            assert_eq!(refusal.reason, RefusalReason::Quarantined);
        }
        other => panic!("{other:?}"),
    }
    // Another prompt of the same size is served, and this one again after a while.
    let mut other = short();
    other.fingerprint = Fingerprint(77);
    grant(&mut board, 11, other, now);
    grant(&mut board, 12, short(), now + 40_000);
}

#[test]
fn a_domain_that_is_cut_off_is_set_aside_as_a_whole() {
    struct Case {
        name: &'static str,
        /// Endpoints that fail, all in one domain of eight.
        failed: u64,
        is_aside: bool,
    }
    let cases = [
        Case {
            name: "two crashes",
            failed: 2,
            is_aside: false,
        },
        Case {
            name: "a cut",
            failed: 3,
            is_aside: true,
        },
    ];
    for case in cases {
        let mut board = board(24);
        let mut work = short();
        work.reach = AskReach::Domain(DomainId::new("domain-0"));
        for ask in 0..case.failed {
            let now = 100 + ask * 50;
            grant(&mut board, ask, work.clone(), now);
            board.finish(key(ask), &RunReport::new(RunEnd::NotConnected), now);
        }
        let granted = grant(&mut board, 50, work.clone(), 400);
        let index: u8 = granted.host.endpoint.as_str()[7..]
            .parse()
            .expect("a number");
        assert_eq!(
            !index.is_multiple_of(3),
            case.is_aside,
            "{}: {index}",
            case.name
        );
        // It is tried again after a while.
        let granted = grant(&mut board, 51, work, 4_000);
        let index: u8 = granted.host.endpoint.as_str()[7..]
            .parse()
            .expect("a number");
        assert_eq!(index % 3, 0, "{}", case.name);
    }
}

#[test]
fn a_helper_that_its_host_cannot_reach_is_set_aside() {
    let mut board = board(6);
    let granted = grant(&mut board, 1, long(150_000), 0);
    let helper = granted.helpers[0].place.clone();
    let report = RunReport::new(RunEnd::NotConnected).with_fault_at(Some(helper.address));
    board.finish(key(1), &report, 10);
    let again = grant(&mut board, 2, long(150_000), 20);
    let uses = |place: &EndpointPlace| *place == helper;
    assert!(!uses(&again.host) && !again.helpers.iter().any(|one| uses(&one.place)));
}

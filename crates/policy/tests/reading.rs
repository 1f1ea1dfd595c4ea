//! What the board expects of engines that read, and how a place keeps the reading of others in time.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::dispatch::engine::EngineProfile;
use jackdawpoint_policy::dispatch::work::{
    AskReach, EndpointFacts, EndpointPlace, EndpointState, RunEnd, RunKey, RunReport, WorkAsk,
    WorkGrant, WorkVerdict,
};
use jackdawpoint_policy::dispatch::{DispatchBoard, DispatchLimits};
use jackdawpoint_policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use jackdawpoint_policy::poison::Fingerprint;

/// Difference allowed between an expected and the exact time, in milliseconds: rounding.
const ROUNDING: Millis = 2;

/// A pass of one short prompt that writes: 51 steps of 0.85 ms and a little for its context.
const PASS: Millis = 45;

/// Reading of a short prompt.
const SHORT_READING: Millis = 31;

fn pool() -> PoolId {
    PoolId::new("engines")
}

fn board(engines: u8) -> DispatchBoard {
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
    let facts = |index: u8| EndpointFacts {
        place: EndpointPlace {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80),
        },
        domain: DomainId::new("domain"),
        state: EndpointState::Ready,
    };
    let mut board = DispatchBoard::new(DispatchLimits::default());
    board.set_pool(&pool(), &profile);
    board.set_endpoints(&pool(), &(0..engines).map(facts).collect::<Vec<_>>());
    board
}

fn work(prompt_tokens: u64, aim: Millis, pause: Millis) -> WorkAsk {
    WorkAsk {
        pool: pool(),
        account: AccountId::new("account"),
        reach: AskReach::Fleet,
        prompt_tokens,
        output_tokens: 1_500,
        waited: 0,
        first_event_aim: aim,
        pause_aim: pause,
        time_left: 15_000,
        retry: None,
        excluded: Vec::new(),
        home: None,
        fingerprint: Fingerprint(prompt_tokens),
    }
}

fn short() -> WorkAsk {
    work(5_000, 300, 250)
}

fn long(prompt_tokens: u64) -> WorkAsk {
    work(prompt_tokens, 3_000, 1_000)
}

fn key(ask: u64) -> RunKey {
    RunKey::new(1, ask)
}

/// Asks; the grant if there is one at once.
fn ask(board: &mut DispatchBoard, number: u64, work: WorkAsk, now: Millis) -> Option<WorkGrant> {
    assert_eq!(board.ask(key(number), work, now), None);
    let verdicts = board.decide(now);
    let mine = verdicts
        .into_iter()
        .find(|(asked, _)| *asked == key(number));
    match mine?.1 {
        WorkVerdict::Granted(grant) => Some(grant),
        WorkVerdict::Refused(refusal) => panic!("ask {number} was refused: {refusal:?}"),
    }
}

fn grant(board: &mut DispatchBoard, number: u64, work: WorkAsk, now: Millis) -> WorkGrant {
    ask(board, number, work, now).unwrap_or_else(|| panic!("ask {number} has no place"))
}

fn engines(grant: &WorkGrant) -> Vec<EndpointId> {
    let helpers = grant.helpers.iter().map(|helper| &helper.place);
    let all = std::iter::once(&grant.host).chain(helpers);
    all.map(|place| place.endpoint.clone()).collect()
}

#[test]
fn a_first_event_is_expected_at_the_end_of_the_pass_that_reads_the_prompt() {
    struct Case {
        name: &'static str,
        /// When the one who writes had its first event, if anybody writes.
        began: Option<Millis>,
        asked: Millis,
        expected: Millis,
    }
    let cases = [
        Case {
            name: "nothing writes",
            began: None,
            asked: 1_000,
            expected: SHORT_READING,
        },
        Case {
            name: "a pass is under way",
            began: Some(1_000),
            asked: 1_015,
            expected: PASS - 15 + PASS + SHORT_READING,
        },
        Case {
            name: "too late for the next pass",
            began: Some(1_000),
            asked: 1_000 + PASS - 3,
            expected: 3 + 2 * PASS + SHORT_READING,
        },
    ];
    for case in cases {
        let mut board = board(1);
        if let Some(began) = case.began {
            grant(&mut board, 1, short(), began - SHORT_READING);
            board.first_event(key(1), began);
        }
        let grant = grant(&mut board, 2, short(), case.asked);
        assert!(
            grant.expected_first.abs_diff(case.expected) <= ROUNDING,
            "{}: {} instead of {}",
            case.name,
            grant.expected_first,
            case.expected
        );
    }
}

#[test]
fn events_that_are_heard_of_keep_the_passes_in_step() {
    let mut board = board(1);
    grant(&mut board, 1, short(), 0);
    board.first_event(key(1), SHORT_READING);
    let second = grant(&mut board, 2, short(), SHORT_READING + 15);
    // It came 8 ms later than expected, so the passes end 8 ms later too.
    let heard = SHORT_READING + 15 + second.expected_first + 8;
    board.first_event(key(2), heard);
    let third = grant(&mut board, 3, short(), heard + 10);
    let expected = PASS - 10 + PASS + SHORT_READING;
    // The engine is believed to be a little slow now: 8 ms in 106, of which 0.3 count.
    let slower = 3;
    assert!(
        third.expected_first.abs_diff(expected) <= ROUNDING + slower,
        "{third:?}"
    );
}

#[test]
fn a_prompt_that_is_being_read_is_delayed_only_within_its_slack() {
    // Load pattern: a large prompt is being read when others come; an engine reads the newest part
    // first, so that whoever joins delays the large one.
    struct Case {
        name: &'static str,
        engines: u8,
        free: usize,
    }
    let cases = [
        Case {
            name: "all engines read it",
            engines: 5,
            free: 0,
        },
        Case {
            name: "one engine is free",
            engines: 7,
            free: 1,
        },
    ];
    for case in cases {
        let mut board = board(case.engines);
        let large = engines(&grant(&mut board, 1, long(300_000), 0));
        assert_eq!(large.len() + case.free, usize::from(case.engines));
        let next = ask(&mut board, 2, long(130_000), 10);
        let shared = next.iter().flat_map(engines);
        let delayed = shared.filter(|engine| large.contains(engine)).count();
        assert_eq!(delayed, 0, "{}", case.name);
        assert_eq!(next.is_some(), case.free > 0, "{}", case.name);
        // Its part has been read, so nothing is delayed any more.
        board.first_event(key(1), 2_100);
        board.decide(2_100);
        assert!(!board.is_waiting(), "{}", case.name);
    }
}

#[test]
fn short_prompts_join_the_engine_with_most_of_them() {
    // Load pattern: many short prompts write on few engines; when fewer come, engines should drain
    // and become free for long ones.
    let mut board = board(3);
    for number in 0..8 {
        let now = number * 400;
        grant(&mut board, number, short(), now);
        board.first_event(key(number), now + 150);
    }
    let now = 3_600;
    let placed = grant(&mut board, 20, short(), now);
    board.first_event(key(20), now + 150);
    board.finish(key(20), &RunReport::new(RunEnd::Served), now + 200);
    // One more engine is open, with a single short prompt.
    let elsewhere = WorkAsk {
        excluded: vec![placed.host.endpoint.clone()],
        ..short()
    };
    let alone = grant(&mut board, 21, elsewhere, now + 300);
    board.first_event(key(21), now + 450);
    assert_ne!(alone.host, placed.host);
    let next = grant(&mut board, 22, short(), now + 800);
    assert_eq!(next.host, placed.host);
}

#[test]
fn a_burst_of_short_prompts_is_spread_before_pauses_grow() {
    // Load pattern: a day begins: short prompts come faster than one engine can read them.
    let mut board = board(10);
    let mut read_by_engine = std::collections::HashMap::new();
    for number in 0..16 {
        let grant = grant(&mut board, number, short(), number * 5);
        *read_by_engine.entry(grant.host.endpoint).or_insert(0) += SHORT_READING;
    }
    // What is read in one pass must not pause those who write for longer than their aim.
    for (endpoint, reading) in read_by_engine {
        assert!(reading + PASS <= 250, "{endpoint:?} reads {reading} ms");
    }
}

#[test]
fn an_answer_stays_in_its_callers_failure_domain() {
    // Load pattern: answers of seconds are under way when a failure domain is cut off; those that
    // cross its border are lost.
    let mut board = board(6);
    let facts = |index: u8| EndpointFacts {
        place: EndpointPlace {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80),
        },
        domain: DomainId::new(if index < 3 { "near" } else { "far" }),
        state: EndpointState::Ready,
    };
    board.set_endpoints(&pool(), &(0..6).map(facts).collect::<Vec<_>>());
    let homes = ["near", "far", "near", "far", "near", "far"];
    for (number, home) in (0..).zip(homes) {
        let asked = WorkAsk {
            home: Some(DomainId::new(home)),
            ..short()
        };
        let now = number * 300;
        let placed = grant(&mut board, number, asked, now);
        board.first_event(key(number), now + placed.expected_first);
        let engines = if home == "near" { 0..3 } else { 3..6 };
        let hosts: Vec<EndpointId> = engines.map(|index| facts(index).place.endpoint).collect();
        assert!(hosts.contains(&placed.host.endpoint), "{home}: {placed:?}");
    }
}

//! Placement of prompts by a pool's steward.

use jackdawpoint_policy::ids::{
    AccountId, EndpointId, Incarnation, InstanceId, Millis, OwnerId, RequestId,
};
use jackdawpoint_policy::poison::Fingerprint;
use jackdawpoint_policy::pool::{
    EndpointSpec, GrantDecision, GrantRequest, PoolLimits, PoolObjective, PoolTable, Sharing,
};

const ENGINE_TOKENS: u64 = 400_000;
const LONG_PROMPT: u64 = 150_000;
const SHORT_PROMPT: u64 = 1_000;

/// Time until the deadline, enough for every prompt here, in milliseconds.
const TIME_LEFT: Millis = 120_000;

fn table(engines: usize, objective: PoolObjective) -> PoolTable {
    let table = PoolTable::new(PoolLimits::new(objective), 1);
    (0..engines).fold(table, |table, engine| {
        table.with_endpoint(EndpointSpec {
            id: EndpointId::new(format!("engine-{engine}")),
            slots: 32,
            memory_tokens: ENGINE_TOKENS,
            prefill_rate: 50_000,
        })
    })
}

fn grant_request(number: u64, prompt_tokens: u64) -> GrantRequest {
    GrantRequest {
        owner: OwnerId::new(InstanceId::new("entry"), Incarnation(1)),
        request_id: RequestId(u128::from(number)),
        fingerprint: Fingerprint(number),
        account: AccountId::new("family"),
        weight: 1,
        model: "advice".to_owned(),
        prompt_tokens,
        output_tokens: 100,
        prefixes: Vec::new(),
        time_left: TIME_LEFT,
        sharing: Sharing::Shared,
        excluded: Vec::new(),
    }
}

/// Requests grants for `prompts` one after the other and returns the engine of each; `-` stands for
/// a queued request.
fn engines_of_grants(table: &mut PoolTable, prompts: &[u64]) -> Vec<String> {
    let numbered = (1..).zip(prompts);
    let decisions =
        numbered.map(|(number, prompt)| table.request_grant(grant_request(number, *prompt), 0));
    decisions
        .map(|decision| match decision {
            GrantDecision::Granted(grant) => grant.primary().as_str().to_owned(),
            GrantDecision::Queued(_) => "-".to_owned(),
            GrantDecision::Refused(refusal) => panic!("refused: {refusal:?}"),
        })
        .collect()
}

struct PlacementCase {
    name: &'static str,
    engines: usize,
    prompts: &'static [u64],
    engine_of_last: &'static str,
}

const PLACEMENT_CASES: [PlacementCase; 3] = [
    PlacementCase {
        name: "a short prompt avoids the engine of a long one if another is free",
        engines: 2,
        prompts: &[LONG_PROMPT, SHORT_PROMPT],
        engine_of_last: "engine-1",
    },
    PlacementCase {
        name: "a short prompt shares the engine of a long one if there is no other",
        engines: 1,
        prompts: &[LONG_PROMPT, SHORT_PROMPT],
        engine_of_last: "engine-0",
    },
    PlacementCase {
        name: "a short prompt waits if a long one holds the memory",
        engines: 1,
        prompts: &[ENGINE_TOKENS - 100, SHORT_PROMPT],
        engine_of_last: "-",
    },
];

#[test]
fn short_prompts_share_engines_with_long_ones_only_if_needed() {
    for case in PLACEMENT_CASES {
        let mut table = table(case.engines, PoolObjective::ShortSlowdown);
        let engines = engines_of_grants(&mut table, case.prompts);
        let last = engines.last().map(String::as_str);
        assert_eq!(last, Some(case.engine_of_last), "{}", case.name);
    }
}

struct LaneCase {
    objective: PoolObjective,
    lane_size: usize,
}

const LANE_CASES: [LaneCase; 2] = [
    LaneCase {
        objective: PoolObjective::ShortSlowdown,
        lane_size: 15,
    },
    LaneCase {
        objective: PoolObjective::FirstToken,
        lane_size: 18,
    },
];

#[test]
fn objective_limits_the_long_lane() {
    for case in LANE_CASES {
        let mut table = table(20, case.objective);
        engines_of_grants(&mut table, &[LONG_PROMPT; 60]);
        assert_eq!(
            table.counts().lane_size,
            case.lane_size,
            "{:?}",
            case.objective
        );
    }
}

struct ReservationCase {
    name: &'static str,
    /// Time of the decisions, in milliseconds.
    now: Millis,
    /// Engine of a short prompt that arrives then.
    engine_of_short: &'static str,
}

const RESERVATION_CASES: [ReservationCase; 2] = [
    ReservationCase {
        name: "engines are not reserved for a spread prompt that has waited briefly",
        now: 10_000,
        engine_of_short: "engine-1",
    },
    ReservationCase {
        name: "engines are reserved for a spread prompt that has waited long",
        now: 30_000,
        engine_of_short: "-",
    },
];

#[test]
fn engines_are_reserved_for_a_long_waiting_prompt() {
    for case in RESERVATION_CASES {
        let mut table = table(2, PoolObjective::ShortSlowdown);
        engines_of_grants(&mut table, &[LONG_PROMPT, 2 * ENGINE_TOKENS - 1_000]);
        table.decide_queued(case.now);
        let short = table.request_grant(grant_request(9, SHORT_PROMPT), case.now);
        let engine = match short {
            GrantDecision::Granted(grant) => grant.primary().as_str().to_owned(),
            _ => "-".to_owned(),
        };
        assert_eq!(engine, case.engine_of_short, "{}", case.name);
    }
}

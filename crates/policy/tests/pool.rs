//! Where a steward places prompts.

use jackdawpoint_policy::ids::{
    AccountId, EndpointId, Incarnation, InstanceId, Millis, OwnerId, RequestId,
};
use jackdawpoint_policy::poison::Fingerprint;
use jackdawpoint_policy::pool::{
    EndpointSpec, GrantAsk, GrantDecision, PoolLimits, PoolObjective, PoolTable, Sharing,
};

const ENGINE_TOKENS: u64 = 400_000;
const LONG_PROMPT: u64 = 150_000;
const SHORT_PROMPT: u64 = 1_000;

/// Time enough for every prompt here, in milliseconds.
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

fn ask(number: u64, prompt_tokens: u64) -> GrantAsk {
    GrantAsk {
        owner: OwnerId::new(InstanceId::new("entry"), Incarnation(1)),
        request: RequestId(u128::from(number)),
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

/// The engines of the grants of these prompts, asked for one after the other; `-` where one waits.
fn placed(table: &mut PoolTable, prompts: &[u64]) -> Vec<String> {
    let numbered = (1..).zip(prompts);
    let decisions = numbered.map(|(number, prompt)| table.ask(ask(number, *prompt), 0));
    decisions
        .map(|decision| match decision {
            GrantDecision::Granted(grant) => grant.lead().as_str().to_owned(),
            GrantDecision::Queued(_) => "-".to_owned(),
            GrantDecision::Refused(refusal) => panic!("refused: {refusal:?}"),
        })
        .collect()
}

struct PlaceCase {
    name: &'static str,
    engines: usize,
    prompts: &'static [u64],
    engine_of_last: &'static str,
}

const PLACE_CASES: [PlaceCase; 3] = [
    PlaceCase {
        name: "a short keeps out of a long's engine where another is free",
        engines: 2,
        prompts: &[LONG_PROMPT, SHORT_PROMPT],
        engine_of_last: "engine-1",
    },
    PlaceCase {
        name: "a short runs beside a long where no other engine is",
        engines: 1,
        prompts: &[LONG_PROMPT, SHORT_PROMPT],
        engine_of_last: "engine-0",
    },
    PlaceCase {
        name: "a short waits where a long holds the memory",
        engines: 1,
        prompts: &[ENGINE_TOKENS - 100, SHORT_PROMPT],
        engine_of_last: "-",
    },
];

#[test]
fn shorts_run_beside_longs_only_where_they_must() {
    for case in PLACE_CASES {
        let mut table = table(case.engines, PoolObjective::ShortSlowdown);
        let placed = placed(&mut table, case.prompts);
        let last = placed.last().map(String::as_str);
        assert_eq!(last, Some(case.engine_of_last), "{}", case.name);
    }
}

struct LaneCase {
    objective: PoolObjective,
    lane: usize,
}

const LANE_CASES: [LaneCase; 2] = [
    LaneCase {
        objective: PoolObjective::ShortSlowdown,
        lane: 15,
    },
    LaneCase {
        objective: PoolObjective::FirstToken,
        lane: 18,
    },
];

#[test]
fn the_objective_bounds_the_long_lane() {
    for case in LANE_CASES {
        let mut table = table(20, case.objective);
        placed(&mut table, &[LONG_PROMPT; 60]);
        assert_eq!(table.counts().lane_size, case.lane, "{:?}", case.objective);
    }
}

struct KeepCase {
    name: &'static str,
    /// When the table is looked at, in milliseconds.
    now: Millis,
    /// Where a short that comes then runs.
    engine_of_short: &'static str,
}

const KEEP_CASES: [KeepCase; 2] = [
    KeepCase {
        name: "engines stay open while a spread prompt has waited a little",
        now: 10_000,
        engine_of_short: "engine-1",
    },
    KeepCase {
        name: "engines are kept free for a spread prompt that has waited long",
        now: 30_000,
        engine_of_short: "-",
    },
];

#[test]
fn engines_are_kept_free_for_a_prompt_that_has_waited() {
    for case in KEEP_CASES {
        let mut table = table(2, PoolObjective::ShortSlowdown);
        placed(&mut table, &[LONG_PROMPT, 2 * ENGINE_TOKENS - 1_000]);
        table.drain(case.now);
        let short = table.ask(ask(9, SHORT_PROMPT), case.now);
        let engine = match short {
            GrantDecision::Granted(grant) => grant.lead().as_str().to_owned(),
            _ => "-".to_owned(),
        };
        assert_eq!(engine, case.engine_of_short, "{}", case.name);
    }
}

//! Faults of the world around separate processes, over real connections.

mod support;

use ntex::http::Method;
use serde_json::{Value, json};
use standin::engine::expected_text;
use support::caller_client::{AnswerEnd, CompletionPlan, fresh_key};
use support::fleet::{Fleet, FleetPlan, MODEL, PATIENCE};
use support::process::Signal;

fn slow_plan() -> FleetPlan {
    FleetPlan {
        engine_args: vec!["--token-ms", "20"],
        ..FleetPlan::default()
    }
}

/// The engine that runs the only stream.
async fn busy_engine(fleet: &Fleet) -> usize {
    for (index, engine) in fleet.engines.iter().enumerate() {
        if fleet.used_tokens(engine).await > 0 {
            return index;
        }
    }
    panic!("no engine runs a stream");
}

#[ntex::test]
async fn an_answer_goes_on_elsewhere_when_its_engine_dies() {
    let fleet = Fleet::start(slow_plan()).await;
    let plan = CompletionPlan::new("the engine dies", 120);
    let answer = fleet
        .complete_with(&fleet.entries[0], &plan, async |text| {
            if text.len() == 60 {
                let engine = busy_engine(&fleet).await;
                fleet.engines[engine].process.signal(Signal::Kill);
            }
        })
        .await;
    assert_eq!(answer.end, AnswerEnd::Whole);
    assert_eq!(answer.text, expected_text("the engine dies", 120));
}

#[ntex::test]
async fn an_answer_goes_on_when_its_connection_falls_silent() {
    let fleet = Fleet::start(slow_plan()).await;
    let plan = CompletionPlan::new("the connection is silent", 120);
    let answer = fleet
        .complete_with(&fleet.entries[1], &plan, async |text| {
            if text.len() == 60 {
                let engine = busy_engine(&fleet).await;
                let faults = json!({ "silence_open": true });
                fleet.fault(&fleet.engines[engine], faults).await;
            }
        })
        .await;
    assert_eq!(answer.end, AnswerEnd::Whole);
    assert_eq!(answer.text, expected_text("the connection is silent", 120));
}

struct FrameCase {
    name: &'static str,
    faults: fn() -> Value,
}

const FRAMES: [FrameCase; 3] = [
    FrameCase {
        name: "crossed",
        faults: || json!({ "cross_frames": 1 }),
    },
    FrameCase {
        name: "repeated",
        faults: || json!({ "repeat_frames": 1 }),
    },
    FrameCase {
        name: "truncated",
        faults: || json!({ "truncate_streams": 1 }),
    },
];

#[ntex::test]
async fn faulty_frames_never_reach_a_caller_as_whole() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    for case in &FRAMES {
        for engine in &fleet.engines {
            fleet.fault(engine, (case.faults)()).await;
        }
        let plan = CompletionPlan::new(case.name, 40);
        let answer = fleet.complete(&fleet.entries[0], &plan).await;
        assert_eq!(answer.end, AnswerEnd::Whole, "{}", case.name);
        assert_eq!(answer.text, expected_text(case.name, 40), "{}", case.name);
    }
}

struct CallCase {
    name: &'static str,
    service: fn() -> Value,
    key_value: fn() -> Value,
    status: u16,
    reason: &'static str,
    ran: &'static str,
    runs: u64,
}

fn none() -> Value {
    json!({})
}

const CALLS: [CallCase; 4] = [
    CallCase {
        name: "platform-down",
        service: none,
        key_value: || json!({ "down": true }),
        status: 503,
        reason: "platform_down",
        ran: "no",
        runs: 0,
    },
    CallCase {
        name: "platform-frozen",
        service: none,
        key_value: || json!({ "frozen": true }),
        status: 503,
        reason: "platform_down",
        ran: "no",
        runs: 0,
    },
    CallCase {
        name: "claim-answer-lost",
        service: none,
        key_value: || json!({ "lose_answers": 1 }),
        status: 200,
        reason: "",
        ran: "",
        runs: 1,
    },
    CallCase {
        name: "service-silent",
        service: || json!({ "behaviour": "silent_after_run" }),
        key_value: none,
        status: 504,
        reason: "deadline_passed_running",
        ran: "maybe",
        runs: 1,
    },
];

#[ntex::test]
async fn a_call_that_may_not_be_repeated_is_told_truly_and_runs_at_most_once() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    for case in &CALLS {
        fleet.fault(&fleet.services[0], (case.service)()).await;
        fleet.fault(&fleet.key_value, (case.key_value)()).await;
        let key = fresh_key();
        let entry = &fleet.entries[0];
        let answer = fleet.call(entry, "orders", case.name, &key, 2_500).await;
        assert_eq!(answer.status, case.status, "{}: {:?}", case.name, answer);
        assert_eq!(answer.reason(), case.reason, "{}", case.name);
        assert_eq!(answer.ran(), case.ran, "{}", case.name);
        let runs = fleet.executions(case.name).await;
        assert_eq!(runs, case.runs, "{}: before the repeat", case.name);
        fleet.fault(&fleet.services[0], none()).await;
        fleet.fault(&fleet.key_value, none()).await;
        let again = &fleet.entries[1];
        fleet.call(again, "orders", case.name, &key, 2_500).await;
        let runs = fleet.executions(case.name).await;
        assert!(runs <= 1, "{}: {runs} runs after the repeat", case.name);
    }
}

#[ntex::test]
async fn a_service_that_dies_after_the_call_is_never_called_again() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let dies = json!({ "behaviour": "exit_after_run" });
    fleet.fault(&fleet.services[0], dies).await;
    let key = fresh_key();
    let entry = &fleet.entries[0];
    let answer = fleet.call(entry, "orders", "charge", &key, 5_000).await;
    assert_eq!(answer.reason(), "connection_lost");
    assert_eq!(answer.ran(), "maybe");
    fleet.services[0].process.wait(PATIENCE);
    fleet.services[0].start_again();
    let again = &fleet.entries[1];
    let repeat = fleet.call(again, "orders", "charge", &key, 5_000).await;
    assert_eq!(repeat.reason(), "idempotency_key_in_use");
    assert_eq!(fleet.executions("charge").await, 0, "not after the restart");
}

#[ntex::test]
async fn an_instance_that_is_killed_frees_its_engines() {
    let mut fleet = Fleet::start(slow_plan()).await;
    let plan = CompletionPlan::new("the instance dies", 400);
    let answer = fleet
        .complete_with(&fleet.entries[0], &plan, async |text| {
            if text.len() == 30 {
                fleet.entries[0].process.signal(Signal::Kill);
            }
        })
        .await;
    assert_eq!(answer.end, AnswerEnd::Cut, "no end mark was made up");
    assert!(expected_text("the instance dies", 400).starts_with(&answer.text));
    for engine in &fleet.engines {
        fleet
            .eventually("the engine is free", async || {
                fleet.used_tokens(engine).await == 0
            })
            .await;
    }
    fleet.entries[0].process.wait(PATIENCE);
    fleet.entries[0].start_again();
    fleet.wait_ready(&fleet.entries[0]).await;
}

#[ntex::test]
async fn a_frozen_instance_confirms_a_change_before_it_admits_again() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    fleet.entries[1].process.signal(Signal::Freeze);
    let (status, report) = fleet.set_template(&fleet.entries[0], 7, None).await;
    assert_eq!(status, 200);
    assert_eq!(report["rollout"]["state"], "pending");
    assert_eq!(report["rollout"]["domains"], json!(["a"]));
    fleet.entries[1].process.signal(Signal::Wake);
    let version = report["version"].as_u64().expect("a number");
    fleet.wait_ready(&fleet.entries[1]).await;
    let status = fleet.status(&fleet.entries[1]).await;
    assert!(status["config_version"].as_u64() >= Some(version));
    let path = format!("/operator/rollouts/{version}");
    fleet
        .eventually("the change is accepted", async || {
            let at = fleet.entries[0].operators;
            let answer = fleet.send_json(at, Method::GET, &path, &Value::Null).await;
            answer.1["state"] == "accepted"
        })
        .await;
}

#[ntex::test]
async fn racing_operators_get_one_winner_and_one_conflict() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let present = fleet.set_template(&fleet.entries[0], 10, None).await.1;
    let version = present["version"].as_u64();
    let (one, other) = futures::join!(
        fleet.set_template(&fleet.entries[0], 11, version),
        fleet.set_template(&fleet.entries[1], 12, version),
    );
    let mut statuses = [one.0, other.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{one:?} {other:?}");
    let lost = if one.0 == 409 { one } else { other };
    assert_eq!(lost.1["reason"], "conflict");
}

#[ntex::test]
async fn a_leaving_engine_gets_no_new_work_and_says_when_it_is_empty() {
    let fleet = Fleet::start(slow_plan()).await;
    let running = CompletionPlan::new("runs on", 150);
    let announced = fleet
        .complete_with(&fleet.entries[0], &running, async |text| {
            if text.len() == 30 {
                let engine = busy_engine(&fleet).await;
                let form = json!({
                    "subject": { "endpoint": format!("a-engine-{engine}") },
                    "kind": "leave",
                });
                let path = "/operator/announcements";
                let at = fleet.entries[1].operators;
                let (status, report) = fleet.send_json(at, Method::POST, path, &form).await;
                assert_eq!(status, 200);
                assert_eq!(report["missing"], json!([]));
            }
        })
        .await;
    assert_eq!(announced.end, AnswerEnd::Whole, "nothing is cut");
    let mut leaving = Vec::new();
    for entry in &fleet.entries {
        let status = fleet.status(entry).await;
        let pools = status["pools"].as_array().expect("a list").clone();
        let endpoints = pools
            .iter()
            .flat_map(|pool| pool["endpoints"].as_array().expect("a list").clone());
        leaving.extend(endpoints.filter(|row| row["leaving"] == true));
    }
    assert_eq!(leaving.len(), 1, "one engine leaves: {leaving:?}");
    assert_eq!(leaving[0]["running"], 0, "it is empty");
}

async fn are_both_loaded(fleet: &Fleet) -> bool {
    let mut loaded = Vec::new();
    for engine in &fleet.engines {
        loaded.push(fleet.loaded_model(engine).await);
    }
    loaded.sort();
    loaded == [MODEL, "review"]
}

/// The instance that holds the lease for orders, if any does.
async fn order_holder(fleet: &Fleet, entries: &[usize]) -> Option<usize> {
    for index in entries {
        let entry = &fleet.entries[*index];
        if fleet.metric(entry, "jackdawpoint_order_holder").await > 0.0 {
            return Some(*index);
        }
    }
    None
}

#[ntex::test]
async fn orders_go_on_when_their_holder_dies() {
    let mut fleet = Fleet::start(FleetPlan {
        engine_args: vec!["--loaded-only", "--model", ""],
        models: vec![MODEL, "review"],
        loading: "managed",
        ..FleetPlan::default()
    })
    .await;
    let loaded = async || are_both_loaded(&fleet).await;
    fleet.eventually("both models are loaded", loaded).await;
    let plan = CompletionPlan::new("after loading", 5).with_timeout(5_000);
    let served = async || fleet.complete(&fleet.entries[0], &plan).await.end == AnswerEnd::Whole;
    fleet.eventually("the loaded model serves", served).await;

    let holder = order_holder(&fleet, &[0, 1]).await.expect("one holds it");
    let other = 1 - holder;
    fleet.entries[holder].process.signal(Signal::Kill);
    let moved = async || order_holder(&fleet, &[other]).await.is_some();
    fleet.eventually("the lease moves", moved).await;
    fleet.engines[0].restart();
    let loaded = async || are_both_loaded(&fleet).await;
    fleet.eventually("the new holder loads again", loaded).await;
}

#[ntex::test]
async fn a_prompt_that_crashes_engines_takes_down_two_at_the_most() {
    let mut fleet = Fleet::start(FleetPlan {
        engines: 4,
        ..FleetPlan::default()
    })
    .await;
    let plan = CompletionPlan::new("[[crash]]", 5).with_timeout(5_000);
    for round in 0..4 {
        let entry = &fleet.entries[round % 2];
        let answer = fleet.complete(entry, &plan).await;
        assert_ne!(answer.end, AnswerEnd::Whole);
    }
    let mut dead = 0;
    for engine in &mut fleet.engines {
        let url = format!("http://{}/v1/report", engine.address);
        let request = fleet.link.request(Method::GET, &url);
        let answer = fleet.link.send(request, ntex::util::Bytes::new()).await;
        dead += usize::from(answer.is_err());
    }
    assert_eq!(dead, 2, "engines that died");
    let refused = fleet.complete(&fleet.entries[0], &plan).await;
    assert_eq!(refused.status, 422);
    assert!(!refused.retry_after.is_empty(), "it says when to come back");
}

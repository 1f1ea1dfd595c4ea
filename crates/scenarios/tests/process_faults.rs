//! Faults of engines, services, the platform and instances, with separate processes and real
//! connections.

mod support;

use ntex::http::Method;
use serde_json::{Value, json};
use standin::engine::expected_text;
use support::caller_client::{AnswerEnd, CompletionPlan, new_idempotency_key};
use support::fleet::{Fleet, FleetPlan, MODEL, WAIT_TIMEOUT};
use support::process::Signal;

fn slow_engine_plan() -> FleetPlan {
    FleetPlan {
        engine_args: vec!["--token-ms", "20"],
        ..FleetPlan::default()
    }
}

/// Index of the engine that runs the only stream.
async fn busy_engine(fleet: &Fleet) -> usize {
    for (index, engine) in fleet.engines.iter().enumerate() {
        if fleet.used_tokens(engine).await > 0 {
            return index;
        }
    }
    panic!("no engine uses memory for a stream");
}

#[ntex::test]
async fn stream_resumes_on_another_engine_after_a_crash() {
    let fleet = Fleet::start(slow_engine_plan()).await;
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
async fn stream_resumes_after_its_connection_goes_silent() {
    let fleet = Fleet::start(slow_engine_plan()).await;
    let plan = CompletionPlan::new("the connection is silent", 120);
    let answer = fleet
        .complete_with(&fleet.entries[1], &plan, async |text| {
            if text.len() == 60 {
                let engine = busy_engine(&fleet).await;
                let faults = json!({ "silence_open": true });
                fleet.set_faults(&fleet.engines[engine], faults).await;
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

const FRAME_CASES: [FrameCase; 3] = [
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
async fn faulty_frames_do_not_corrupt_complete_answers() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    for case in &FRAME_CASES {
        for engine in &fleet.engines {
            fleet.set_faults(engine, (case.faults)()).await;
        }
        let plan = CompletionPlan::new(case.name, 40);
        let answer = fleet.complete(&fleet.entries[0], &plan).await;
        assert_eq!(answer.end, AnswerEnd::Whole, "{}", case.name);
        assert_eq!(answer.text, expected_text(case.name, 40), "{}", case.name);
    }
}

struct CallCase {
    name: &'static str,
    /// Faults of the service stand-in.
    service: fn() -> Value,
    /// Faults of the key-value stand-in.
    key_value: fn() -> Value,
    status: u16,
    reason: &'static str,
    ran: &'static str,
    runs: u64,
}

fn no_faults() -> Value {
    json!({})
}

const CALL_CASES: [CallCase; 4] = [
    CallCase {
        name: "platform-down",
        service: no_faults,
        key_value: || json!({ "down": true }),
        status: 503,
        reason: "platform_down",
        ran: "no",
        runs: 0,
    },
    CallCase {
        name: "platform-frozen",
        service: no_faults,
        key_value: || json!({ "frozen": true }),
        status: 503,
        reason: "platform_down",
        ran: "no",
        runs: 0,
    },
    CallCase {
        name: "claim-answer-lost",
        service: no_faults,
        key_value: || json!({ "lose_answers": 1 }),
        status: 200,
        reason: "",
        ran: "",
        runs: 1,
    },
    CallCase {
        name: "service-silent",
        service: || json!({ "behaviour": "silent_after_run" }),
        key_value: no_faults,
        status: 504,
        reason: "deadline_passed_running",
        ran: "maybe",
        runs: 1,
    },
];

#[ntex::test]
async fn at_most_once_call_reports_whether_it_ran_and_is_not_repeated() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    for case in &CALL_CASES {
        fleet.set_faults(&fleet.services[0], (case.service)()).await;
        fleet.set_faults(&fleet.key_value, (case.key_value)()).await;
        let key = new_idempotency_key();
        let entry = &fleet.entries[0];
        let answer = fleet.call(entry, "orders", case.name, &key, 2_500).await;
        assert_eq!(answer.status, case.status, "{}: {:?}", case.name, answer);
        assert_eq!(answer.reason(), case.reason, "{}", case.name);
        assert_eq!(answer.ran(), case.ran, "{}", case.name);
        let runs = fleet.executions(case.name).await;
        assert_eq!(runs, case.runs, "{}: runs before the repeat", case.name);
        fleet.set_faults(&fleet.services[0], no_faults()).await;
        fleet.set_faults(&fleet.key_value, no_faults()).await;
        let other = &fleet.entries[1];
        fleet.call(other, "orders", case.name, &key, 2_500).await;
        let runs = fleet.executions(case.name).await;
        assert!(runs <= 1, "{}: {runs} runs after the repeat", case.name);
    }
}

#[ntex::test]
async fn call_is_not_repeated_after_its_service_crashed() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let faults = json!({ "behaviour": "exit_after_run" });
    fleet.set_faults(&fleet.services[0], faults).await;
    let key = new_idempotency_key();
    let entry = &fleet.entries[0];
    let answer = fleet.call(entry, "orders", "charge", &key, 5_000).await;
    assert_eq!(answer.reason(), "connection_lost");
    assert_eq!(answer.ran(), "maybe");
    fleet.services[0].process.wait(WAIT_TIMEOUT);
    fleet.services[0].start_after_exit();
    let other = &fleet.entries[1];
    let repeat = fleet.call(other, "orders", "charge", &key, 5_000).await;
    assert_eq!(repeat.reason(), "idempotency_key_in_use");
    assert_eq!(
        fleet.executions("charge").await,
        0,
        "the restarted service must not run the call"
    );
}

#[ntex::test]
async fn killed_instance_releases_engine_memory() {
    let mut fleet = Fleet::start(slow_engine_plan()).await;
    let plan = CompletionPlan::new("the instance dies", 400);
    let answer = fleet
        .complete_with(&fleet.entries[0], &plan, async |text| {
            if text.len() == 30 {
                fleet.entries[0].process.signal(Signal::Kill);
            }
        })
        .await;
    assert_eq!(
        answer.end,
        AnswerEnd::ConnectionLost,
        "the answer must not look complete"
    );
    assert!(expected_text("the instance dies", 400).starts_with(&answer.text));
    for engine in &fleet.engines {
        fleet
            .eventually("the engine's memory is released", async || {
                fleet.used_tokens(engine).await == 0
            })
            .await;
    }
    fleet.entries[0].process.wait(WAIT_TIMEOUT);
    fleet.entries[0].start_after_exit();
    fleet.wait_ready(&fleet.entries[0]).await;
}

#[ntex::test]
async fn resumed_instance_applies_missed_change_before_it_is_ready() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    fleet.entries[1].process.signal(Signal::Freeze);
    let (status, report) = fleet.set_template(&fleet.entries[0], 7, None).await;
    assert_eq!(status, 200);
    assert_eq!(report["rollout"]["state"], "pending");
    assert_eq!(report["rollout"]["domains"], json!(["a"]));
    fleet.entries[1].process.signal(Signal::Resume);
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
async fn concurrent_conditional_changes_get_one_success_and_one_conflict() {
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
async fn leaving_engine_finishes_its_stream_and_reports_that_it_is_empty() {
    let fleet = Fleet::start(slow_engine_plan()).await;
    let running = CompletionPlan::new("runs on", 150);
    let announced = fleet
        .complete_with(&fleet.entries[0], &running, async |text| {
            if text.len() == 30 {
                let engine = busy_engine(&fleet).await;
                let announcement = json!({
                    "subject": { "endpoint": format!("a-engine-{engine}") },
                    "kind": "leave",
                });
                let path = "/operator/announcements";
                let at = fleet.entries[1].operators;
                let (status, report) = fleet.send_json(at, Method::POST, path, &announcement).await;
                assert_eq!(status, 200);
                assert_eq!(report["missing"], json!([]));
            }
        })
        .await;
    assert_eq!(
        announced.end,
        AnswerEnd::Whole,
        "a running stream must not be interrupted"
    );
    let mut leaving = Vec::new();
    for entry in &fleet.entries {
        let status = fleet.status(entry).await;
        let pools = status["pools"].as_array().expect("a list").clone();
        let endpoints = pools
            .iter()
            .flat_map(|pool| pool["endpoints"].as_array().expect("a list").clone());
        leaving.extend(endpoints.filter(|row| row["leaving"] == true));
    }
    assert_eq!(
        leaving.len(),
        1,
        "exactly one engine is leaving: {leaving:?}"
    );
    assert_eq!(
        leaving[0]["running"], 0,
        "the leaving engine runs no stream"
    );
}

async fn both_models_loaded(fleet: &Fleet) -> bool {
    let mut loaded = Vec::new();
    for engine in &fleet.engines {
        loaded.push(fleet.loaded_model(engine).await);
    }
    loaded.sort();
    loaded == [MODEL, "review"]
}

/// Index of the instance that holds the order lease, among `entries`; `None` if none does.
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
async fn model_orders_continue_after_the_order_holder_dies() {
    let mut fleet = Fleet::start(FleetPlan {
        engine_args: vec!["--loaded-only", "--model", ""],
        models: vec![MODEL, "review"],
        loading: "managed",
        ..FleetPlan::default()
    })
    .await;
    let loaded = async || both_models_loaded(&fleet).await;
    fleet.eventually("both models are loaded", loaded).await;
    let plan = CompletionPlan::new("after loading", 5).with_timeout(5_000);
    let served = async || fleet.complete(&fleet.entries[0], &plan).await.end == AnswerEnd::Whole;
    fleet.eventually("the loaded model serves", served).await;

    let holder = order_holder(&fleet, &[0, 1])
        .await
        .expect("one instance holds the order lease");
    let other = 1 - holder;
    fleet.entries[holder].process.signal(Signal::Kill);
    let moved = async || order_holder(&fleet, &[other]).await.is_some();
    fleet
        .eventually("another instance holds the order lease", moved)
        .await;
    fleet.engines[0].restart();
    let loaded = async || both_models_loaded(&fleet).await;
    fleet
        .eventually("both models are loaded again", loaded)
        .await;
}

#[ntex::test]
async fn crashing_prompt_takes_down_at_most_two_engines() {
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
        let request = fleet.client.request(Method::GET, &url);
        let answer = fleet.client.send(request, ntex::util::Bytes::new()).await;
        dead += usize::from(answer.is_err());
    }
    assert_eq!(dead, 2, "number of crashed engines");
    let refused = fleet.complete(&fleet.entries[0], &plan).await;
    assert_eq!(refused.status, 422);
    assert!(
        !refused.retry_after.is_empty(),
        "the refusal has a retry-after header"
    );
}

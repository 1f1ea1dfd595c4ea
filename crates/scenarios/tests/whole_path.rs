//! Requests through a complete fleet of separate processes.

mod support;

use std::time::Duration;

use ntex::time::{Millis, sleep};
use standin::engine::expected_text;
use support::caller_client::{AnswerEnd, CompletionPlan, new_idempotency_key};
use support::fleet::{Fleet, FleetPlan, WAIT_TIMEOUT};
use support::process::Signal;

struct LengthCase {
    name: &'static str,
    prompt_bytes: usize,
    answer_tokens: u64,
}

const LENGTH_CASES: [LengthCase; 4] = [
    LengthCase {
        name: "1k tokens",
        prompt_bytes: 4_000,
        answer_tokens: 200,
    },
    LengthCase {
        name: "10k tokens",
        prompt_bytes: 40_000,
        answer_tokens: 50,
    },
    LengthCase {
        name: "100k tokens",
        prompt_bytes: 400_000,
        answer_tokens: 50,
    },
    LengthCase {
        name: "1M tokens",
        prompt_bytes: 4_000_000,
        answer_tokens: 50,
    },
];

#[ntex::test]
async fn answers_are_complete_for_all_prompt_lengths() {
    let plan = FleetPlan {
        engines: 4,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    for case in &LENGTH_CASES {
        for entry in &fleet.entries {
            let prompt = "a week of meals ".repeat(case.prompt_bytes / 16);
            let plan = CompletionPlan::new(&prompt, case.answer_tokens);
            let answer = fleet.complete(entry, &plan).await;
            assert_eq!(answer.end, AnswerEnd::Whole, "{}", case.name);
            let expected = expected_text(&prompt, case.answer_tokens);
            assert_eq!(answer.text, expected, "{}", case.name);
        }
    }
    for engine in &fleet.engines {
        fleet
            .eventually("the engine's memory is released", async || {
                fleet.used_tokens(engine).await == 0
            })
            .await;
    }
}

#[ntex::test]
async fn repeated_call_runs_once() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let key = new_idempotency_key();
    let first = fleet
        .call(&fleet.entries[0], "orders", "order", &key, 5_000)
        .await;
    assert_eq!(first.status, 200);
    fleet
        .eventually("the repeat gets the answer of the first call", async || {
            let again = fleet
                .call(&fleet.entries[1], "orders", "order", &key, 5_000)
                .await;
            again.status == 200 && again.replayed && again.body == first.body
        })
        .await;
    assert_eq!(fleet.executions("order").await, 1);
}

#[ntex::test]
async fn entry_process_opens_no_io_uring() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let answer = fleet
        .complete(&fleet.entries[0], &CompletionPlan::new("hello", 8))
        .await;
    assert_eq!(answer.end, AnswerEnd::Whole);
    let folder = format!("/proc/{}/fd", fleet.entries[0].process.id());
    let mut targets = Vec::new();
    for descriptor in std::fs::read_dir(folder).expect("the process is running") {
        let path = descriptor.expect("a readable folder entry").path();
        if let Ok(target) = std::fs::read_link(path) {
            targets.push(target.to_string_lossy().into_owned());
        }
    }
    assert!(
        targets.iter().any(|target| target.contains("eventpoll")),
        "the check must see the descriptors of the entry process"
    );
    assert!(
        !targets.iter().any(|target| target.contains("io_uring")),
        "the entry process uses io_uring: {targets:?}"
    );
}

#[ntex::test]
async fn terminated_instance_drains_and_exits_with_zero() {
    let plan = FleetPlan {
        engine_args: vec!["--token-ms", "10"],
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await;
    let plan = CompletionPlan::new("a long answer", 150);
    let answer = fleet
        .complete_with(&fleet.entries[0], &plan, async |text| {
            if text.len() < 7 {
                fleet.entries[0].process.signal(Signal::Terminate);
            }
        })
        .await;
    assert_eq!(answer.end, AnswerEnd::Whole);
    assert_eq!(answer.text, expected_text("a long answer", 150));
    let status = fleet.entries[0].process.wait(WAIT_TIMEOUT);
    assert_eq!(status.code(), Some(0));
}

#[ntex::test]
async fn disconnected_caller_releases_engine_memory() {
    let plan = FleetPlan {
        engine_args: vec!["--token-ms", "50"],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    let plan = CompletionPlan::new("never read to its end", 400);
    let reading = fleet.complete(&fleet.entries[0], &plan);
    let timed_out = ntex::time::timeout(Millis(500), reading).await;
    assert!(
        timed_out.is_err(),
        "the caller must disconnect before the end of the answer"
    );
    for engine in &fleet.engines {
        fleet
            .eventually("the engine's memory is released", async || {
                fleet.used_tokens(engine).await == 0
            })
            .await;
    }
    sleep(Millis::from(Duration::from_millis(50))).await;
    let entry = &fleet.entries[0];
    let gone = r#"jackdawpoint_unfinished_total{reason="caller_gone"}"#;
    assert!((fleet.metric(entry, gone).await - 1.0).abs() < f64::EPSILON);
}

//! Checks the invariants of the service against the calls that callers made and the runs that
//! endpoints recorded.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use adapter_standin::RunRecord;
use ntex::http::StatusCode;
use transport::is_final_status;

use crate::caller::{CALL_TIMEOUT, CallOutcome, CallRecord, TIMEOUT_SLACK};

/// Time by which the time left of a run may exceed the caller's deadline, in milliseconds.
const TIME_LEFT_SLACK_MS: u64 = 500;

/// A violated invariant.
#[derives::value]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What was observed, with the request if the invariant is about one.
    pub observed: String,
}

impl Violation {
    /// Creates a violation from the name of the invariant and what was observed.
    #[must_use]
    pub fn new(invariant: &'static str, observed: String) -> Self {
        Self {
            invariant,
            observed,
        }
    }
}

/// A time in which a daemon's process was suspended.
#[derives::value]
pub struct DaemonPause {
    /// Index of the daemon.
    pub daemon: usize,
    /// Begin of the pause.
    pub from: Instant,
    /// End of the pause.
    pub until: Instant,
}

/// Shortest part of the time that a caller waits for which a pause excuses that it saw no answer: it
/// waits for a second and a half after the deadline, and a daemon needs half a second.
const EXCUSING_PAUSE: Duration = Duration::from_secs(1);

/// Whether the daemon was suspended for so much of the time that the caller waited that it could not
/// see an answer.
fn is_excused_by_pause(call: &CallRecord, pauses: &[DaemonPause]) -> bool {
    let left_at = call.sent + CALL_TIMEOUT + TIMEOUT_SLACK;
    let own = pauses.iter().filter(|pause| pause.daemon == call.daemon);
    let overlap = |pause: &DaemonPause| {
        let until = pause.until.min(left_at);
        until.saturating_duration_since(pause.from.max(call.sent))
    };
    own.map(overlap).sum::<Duration>() >= EXCUSING_PAUSE
}

/// Checks all calls against all runs at the endpoints. `complete_stream` is the complete body of a
/// streamed answer.
#[must_use]
pub fn check_calls(
    calls: &[CallRecord],
    runs: &[RunRecord],
    pauses: &[DaemonPause],
    complete_stream: &str,
) -> Vec<Violation> {
    let mut by_request: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    for run in runs {
        by_request.entry(&run.request_id).or_default().push(run);
    }
    let mut violations = Vec::new();
    for call in calls {
        let runs = by_request.remove(call.id.as_str()).unwrap_or_default();
        if call.outcome == CallOutcome::TimedOut && !is_excused_by_pause(call, pauses) {
            let observed = format!(
                "request {} to daemon {}: no response, and the connection stayed open; {} runs",
                call.id,
                call.daemon,
                runs.len()
            );
            violations.push(Violation::new(
                "every request ends by its deadline",
                observed,
            ));
        }
        check_call(call, &runs, complete_stream, &mut violations);
    }
    for (request, _) in by_request {
        let observed = format!("request {request:?} ran, but no caller sent it");
        violations.push(Violation::new(
            "endpoints run only requests that callers sent",
            observed,
        ));
    }
    violations
}

fn check_call(
    call: &CallRecord,
    runs: &[&RunRecord],
    complete_stream: &str,
    violations: &mut Vec<Violation>,
) {
    let mut report = |invariant, observed: &str| {
        let observed = format!(
            "request {} to daemon {}: {observed}; {} runs",
            call.id,
            call.daemon,
            runs.len()
        );
        violations.push(Violation::new(invariant, observed));
    };
    if call.kind.runs_once() && runs.len() > 1 {
        report(
            "non-idempotent calls run at most once",
            "the call ran more than once",
        );
    }
    if runs.iter().any(|run| run.has_key) {
        report(
            "API keys are not forwarded to endpoints",
            "a run carried the API key",
        );
    }
    let call_timeout_ms =
        u64::try_from(crate::caller::CALL_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let has_excess_time = |run: &&&RunRecord| {
        run.time_left
            .is_none_or(|left| left > call_timeout_ms + TIME_LEFT_SLACK_MS)
    };
    if runs.iter().any(|run| has_excess_time(&run)) {
        report(
            "runs get no more time than the caller's deadline leaves",
            "a run had no deadline or a later one",
        );
    }
    match &call.outcome {
        CallOutcome::Response(StatusCode::OK, body) => {
            let complete = match call.kind {
                kind if kind.is_stream() => complete_stream,
                _ => "done",
            };
            if body != complete {
                report("answers are complete and belong to their request", body);
            }
            if runs.is_empty() {
                report(
                    "answers are complete and belong to their request",
                    "an answer without a run",
                );
            }
        }
        CallOutcome::Response(StatusCode::SERVICE_UNAVAILABLE, _) => {
            if call.kind.runs_once() && !runs.is_empty() {
                report("requests reported as not run did not run", "503");
            }
        }
        CallOutcome::Response(status, _) if !is_final_status(status.as_u16()) => {
            report("answers have a valid status", status.as_str());
        }
        CallOutcome::Response(status, _) if status.is_client_error() => {
            report("valid requests get no client error", status.as_str());
        }
        CallOutcome::TimedOut | CallOutcome::ConnectionLost | CallOutcome::Response(..) => {}
    }
}

/// Time after an endpoint was marked as draining within which it stops getting new runs.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

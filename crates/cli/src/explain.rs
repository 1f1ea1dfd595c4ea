//! The `explain` command: the log lines of one request from the logs of all instances.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

use anyhow::{Context, ensure};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::args::ExplainArgs;

/// Time before a log line of the request in which a state change of the same instance is shown too,
/// in milliseconds.
const STATE_CHANGE_WINDOW_MS: u64 = 5_000;

/// Messages of the log lines about a change of an instance's view or of a dependency. They have to
/// match the messages that the instances log, word for word.
const STATE_CHANGE_MESSAGES: [&str; 38] = [
    "answer of an earlier era not used",
    "changes not forwarded",
    "configuration applied",
    "configuration read",
    "crash excused by a whole answer",
    "crash notice applied",
    "cut off from endpoints; sending through other instances",
    "endpoint changed",
    "endpoint changed its limit",
    "endpoint entry missing",
    "endpoint lost under a run",
    "endpoint says that it leaves",
    "endpoint wants no requests for a time",
    "endpoints reached directly again",
    "entries are of a copy",
    "evacuation withdrawn",
    "failure domain evacuated",
    "limit learned from a member",
    "origin of changes",
    "phase changed",
    "placement queue is long",
    "placement queue is short again",
    "prompt part cleared",
    "prompt part quarantined",
    "reader lost",
    "registration lease expired",
    "member session ended",
    "instance started",
    "steward session opened",
    "steward lost",
    "store unavailable",
    "store available again",
    "store call failed",
    "store came back from a copy",
    "store left to the readers",
    "store read",
    "tunnel hosted",
    "tunnel's host not told",
];

/// A line of an instance's JSON log.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    logger: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl LogLine {
    fn mentions(&self, request: &str) -> bool {
        self.kv.get("request").and_then(Value::as_str) == Some(request)
    }

    fn print(&self) {
        let fields: Vec<String> = self
            .kv
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let fields = fields.join(" ");
        println!(
            "{} {} {} {fields}",
            self.timestamp, self.logger, self.payload
        );
    }
}

/// Prints the log lines of a request and the state changes of its instances shortly before them, in
/// the order of their timestamps.
///
/// # Errors
///
/// Fails if a log file cannot be read or if no line mentions the request.
pub(crate) fn run(args: &ExplainArgs) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    if args.logs.is_empty() {
        read_lines(stdin().lock(), &mut lines);
    }
    for file in &args.logs {
        let name = file.display();
        let log = File::open(file).with_context(|| format!("cannot read {name}"))?;
        read_lines(BufReader::new(log), &mut lines);
    }
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.mentions(&args.request))
        .collect();
    ensure!(
        !request_lines.is_empty(),
        "no log line mentions request {}",
        args.request
    );
    let mut selected: Vec<&LogLine> = request_lines.clone();
    for line in &lines {
        let is_state_change = STATE_CHANGE_MESSAGES.contains(&line.payload.as_str());
        let is_near = request_lines.iter().any(|request_line| {
            let since = request_line
                .timestamp
                .saturating_sub(STATE_CHANGE_WINDOW_MS);
            request_line.logger == line.logger
                && (since..=request_line.timestamp).contains(&line.timestamp)
        });
        if is_state_change && is_near {
            selected.push(line);
        }
    }
    selected.sort_by_key(|line| line.timestamp);
    for line in selected {
        line.print();
    }
    Ok(())
}

/// Reads the log lines of `input`. Text before the JSON object of a line, such as the prefix of a
/// log collector, is skipped, and so are lines that are not log lines.
fn read_lines(input: impl BufRead, lines: &mut Vec<LogLine>) {
    for text in input.lines().map_while(Result::ok) {
        let Some(start) = text.find('{') else {
            continue;
        };
        if let Ok(line) = serde_json::from_str(&text[start..]) {
            lines.push(line);
        }
    }
}

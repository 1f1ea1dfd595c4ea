//! The story of one request, from the log lines of all instances.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

use anyhow::{Context, ensure};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::args::ExplainArgs;

/// Beliefs whose changes shortly before a request's end may explain it, in milliseconds.
const BEFORE: u64 = 5_000;

/// Lines that tell of a change of a belief or a dependency.
const BELIEFS: [&str; 12] = [
    "configuration applied",
    "endpoint changed",
    "endpoint entry missing",
    "phase changed",
    "reader lost",
    "registration lease expired",
    "member session ended",
    "instance started",
    "steward session opened",
    "steward lost",
    "store unavailable",
    "store available again",
];

/// One line of a log.
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
    fn is_of(&self, request: &str) -> bool {
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

/// Prints the lines of a request, and the changes of beliefs of its instance before its end.
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
    let of_request: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.is_of(&args.request))
        .collect();
    ensure!(
        !of_request.is_empty(),
        "no line names request {}",
        args.request
    );
    let mut told: Vec<&LogLine> = of_request.clone();
    for line in &lines {
        let is_belief = BELIEFS.contains(&line.payload.as_str());
        let is_near = of_request.iter().any(|ours| {
            let since = ours.timestamp.saturating_sub(BEFORE);
            ours.logger == line.logger && (since..=ours.timestamp).contains(&line.timestamp)
        });
        if is_belief && is_near {
            told.push(line);
        }
    }
    told.sort_by_key(|line| line.timestamp);
    for line in told {
        line.print();
    }
    Ok(())
}

/// Reads log lines; anything else in the input, such as a collector's prefix, is passed over.
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

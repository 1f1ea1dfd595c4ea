//! Scenarios of the second review. Usage: `review-standins-2 CASE PROGRAM RECORD DIRECTORY`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod engine;
mod http;
mod json;
mod orders;
mod record;
mod relay;
mod store;
mod streams;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record, directory] = args.as_slice() else {
        eprintln!("usage: review-standins-2 CASE PROGRAM RECORD DIRECTORY");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(record));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    record.note(&format!("case {case}, trouble: {has_trouble}"));
    let (program, directory) = (Path::new(program), Path::new(directory));
    let verdict = match case.as_str() {
        "entry-removed" => streams::entry_removed(program, directory, &record, has_trouble),
        "failing-worker" => orders::failing_worker(program, directory, &record, has_trouble),
        "at-limit" => streams::at_limit(program, directory, &record, has_trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.note(text);
    println!("{text}");
    ExitCode::from(code)
}

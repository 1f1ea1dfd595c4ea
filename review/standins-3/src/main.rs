//! The cases of the third review that are scripts. Usage: `review-3 CASE RECORD`, in the root of the
//! repository; RECORD is the file that the record is written to. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod config;
mod engine;
mod http;
mod json;
mod random;
mod record;
mod relay;
mod slow_client;
mod store;
mod worker;

use std::panic;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(record_file)) = (words.next(), words.next()) else {
        return ExitCode::from(2);
    };
    let record = Record::new(&PathBuf::from(record_file));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(if has_trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let run = || match case.as_str() {
        "slow-reader" => cases::slow_reader::run(&record, has_trouble),
        "hung-host" => cases::hung_host::run(&record, has_trouble),
        "late-crash" => cases::late_crash::run(&record, has_trouble),
        "older-start" => cases::older_start::run(&record, has_trouble),
        "cut-watches" => cases::cut_watches::run(&record, has_trouble),
        _ => Verdict::NotRun,
    };
    // A stand-in that cannot do its part is no finding.
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(run)).unwrap_or(Verdict::NotRun);
    match verdict {
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::NotRun => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}

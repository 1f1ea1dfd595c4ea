//! Processor time and memory of the decisions, and their growth.

use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;
use policy::ids::{EndpointId, TemplateId};
use policy::pool::{EndpointSpec, GrantDecision, PoolObjective, PoolTable};
use policy::template::{ClientAccount, ConfigBody, ConfigDocument, ConfigStore, account_key};
use serde::Serialize;

use crate::routers::{Steward, ask_of};
use crate::workload::{WorkMix, WorkPlan, draw};

/// Nanoseconds of one ask and its release.
#[derive(Debug, Serialize)]
pub(crate) struct DecisionCost {
    endpoints: usize,
    accounts: usize,
    p50_ns: u64,
    p99_ns: u64,
}

/// Bytes of resident memory that one thing takes.
#[derive(Debug, Serialize)]
pub(crate) struct MemoryCost {
    thing: &'static str,
    count: usize,
    bytes_each: u64,
}

const DECISIONS: usize = 20_000;

/// Nanoseconds above which decisions are not told apart.
const LONGEST_NANOS: u64 = 1_000_000_000;

/// Grants held while decisions are measured, for each endpoint.
const HELD_PER_ENDPOINT: usize = 8;

/// Measures a decision at each size.
pub(crate) fn decisions() -> Vec<DecisionCost> {
    let sizes = [
        (24, 10),
        (190, 10),
        (1_500, 10),
        (24, 6_800),
        (190, 6_800),
        (1_500, 6_800),
    ];
    sizes
        .into_iter()
        .map(|(endpoints, accounts)| decision(endpoints, accounts))
        .collect()
}

fn pool(endpoints: usize) -> PoolTable {
    let limits = Steward::limits(PoolObjective::ShortSlowdown);
    (0..endpoints).fold(PoolTable::new(limits, 1), |table, number| {
        table.with_endpoint(EndpointSpec {
            id: EndpointId::new(format!("engine-{number:05}")),
            slots: 32,
            memory_tokens: 400_000,
            prefill_rate: 50_000,
        })
    })
}

fn decision(endpoints: usize, accounts: usize) -> DecisionCost {
    let mut table = pool(endpoints);
    let plan = WorkPlan {
        seed: 1,
        requests: DECISIONS + endpoints * HELD_PER_ENDPOINT,
        rate: 1_000.0,
        accounts,
    };
    let items = draw(&plan, WorkMix::ShortsOnly);
    let mut held = std::collections::VecDeque::new();
    let mut times = Histogram::<u64>::new_with_max(LONGEST_NANOS, 3).expect("three digits");
    for (number, item) in items.iter().enumerate() {
        let now = item.arrival / 1_000;
        let ask = ask_of(number, item, 60_000);
        let start = Instant::now();
        let decision = table.request_grant(ask, now);
        if let GrantDecision::Granted(grant) = decision {
            held.push_back(grant.id);
        }
        if held.len() > endpoints * HELD_PER_ENDPOINT
            && let Some(oldest) = held.pop_front()
        {
            table.release(oldest, now);
            table.drain(now);
        }
        let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if number >= items.len() - DECISIONS.min(items.len()) {
            times.saturating_record(nanos);
        }
    }
    DecisionCost {
        endpoints,
        accounts,
        p50_ns: times.value_at_quantile(0.5),
        p99_ns: times.value_at_quantile(0.99),
    }
}

/// Measures what accounts, endpoints and grants take in memory.
pub(crate) fn memory() -> Vec<MemoryCost> {
    let mut kept: Vec<Box<dyn std::any::Any>> = Vec::new();
    let accounts = 68_000;
    let account_bytes = resident_growth(|| kept.push(Box::new(book(accounts))));
    let endpoints = 15_000;
    let endpoint_bytes = resident_growth(|| kept.push(Box::new(pool(endpoints))));
    let grants = 100_000;
    let grant_bytes = resident_growth(|| kept.push(Box::new(held(grants))));
    vec![
        cost("client account", accounts, account_bytes),
        cost("endpoint", endpoints, endpoint_bytes),
        cost("grant", grants, grant_bytes),
    ]
}

fn cost(thing: &'static str, count: usize, bytes: u64) -> MemoryCost {
    MemoryCost {
        thing,
        count,
        bytes_each: bytes / u64::try_from(count).unwrap_or(1),
    }
}

fn book(accounts: usize) -> ConfigStore {
    let mut book = ConfigStore::new();
    for number in 0..accounts {
        let account = ClientAccount {
            name: policy::ids::AccountId::new(format!("account-{number}")),
            key_sha256: format!("{number:064x}"),
            template: TemplateId::new("default"),
        };
        book.apply(&ConfigDocument {
            key: account_key(&account.name),
            version: u64::try_from(number).unwrap_or(0) + 1,
            change: format!("{number:032x}"),
            body: ConfigBody::Account(account),
        });
    }
    book
}

fn held(grants: usize) -> PoolTable {
    let mut table = pool(grants / 32 + 1);
    let plan = WorkPlan {
        seed: 2,
        requests: grants,
        rate: 1_000.0,
        accounts: 6_800,
    };
    for (number, item) in draw(&plan, WorkMix::ShortsOnly).iter().enumerate() {
        let mut ask = ask_of(number, item, 60_000);
        ask.prompt_tokens = 1_000;
        table.request_grant(ask, 0);
    }
    table
}

fn resident_growth(act: impl FnOnce()) -> u64 {
    let before = resident_bytes("self");
    act();
    resident_bytes("self").saturating_sub(before)
}

/// Bytes of memory that a process has resident.
pub(crate) fn resident_bytes(process: &str) -> u64 {
    let status = status_fields(process);
    let text = status.get("VmRSS").cloned().unwrap_or_default();
    let kilobytes: u64 = text
        .split_whitespace()
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    kilobytes * 1_024
}

fn status_fields(process: &str) -> BTreeMap<String, String> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    text.lines()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect()
}

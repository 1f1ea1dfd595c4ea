//! Time of grant decisions and memory of the control state, by size of the pool.

use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;
use policy::ids::{EndpointId, TemplateId};
use policy::pool::{EndpointSpec, GrantDecision, PoolObjective, PoolTable};
use policy::template::{ClientAccount, ConfigBody, ConfigDocument, ConfigStore, account_key};
use serde::Serialize;

use crate::routers::{Steward, grant_request};
use crate::workload::{WorkMix, WorkloadPlan, generate_workload};

/// Time in nanoseconds of one grant request, including the release of an earlier grant.
#[derive(Debug, Serialize)]
pub(crate) struct DecisionCost {
    endpoints: usize,
    accounts: usize,
    p50_ns: u64,
    p99_ns: u64,
}

/// Resident memory per object of one kind.
#[derive(Debug, Serialize)]
pub(crate) struct MemoryCost {
    thing: &'static str,
    count: usize,
    bytes_each: u64,
}

const DECISION_COUNT: usize = 20_000;

/// Upper limit of the histogram; longer decisions are counted at this value.
const MAX_RECORDED_NANOS: u64 = 1_000_000_000;

/// Grants per endpoint that stay held while decisions are measured.
const GRANTS_PER_ENDPOINT: usize = 8;

/// Measures the time of a grant decision at several sizes of pool.
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
    let plan = WorkloadPlan {
        seed: 1,
        requests: DECISION_COUNT + endpoints * GRANTS_PER_ENDPOINT,
        rate: 1_000.0,
        accounts,
    };
    let items = generate_workload(&plan, WorkMix::ShortOnly);
    let mut open_grants = std::collections::VecDeque::new();
    let mut times =
        Histogram::<u64>::new_with_max(MAX_RECORDED_NANOS, 3).expect("a valid precision");
    for (number, item) in items.iter().enumerate() {
        let now = item.arrival_us / 1_000;
        let request = grant_request(number, item, 60_000);
        let start = Instant::now();
        let decision = table.request_grant(request, now);
        if let GrantDecision::Granted(grant) = decision {
            open_grants.push_back(grant.id);
        }
        if open_grants.len() > endpoints * GRANTS_PER_ENDPOINT
            && let Some(oldest) = open_grants.pop_front()
        {
            table.release(oldest, now);
            table.decide_queued(now);
        }
        let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if number >= items.len() - DECISION_COUNT.min(items.len()) {
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

/// Measures the memory that client accounts, endpoints and grants take.
pub(crate) fn memory() -> Vec<MemoryCost> {
    let mut retained: Vec<Box<dyn std::any::Any>> = Vec::new();
    let accounts = 68_000;
    let account_bytes = resident_growth(|| retained.push(Box::new(account_store(accounts))));
    let endpoints = 15_000;
    let endpoint_bytes = resident_growth(|| retained.push(Box::new(pool(endpoints))));
    let grants = 100_000;
    let grant_bytes = resident_growth(|| retained.push(Box::new(pool_with_grants(grants))));
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

fn account_store(accounts: usize) -> ConfigStore {
    let mut account_store = ConfigStore::new();
    for number in 0..accounts {
        let account = ClientAccount {
            name: policy::ids::AccountId::new(format!("account-{number}")),
            key_sha256: format!("{number:064x}"),
            template: TemplateId::new("default"),
        };
        account_store.apply(&ConfigDocument {
            key: account_key(&account.name),
            version: u64::try_from(number).unwrap_or(0) + 1,
            change: format!("{number:032x}"),
            body: ConfigBody::Account(account),
        });
    }
    account_store
}

fn pool_with_grants(grants: usize) -> PoolTable {
    let mut table = pool(grants / 32 + 1);
    let plan = WorkloadPlan {
        seed: 2,
        requests: grants,
        rate: 1_000.0,
        accounts: 6_800,
    };
    for (number, item) in generate_workload(&plan, WorkMix::ShortOnly)
        .iter()
        .enumerate()
    {
        let mut request = grant_request(number, item, 60_000);
        request.prompt_tokens = 1_000;
        table.request_grant(request, 0);
    }
    table
}

/// Returns the bytes by which the resident memory of this process grows while `allocate` runs.
fn resident_growth(allocate: impl FnOnce()) -> u64 {
    let before = resident_bytes("self");
    allocate();
    resident_bytes("self").saturating_sub(before)
}

/// Returns the resident memory of a process in bytes, or zero if it cannot be read. `process` is a
/// process id or `self`.
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

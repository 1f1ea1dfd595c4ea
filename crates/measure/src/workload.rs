//! Random workload of mostly short and a few very long prompts, as the small and the large
//! fleet receive them.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A request of the workload.
#[derives::value]
pub(crate) struct WorkItem {
    /// Arrival time in microseconds since the start of the run.
    pub(crate) arrival_us: u64,
    /// Length of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Length of the answer.
    pub(crate) output_tokens: u64,
    /// Index of the client account.
    pub(crate) account: usize,
}

/// Length in tokens above which a prompt of the workload counts as long.
pub(crate) const LONG_PROMPT_TOKENS: u64 = 100_000;

/// Whether the workload contains long prompts.
#[derives::tag]
pub(crate) enum WorkMix {
    /// One in fifty prompts is long.
    Mixed,
    /// The same requests, without those with long prompts.
    ShortOnly,
}

/// Parameters of a workload.
#[derive(Debug, Clone)]
pub(crate) struct WorkloadPlan {
    pub(crate) seed: u64,
    pub(crate) requests: usize,
    /// Requests per second, including those with long prompts.
    pub(crate) rate: f64,
    pub(crate) accounts: usize,
}

/// Ranges of prompt lengths in tokens, each with its share of the requests in thousandths.
const PROMPT_LENGTHS: [(u64, u64, u32); 4] = [
    (1_000, 4_000, 700),
    (4_000, 20_000, 200),
    (20_000, 100_000, 80),
    (100_001, 1_000_000, 20),
];

/// Returns the mean prompt length of `PROMPT_LENGTHS` in tokens. Lengths are log-uniform within
/// each range, and a log-uniform variable has the mean `(high - low) / ln(high / low)`.
pub(crate) fn mean_prompt_tokens() -> f64 {
    let means = PROMPT_LENGTHS.iter().map(|(low, high, share)| {
        let (low, high) = (u64_to_f64(*low), u64_to_f64(*high));
        (high - low) / (high / low).ln() * f64::from(*share) / 1_000.0
    });
    means.sum()
}

/// Converts a count, which must be below 2^52, to a float.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn u64_to_f64(count: u64) -> f64 {
    count as f64
}

/// Rounds a non-negative float to a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are non-negative and far below 2^52"
)]
pub(crate) fn f64_to_u64(value: f64) -> u64 {
    value.max(0.0).round() as u64
}

/// Generates a workload with Poisson arrivals. Equal plans give equal requests.
pub(crate) fn generate_workload(plan: &WorkloadPlan, mix: WorkMix) -> Vec<WorkItem> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut now = 0.0;
    let mut items = Vec::with_capacity(plan.requests);
    for _ in 0..plan.requests {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        now += -uniform.ln() / plan.rate;
        let prompt_tokens = draw_prompt(&mut rng);
        let output_tokens = rng.random_range(20..200);
        let account = draw_account(&mut rng, plan.accounts);
        if mix == WorkMix::ShortOnly && prompt_tokens > LONG_PROMPT_TOKENS {
            continue;
        }
        items.push(WorkItem {
            arrival_us: f64_to_u64(now * 1_000_000.0),
            prompt_tokens,
            output_tokens,
            account,
        });
    }
    items
}

fn draw_prompt(rng: &mut SmallRng) -> u64 {
    let mut pick = rng.random_range(0..1_000);
    for (low, high, share) in PROMPT_LENGTHS {
        if pick < share {
            let (low, high) = (u64_to_f64(low).ln(), u64_to_f64(high).ln());
            return f64_to_u64(rng.random_range(low..high).exp());
        }
        pick -= share;
    }
    PROMPT_LENGTHS[0].0
}

/// Draws the account of a request. Half of the requests come from a tenth of the accounts; the
/// other half are spread over all accounts.
fn draw_account(rng: &mut SmallRng, accounts: usize) -> usize {
    let large = (accounts / 10).max(1);
    if rng.random_range(0..2) == 0 {
        return rng.random_range(0..large);
    }
    rng.random_range(0..accounts)
}

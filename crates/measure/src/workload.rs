//! Requests as the two fleets send them: mostly short, a few very long.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One request of the workload.
#[derives::value]
pub(crate) struct WorkItem {
    /// When it arrives, in microseconds.
    pub(crate) arrival: u64,
    /// Tokens of its prompt.
    pub(crate) prompt: u64,
    /// Tokens of its answer.
    pub(crate) answer: u64,
    /// Number of its client account.
    pub(crate) account: usize,
}

/// Prompts above this many tokens are the long ones of the workload.
pub(crate) const LONG_PROMPT: u64 = 100_000;

/// Whether the workload has its long prompts.
#[derives::tag]
pub(crate) enum WorkMix {
    /// One in fifty prompts is long.
    WithLongs,
    /// The same requests without the long ones.
    ShortsOnly,
}

/// What a workload is made of.
#[derive(Debug, Clone)]
pub(crate) struct WorkPlan {
    pub(crate) seed: u64,
    pub(crate) requests: usize,
    /// Requests a second, the long ones included.
    pub(crate) rate: f64,
    pub(crate) accounts: usize,
}

/// Bounds of prompt lengths and their shares in thousandths.
const LENGTHS: [(u64, u64, u32); 4] = [
    (1_000, 4_000, 700),
    (4_000, 20_000, 200),
    (20_000, 100_000, 80),
    (100_001, 1_000_000, 20),
];

/// Mean prompt tokens of the mix, from its bounds: a log-uniform variable has the mean
/// `(high - low) / ln(high / low)`.
pub(crate) fn mean_prompt() -> f64 {
    let means = LENGTHS.iter().map(|(low, high, share)| {
        let (low, high) = (as_float(*low), as_float(*high));
        (high - low) / (high / low).ln() * f64::from(*share) / 1_000.0
    });
    means.sum()
}

/// A count as a float; counts here are far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn as_float(count: u64) -> f64 {
    count as f64
}

/// Rounds a non-negative float to a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are non-negative and far below 2^52"
)]
pub(crate) fn as_count(value: f64) -> u64 {
    value.max(0.0).round() as u64
}

/// Draws a workload; the same plan gives the same requests.
pub(crate) fn draw(plan: &WorkPlan, mix: WorkMix) -> Vec<WorkItem> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut now = 0.0;
    let mut items = Vec::with_capacity(plan.requests);
    for _ in 0..plan.requests {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        now += -uniform.ln() / plan.rate;
        let prompt = draw_prompt(&mut rng);
        let answer = rng.random_range(20..200);
        let account = draw_account(&mut rng, plan.accounts);
        if mix == WorkMix::ShortsOnly && prompt > LONG_PROMPT {
            continue;
        }
        items.push(WorkItem {
            arrival: as_count(now * 1_000_000.0),
            prompt,
            answer,
            account,
        });
    }
    items
}

fn draw_prompt(rng: &mut SmallRng) -> u64 {
    let mut pick = rng.random_range(0..1_000);
    for (low, high, share) in LENGTHS {
        if pick < share {
            let (low, high) = (as_float(low).ln(), as_float(high).ln());
            return as_count(rng.random_range(low..high).exp());
        }
        pick -= share;
    }
    LENGTHS[0].0
}

/// A few accounts are large: half of the requests come from a tenth of the accounts.
fn draw_account(rng: &mut SmallRng, accounts: usize) -> usize {
    let large = (accounts / 10).max(1);
    if rng.random_range(0..2) == 0 {
        return rng.random_range(0..large);
    }
    rng.random_range(0..accounts)
}

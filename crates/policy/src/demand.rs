//! How much work each model of a pool is asked for.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Millis};
use crate::order::ModelDemand;

/// The time over which work is counted, in milliseconds.
pub const DEMAND_WINDOW: Millis = 60_000;

/// Shortest time over which a rate is taken, in milliseconds.
const SHORTEST_SPAN: Millis = 5_000;

/// Share of an endpoint's time that prompts are to fill, in hundredths.
const TARGET_PERCENT: u64 = 60;

/// Whether work has been counted over a whole window.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DemandSpan {
    /// It has: a model without work is not asked for.
    Whole,
    /// It has not: the counting began a short while ago.
    Partial,
}

/// What a pool's models are asked for, as its steward counts it.
#[derives::wire]
#[derive(Eq)]
pub struct PoolDemand {
    /// Work of each model, in hundredths of one endpoint's time.
    pub percents: BTreeMap<String, u64>,
    /// Over what time it was counted.
    pub span: DemandSpan,
    /// Endpoints that are to change their model and on which nothing is granted any more.
    pub idle: Vec<EndpointId>,
}

impl PoolDemand {
    /// No work and nothing idle, from an instance that is not steward.
    #[must_use]
    pub fn none() -> Self {
        Self {
            percents: BTreeMap::new(),
            span: DemandSpan::Partial,
            idle: Vec::new(),
        }
    }

    /// The endpoints that each model needs: every model of the pool at least one.
    #[must_use]
    pub fn endpoints(&self, models: &[String]) -> Vec<ModelDemand> {
        let needed = |model: &String| {
            let percent = self.percents.get(model).copied().unwrap_or(0);
            let count = percent.div_ceil(TARGET_PERCENT).max(1);
            ModelDemand {
                model: model.clone(),
                endpoints: usize::try_from(count).unwrap_or(usize::MAX),
            }
        };
        models.iter().map(needed).collect()
    }
}

/// Counts work by model over a sliding window, in two halves.
#[derive(Debug, Default)]
pub struct DemandMeter {
    began: Option<Millis>,
    half_began: Millis,
    current: BTreeMap<String, Millis>,
    former: BTreeMap<String, Millis>,
}

impl DemandMeter {
    /// A meter that has counted nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts `work` milliseconds of an endpoint's time.
    pub fn asked(&mut self, model: &str, work: Millis, now: Millis) {
        self.turn(now);
        *self.current.entry(model.to_owned()).or_default() += work;
    }

    /// The work of each model in hundredths of one endpoint's time, and the span it was counted
    /// over: the newer half of the window or the whole of it, whichever has the higher rate, so
    /// that demand is followed soon where it grows and late where it shrinks.
    pub fn percents(&mut self, now: Millis) -> (BTreeMap<String, u64>, DemandSpan) {
        self.turn(now);
        let age = now - self.began.unwrap_or(now);
        let half = now - self.half_began;
        let window = (half + DEMAND_WINDOW / 2).min(age);
        let mut percents: BTreeMap<String, u64> = rates(&self.current, half);
        let mut work = self.former.clone();
        for (model, millis) in &self.current {
            *work.entry(model.clone()).or_default() += millis;
        }
        for (model, percent) in rates(&work, window) {
            let highest = percents.entry(model).or_default();
            *highest = percent.max(*highest);
        }
        let span = if age >= DEMAND_WINDOW {
            DemandSpan::Whole
        } else {
            DemandSpan::Partial
        };
        (percents, span)
    }

    /// Lets the older half of the window go once the newer one is full.
    fn turn(&mut self, now: Millis) {
        if self.began.is_none() {
            self.began = Some(now);
            self.half_began = now;
        }
        while now - self.half_began >= DEMAND_WINDOW / 2 {
            self.former = std::mem::take(&mut self.current);
            self.half_began += DEMAND_WINDOW / 2;
        }
    }
}

fn rates(work: &BTreeMap<String, Millis>, span: Millis) -> BTreeMap<String, u64> {
    let span = span.max(SHORTEST_SPAN);
    let rates = work.iter();
    rates
        .map(|(model, millis)| (model.clone(), millis * 100 / span))
        .collect()
}

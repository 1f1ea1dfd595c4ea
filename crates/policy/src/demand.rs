//! Measurement of the demand for each model of a pool.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Millis};
use crate::order::ModelDemand;

/// Length of the sliding window over which demand is measured, in milliseconds.
pub const DEMAND_WINDOW: Millis = 60_000;

/// Shortest time over which a rate is computed, in milliseconds.
const SHORTEST_SPAN: Millis = 5_000;

/// Target utilization of an endpoint by prefill, in percent.
const TARGET_UTILIZATION_PERCENT: u64 = 60;

/// Whether demand has been measured over a whole window.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DemandSpan {
    /// A whole window: a model without work has no demand.
    Whole,
    /// Less than a window, because the measurement started recently.
    Partial,
}

/// Demand for the models of a pool, as measured by the pool's steward.
#[derives::wire]
#[derive(Eq)]
pub struct PoolDemand {
    /// Prefill work by model, in percent of one endpoint's time.
    pub percents: BTreeMap<String, u64>,
    /// Whether the measurement covers a whole window.
    pub span: DemandSpan,
    /// Endpoints that are to change their model and have no grants left.
    pub idle: Vec<EndpointId>,
}

impl PoolDemand {
    /// No demand and no idle endpoints, as reported by an instance that is not the steward.
    #[must_use]
    pub fn none() -> Self {
        Self {
            percents: BTreeMap::new(),
            span: DemandSpan::Partial,
            idle: Vec::new(),
        }
    }

    /// The number of endpoints that each of `models` needs, at least one.
    #[must_use]
    pub fn endpoints(&self, models: &[String]) -> Vec<ModelDemand> {
        let needed = |model: &String| {
            let percent = self.percents.get(model).copied().unwrap_or(0);
            let count = percent.div_ceil(TARGET_UTILIZATION_PERCENT).max(1);
            ModelDemand {
                model: model.clone(),
                endpoints: usize::try_from(count).unwrap_or(usize::MAX),
            }
        };
        models.iter().map(needed).collect()
    }
}

/// Measures work by model over a sliding window that advances in halves.
#[derive(Debug, Default)]
pub struct DemandMeter {
    started: Option<Millis>,
    half_started: Millis,
    current: BTreeMap<String, Millis>,
    previous: BTreeMap<String, Millis>,
}

impl DemandMeter {
    /// Creates a meter without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `work` milliseconds of an endpoint's time to the demand for `model`.
    pub fn record_work(&mut self, model: &str, work: Millis, now: Millis) {
        self.rotate_window(now);
        *self.current.entry(model.to_owned()).or_default() += work;
    }

    /// The work of each model, in percent of one endpoint's time, and the span of the measurement.
    ///
    /// The rate of a model is the higher one of the current half window and of the whole window, so
    /// that the result follows growing demand quickly and shrinking demand slowly.
    pub fn percents(&mut self, now: Millis) -> (BTreeMap<String, u64>, DemandSpan) {
        self.rotate_window(now);
        let age = now - self.started.unwrap_or(now);
        let half = now - self.half_started;
        let window = (half + DEMAND_WINDOW / 2).min(age);
        let mut percents: BTreeMap<String, u64> = rates(&self.current, half);
        let mut work = self.previous.clone();
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

    /// Drops the older half of the window once the current one is full.
    fn rotate_window(&mut self, now: Millis) {
        if self.started.is_none() {
            self.started = Some(now);
            self.half_started = now;
        }
        while now - self.half_started >= DEMAND_WINDOW / 2 {
            self.previous = std::mem::take(&mut self.current);
            self.half_started += DEMAND_WINDOW / 2;
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

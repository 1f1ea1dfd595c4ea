//! Learned capacity: an endpoint's slowdown by the number of runs that it hosts.
//!
//! Endpoints of one service differ in speed, and some slow down long before all their slots are in
//! use. The published cost, which has a term for each run, is taken for granted; what is learned is
//! the measured time of the work as a multiple of that cost, for several numbers of runs. From it
//! follows the number of concurrent runs from which the endpoint's times rise. Load pattern:
//! a steady or bursting load on endpoints some of which take less than the others
//! (docs/design/19-learned-capacity.md).

use crate::cast::{u64_to_f64, usize_to_f64};
use crate::ids::Millis;

/// Numbers of hosted runs for which a slowdown is kept; between them it is interpolated. Denser
/// where one more run is a larger part of the load.
const LOAD_STEPS: [usize; 9] = [1, 2, 4, 6, 8, 12, 16, 24, 32];

/// Minimum and maximum of a measured slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.9, 8.0);

/// Weight of a new measurement. As three have to agree, it takes four to follow most of a rise, about
/// two seconds at two first events a second.
const SMOOTHING: f64 = 0.5;

/// Half-life of an engine's slowdown above one without news, in milliseconds: an engine that was
/// slow is tried again after a few seconds.
pub const ENGINE_HALF_LIFE: Millis = 4_000;

/// Slowdown, relative to that with a single run, above which the times count as risen: clearly above
/// [`EVEN_SLOWDOWN`], since queues make first events late, too.
const RISE: f64 = 1.6;

/// Slowdown up to which a load counts as none: times of an engine that follows its published cost
/// vary by about a quarter.
pub const EVEN_SLOWDOWN: f64 = 1.3;

/// Slowdown for one number of runs.
#[derive(Debug, Clone)]
struct LoadCell {
    slowdown: f64,
    updated_at: Millis,
    /// The two measurements before the next one; the known slowdown replaces missing ones.
    recent: [Option<f64>; 2],
}

impl LoadCell {
    fn new() -> Self {
        Self {
            slowdown: 1.0,
            updated_at: 0,
            recent: [None; 2],
        }
    }

    fn slowdown(&self, half_life: Millis, now: Millis) -> f64 {
        if self.slowdown <= 1.0 {
            return self.slowdown;
        }
        let age = u64_to_f64(now.saturating_sub(self.updated_at));
        1.0 + (self.slowdown - 1.0) * (-age / u64_to_f64(half_life)).exp2()
    }

    /// The slowdown that the new measurement and the two before it show: the least of the three if
    /// all are above the known one, their median if that is below it. A single outlier has no
    /// effect. The median upwards cost 0.012 of the worth on a fleet without slow engines (small
    /// fleet, 4 seeds): queues make single first events late, and hardly ever early.
    fn filter(&mut self, measured: f64, known: f64) -> f64 {
        let [first, second] = self.recent.map(|recent| recent.unwrap_or(known));
        self.recent = [self.recent[1], Some(measured)];
        let (least, most) = (first.min(second), first.max(second));
        let median = measured.clamp(least, most);
        known.clamp(least.min(measured), median)
    }

    fn approach(&mut self, target: f64, known: f64, now: Millis) {
        self.slowdown = known + (target - known) * SMOOTHING;
        self.updated_at = now;
    }
}

/// Slowdown of one endpoint by the number of runs that it hosts, learned from its runs.
///
/// Starts from the published cost, that is, a slowdown of one at any load.
#[derive(Debug, Clone)]
pub struct LearnedCapacity {
    /// One cell for each of [`LOAD_STEPS`].
    cells: [LoadCell; LOAD_STEPS.len()],
    half_life: Millis,
}

impl LearnedCapacity {
    /// An estimate without any runs so far; without news, slowdowns above one halve every
    /// `half_life` milliseconds.
    #[must_use]
    pub fn new(half_life: Millis) -> Self {
        Self {
            cells: std::array::from_fn(|_| LoadCell::new()),
            half_life,
        }
    }

    /// Records that work on the endpoint, while it hosted `runs`, took `ratio` times its published
    /// cost.
    ///
    /// More runs do not make an endpoint faster: a measurement above the estimate for more runs
    /// raises that too, and one below the estimate for fewer runs lowers it.
    pub fn record(&mut self, runs: usize, ratio: f64, now: Millis) {
        let measured = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let own = nearest_step(runs);
        let half_life = self.half_life;
        let known = self.cells[own].slowdown(half_life, now);
        let target = self.cells[own].filter(measured, known);
        for (index, cell) in self.cells.iter_mut().enumerate() {
            let known = cell.slowdown(half_life, now);
            let is_evidence = match index.cmp(&own) {
                std::cmp::Ordering::Less => target < known,
                std::cmp::Ordering::Equal => true,
                std::cmp::Ordering::Greater => target > known,
            };
            if is_evidence {
                cell.approach(target, known, now);
            }
        }
    }

    /// The estimate at `now`.
    #[must_use]
    pub fn curve(&self, now: Millis) -> SlowdownCurve {
        let mut largest = 0.0;
        let slowdowns = std::array::from_fn(|index| {
            largest = self.cells[index].slowdown(self.half_life, now).max(largest);
            largest
        });
        SlowdownCurve { slowdowns }
    }
}

fn nearest_step(runs: usize) -> usize {
    let distance = |index: &usize| LOAD_STEPS[*index].abs_diff(runs);
    (0..LOAD_STEPS.len()).min_by_key(distance).unwrap_or(0)
}

/// Slowdown of one endpoint by the number of runs that it hosts, at one moment.
///
/// Invariant: the slowdown does not fall with the number of runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowdownCurve {
    slowdowns: [f64; LOAD_STEPS.len()],
}

impl SlowdownCurve {
    /// Slowdown while the endpoint hosts `runs`.
    #[must_use]
    pub fn at(&self, runs: usize) -> f64 {
        let Some(upper) = LOAD_STEPS.iter().position(|step| *step >= runs) else {
            return self.slowdowns[LOAD_STEPS.len() - 1];
        };
        if upper == 0 {
            return self.slowdowns[0];
        }
        let (from, to) = (LOAD_STEPS[upper - 1], LOAD_STEPS[upper]);
        let share = usize_to_f64(runs - from) / usize_to_f64(to - from);
        let lower_slowdown = self.slowdowns[upper - 1];
        lower_slowdown + (self.slowdowns[upper] - lower_slowdown) * share
    }

    /// Number of concurrent runs, up to `slots`, that the endpoint takes before its times rise;
    /// at least 1.
    #[must_use]
    pub fn capacity(&self, slots: usize) -> usize {
        let highest = self.slowdowns[0].max(1.0) * RISE;
        if self.at(slots) <= highest {
            return slots;
        }
        let is_risen = |runs: &usize| self.at(*runs) > highest;
        let risen_at = (1..=slots).find(is_risen).unwrap_or(slots);
        risen_at.saturating_sub(1).max(1)
    }
}

/// Side of half of an endpoint's slots that its learned capacity is on.
#[derives::tag]
pub enum CapacityLevel {
    /// At least half, or never less than half so far.
    Ample,
    /// Less than half, or not yet more than half again.
    Low,
}

impl CapacityLevel {
    /// The level after an estimate of `capacity` out of `slots`. At exactly half the level stays, so
    /// that an estimate that wavers there is not reported again and again.
    #[must_use]
    pub fn after(self, capacity: usize, slots: usize) -> Self {
        match (capacity * 2).cmp(&slots) {
            std::cmp::Ordering::Less => Self::Low,
            std::cmp::Ordering::Equal => self,
            std::cmp::Ordering::Greater => Self::Ample,
        }
    }
}

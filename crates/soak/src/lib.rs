//! Randomized soak test: runs the real daemons as separate processes on loopback, injects faults
//! from outside and checks invariants against what callers and endpoints observe.

mod caller;
mod check;
mod daemon;
mod run;
mod schedule;

pub use run::{SoakReport, run_seed};
pub use schedule::{CutScope, FaultTime, SoakFault, SoakSize, draw_schedule};

/// `Host` header that callers send.
pub const HOST: &str = "kitchen.example";

//! Randomized soak test: runs the real daemons as separate processes on loopback, injects faults
//! from outside and checks invariants against what callers and endpoints observe.

mod caller;
mod check;
mod daemon;
mod flood;
mod run;
mod schedule;
mod storm;

pub use check::Violation;
pub use flood::EndlessRequest;
pub use run::{SoakReport, run_seed};
pub use schedule::{CutScope, FaultTime, SoakFault, SoakSize, draw_schedule};
pub use storm::{
    DisruptionLog, DisruptionPlan, DisruptionScope, RequestHandling, SentVersion, StormCall,
    StormContent, StormOutcome, StormRecord, StormReport, StormRoute, StormRun, StormSite,
    run_storm, versions_in_force,
};

/// `Host` header that callers send.
pub const HOST: &str = "kitchen.example";

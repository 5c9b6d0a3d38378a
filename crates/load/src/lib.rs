//! Open-loop load generator with an initial surge, and reports of its runs.
//!
//! The arrival times are generated from a seed before the run starts, and each request is sent at
//! its time regardless of whether earlier requests have completed. Latency is measured from the
//! scheduled send time, so that a delay in the load generator does not make the system look faster;
//! late sends are counted.
//!
//! Every completion is compared with the oracle of the stand-in model. After the run, the run logs
//! of the stand-ins are compared with the outcomes that callers received. Both checks are reported
//! as [`Violations`].

mod caller;
mod driver;
mod model;
mod plot;
mod record;
mod report;
mod schedule;
mod workload;

pub use caller::{CallerTarget, CheckedOutcome, call_body};
pub use driver::{DriveConfig, drive};
pub use model::{ModelResult, ModelSetup, run_model};
pub use plot::plot_svg;
pub use record::{CallRecord, RunRecord};
pub use report::{
    ControlUse, FaultRecovery, InjectedFault, LoadReport, OutcomeCounts, Percentiles, ReportInput,
    StoreUse, Violations, build_report,
};
pub use schedule::{Arrival, schedule};
pub use workload::{ClassLoad, FaultKind, PlannedFault, WorkKind, Workload};

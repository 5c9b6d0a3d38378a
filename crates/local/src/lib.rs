//! A complete deployment in one process, for local use, tests and measurements.
//!
//! Each VM is a thread with its own runtime. Shutting down the runtime drops all tasks and closes
//! all sockets, like the loss of a VM; blocking the thread is like pausing the VM. VMs communicate
//! over loopback sockets and run the same code as the separate programs.

mod checks;
pub mod cluster;
pub mod compare;
pub mod experiment;
pub mod faults;
pub mod measure;
pub mod profile;
pub mod table;
mod usage;
mod vm;

pub use cluster::{ClusterError, LocalCluster};
pub use experiment::{Experiment, ExperimentResult, run_experiment};
pub use vm::LocalVm;

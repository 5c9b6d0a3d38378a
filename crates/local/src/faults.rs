//! Fault injection at planned times.

use std::{sync::Arc, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_load::{FaultKind, InjectedFault, PlannedFault};
use switchfold_standin::platform::StoreFaults;
use tokio::{sync::Mutex, time::sleep};

use crate::{ClusterError, LocalCluster};

/// Cluster that the fault injection and the checks share.
pub type SharedCluster = Arc<Mutex<LocalCluster>>;

/// Injects all planned faults of a run, in their order. Returns the faults that succeeded with the
/// time of each; a fault that cannot be injected is reported on standard error and left out.
pub async fn inject_faults(
    cluster: SharedCluster,
    faults: Vec<PlannedFault>,
    started: u64,
) -> Vec<InjectedFault> {
    let mut injected = Vec::new();
    for planned in faults {
        let due = started + planned.at_ms;
        sleep(Duration::from_millis(due.saturating_sub(now_millis()))).await;
        let at_micros = (now_millis() - started) * 1_000;
        eprintln!("{:>4} s: {}", planned.at_ms / 1_000, planned.fault.label());
        if let Err(error) = inject(&cluster, &planned.fault).await {
            eprintln!("fault injection failed: {}: {error}", planned.fault.label());
            continue;
        }
        injected.push(InjectedFault { planned, at_micros });
    }
    injected
}

async fn inject(shared: &SharedCluster, fault: &FaultKind) -> Result<(), ClusterError> {
    let mut cluster = shared.lock().await;
    match fault {
        FaultKind::Kill { vm } => cluster.kill(vm)?,
        FaultKind::Freeze { vm, ms } => cluster.vm(vm)?.freeze(Duration::from_millis(*ms)),
        FaultKind::Stop { vm } => cluster.stop(vm)?,
        FaultKind::Leave { vm } => cluster.platform.set_leaving(vm),
        FaultKind::Slow { vm, hundredths } => {
            let unknown_vm = || ClusterError::UnknownVm { name: vm.clone() };
            let handle = cluster.engines.get(vm).ok_or_else(unknown_vm)?;
            handle.engine.set_slowdown(*hundredths);
        }
        FaultKind::Join { like, vm } => {
            let unknown_vm = || ClusterError::UnknownVm { name: like.clone() };
            let mut spec = cluster.engines.get(like).ok_or_else(unknown_vm)?.spec.clone();
            spec.name.clone_from(vm);
            cluster.start_engine(spec)?;
        }
        FaultKind::StoreOutage { ms } => {
            let platform = cluster.platform.clone();
            platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
            let time = Duration::from_millis(*ms);
            tokio::spawn(async move {
                sleep(time).await;
                platform.set_faults(StoreFaults::default());
            });
        }
        FaultKind::LoseResponses { count } => {
            cluster
                .platform
                .set_faults(StoreFaults { lose_responses: *count, ..StoreFaults::default() });
        }
        FaultKind::Statement { text } => {
            let web = cluster.entries[0].web.clone();
            cluster.statement(&web, text).await?;
        }
    }
    Ok(())
}

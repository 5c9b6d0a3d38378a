//! A short run of one seed for CI. `switchfold-soak run` makes longer ones.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use switchfold_soak::{
    cluster::ClusterConfig, plan::ClusterSize, recovery::run_recovery, run::run_seed,
    shape::QUICK_SHAPE,
};

const SEED: u64 = 3;

/// Seed of a loss of all relays beside odd objects.
const LOSS_SEED: u64 = 7;

const LENGTH: Duration = Duration::from_secs(6);

/// Path of a program of the workspace, which is built if it does not exist.
fn program(name: &str) -> PathBuf {
    let test_program = std::env::current_exe().expect("this test's path");
    let folder =
        test_program.parent().and_then(Path::parent).expect("the target folder").to_owned();
    let path = folder.join(name);
    if !path.exists() {
        let arguments = ["build", "--workspace", "--bins", "--locked"];
        let status = Command::new(env!("CARGO")).args(arguments).status().expect("cargo runs");
        assert!(status.success());
    }
    path
}

/// Returns the configuration of a small cluster with a folder of its own.
fn small_cluster(name: &str) -> ClusterConfig {
    let folder = std::env::temp_dir().join(format!("switchfold-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder can be created");
    ClusterConfig {
        size: ClusterSize { relays: 2, engines: 4, desks: 2, callers: 6 },
        shape: QUICK_SHAPE,
        relay: program("switchfold-relay"),
        replica: PathBuf::from(env!("CARGO_BIN_EXE_switchfold-soak")),
        folder,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_violates_no_guarantee() {
    let config = small_cluster("soak");
    let folder = config.folder.clone();
    let report = run_seed(SEED, LENGTH, config).await.expect("the cluster starts");
    assert!(report.violations.is_empty(), "{report:#?}\nlogs in {}", folder.display());
    assert!(report.outcomes.values().sum::<usize>() > 0);
    fs::remove_dir_all(&folder).expect("the folder can be removed");
}

/// Guards against relays that did not come back after a loss of power, since another writer had left
/// an unreadable object.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_is_served_again_after_a_loss_of_power() {
    let config = small_cluster("loss");
    let folder = config.folder.clone();
    let report = run_recovery(LOSS_SEED, config).await.expect("the cluster starts");
    assert!(report.violations.is_empty(), "{report}\nlogs in {}", folder.display());
    fs::remove_dir_all(&folder).expect("the folder can be removed");
}

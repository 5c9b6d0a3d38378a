//! A VM is suspended: the steady clock does not count the pause, and every age that a relay goes by must.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
    process::{Command, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use switchfold_kernel::clock::now_millis;

/// Variable by which this test's child knows that it is one.
const IS_CHILD: &str = "SWITCHFOLD_TELLS_CLOCK";

const PAUSE: Duration = Duration::from_millis(1_500);

/// The library that takes pauses off the steady clock.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("this test's path");
    let folder = test.parent().and_then(Path::parent).expect("the target folder");
    let arguments = ["build", "--package", "switchfold-suspend", "--locked"];
    let built = Command::new(env!("CARGO")).args(arguments).status().expect("cargo runs");
    assert!(built.success());
    folder.join("libswitchfold_suspend.so")
}

/// As a child, tells the clock for each line that comes; else does nothing.
#[test]
fn tells_the_clock() {
    if std::env::var_os(IS_CHILD).is_none() {
        return;
    }
    for line in std::io::stdin().lines() {
        line.expect("a line");
        println!("clock {}", now_millis());
    }
}

/// Ages that were counted by the steady clock looked younger than they were by the whole pause: a relay let in keys that had been
/// taken away while its VM was suspended, by a configuration that it took for a second old.
#[test]
fn the_clock_counts_the_time_that_a_vm_was_suspended() {
    let paused = std::env::temp_dir().join(format!("switchfold-paused-{}", std::process::id()));
    fs::write(&paused, 0_i64.to_le_bytes()).expect("a file");
    let mut child = Command::new(std::env::current_exe().expect("this test's path"))
        .args(["--exact", "tells_the_clock", "--nocapture"])
        .env(IS_CHILD, "1")
        .env("LD_PRELOAD", library())
        .env("SWITCHFOLD_SUSPENDED", &paused)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("this test runs again");
    let id = Pid::from_raw(child.id() as i32);
    let mut input = child.stdin.take().expect("piped");
    let mut output = BufReader::new(child.stdout.take().expect("piped")).lines();
    let mut ask = || -> u64 {
        writeln!(input, "now").expect("the child reads");
        let mut told = output.by_ref().map(|line| line.expect("a line"));
        let line = told.find(|line| line.contains("clock ")).expect("the child answers");
        line.rsplit(' ').next().and_then(|word| word.parse().ok()).expect("a number")
    };
    let before = ask();
    kill(id, Signal::SIGSTOP).expect("the child is there");
    std::thread::sleep(PAUSE);
    fs::write(&paused, (PAUSE.as_nanos() as i64).to_le_bytes()).expect("a file");
    kill(id, Signal::SIGCONT).expect("the child is there");
    let after = ask();
    drop(input);
    child.wait().expect("the child ends");
    fs::remove_file(&paused).expect("the file goes");
    assert!(after >= before + PAUSE.as_millis() as u64, "{before} ms before, {after} ms after");
}

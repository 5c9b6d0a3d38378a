//! Logs: bounded in any second, and never in the way.

use std::{
    io::{self, Write},
    time::Duration,
};

use proptest::prelude::*;
use switchfold_relay::logs::{LineBudget, start_to};
use tracing::level_filters::LevelFilter;

proptest! {
    /// However lines come, no second has more than its share, and all others are counted.
    #[test]
    fn no_second_has_more_than_its_share(waits in prop::collection::vec(0u64..400, 0..300)) {
        let budget = LineBudget::new(5);
        let mut now = 0;
        let mut written: Vec<u64> = Vec::new();
        for wait in &waits {
            now += wait;
            if budget.take(now) {
                written.push(now / 1_000);
            }
        }
        for second in &written {
            prop_assert!(written.iter().filter(|other| *other == second).count() <= 5);
        }
        prop_assert_eq!(written.len() as u64 + budget.left_out(), waits.len() as u64);
    }
}

/// An output that nobody reads.
struct StuckOutput;

impl Write for StuckOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::sleep(Duration::from_secs(3_600));
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The test ends only if no line waits for the output.
#[test]
fn a_full_pipe_holds_nobody_up() {
    let guard = start_to(LevelFilter::INFO, StuckOutput);
    for number in 0..20_000 {
        tracing::info!(event = "answered", number);
        tracing::warn!(event = "refused", number);
    }
    // Dropping the guard would wait a while for the writer.
    std::mem::forget(guard);
}

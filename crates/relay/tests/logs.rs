//! Logging is limited per second and never blocks.

use std::{
    io::{self, Write},
    time::Duration,
};

use proptest::prelude::*;
use switchfold_relay::logs::{LineLimit, start_to};
use tracing::level_filters::LevelFilter;

proptest! {
    /// At most the limit is written in each second, and all other lines are counted as dropped.
    #[test]
    fn lines_per_second_are_limited(waits in prop::collection::vec(0u64..400, 0..300)) {
        let limit = LineLimit::new(5);
        let mut now = 0;
        let mut written: Vec<u64> = Vec::new();
        for wait in &waits {
            now += wait;
            if limit.admit(now) {
                written.push(now / 1_000);
            }
        }
        for second in &written {
            prop_assert!(written.iter().filter(|other| *other == second).count() <= 5);
        }
        prop_assert_eq!(written.len() as u64 + limit.dropped(), waits.len() as u64);
    }
}

/// An output that nothing reads: writes block.
struct BlockedOutput;

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::sleep(Duration::from_secs(3_600));
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The test returns only if no log call blocks on the output.
#[test]
fn a_blocked_output_does_not_block_the_caller() {
    let guard = start_to(LevelFilter::INFO, BlockedOutput);
    for number in 0..20_000 {
        tracing::info!(event = "answered", number);
        tracing::warn!(event = "refused", number);
    }
    // Dropping the guard would wait for the blocked writer.
    std::mem::forget(guard);
}

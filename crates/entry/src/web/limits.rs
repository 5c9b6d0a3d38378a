//! Rates of organisations at this entry.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use switchfold_core::{Millis, config::OrganisationConfig, share::RateBucket};

/// Organisations that are remembered; past it the table starts anew.
const MOST_ORGANISATIONS: usize = 20_000;

/// Buckets of the organisations that were active of late.
#[derive(Debug, Default)]
pub struct RateLimits {
    buckets: Mutex<HashMap<String, RateBucket>>,
}

impl RateLimits {
    /// Takes one request of an organisation, whose limit is spread over `entries` entries.
    ///
    /// # Errors
    ///
    /// Gives the milliseconds to wait where the rate is used up.
    pub fn take(
        &self,
        organisation: &OrganisationConfig,
        entries: usize,
        now: Millis,
    ) -> Result<(), Millis> {
        if organisation.limit_per_s == 0 {
            return Ok(());
        }
        let share = u64::from(organisation.limit_per_s).div_ceil(entries.max(1) as u64);
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if buckets.len() >= MOST_ORGANISATIONS && !buckets.contains_key(&organisation.name) {
            buckets.clear();
        }
        let bucket =
            buckets.entry(organisation.name.clone()).or_insert_with(|| RateBucket::new(share, now));
        if bucket.try_take(share, now) {
            return Ok(());
        }
        Err(bucket.time_to_next(share))
    }
}

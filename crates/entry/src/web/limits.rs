//! Rate limits of organisations at this entry.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use switchfold_core::{Millis, config::OrganisationConfig, share::RateBucket};

/// Largest number of token buckets; when it is reached, all are discarded.
const MAX_BUCKETS: usize = 20_000;

/// Token buckets of the organisations that have sent requests to this entry.
#[derive(Debug, Default)]
pub struct RateLimits {
    buckets: Mutex<HashMap<String, RateBucket>>,
}

impl RateLimits {
    /// Takes a token for one request. The organisation's limit is divided evenly over `entries`
    /// entries.
    ///
    /// # Errors
    ///
    /// Returns the time to wait, in milliseconds, if the rate limit is exhausted.
    pub fn try_take(
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
        if buckets.len() >= MAX_BUCKETS && !buckets.contains_key(&organisation.name) {
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

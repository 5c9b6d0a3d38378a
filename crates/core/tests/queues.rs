//! Admission: priorities, fairness, deadlines, rate limits, credits, retries and concurrency
//! windows.

use std::{collections::HashMap, sync::Arc};

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{
    credit::{EntryDemand, share_credits},
    id::RequestId,
    queue::{AdmissionQueue, QueueEntry, ServiceRate},
    retry::{Backoff, RetryBudget, RetryConfig},
    share::{RateBucket, decayed_share, split_limit},
    window::{SlotWindow, WindowConfig},
};

fn entry(
    number: u64,
    organisation: &str,
    priority: u8,
    deadline: u64,
    cost: u64,
    weight: u64,
) -> QueueEntry {
    QueueEntry {
        id: RequestId { incarnation: 1, counter: number },
        organisation: Arc::from(organisation),
        priority,
        deadline,
        queued_at: 0,
        cost,
        weight,
    }
}

#[test]
fn requests_leave_by_priority_then_deadline() {
    let mut queue = AdmissionQueue::new();
    queue.push(entry(1, "a", 1, 100, 10, 1));
    queue.push(entry(2, "a", 5, 900, 10, 1));
    queue.push(entry(3, "a", 5, 200, 10, 1));
    queue.push(entry(3, "a", 5, 200, 10, 1));
    assert_eq!((queue.len(), queue.ahead_of(5), queue.ahead_of(1)), (3, 2, 3));
    let order: Vec<u64> =
        std::iter::from_fn(|| queue.pop()).map(|entry| entry.id.counter).collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn heavy_organisation_does_not_starve_small_ones() {
    let mut queue = AdmissionQueue::new();
    let mut number = 0;
    let mut fill = |queue: &mut AdmissionQueue, organisation: &str, count: u64, cost: u64| {
        for _ in 0..count {
            number += 1;
            queue.push(entry(number, organisation, 3, 1_000 + number, cost, 1));
        }
    };
    fill(&mut queue, "heavy", 5_000, 40);
    fill(&mut queue, "small", 300, 40);
    fill(&mut queue, "tiny", 300, 80);
    let mut served: HashMap<String, u64> = HashMap::new();
    let mut total = 0;
    while total < 24_000 {
        let entry = queue.pop().expect("requests are waiting");
        *served.entry(entry.organisation.to_string()).or_default() += entry.cost;
        total += entry.cost;
    }
    for (organisation, cost) in served {
        let share = cost as f64 / total as f64;
        assert!((share - 1.0 / 3.0).abs() < 0.1 / 3.0, "{organisation} got a share of {share}");
    }
}

#[test]
fn shares_follow_weights() {
    let mut queue = AdmissionQueue::new();
    for number in 0..2_000 {
        let (organisation, weight) = if number % 2 == 0 { ("double", 2) } else { ("single", 1) };
        queue.push(entry(number, organisation, 1, 5_000, 32, weight));
    }
    let served: Vec<QueueEntry> = (0..600).filter_map(|_| queue.pop()).collect();
    let double = served.iter().filter(|entry| &*entry.organisation == "double").count();
    assert!((390..=410).contains(&double), "{double} of 600 requests");
}

#[test]
fn late_requests_expire_and_the_wait_is_estimated() {
    let mut queue = AdmissionQueue::new();
    for number in 0..10 {
        queue.push(entry(number, "a", 1, 100 * (number + 1), 1, 1));
    }
    let expired: Vec<u64> = queue.expire(300).into_iter().map(|entry| entry.id.counter).collect();
    assert_eq!(expired, [0, 1, 2]);
    assert!(queue.remove(RequestId { incarnation: 1, counter: 9 }).is_some());
    assert_eq!(queue.len(), 6);

    let mut rate = ServiceRate::default();
    assert_eq!(rate.estimated_wait(5), None);
    for tick in 0..40 {
        rate.record(tick * 50, 5);
    }
    let wait = rate.estimated_wait(100).expect("the rate is known");
    assert!((900..=1_100).contains(&wait), "{wait} ms for 100 requests at 100 per second");
}

proptest! {
    /// Every request leaves the queue exactly once, by expiry or in order of priority.
    #[test]
    fn every_request_leaves_the_queue_once(
        pushes in prop::collection::vec((0_u64..40, 0_u8..4, 0_u8..3, 1_u64..500, 0_u64..300), 1..60),
        expire_at in 0_u64..500,
    ) {
        let mut queue = AdmissionQueue::new();
        let mut waiting = std::collections::BTreeSet::new();
        for (number, organisation, priority, deadline, cost) in pushes {
            if waiting.insert(number) {
                queue.push(entry(number, &organisation.to_string(), priority, deadline, cost, 1));
            }
        }
        for expired in queue.expire(expire_at) {
            prop_assert!(expired.deadline <= expire_at);
            prop_assert!(waiting.remove(&expired.id.counter));
        }
        let mut priority = u8::MAX;
        while let Some(next) = queue.pop() {
            prop_assert!(next.priority <= priority);
            prop_assert!(next.deadline > expire_at);
            priority = next.priority;
            prop_assert!(waiting.remove(&next.id.counter));
        }
        prop_assert!(waiting.is_empty());
        prop_assert_eq!(queue.len(), 0);
    }

    /// The credits add up to the slots, and no entry loses a slot that it uses.
    #[test]
    fn credits_stay_within_slots(
        demands in prop::collection::vec((0_u32..8, 0_u32..20), 1..12),
        free in 0_u32..40,
        turn in 0_usize..100,
    ) {
        let demands: Vec<EntryDemand> =
            demands.into_iter().map(|(used, waiting)| EntryDemand { used, waiting }).collect();
        let used: u32 = demands.iter().map(|demand| demand.used).sum();
        let credits = share_credits(used + free, &demands, turn);
        prop_assert_eq!(credits.iter().sum::<u32>(), used + free);
        for (credit, demand) in credits.iter().zip(&demands) {
            prop_assert!(*credit >= demand.used);
        }
    }

    /// The shares never add up to more than the limit, and an entry whose demand is not met gets as
    /// much as any other entry, up to a difference of one.
    #[test]
    fn limits_are_split_by_max_min_fairness(limit in 0_u64..10_000, demands in prop::collection::vec(0_u64..2_000, 1..30)) {
        let shares = split_limit(limit, &demands);
        prop_assert!(shares.iter().sum::<u64>() <= limit);
        let largest = shares.iter().copied().max().unwrap_or(0);
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(share >= demand || share + 1 >= largest, "{share} of {demand}, max {largest}");
        }
    }

    /// Without contact to the owner, a share decays to the even share and not below it.
    #[test]
    fn shares_decay_to_the_even_share(share in 0_u64..1_000, limit in 1_u64..1_000, entries in 1_u64..50) {
        let even = limit / entries;
        prop_assert_eq!(decayed_share(share, limit, entries, 400_000), share.min(even.max(share.min(even))));
        let mut before = decayed_share(share, limit, entries, 0);
        for since in (0..200_000).step_by(2_500) {
            let now = decayed_share(share, limit, entries, since);
            prop_assert!(now <= before && (now >= even || now == share));
            before = now;
        }
    }
}

#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::new(RetryConfig { per_thousand: 100, reserve: 10 });
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_success();
        retries += u64::from(budget.try_spend());
    }
    assert!((990..=1_010).contains(&retries), "{retries} retries for 10000 successes");
    let retries_in_outage = (0..1_000).filter(|_| budget.try_spend()).count();
    assert!(retries_in_outage <= 10, "{retries_in_outage} retries without a success");
}

#[test]
fn rate_buckets_enforce_their_rate() {
    let mut bucket = RateBucket::new(50, 0);
    let taken = (0..10_000_u64).filter(|millis| bucket.try_take(50, *millis)).count();
    assert!(
        (540..=551).contains(&taken),
        "{taken} requests in 10 s at 50 per second, starting with a full bucket"
    );
    assert!(bucket.time_to_next(50) <= 20);
}

#[test]
fn back_off_grows_and_differs_between_seeds() {
    let waits = |seed| -> Vec<u64> {
        let mut backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
        (0..12).map(|_| backoff.next_wait()).collect()
    };
    assert_eq!(waits(1), waits(1));
    assert_ne!(waits(1), waits(2));
    assert!(waits(1).iter().all(|wait| *wait <= 5_000));
    assert!(waits(1)[11] >= 2_500);
}

/// The number of steps at an engine is proportional to the requests that it holds, as in a pipeline
/// of `stages` equal stages. The window converges to the limit that gives the target number of
/// steps.
#[test]
fn windows_converge_to_their_target() {
    for (stages, slots) in [(1, 400), (3, 400), (6, 400)] {
        let config = WindowConfig { max_batch: 16, max_requests: slots, target_hundredths: 200 };
        let mut window = SlotWindow::new(config);
        for _ in 0..60 {
            let held = window.limit();
            for _ in 0..100 {
                window.sample((held / stages) as usize);
            }
            window.adjust(held as usize);
        }
        let steps = window.limit() / stages;
        assert!(
            (30..=34).contains(&steps),
            "{stages} stages: {steps} steps at limit {}",
            window.limit()
        );
    }
}

#[test]
fn windows_do_not_change_while_the_limit_is_not_reached() {
    let config = WindowConfig { max_batch: 8, max_requests: 100, target_hundredths: 200 };
    let mut window = SlotWindow::new(config);
    let before = window.limit();
    for _ in 0..20 {
        (0..50).for_each(|_| window.sample(2));
        window.adjust(3);
        window.adjust(before as usize);
    }
    assert_eq!(window.limit(), before);
    let memory_only = SlotWindow::new(WindowConfig { target_hundredths: 0, ..config });
    assert_eq!(memory_only.limit(), 100);
    let tiny = SlotWindow::new(WindowConfig { max_requests: 2, ..config });
    assert_eq!(tiny.limit(), 2);
}

//! Generation of the arrival schedule from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{ClassLoad, WorkKind, Workload};

/// One request to send.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number within the run, from 0.
    pub number: usize,
    /// Scheduled send time, in microseconds after the start of the run.
    pub at_micros: u64,
    /// Index of its class in the workload.
    pub class: usize,
    /// Number of its organisation, from 0.
    pub organisation: u32,
    /// Token identifiers of the prompt; for a service call only the two tokens of its number.
    pub prompt: Vec<u32>,
    /// Maximum number of tokens to generate; 0 for a service call.
    pub max_tokens: u32,
    /// Idempotency key, if it is sent with one.
    pub key: Option<String>,
    /// Number of the request with the same key that it resends.
    pub resend_of: Option<usize>,
}

/// Share of the requests with a key that are sent a second time.
const RESEND_SHARE: f64 = 0.1;

/// Time between a request and its resend, in microseconds.
const RESEND_DELAY_MICROS: u64 = 400_000;

/// Generates all requests of a run, in the order of their times.
pub fn schedule(workload: &Workload) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(workload.seed);
    let mut arrivals = Vec::new();
    let mut clock = 0.0_f64;
    let end = workload.duration_ms as f64 * 1e3;
    let surge_end = workload.surge_ms as f64 * 1e3;
    loop {
        let rate = if clock < surge_end { workload.surge_per_s } else { workload.steady_per_s };
        if rate <= 0.0 {
            if clock >= surge_end {
                break;
            }
            clock = surge_end;
            continue;
        }
        let unit: f64 = random.random();
        clock += -(1.0 - unit).ln() / rate * 1e6;
        if clock >= end {
            break;
        }
        let number = arrivals.len();
        arrivals.push(draw_arrival(workload, &mut random, number, clock as u64));
    }
    add_resends(workload, &mut random, &mut arrivals);
    arrivals
}

fn draw_arrival(
    workload: &Workload,
    random: &mut ChaCha8Rng,
    number: usize,
    at_micros: u64,
) -> Arrival {
    let class = draw_class(&workload.classes, random);
    let load = &workload.classes[class];
    // The first two tokens encode the request's number, which makes every prompt unique.
    let mut prompt = vec![(number >> 16) as u32 & 0xffff, number as u32 & 0xffff];
    let mut max_tokens = 0;
    if let WorkKind::Completion { min_prompt, max_prompt, min_output, max_output } = load.work {
        let len = random.random_range(min_prompt.max(2)..=max_prompt.max(2));
        prompt.extend((2..len).map(|_| random.random_range(0..50_000)));
        max_tokens = random.random_range(min_output.max(1)..=max_output.max(1));
    }
    let key = load.keyed.then(|| format!("run-{}-{number}", workload.seed));
    let organisation = draw_organisation(workload.organisations, random);
    Arrival { number, at_micros, class, organisation, prompt, max_tokens, key, resend_of: None }
}

fn draw_class(classes: &[ClassLoad], random: &mut ChaCha8Rng) -> usize {
    let total: f64 = classes.iter().map(|class| class.share).sum();
    let mut point = random.random::<f64>() * total;
    for (index, class) in classes.iter().enumerate() {
        point -= class.share;
        if point < 0.0 {
            return index;
        }
    }
    classes.len() - 1
}

/// Draws an organisation by Zipf's law: organisation `k` has the weight `1 / (k + 1)`.
fn draw_organisation(organisations: u32, random: &mut ChaCha8Rng) -> u32 {
    let weights = (0..organisations).map(|number| 1.0 / f64::from(number + 1));
    let total: f64 = weights.clone().sum();
    let mut point = random.random::<f64>() * total;
    for (number, weight) in weights.enumerate() {
        point -= weight;
        if point < 0.0 {
            return number as u32;
        }
    }
    organisations.saturating_sub(1)
}

fn add_resends(workload: &Workload, random: &mut ChaCha8Rng, arrivals: &mut Vec<Arrival>) {
    let keyed: Vec<Arrival> =
        arrivals.iter().filter(|arrival| arrival.key.is_some()).cloned().collect();
    for original in keyed {
        if random.random::<f64>() < RESEND_SHARE {
            let mut resend = original.clone();
            resend.at_micros = original.at_micros + RESEND_DELAY_MICROS;
            resend.resend_of = Some(original.number);
            resend.number = arrivals.len();
            arrivals.push(resend);
        }
    }
    let end = workload.duration_ms * 1_000;
    arrivals.retain(|arrival| arrival.resend_of.is_none() || arrival.at_micros < end);
    arrivals.sort_by_key(|arrival| (arrival.at_micros, arrival.number));
}

//! Histograms and counters of an entry, by organisation and class.

use std::sync::{Mutex, PoisonError};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use switchfold_kernel::metrics::{LabelBudget, MetricsError, MetricsHub};

use crate::dispatch::{Observation, ObservationKind};

/// Organisations that keep a name of their own.
const NAMED_ORGANISATIONS: usize = 50;

/// Classes that keep a name of their own.
const NAMED_CLASSES: usize = 20;

/// Requests after which a name is kept.
const PROMOTE_AFTER: u64 = 3;

/// Bounds of the histograms, in milliseconds.
const BOUNDS: &[f64] = &[
    1.0, 2.0, 5.0, 10.0, 15.0, 20.0, 25.0, 31.0, 40.0, 60.0, 100.0, 200.0, 400.0, 700.0, 1_000.0,
    2_000.0, 5_000.0, 10_000.0, 30_000.0,
];

/// Metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    hub: MetricsHub,
    queue_wait: Histogram<f64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    total: Histogram<f64>,
    outcomes: Counter<u64>,
    organisations: Mutex<LabelBudget>,
    classes: Mutex<LabelBudget>,
}

impl EntryMetrics {
    /// Sets up the metrics.
    ///
    /// # Errors
    ///
    /// Fails where the exporter cannot be made.
    pub fn new() -> Result<Self, MetricsError> {
        let hub = MetricsHub::new()?;
        let meter = hub.meter();
        let histogram = |name: &'static str, help: &'static str| {
            let builder = meter.f64_histogram(name).with_description(help).with_unit("ms");
            builder.with_boundaries(BOUNDS.to_vec()).build()
        };
        Ok(Self {
            queue_wait: histogram("switchfold_queue_wait", "From arrival to the first dispatch"),
            first_token: histogram("switchfold_first_token", "From arrival to the first token"),
            between_tokens: histogram("switchfold_between_tokens", "From one token to the next"),
            total: histogram("switchfold_total", "From arrival to the end"),
            outcomes: meter
                .u64_counter("switchfold_outcomes")
                .with_description("Ended requests by outcome and reason")
                .build(),
            organisations: Mutex::new(LabelBudget::new(NAMED_ORGANISATIONS, PROMOTE_AFTER)),
            classes: Mutex::new(LabelBudget::new(NAMED_CLASSES, 1)),
            hub,
        })
    }

    /// Takes a measurement.
    pub fn observe(&self, observation: &Observation) {
        let organisation = label(&self.organisations, &observation.organisation);
        let class = label(&self.classes, &observation.class);
        let mut labels =
            vec![KeyValue::new("organisation", organisation), KeyValue::new("class", class)];
        match observation.kind {
            ObservationKind::QueueWait(millis) => self.queue_wait.record(millis as f64, &labels),
            ObservationKind::FirstToken(millis) => self.first_token.record(millis as f64, &labels),
            ObservationKind::BetweenTokens(millis) => {
                self.between_tokens.record(millis as f64, &labels)
            }
            ObservationKind::Ended { outcome, total } => {
                self.total.record(total as f64, &labels);
                labels.push(KeyValue::new("outcome", outcome.as_str()));
                labels.push(KeyValue::new("reason", outcome.reason()));
                self.outcomes.add(1, &labels);
            }
        }
    }

    /// All metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails where a metric has no text form.
    pub fn render(&self) -> Result<Vec<u8>, MetricsError> {
        self.hub.render()
    }
}

fn label(budget: &Mutex<LabelBudget>, name: &str) -> String {
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    budget.label(name).to_owned()
}

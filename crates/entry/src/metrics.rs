//! Histograms and counters of an entry, labelled by organisation and class.

use std::sync::{Mutex, PoisonError};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use switchfold_kernel::metrics::{LabelBudget, MetricsError, MetricsHub};

use crate::dispatch::{Observation, ObservationKind};

/// Largest number of organisations that get a label value of their own.
const MAX_ORGANISATION_LABELS: usize = 50;

/// Largest number of classes that get a label value of their own.
const MAX_CLASS_LABELS: usize = 20;

/// Observations of an organisation after which it gets a label value of its own.
const LABEL_THRESHOLD: u64 = 3;

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKET_BOUNDS_MS: &[f64] = &[
    1.0, 2.0, 5.0, 10.0, 15.0, 20.0, 25.0, 31.0, 40.0, 60.0, 100.0, 200.0, 400.0, 700.0, 1_000.0,
    2_000.0, 5_000.0, 10_000.0, 30_000.0,
];

/// Instruments of an entry and the hub that exports them.
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
    /// Creates all instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be created.
    pub fn new() -> Result<Self, MetricsError> {
        let hub = MetricsHub::new()?;
        let meter = hub.meter();
        let histogram = |name: &'static str, help: &'static str| {
            let builder = meter.f64_histogram(name).with_description(help).with_unit("ms");
            builder.with_boundaries(BUCKET_BOUNDS_MS.to_vec()).build()
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
            organisations: Mutex::new(LabelBudget::new(MAX_ORGANISATION_LABELS, LABEL_THRESHOLD)),
            classes: Mutex::new(LabelBudget::new(MAX_CLASS_LABELS, 1)),
            hub,
        })
    }

    /// Records an observation of the dispatch.
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

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded as text.
    pub fn render(&self) -> Result<Vec<u8>, MetricsError> {
        self.hub.render()
    }
}

fn label(budget: &Mutex<LabelBudget>, name: &str) -> String {
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    budget.label(name).to_owned()
}

//! Metrics recorded with `opentelemetry` and exported as Prometheus text.
//!
//! Each service process creates its own [`MetricsHub`] instead of using a global one, so that
//! several of them can run in one operating-system process. The number of label values is bounded:
//! with thousands of organisations, a limited number of the busiest keep their names, and the rest
//! share the label [`OTHER_LABEL`].

use std::collections::HashMap;

use derive_more::{Display, Error};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider};
use prometheus::{Encoder, Registry, TextEncoder};

/// Label value shared by all names that a [`LabelBudget`] does not keep.
pub const OTHER_LABEL: &str = "other";

/// Failure to set up or export metrics.
#[derive(Debug, Display, Error)]
pub enum MetricsError {
    /// The exporter could not be created.
    #[display("cannot create the metrics exporter: {source}")]
    Exporter {
        /// Error of the library.
        source: OTelSdkError,
    },
    /// The metrics could not be encoded as text.
    #[display("cannot encode metrics as text: {source}")]
    Text {
        /// Error of the library.
        source: prometheus::Error,
    },
}

/// Metrics of one process.
#[derive(Debug)]
pub struct MetricsHub {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricsHub {
    /// Sets up the metrics of one process.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Exporter`] if the exporter cannot be created.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = match exporter {
            Ok(exporter) => exporter,
            Err(source) => return Err(MetricsError::Exporter { source }),
        };
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("switchfold")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Text`] if a metric cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>, MetricsError> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        match encoded {
            Ok(()) => Ok(text),
            Err(source) => Err(MetricsError::Text { source }),
        }
    }
}

/// Bounds the number of distinct values of one label.
///
/// Up to `limit` names become label values of their own, and stay so. A new name is first counted
/// in a bounded table of candidates, and becomes a label value once it has been seen
/// `promote_after` times. All other names share [`OTHER_LABEL`].
///
/// Memory: at most `2 * limit` names.
#[derive(Debug)]
pub struct LabelBudget {
    limit: usize,
    promote_after: u64,
    named: HashMap<String, u64>,
    candidates: HashMap<String, u64>,
}

impl LabelBudget {
    /// Creates a budget for `limit` names. A name is kept once it has been seen `promote_after`
    /// times.
    pub fn new(limit: usize, promote_after: u64) -> Self {
        Self { limit, promote_after, named: HashMap::new(), candidates: HashMap::new() }
    }

    /// Records an occurrence of a name and returns its label: the name itself, or [`OTHER_LABEL`].
    pub fn label<'a>(&mut self, name: &'a str) -> &'a str {
        if let Some(seen) = self.named.get_mut(name) {
            *seen += 1;
            return name;
        }
        if self.named.len() >= self.limit {
            return OTHER_LABEL;
        }
        let seen = self.count_candidate(name);
        if seen < self.promote_after {
            return OTHER_LABEL;
        }
        self.candidates.remove(name);
        self.named.insert(name.to_owned(), seen);
        name
    }

    /// Returns the number of names that are kept.
    pub fn len(&self) -> usize {
        self.named.len()
    }

    /// Returns whether no name is kept.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }

    /// Counts an occurrence of a candidate. If the table is full, decrements all counts instead and
    /// removes the candidates that reach 0 (the Misra-Gries algorithm).
    fn count_candidate(&mut self, name: &str) -> u64 {
        if let Some(seen) = self.candidates.get_mut(name) {
            *seen += 1;
            return *seen;
        }
        if self.candidates.len() >= self.limit {
            self.candidates.retain(|_, seen| {
                *seen -= 1;
                *seen > 0
            });
            return 0;
        }
        self.candidates.insert(name.to_owned(), 1);
        1
    }
}

//! Metrics of a relay, exported as Prometheus text.
//!
//! Histograms are labelled by route and organisation, with a bounded number of label values; the
//! wait before the dispatch by rank.
//! Frequent events are counted in plain cells ([`Counts`](crate::counts::Counts)), which are copied
//! into gauges when the metrics are read.

use std::{cell::RefCell, collections::BTreeMap};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use switchfold_kernel::{
    clock::now_millis,
    metrics::{LabelBudget, MetricsError, MetricsHub},
};
use switchfold_router::{
    Millis,
    admission::RANKS,
    attempt::{AttemptEnd, NextStep},
};

use crate::{
    admit::Permit, counts::EndedRequests, readiness::StartStep, request::LOWEST_PRIORITY,
    request_end::EndCause, state::Relay,
};

/// Maximum number of organisations with a label value of their own; all others share one.
const MAX_ORGANISATION_LABELS: usize = 50;

/// Maximum number of routes with a label value of their own; all others share one.
const MAX_ROUTE_LABELS: usize = 40;

/// Maximum number of ranked services with a label value of their own; all others share one, which
/// has their sum.
const MAX_SERVICE_LABELS: usize = 20;

/// Number of exports after which a service gets a label value of its own. A gauge keeps the last
/// value of a label, so that a service must not change its label while others have room.
const SERVICE_PROMOTE_AFTER: u64 = 1;

/// Number of requests after which a name gets a label value of its own.
const PROMOTE_AFTER: u64 = 2;

/// Bucket boundaries of the histograms, in milliseconds.
const BUCKET_BOUNDS_MS: &[f64] = &[
    1.0, 5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 500.0, 700.0, 1_000.0, 2_000.0,
    5_000.0, 10_000.0, 30_000.0,
];

/// Metrics of one relay.
#[derive(Debug)]
pub struct RelayMetrics {
    hub: MetricsHub,
    first_byte: Histogram<f64>,
    total: Histogram<f64>,
    pause: Histogram<f64>,
    wait: Histogram<f64>,
    outcomes: Counter<u64>,
    request_ends: Counter<u64>,
    attempts: Counter<u64>,
    store_calls: Gauge<u64>,
    figures: Gauge<u64>,
    ages: Gauge<u64>,
    waiting: Gauge<u64>,
    promised_returns: Gauge<u64>,
    start_steps: Gauge<u64>,
    last_second: Gauge<u64>,
    routes: RefCell<LabelBudget>,
    organisations: RefCell<LabelBudget>,
    services: RefCell<LabelBudget>,
}

impl RelayMetrics {
    /// Creates the metrics with all counters at zero.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be created.
    pub fn new() -> Result<Self, MetricsError> {
        let hub = MetricsHub::new()?;
        let meter = hub.meter();
        let histogram = |name: &'static str, help: &'static str| {
            let builder = meter.f64_histogram(name).with_description(help).with_unit("ms");
            builder.with_boundaries(BUCKET_BOUNDS_MS.to_vec()).build()
        };
        Ok(Self {
            first_byte: histogram("switchfold_first_byte", "From arrival to the answer's head"),
            total: histogram("switchfold_total", "From arrival to the answer's end"),
            pause: histogram(
                "switchfold_longest_pause",
                "Longest pause between events of a stream",
            ),
            wait: histogram(
                "switchfold_dispatch_wait",
                "From arrival to the first dispatch, by rank",
            ),
            outcomes: meter
                .u64_counter("switchfold_outcomes")
                .with_description("Ended requests by status and reason")
                .build(),
            request_ends: meter
                .u64_counter("switchfold_request_ends")
                .with_description("Ends of requests by cause")
                .build(),
            attempts: meter
                .u64_counter("switchfold_attempts")
                .with_description("Attempts that did not simply succeed, by end and next step")
                .build(),
            store_calls: meter
                .u64_gauge("switchfold_store_calls")
                .with_description("Calls of the store by kind of object, verb, cause and end")
                .build(),
            figures: meter
                .u64_gauge("switchfold_figures")
                .with_description("Counts since the start, and present sizes, by name")
                .build(),
            ages: meter
                .u64_gauge("switchfold_belief_age")
                .with_description("Age of what the relay believes, by belief")
                .with_unit("ms")
                .build(),
            waiting: meter
                .u64_gauge("switchfold_waiting")
                .with_description("Requests that wait for capacity, by service and rank")
                .build(),
            promised_returns: meter
                .u64_gauge("switchfold_promised_returns")
                .with_description("Promised returns that are still to come, by service")
                .build(),
            start_steps: meter
                .u64_gauge("switchfold_start_step")
                .with_description("Age of the process when its start reached a step, by step")
                .with_unit("ms")
                .build(),
            last_second: meter
                .u64_gauge("switchfold_last_second")
                .with_description("Requests that ended in the last second, by outcome")
                .build(),
            routes: RefCell::new(LabelBudget::new(MAX_ROUTE_LABELS, PROMOTE_AFTER)),
            organisations: RefCell::new(LabelBudget::new(MAX_ORGANISATION_LABELS, PROMOTE_AFTER)),
            services: RefCell::new(LabelBudget::new(MAX_SERVICE_LABELS, SERVICE_PROMOTE_AFTER)),
            hub,
        })
    }

    fn labels(&self, permit: &Permit) -> [KeyValue; 2] {
        let organisation = permit.organisation.as_deref().unwrap_or("none");
        let organisation = self.organisations.borrow_mut().label(organisation).to_owned();
        let route = self.routes.borrow_mut().label(&permit.route.name).to_owned();
        [KeyValue::new("organisation", organisation), KeyValue::new("route", route)]
    }

    /// Records the arrival of a response head after `took` milliseconds.
    pub fn record_head(&self, permit: &Permit, took: Millis) {
        self.first_byte.record(took as f64, &self.labels(permit));
    }

    /// Records the end of a replica's response after `took` milliseconds. `longest_pause` is that
    /// between the events of a stream.
    pub fn record_end(&self, permit: &Permit, took: Millis, longest_pause: Option<Millis>) {
        let labels = self.labels(permit);
        self.total.record(took as f64, &labels);
        if let Some(pause) = longest_pause {
            self.pause.record(pause as f64, &labels);
        }
    }

    /// Records that a request of this rank was dispatched for the first time, `waited` milliseconds
    /// after its arrival. Ranks above those that engines distinguish share the label of the last.
    pub fn record_wait(&self, rank: u8, waited: Millis) {
        let label = KeyValue::new("rank", i64::from(rank.min(LOWEST_PRIORITY)));
        self.wait.record(waited as f64, &[label]);
    }

    /// Records the result of a request.
    pub fn record_outcome(&self, status: u16, reason: &str) {
        let labels = [
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("reason", reason.to_owned()),
        ];
        self.outcomes.add(1, &labels);
    }

    /// Records the end of a request.
    pub fn record_request_end(&self, cause: EndCause) {
        self.request_ends.add(1, &[KeyValue::new("cause", cause.to_string())]);
    }

    /// Records the result of an attempt.
    pub fn record_attempt(&self, end: AttemptEnd, next: NextStep) {
        let labels =
            [KeyValue::new("end", format!("{end:?}")), KeyValue::new("next", format!("{next:?}"))];
        self.attempts.add(1, &labels);
    }

    /// Returns all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self, relay: &Relay) -> Result<Vec<u8>, MetricsError> {
        self.copy_counts(relay);
        self.copy_store_calls(relay);
        self.copy_ages(relay);
        self.copy_admissions(relay);
        self.copy_start(relay);
        self.hub.render()
    }

    fn copy_counts(&self, relay: &Relay) {
        let counts = &relay.counts;
        let now = now_millis();
        let share = relay.allowance_fraction(now);
        let load = relay.load.figures();
        let state = relay.state.borrow();
        let figures = [
            ("accepted", counts.accepted.get()),
            ("accept_errors", counts.accept_errors.get()),
            ("shed_connections", counts.shed_connections.get()),
            ("evicted_connections", counts.evicted_connections.get()),
            ("open_connections", relay.shutdown.open_connections() as u64),
            ("longest_turn_ms", load.longest_turn),
            ("mean_wait_ms", load.mean_wait as u64),
            ("busy_percent", load.busy_percent as u64),
            ("requests", counts.requests.get()),
            ("answered", counts.answered.get()),
            ("refused", counts.refused.get()),
            ("failed", counts.failed.get()),
            ("lost_runs", counts.lost_runs.get()),
            ("stopped_requests", counts.stopped_requests.get()),
            ("malformed_parts", counts.malformed_parts.get()),
            ("quarantined", counts.quarantined.get()),
            ("backoffs_asked", counts.backoffs_asked.get()),
            ("held_back", counts.held_back.get()),
            ("early_refusals", counts.early_refusals.get()),
            ("promised_returns", counts.promised_returns.get()),
            ("returns_refused", counts.returns_refused.get()),
            ("limits_changed", counts.limits_changed.get()),
            ("grants_asked", counts.grants_asked.get()),
            ("grants_issued", counts.grants_issued.get()),
            ("grants_spent", counts.grants_spent.get()),
            ("leaving_told", counts.leaving_told.get()),
            ("retries_charged", counts.retries_charged.get()),
            ("loans_received", counts.loans_received.get()),
            ("retries_denied", counts.retries_denied.get()),
            ("allowance_share_millionths", (share * 1e6) as u64),
            ("repeats", counts.repeats.get()),
            ("repaths", counts.repaths.get()),
            ("moves_refused", counts.moves_refused.get()),
            ("moves_delayed", counts.moves_delayed.get()),
            ("moves_under_way", state.moves.under_way(now) as u64),
            ("moves_waiting", state.moves.waiting(now) as u64),
            ("resumes", counts.resumes.get()),
            ("step_asides", counts.step_asides.get()),
            ("orders", counts.orders.get()),
            ("store_calls", relay.calls.total()),
            ("snapshots_asked", counts.snapshots_asked.get()),
            ("snapshots_told", counts.snapshots_told.get()),
            ("bad_snapshots", counts.bad_snapshots.get()),
            ("older_news", counts.older_news.get()),
            ("states_told", counts.states_told.get()),
            ("states_heard", counts.states_heard.get()),
            ("bad_datagrams", counts.bad_datagrams.get()),
            ("older_states", counts.older_states.get()),
            ("returned", counts.returned.get()),
            ("restarted", counts.restarted.get()),
            ("odd_entries", counts.odd_entries.get()),
            ("store_era", state.fleet.era()),
            ("store_copies", counts.store_copies.get()),
            ("passed_changes", counts.passed_changes.get()),
            ("in_flight", relay.shutdown.in_flight() as u64),
            ("idle_links", relay.pool.idle_count() as u64),
            ("replicas", state.fleet.view.len() as u64),
            ("suspects", state.suspects.current(now).count() as u64),
            ("requests_stopped_now", state.quarantine.quarantined_count(now) as u64),
            ("requests_suspected", state.quarantine.tracked_count() as u64),
            ("known_relays", state.peers.known_count() as u64),
            ("is_member", u64::from(state.peers.is_member())),
            ("members", state.peers.member_hashes(now).len() as u64),
            ("live_relays", state.peers.live_count(now) as u64),
            ("config_version", state.config_version()),
        ];
        for (name, value) in figures {
            self.figures.record(value, &[KeyValue::new("name", name)]);
        }
    }

    fn copy_store_calls(&self, relay: &Relay) {
        for (call, end, count) in relay.calls.rows() {
            let labels = [
                KeyValue::new("kind", call.kind.to_string()),
                KeyValue::new("verb", call.verb.to_string()),
                KeyValue::new("cause", call.cause.to_string()),
                KeyValue::new("end", end.to_string()),
            ];
            self.store_calls.record(count, &labels);
        }
    }

    fn copy_ages(&self, relay: &Relay) {
        let state = relay.state.borrow();
        let now = now_millis();
        let ages = [("config", state.config_lease.age(now)), ("replicas", state.fleet.age(now))];
        for (name, age) in ages {
            if let Some(age) = age {
                self.ages.record(age, &[KeyValue::new("belief", name)]);
            }
        }
    }

    fn copy_start(&self, relay: &Relay) {
        for step in StartStep::ALL {
            if let Some(age) = relay.start.age(step) {
                self.start_steps.record(age, &[KeyValue::new("step", step.to_string())]);
            }
        }
        let EndedRequests { answered, refused, failed } = relay.recent_counts.borrow().last();
        for (outcome, number) in [("answered", answered), ("refused", refused), ("failed", failed)]
        {
            self.last_second.record(number, &[KeyValue::new("outcome", outcome)]);
        }
    }

    /// Exports the queues of ranked services and the returns promised to their callers.
    fn copy_admissions(&self, relay: &Relay) {
        let state = relay.state.borrow();
        let now = now_millis();
        let mut by_label: BTreeMap<&str, ([usize; RANKS], usize)> = BTreeMap::new();
        // In order of their names, so that the same services keep a label of their own.
        let services: BTreeMap<_, _> = state.admissions.iter().collect();
        for (service, admission) in services {
            let label = self.services.borrow_mut().label(service);
            let (depths, promised) = by_label.entry(label).or_default();
            for (depth, more) in depths.iter_mut().zip(admission.queue.depth_by_rank()) {
                *depth += more;
            }
            *promised += admission.returns.promised(now);
        }
        for (label, (depths, promised)) in by_label {
            let service = KeyValue::new("service", label.to_owned());
            for (rank, depth) in depths.into_iter().enumerate() {
                let labels = [service.clone(), KeyValue::new("rank", rank as i64)];
                self.waiting.record(depth as u64, &labels);
            }
            self.promised_returns.record(promised as u64, &[service]);
        }
    }
}

//! Keeps the log events of a test process.

use std::sync::{Mutex, OnceLock, PoisonError};

use serde_json::{Map, Value};
use tracing::{
    Event, Subscriber,
    field::{Field, Visit},
};
use tracing_subscriber::{
    Layer,
    layer::{Context, SubscriberExt},
};

use super::wait_until;

static EVENTS: Mutex<Vec<Value>> = Mutex::new(Vec::new());

/// Keeps all events. Panics at the event that a request's id names: `panic-at-EVENT`.
struct EventRecorder;

#[derive(Default)]
struct FieldMap(Map<String, Value>);

impl Visit for FieldMap {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        self.0.insert(field.name().to_owned(), format!("{value:?}").into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name().to_owned(), value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.0.insert(field.name().to_owned(), value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.0.insert(field.name().to_owned(), value.into());
    }
}

impl<S: Subscriber> Layer<S> for EventRecorder {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = FieldMap::default();
        event.record(&mut fields);
        let line = Value::Object(fields.0);
        let id = line["request"].as_str().and_then(|id| id.strip_prefix("panic-at-"));
        let panics = id.is_some_and(|id| line["event"] == id);
        lock_events().push(line);
        assert!(!panics, "panics as its id demands");
    }
}

fn lock_events() -> std::sync::MutexGuard<'static, Vec<Value>> {
    EVENTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts to keep the log events of this process.
pub(crate) fn record_events() {
    static STARTED: OnceLock<()> = OnceLock::new();
    STARTED.get_or_init(|| {
        let subscriber = tracing_subscriber::registry().with(EventRecorder);
        tracing::subscriber::set_global_default(subscriber).expect("logging has not started");
    });
}

/// Returns the events of this name whose field has the given value.
pub(crate) fn events_with(event: &str, field: &str, value: &str) -> Vec<Value> {
    let events = lock_events();
    let matches = |line: &&Value| line["event"] == event && line[field] == value;
    events.iter().filter(matches).cloned().collect()
}

/// Waits for an event of this name whose field has the given value.
pub(crate) async fn wait_for_event(event: &str, field: &str, value: &str) -> Value {
    wait_until(async || !events_with(event, field, value).is_empty()).await;
    events_with(event, field, value).remove(0)
}

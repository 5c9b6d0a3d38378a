//! Keeps the log events of a test process.

use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

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

/// Events that panic, each with a field and its value.
static PANICS: Mutex<Vec<(&str, &str, Value)>> = Mutex::new(Vec::new());

/// Keeps all events, and panics at some.
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
        let panics = lock(&PANICS)
            .iter()
            .any(|(event, field, value)| line["event"] == *event && line[field] == *value);
        lock(&EVENTS).push(line);
        assert!(!panics, "this event panics");
    }
}

fn lock<T>(events: &Mutex<Vec<T>>) -> MutexGuard<'_, Vec<T>> {
    events.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes the task panic that writes an event of this name whose field has the given value.
pub(crate) fn panic_at(event: &'static str, field: &'static str, value: impl Into<Value>) {
    lock(&PANICS).push((event, field, value.into()));
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
    let events = lock(&EVENTS);
    let matches = |line: &&Value| line["event"] == event && line[field] == value;
    events.iter().filter(matches).cloned().collect()
}

/// Waits for an event of this name whose field has the given value.
pub(crate) async fn wait_for_event(event: &str, field: &str, value: &str) -> Value {
    wait_until(async || !events_with(event, field, value).is_empty()).await;
    events_with(event, field, value).remove(0)
}

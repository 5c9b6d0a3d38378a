//! Statements as values.

use derive_more::Display;
use serde::Serialize;

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// What to do.
    pub command: Command,
    /// Version that the object must still have.
    pub expected_version: Option<u64>,
}

/// What a statement asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Show a table.
    Show(Query),
    /// Change an event's state.
    Event {
        /// The event.
        event: String,
        /// Its new state.
        state: TargetState,
    },
    /// Give a VM no new work, or work again.
    Drain {
        /// Name or address of the VM.
        vm: String,
        /// Whether it is to drain.
        draining: bool,
    },
    /// Change a class of an event.
    SetClass {
        /// The event.
        event: String,
        /// The class.
        class: String,
        /// What to change.
        setting: ClassSetting,
    },
    /// Change an event.
    SetEvent {
        /// The event.
        event: String,
        /// What to change.
        setting: EventSetting,
    },
    /// Change an organisation.
    SetOrganisation {
        /// The organisation.
        organisation: String,
        /// What to change.
        setting: OrganisationSetting,
    },
    /// Create an event from JSON.
    CreateEvent {
        /// The event's configuration.
        json: String,
    },
    /// Create an organisation from JSON.
    CreateOrganisation {
        /// The organisation's configuration.
        json: String,
    },
    /// Delete an event.
    DeleteEvent {
        /// The event.
        event: String,
    },
    /// Delete an organisation.
    DeleteOrganisation {
        /// The organisation.
        organisation: String,
    },
}

/// State that an event is put in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// Takes requests.
    Open,
    /// Refuses new requests for now.
    Paused,
    /// Over.
    Closed,
}

/// A change of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClassSetting {
    /// Priority, from 0 to 255.
    Priority(u8),
    /// Milliseconds within which a request must start.
    DeadlineMs(u64),
    /// Whether requests must never be repeated.
    Once(bool),
}

/// A change of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventSetting {
    /// Start, in milliseconds since the epoch.
    StartMs(u64),
    /// Expected requests a second.
    ExpectedPerS(u32),
}

/// A change of an organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrganisationSetting {
    /// Share between organisations.
    Weight(u32),
    /// Most requests a second.
    LimitPerS(u32),
}

/// A query of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The table.
    pub table: Table,
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Field to count by.
    pub group_by: Option<String>,
}

/// Tables that can be shown.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Table {
    /// Events and their classes.
    #[display("events")]
    Events,
    /// Organisations and their limits.
    #[display("organisations")]
    Organisations,
    /// Layers on VMs.
    #[display("placement")]
    Placement,
    /// Endpoints with their load.
    #[display("endpoints")]
    Endpoints,
    /// What waits at this entry.
    #[display("waiting")]
    Waiting,
    /// Outcomes counted at this entry.
    #[display("outcomes")]
    Outcomes,
    /// Entries that are known.
    #[display("entries")]
    Entries,
    /// Objects in force and their versions.
    #[display("config")]
    Config,
    /// Entries that lag behind.
    #[display("config laggards")]
    Laggards,
}

impl Table {
    /// All tables.
    pub const ALL: [Self; 9] = [
        Self::Events,
        Self::Organisations,
        Self::Placement,
        Self::Endpoints,
        Self::Waiting,
        Self::Outcomes,
        Self::Entries,
        Self::Config,
        Self::Laggards,
    ];
}

/// A comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// Equal.
    Equal,
    /// Not equal.
    NotEqual,
    /// Less.
    Less,
    /// Less or equal.
    LessOrEqual,
    /// Greater.
    Greater,
    /// Greater or equal.
    GreaterOrEqual,
}

/// A value in a statement.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Value {
    /// A whole number.
    #[display("{_0}")]
    Number(u64),
    /// `true` or `false`.
    #[display("{_0}")]
    Flag(bool),
    /// A text.
    #[display("{_0}")]
    Text(String),
}

/// A condition on a field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The field.
    pub field: String,
    /// The comparison.
    pub comparison: Comparison,
    /// What it is compared with.
    pub value: Value,
}

impl Condition {
    /// Tells whether a field's text satisfies the condition; numbers compare as numbers.
    pub fn matches(&self, field: &str) -> bool {
        let wanted = self.value.to_string();
        let order = match (field.parse::<f64>(), wanted.parse::<f64>()) {
            (Ok(left), Ok(right)) => left.total_cmp(&right),
            _ => field.cmp(&wanted),
        };
        match self.comparison {
            Comparison::Equal => order.is_eq(),
            Comparison::NotEqual => order.is_ne(),
            Comparison::Less => order.is_lt(),
            Comparison::LessOrEqual => order.is_le(),
            Comparison::Greater => order.is_gt(),
            Comparison::GreaterOrEqual => order.is_ge(),
        }
    }
}

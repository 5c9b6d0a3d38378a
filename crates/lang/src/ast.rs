//! Syntax tree of a statement.

use derive_more::Display;
use serde::Serialize;

/// A parsed statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The command.
    pub command: Command,
    /// Version from `expect version N`; the command is refused if the object has another one.
    pub expected_version: Option<u64>,
}

/// Command of a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Shows a table.
    Show(Query),
    /// Changes an event's state.
    Event {
        /// Name of the event.
        event: String,
        /// State to put it in.
        state: TargetState,
    },
    /// Stops or resumes giving new work to a VM.
    Drain {
        /// Name or address of the VM.
        vm: String,
        /// True for `drain`, false for `resume`.
        draining: bool,
    },
    /// Changes a request class of an event.
    SetClass {
        /// Name of the event.
        event: String,
        /// Name of the class.
        class: String,
        /// New value.
        setting: ClassSetting,
    },
    /// Changes a setting of an event.
    SetEvent {
        /// Name of the event.
        event: String,
        /// New value.
        setting: EventSetting,
    },
    /// Changes a setting of an organisation.
    SetOrganisation {
        /// Name of the organisation.
        organisation: String,
        /// New value.
        setting: OrganisationSetting,
    },
    /// Creates an event.
    CreateEvent {
        /// Configuration, as unparsed JSON.
        json: String,
    },
    /// Creates an organisation.
    CreateOrganisation {
        /// Configuration, as unparsed JSON.
        json: String,
    },
    /// Deletes an event.
    DeleteEvent {
        /// Name of the event.
        event: String,
    },
    /// Deletes an organisation.
    DeleteOrganisation {
        /// Name of the organisation.
        organisation: String,
    },
}

/// State that a command puts an event in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// Accepts requests.
    Open,
    /// Refuses new requests until it is opened again.
    Paused,
    /// Has ended.
    Closed,
}

/// New value of a class setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClassSetting {
    /// Priority, from 0 to 255.
    Priority(u8),
    /// Milliseconds within which a request must start.
    DeadlineMs(u64),
    /// Whether a request must run at most once, so that it is never retried.
    Once(bool),
}

/// New value of an event setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventSetting {
    /// Start, in milliseconds since the Unix epoch.
    StartMs(u64),
    /// Expected requests per second.
    ExpectedPerS(u32),
}

/// New value of an organisation setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrganisationSetting {
    /// Weight in fair sharing between organisations.
    Weight(u32),
    /// Rate limit, in requests per second.
    LimitPerS(u32),
}

/// Query of a `show` command.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Table to read.
    pub table: Table,
    /// Conditions that a row must all satisfy.
    pub conditions: Vec<Condition>,
    /// Field by whose values rows are counted; `None` shows the rows themselves.
    pub group_by: Option<String>,
}

/// Table that a query can show.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Table {
    /// Events and their classes.
    #[display("events")]
    Events,
    /// Organisations and their limits.
    #[display("organisations")]
    Organisations,
    /// Model layers held by each VM.
    #[display("placement")]
    Placement,
    /// Endpoints with their load.
    #[display("endpoints")]
    Endpoints,
    /// Requests waiting at this entry.
    #[display("waiting")]
    Waiting,
    /// Counts of request outcomes at this entry.
    #[display("outcomes")]
    Outcomes,
    /// Known entries.
    #[display("entries")]
    Entries,
    /// Configuration objects in use, with their versions.
    #[display("config")]
    Config,
    /// Entries whose configuration is out of date.
    #[display("config laggards")]
    Laggards,
}

impl Table {
    /// All tables, in declaration ordering.
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

/// Comparison operator of a condition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
}

/// Literal value in a condition.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Value {
    /// Unsigned integer.
    #[display("{_0}")]
    Number(u64),
    /// `true` or `false`.
    #[display("{_0}")]
    Flag(bool),
    /// Quoted or bare text.
    #[display("{_0}")]
    Text(String),
}

/// Condition on a field of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Name of the field.
    pub field: String,
    /// Comparison operator.
    pub comparison: Comparison,
    /// Right-hand side of the comparison.
    pub value: Value,
}

impl Condition {
    /// Returns whether a field's text satisfies the condition. Two numbers are compared by value,
    /// anything else as text.
    pub fn matches(&self, field: &str) -> bool {
        let operand = self.value.to_string();
        let ordering = match (field.parse::<f64>(), operand.parse::<f64>()) {
            (Ok(left), Ok(right)) => left.total_cmp(&right),
            _ => field.cmp(&operand),
        };
        match self.comparison {
            Comparison::Equal => ordering.is_eq(),
            Comparison::NotEqual => ordering.is_ne(),
            Comparison::Less => ordering.is_lt(),
            Comparison::LessOrEqual => ordering.is_le(),
            Comparison::Greater => ordering.is_gt(),
            Comparison::GreaterOrEqual => ordering.is_ge(),
        }
    }
}

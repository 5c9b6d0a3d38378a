//! Statements that show a table of the current state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use switchfold_core::config::{ClassConfig, EventConfig};
use switchfold_lang::{Query, Table};
use switchfold_store::VmRole;

use super::{CommandContext, CommandError};
use crate::{
    config::{ReadConfig, ReadPeers},
    dispatch::replica::{ReplicaRole, ReplicaView},
    service::{NamedReplica, ReadCounts, ReadQueueDepths, ReadReplicas},
};

/// Table of strings, as sent to the operator.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResultTable {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, with one string for each column.
    pub rows: Vec<Vec<String>>,
}

impl ResultTable {
    fn new(columns: &[&str]) -> Self {
        Self { columns: columns.iter().map(|name| (*name).to_owned()).collect(), rows: Vec::new() }
    }

    fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }
}

pub(super) async fn show(
    context: &CommandContext,
    query: &Query,
) -> Result<ResultTable, CommandError> {
    let table = match query.table {
        Table::Events => events(context),
        Table::Organisations => organisations(context),
        Table::Placement => placement(&replicas(context).await?),
        Table::Endpoints => endpoints(&replicas(context).await?),
        Table::Waiting => waiting(context).await?,
        Table::Outcomes => outcomes(context).await?,
        Table::Entries => entries(context),
        Table::Config => config(context).await?,
        Table::Laggards => laggards(context).await?,
    };
    select(table, query)
}

/// Filters the rows by the query's conditions. With `group_by`, returns the number of rows for each
/// value of that field, or the sum of the column `waiting` or `count` if the table has one.
fn select(mut table: ResultTable, query: &Query) -> Result<ResultTable, CommandError> {
    for condition in &query.conditions {
        let column = column(&table, &condition.field)?;
        table.rows.retain(|row| condition.matches(&row[column]));
    }
    let Some(field) = &query.group_by else {
        return Ok(table);
    };
    let column = column(&table, field)?;
    let count_column = table.columns.iter().position(|name| name == "waiting" || name == "count");
    let mut groups: BTreeMap<String, u64> = BTreeMap::new();
    for row in &table.rows {
        let weight = count_column.and_then(|index| row[index].parse().ok()).unwrap_or(1);
        *groups.entry(row[column].clone()).or_default() += weight;
    }
    let mut grouped = ResultTable::new(&[field, "count"]);
    for (name, count) in groups {
        grouped.push([name, count.to_string()]);
    }
    Ok(grouped)
}

fn column(table: &ResultTable, field: &str) -> Result<usize, CommandError> {
    let found = table.columns.iter().position(|name| name == field);
    found.ok_or_else(|| CommandError::InvalidArgument {
        detail: format!("no field {field:?}, expected one of {}", table.columns.join(", ")),
    })
}

async fn replicas(context: &CommandContext) -> Result<Vec<NamedReplica>, CommandError> {
    context.dispatch.send(ReadReplicas).await.map_err(|_| CommandError::Stopping)
}

fn events(context: &CommandContext) -> ResultTable {
    let view = context.view.borrow().clone();
    let mut table = ResultTable::new(&[
        "event",
        "state",
        "class",
        "priority",
        "deadline_ms",
        "once",
        "expected_per_s",
    ]);
    let row = |event: &EventConfig, class: &ClassConfig| {
        [
            event.name.clone(),
            event.state.as_str().to_owned(),
            class.name.clone(),
            class.priority.to_string(),
            class.deadline_ms.to_string(),
            class.once.to_string(),
            event.expected_per_s.to_string(),
        ]
    };
    for event in view.events.values() {
        for class in &event.classes {
            table.push(row(event, class));
        }
    }
    table
}

fn organisations(context: &CommandContext) -> ResultTable {
    let view = context.view.borrow().clone();
    let mut table = ResultTable::new(&["organisation", "weight", "limit_per_s"]);
    for config in view.organisations.values() {
        table.push([
            config.name.clone(),
            config.weight.to_string(),
            config.limit_per_s.to_string(),
        ]);
    }
    table.rows.sort();
    table
}

fn state_of(view: &ReplicaView) -> &'static str {
    match (view.connected, view.draining) {
        (false, _) => "lost",
        (true, true) => "draining",
        (true, false) => "live",
    }
}

fn placement(replicas: &[NamedReplica]) -> ResultTable {
    let mut table = ResultTable::new(&[
        "vm",
        "model",
        "first_layer",
        "end_layer",
        "data_centre",
        "accelerator",
        "plan",
        "state",
    ]);
    for NamedReplica { name, view } in replicas {
        let ReplicaRole::Layers(layers) = &view.role else {
            continue;
        };
        table.push([
            name.clone(),
            view.target.clone(),
            layers.first().to_string(),
            layers.end().to_string(),
            view.data_centre.clone(),
            view.accelerator.clone(),
            view.plan_version.to_string(),
            state_of(view).to_owned(),
        ]);
    }
    table
}

fn endpoints(replicas: &[NamedReplica]) -> ResultTable {
    let mut table = ResultTable::new(&[
        "vm",
        "serves",
        "address",
        "data_centre",
        "state",
        "slots",
        "running",
        "credits",
        "used",
        "weight",
    ]);
    for NamedReplica { name, view } in replicas {
        table.push([
            name.clone(),
            view.target.clone(),
            view.address.clone(),
            view.data_centre.clone(),
            state_of(view).to_owned(),
            view.slots.to_string(),
            view.running.to_string(),
            view.credits.to_string(),
            view.in_flight.to_string(),
            format!("{:.0}", view.weight),
        ]);
    }
    table
}

async fn waiting(context: &CommandContext) -> Result<ResultTable, CommandError> {
    let rows = context.dispatch.send(ReadQueueDepths).await.map_err(|_| CommandError::Stopping)?;
    let mut table = ResultTable::new(&["entry", "target", "organisation", "waiting"]);
    for row in rows {
        table.push([
            context.process.clone(),
            row.target,
            row.organisation,
            row.waiting.to_string(),
        ]);
    }
    Ok(table)
}

async fn outcomes(context: &CommandContext) -> Result<ResultTable, CommandError> {
    let counts = context.dispatch.send(ReadCounts).await.map_err(|_| CommandError::Stopping)?;
    let mut table = ResultTable::new(&["entry", "outcome", "count"]);
    let rows = [
        ("submitted", counts.submitted),
        ("done", counts.done),
        ("not-run", counts.not_run),
        ("unknown", counts.unknown),
        ("stages-replaced", counts.stages_replaced),
        ("restarts", counts.restarts),
        ("nudges", counts.resend_requests),
        ("replicas-lost", counts.replicas_lost),
        ("ejections", counts.ejections),
    ];
    for (name, count) in rows {
        table.push([context.process.clone(), name.to_owned(), count.to_string()]);
    }
    Ok(table)
}

fn entries(context: &CommandContext) -> ResultTable {
    let view = context.view.borrow().clone();
    let mut table = ResultTable::new(&["entry", "address", "data_centre", "state"]);
    for vm in view.vms.vms.iter().filter(|vm| vm.role == VmRole::Entry) {
        let state = format!("{:?}", vm.state).to_lowercase();
        table.push([vm.name.clone(), vm.address.clone(), vm.data_centre.clone(), state]);
    }
    table.rows.sort();
    table
}

async fn config(context: &CommandContext) -> Result<ResultTable, CommandError> {
    let config = context.config.send(ReadConfig).await.map_err(|_| CommandError::Stopping)?;
    let mut table = ResultTable::new(&["kind", "name", "version", "deleted"]);
    for row in config.rows {
        table.push([row.key.kind, row.key.name, row.version.to_string(), row.deleted.to_string()]);
    }
    Ok(table)
}

/// Lists the entries whose versions differed from those of this entry at the last digest exchange,
/// and those without an exchange so far.
async fn laggards(context: &CommandContext) -> Result<ResultTable, CommandError> {
    let statuses = context.config.send(ReadPeers).await.map_err(|_| CommandError::Stopping)?;
    let now = switchfold_kernel::clock::now_millis();
    let mut table = ResultTable::new(&["entry", "same_versions", "heard_ms_ago"]);
    for peer in context.directory.others() {
        let status = statuses.iter().find(|status| status.peer == peer.name);
        match status {
            Some(status) if status.in_sync => {}
            Some(status) => {
                let ago = now.saturating_sub(status.exchanged_at);
                table.push([peer.name, "false".to_owned(), ago.to_string()]);
            }
            None => table.push([peer.name, "not heard".to_owned(), String::new()]),
        }
    }
    Ok(table)
}

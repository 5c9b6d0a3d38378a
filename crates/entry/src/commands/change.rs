//! Statements that change an object at the store.

use std::sync::Arc;

use serde::{Serialize, de::DeserializeOwned};
use switchfold_core::{
    config::{
        DrainOrder, EventConfig, EventState, OrganisationConfig, OrganisationShard, drain_key,
        event_key, organisation_key, parse_object, render_object,
    },
    version::{ObjectCopy, ObjectKey},
};
use switchfold_lang::{ClassSetting, Command, EventSetting, OrganisationSetting, TargetState};
use switchfold_store::{StoreError, StoredObject};

use super::{CHANGE_TIMEOUT, CommandContext, CommandError};
use crate::config::{Merge, MergeOrigin, NamedCopy};

/// A change that was accepted.
pub(super) struct AcceptedChange {
    pub(super) key: ObjectKey,
    pub(super) version: u64,
}

/// An object as read from the store, with the value to write. An empty value deletes the object.
struct PlannedChange {
    key: ObjectKey,
    stored: StoredObject,
    value: Vec<u8>,
}

/// Longest name of an event, organisation or VM, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Applies a change and returns the new version. Fails with a conflict if `expected` is given and
/// is not the current version.
pub(super) async fn run_change(
    context: &CommandContext,
    change: Command,
    expected: Option<u64>,
    command: &str,
) -> Result<AcceptedChange, CommandError> {
    let planned = plan_change(context, change, command).await?;
    if let Some(expected) = expected
        && expected != planned.stored.version
    {
        return Err(conflict(&planned.key, &planned.stored));
    }
    write(context, planned, command).await
}

/// Reads the object that the command changes, and determines the value to write.
async fn plan_change(
    context: &CommandContext,
    change: Command,
    command: &str,
) -> Result<PlannedChange, CommandError> {
    match change {
        Command::Event { event, state } => {
            modify_event(context, &event, command, |config| {
                config.state = event_state(state);
                Ok(())
            })
            .await
        }
        Command::SetEvent { event, setting } => {
            modify_event(context, &event, command, |config| {
                match setting {
                    EventSetting::StartMs(start) => config.start_ms = start,
                    EventSetting::ExpectedPerS(rate) => config.expected_per_s = rate,
                }
                Ok(())
            })
            .await
        }
        Command::SetClass { event, class, setting } => {
            modify_event(context, &event, command, |config| set_class(config, &class, setting))
                .await
        }
        Command::SetOrganisation { organisation, setting } => {
            modify_organisation(context, &organisation, command, |config| match setting {
                OrganisationSetting::Weight(weight) => config.weight = weight,
                OrganisationSetting::LimitPerS(limit) => config.limit_per_s = limit,
            })
            .await
        }
        Command::CreateEvent { json } => create_event(context, &json, command).await,
        Command::CreateOrganisation { json } => create_organisation(context, &json, command).await,
        Command::DeleteEvent { event } => delete_event(context, &event).await,
        Command::DeleteOrganisation { organisation } => {
            delete_organisation(context, &organisation, command).await
        }
        Command::Drain { vm, draining } => drain(context, vm, draining, command).await,
        Command::Show(_) => Err(CommandError::InvalidArgument {
            detail: "show does not change an object".to_owned(),
        }),
    }
}

fn event_state(state: TargetState) -> EventState {
    match state {
        TargetState::Open => EventState::Open,
        TargetState::Paused => EventState::Paused,
        TargetState::Closed => EventState::Closed,
    }
}

fn set_class(
    config: &mut EventConfig,
    name: &str,
    setting: ClassSetting,
) -> Result<(), CommandError> {
    let names: Vec<String> = config.classes.iter().map(|class| class.name.clone()).collect();
    let class = config.classes.iter_mut().find(|class| class.name == name);
    let class = class.ok_or_else(|| CommandError::InvalidArgument {
        detail: format!("no class {name:?}, expected one of {}", names.join(", ")),
    })?;
    match setting {
        ClassSetting::Priority(priority) => class.priority = priority,
        ClassSetting::DeadlineMs(deadline) => class.deadline_ms = deadline,
        ClassSetting::Once(once) => class.once = once,
    }
    Ok(())
}

async fn read(context: &CommandContext, key: &ObjectKey) -> Result<StoredObject, CommandError> {
    context.store.read(key).await.map_err(|source| CommandError::Store { source })
}

fn parse<T: DeserializeOwned>(key: &ObjectKey, value: &[u8]) -> Result<T, CommandError> {
    parse_object(key, value)
        .map_err(|error| CommandError::InvalidArgument { detail: error.to_string() })
}

fn plan<T: Serialize>(key: ObjectKey, stored: StoredObject, value: &T) -> PlannedChange {
    PlannedChange { key, stored, value: render_object(value) }
}

async fn modify_event(
    context: &CommandContext,
    event: &str,
    command: &str,
    modify: impl FnOnce(&mut EventConfig) -> Result<(), CommandError>,
) -> Result<PlannedChange, CommandError> {
    check_name("event", event)?;
    let key = event_key(event);
    let stored = read(context, &key).await?;
    let missing = || CommandError::NotFound { kind: "event", name: event.to_owned() };
    let value = stored.value.as_deref().ok_or_else(missing)?;
    let mut config: EventConfig = parse(&key, value)?;
    modify(&mut config)?;
    config.command = command.to_owned();
    Ok(plan(key, stored, &config))
}

async fn read_shard(
    context: &CommandContext,
    organisation: &str,
) -> Result<(ObjectKey, StoredObject, OrganisationShard), CommandError> {
    check_name("organisation", organisation)?;
    let key = organisation_key(organisation);
    let stored = read(context, &key).await?;
    let shard = match stored.value.as_deref() {
        Some(value) => parse(&key, value)?,
        None => OrganisationShard::default(),
    };
    Ok((key, stored, shard))
}

async fn modify_organisation(
    context: &CommandContext,
    organisation: &str,
    command: &str,
    modify: impl FnOnce(&mut OrganisationConfig),
) -> Result<PlannedChange, CommandError> {
    let (key, stored, mut shard) = read_shard(context, organisation).await?;
    let config = shard.organisations.iter_mut().find(|config| config.name == organisation);
    let missing = || CommandError::NotFound { kind: "organisation", name: organisation.to_owned() };
    modify(config.ok_or_else(missing)?);
    command.clone_into(&mut shard.command);
    Ok(plan(key, stored, &shard))
}

async fn create_event(
    context: &CommandContext,
    json: &str,
    command: &str,
) -> Result<PlannedChange, CommandError> {
    let mut config: EventConfig = parse_json("event", json)?;
    check_name("event", &config.name)?;
    if config.classes.is_empty() {
        return Err(CommandError::InvalidArgument {
            detail: "event: classes must name at least one class".to_owned(),
        });
    }
    let key = event_key(&config.name);
    let stored = read(context, &key).await?;
    if stored.value.is_some() {
        return Err(conflict(&key, &stored));
    }
    command.clone_into(&mut config.command);
    Ok(plan(key, stored, &config))
}

async fn create_organisation(
    context: &CommandContext,
    json: &str,
    command: &str,
) -> Result<PlannedChange, CommandError> {
    let config: OrganisationConfig = parse_json("organisation", json)?;
    let (key, stored, mut shard) = read_shard(context, &config.name).await?;
    if shard.organisations.iter().any(|existing| existing.name == config.name) {
        return Err(conflict(&key, &stored));
    }
    shard.organisations.push(config);
    command.clone_into(&mut shard.command);
    Ok(plan(key, stored, &shard))
}

async fn delete_organisation(
    context: &CommandContext,
    organisation: &str,
    command: &str,
) -> Result<PlannedChange, CommandError> {
    let (key, stored, mut shard) = read_shard(context, organisation).await?;
    let before = shard.organisations.len();
    shard.organisations.retain(|config| config.name != organisation);
    if shard.organisations.len() == before {
        return Err(CommandError::NotFound { kind: "organisation", name: organisation.to_owned() });
    }
    command.clone_into(&mut shard.command);
    Ok(plan(key, stored, &shard))
}

async fn delete_event(
    context: &CommandContext,
    event: &str,
) -> Result<PlannedChange, CommandError> {
    check_name("event", event)?;
    let key = event_key(event);
    let stored = read(context, &key).await?;
    if stored.value.is_none() {
        return Err(CommandError::NotFound { kind: "event", name: event.to_owned() });
    }
    Ok(PlannedChange { key, stored, value: Vec::new() })
}

async fn drain(
    context: &CommandContext,
    vm: String,
    draining: bool,
    command: &str,
) -> Result<PlannedChange, CommandError> {
    check_name("vm", &vm)?;
    let key = drain_key(&vm);
    let stored = read(context, &key).await?;
    if !draining {
        if stored.value.is_none() {
            return Err(CommandError::InvalidArgument {
                detail: format!("vm {vm:?} is not being drained by a command"),
            });
        }
        return Ok(PlannedChange { key, stored, value: Vec::new() });
    }
    let order = DrainOrder { vm, command: command.to_owned() };
    Ok(plan(key, stored, &order))
}

/// Checks that a name can be part of a path at the store.
fn check_name(kind: &'static str, name: &str) -> Result<(), CommandError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed) {
        return Ok(());
    }
    let detail =
        format!("{kind} {name:?}: expected 1 to {MAX_NAME_BYTES} letters, digits, or - _ . :");
    Err(CommandError::InvalidArgument { detail })
}

fn parse_json<T: DeserializeOwned>(kind: &str, json: &str) -> Result<T, CommandError> {
    serde_json::from_str(json)
        .map_err(|error| CommandError::InvalidArgument { detail: format!("{kind}: {error}") })
}

/// Returns the error that shows the current version and value of an object.
fn conflict(key: &ObjectKey, stored: &StoredObject) -> CommandError {
    let current = match stored.value.as_deref() {
        Some(value) => String::from_utf8_lossy(value).into_owned(),
        None => "deleted".to_owned(),
    };
    CommandError::Conflict {
        kind: key.kind.clone(),
        name: key.name.clone(),
        version: stored.version,
        current,
    }
}

/// Writes a planned change to the store, and merges the new version into this entry's
/// configuration.
async fn write(
    context: &CommandContext,
    planned: PlannedChange,
    command: &str,
) -> Result<AcceptedChange, CommandError> {
    let PlannedChange { key, stored, value } = planned;
    let is_delete = value.is_empty();
    let written = if is_delete {
        context.store.delete(&key, stored.version).await
    } else {
        let marker = format!("\"command\":\"{command}\"");
        let is_own = |contents: &[u8]| String::from_utf8_lossy(contents).contains(&marker);
        context.store.write_confirmed(&key, stored.version, &value, CHANGE_TIMEOUT, is_own).await
    };
    let version = match written {
        Ok(version) => version,
        Err(StoreError::Conflict { .. }) => {
            let current = read(context, &key).await?;
            return Err(conflict(&key, &current));
        }
        Err(source @ StoreError::OutcomeUnknown { .. }) if is_delete => {
            confirm_delete(context, &key, &stored, source).await?
        }
        Err(source @ StoreError::OutcomeUnknown { .. }) => {
            return Err(CommandError::OutcomeUnknown { source });
        }
        Err(source) => return Err(CommandError::Store { source }),
    };
    let contents = (!is_delete).then(|| Arc::from(value));
    let copy = ObjectCopy { version, value: contents };
    let merge = Merge {
        copies: vec![NamedCopy { key: key.clone(), copy }],
        origin: MergeOrigin::Local,
        is_complete: false,
    };
    context.config.send(merge).await.map_err(|_| CommandError::Stopping)?;
    log::info!(
        "object={}/{} version={version} command={command} state=accepted",
        key.kind,
        key.name
    );
    Ok(AcceptedChange { key, version })
}

/// Decides whether a deletion took effect whose response was lost. A deleted object holds no
/// command id, so the deletion counts as accepted if the object no longer exists.
async fn confirm_delete(
    context: &CommandContext,
    key: &ObjectKey,
    stored: &StoredObject,
    source: StoreError,
) -> Result<u64, CommandError> {
    match context.store.read(key).await {
        Ok(current) if current.value.is_none() => Ok(current.version),
        Ok(current) if current.version == stored.version => Err(CommandError::Store { source }),
        Ok(current) => Err(conflict(key, &current)),
        Err(source) => Err(CommandError::OutcomeUnknown { source }),
    }
}

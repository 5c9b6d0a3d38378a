//! Current configuration in parsed form, shared by all requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use switchfold_core::{
    config::{
        DRAIN_KIND, DrainOrder, EVENT_KIND, EventConfig, ORGANISATION_KIND, OrganisationConfig,
        OrganisationShard, PLAN_KIND, parse_object,
    },
    placement::PlacementPlan,
    version::VersionedObjects,
};
use switchfold_store::VmList;

/// Kind of the object that holds the platform's list of VMs between entries.
pub const VM_LIST_KIND: &str = "vm-list";

/// A placement plan, as written to the store.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredPlan {
    /// Model that the plan places.
    pub model: String,
    /// Layers that each VM holds.
    pub plan: PlacementPlan,
    /// Id of the command that wrote this version.
    #[serde(default)]
    pub command: String,
}

/// A stored plan with its version.
#[derive(Clone, Debug)]
pub struct VersionedPlan {
    /// Version of the object. An agent ignores assignments of an older plan version.
    pub version: u64,
    /// The plan.
    pub stored: StoredPlan,
}

/// Current configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Events by name.
    pub events: BTreeMap<String, EventConfig>,
    /// Organisations by the SHA-256 of their token, in lowercase hexadecimal digits.
    pub organisations: HashMap<String, OrganisationConfig>,
    /// Names or addresses of VMs that operators drain.
    pub draining: BTreeSet<String>,
    /// Placement plans, one for each data centre that has one.
    pub plans: Vec<VersionedPlan>,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// Whether every object of the store has been received. Until then an object that is missing
    /// here may exist.
    pub is_complete: bool,
    /// Errors of the objects that could not be parsed and were left out; logged by the service.
    pub errors: Vec<String>,
}

impl ConfigView {
    /// Parses all objects. An object that cannot be parsed is left out, with its error in `errors`.
    pub fn new(objects: &VersionedObjects, is_complete: bool) -> Self {
        let mut view = Self { is_complete, ..Self::default() };
        view.read_events(objects);
        view.read_organisations(objects);
        for (key, value) in objects.of_kind(DRAIN_KIND) {
            match parse_object::<DrainOrder>(key, value) {
                Ok(order) => drop(view.draining.insert(order.vm)),
                Err(error) => view.errors.push(error.to_string()),
            }
        }
        for (key, value) in objects.of_kind(PLAN_KIND) {
            match parse_object::<StoredPlan>(key, value) {
                Ok(stored) => {
                    view.plans.push(VersionedPlan { version: objects.version(key), stored })
                }
                Err(error) => view.errors.push(error.to_string()),
            }
        }
        for (key, value) in objects.of_kind(VM_LIST_KIND) {
            match parse_object::<VmList>(key, value) {
                Ok(vms) => view.vms = vms,
                Err(error) => view.errors.push(error.to_string()),
            }
        }
        view
    }

    fn read_events(&mut self, objects: &VersionedObjects) {
        for (key, value) in objects.of_kind(EVENT_KIND) {
            match parse_object::<EventConfig>(key, value) {
                Ok(event) => drop(self.events.insert(event.name.clone(), event)),
                Err(error) => self.errors.push(error.to_string()),
            }
        }
    }

    fn read_organisations(&mut self, objects: &VersionedObjects) {
        for (key, value) in objects.of_kind(ORGANISATION_KIND) {
            match parse_object::<OrganisationShard>(key, value) {
                Ok(shard) => {
                    let configs = shard.organisations.into_iter();
                    let by_token =
                        configs.map(|config| (config.token_sha256.to_ascii_lowercase(), config));
                    self.organisations.extend(by_token);
                }
                Err(error) => self.errors.push(error.to_string()),
            }
        }
    }
}

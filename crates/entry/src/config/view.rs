//! The objects in force, read once for all requests.

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

/// Kind under which the platform's list of VMs travels between entries.
pub const VM_LIST_KIND: &str = "vm-list";

/// A placement plan, as stored.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredPlan {
    /// Model that is placed.
    pub model: String,
    /// What each VM holds.
    pub plan: PlacementPlan,
    /// Command that wrote this version.
    #[serde(default)]
    pub command: String,
}

/// A plan with its version.
#[derive(Clone, Debug)]
pub struct VersionedPlan {
    /// Version, which fences its orders.
    pub version: u64,
    /// The plan.
    pub stored: StoredPlan,
}

/// What is in force, in a form to look things up in.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Events by name.
    pub events: BTreeMap<String, EventConfig>,
    /// Organisations by the SHA-256 of their token.
    pub organisations: HashMap<String, OrganisationConfig>,
    /// VMs that operators drain.
    pub draining: BTreeSet<String>,
    /// Plans, one for each data centre that has one.
    pub plans: Vec<VersionedPlan>,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// Objects that could not be read: they are left out, and listed for operators.
    pub faults: Vec<String>,
}

impl ConfigView {
    /// Reads all objects. One that cannot be read is left out and named in `faults`.
    pub fn new(objects: &VersionedObjects) -> Self {
        let mut view = Self::default();
        view.read_events(objects);
        view.read_organisations(objects);
        for (key, value) in objects.of_kind(DRAIN_KIND) {
            match parse_object::<DrainOrder>(key, value) {
                Ok(order) => drop(view.draining.insert(order.vm)),
                Err(error) => view.faults.push(error.to_string()),
            }
        }
        for (key, value) in objects.of_kind(PLAN_KIND) {
            match parse_object::<StoredPlan>(key, value) {
                Ok(stored) => {
                    view.plans.push(VersionedPlan { version: objects.version(key), stored })
                }
                Err(error) => view.faults.push(error.to_string()),
            }
        }
        for (key, value) in objects.of_kind(VM_LIST_KIND) {
            match parse_object::<VmList>(key, value) {
                Ok(vms) => view.vms = vms,
                Err(error) => view.faults.push(error.to_string()),
            }
        }
        view
    }

    fn read_events(&mut self, objects: &VersionedObjects) {
        for (key, value) in objects.of_kind(EVENT_KIND) {
            match parse_object::<EventConfig>(key, value) {
                Ok(event) => drop(self.events.insert(event.name.clone(), event)),
                Err(error) => self.faults.push(error.to_string()),
            }
        }
    }

    fn read_organisations(&mut self, objects: &VersionedObjects) {
        for (key, value) in objects.of_kind(ORGANISATION_KIND) {
            match parse_object::<OrganisationShard>(key, value) {
                Ok(shard) => {
                    let known = shard.organisations.into_iter();
                    let known =
                        known.map(|config| (config.token_sha256.to_ascii_lowercase(), config));
                    self.organisations.extend(known);
                }
                Err(error) => self.faults.push(error.to_string()),
            }
        }
    }
}

//! Assigns replicas to planning groups, and groups to the relays that plan them.
//!
//! The time to score a layout grows with the cube of its replicas: for a thousand of them it would
//! occupy a small VM for a minute. The replicas of a data centre are therefore split into groups of
//! at most [`TARGET_GROUP_SIZE`] on average, each of which covers the model by itself; paths may
//! use replicas of several groups. The group follows from the hash of the replica's id, and the
//! number of groups is a power of two: a replica that joins or leaves affects one group only, and
//! when the number changes, each group is split in two or merged with one other.
//!
//! One relay plans up to [`MAX_GROUPS_ONE_PLANNER`] groups. If there are more, the relays, in the
//! order of their names, plan [`GROUPS_PER_PLANNER`] each. Two relays that both take themselves for
//! the planner of a group do no harm: engines count the orders that they accepted, and refuse an
//! order with another count.
//!
//! Trade-off: a group cannot use layers that other groups hold, so some memory is spent on covering
//! the model in each. A data centre of up to 64 replicas is one group, and up to six data centres
//! of that size have one planner.

use switchfold_core::hash::hash_bytes;

use crate::instance::ReplicaInstance;

/// Maximum average number of replicas in a group. The layout of a group of this size is scored
/// within a tenth of a second of a small VM.
pub const TARGET_GROUP_SIZE: usize = 64;

/// Maximum number of groups that a single relay plans for all. It knows all orders under way, so
/// that no more loads run at once than the weight store serves at full speed.
pub const MAX_GROUPS_ONE_PLANNER: usize = 6;

/// Groups that each relay plans if there are more: some 125 replicas, which need 250 calls from a
/// small VM within the seconds between a simultaneous start of all replicas and the first traffic.
pub const GROUPS_PER_PLANNER: usize = 2;

/// Returns the number of groups for the replicas of a data centre, a power of two.
pub fn group_count(replicas: usize) -> u32 {
    let wanted = replicas.div_ceil(TARGET_GROUP_SIZE).max(1);
    wanted.next_power_of_two() as u32
}

/// Returns the group of a replica among `count`, which must be a power of two. It is the same for
/// all instances of an id.
pub fn group_of(instance: &ReplicaInstance, count: u32) -> u32 {
    let hash = hash_bytes(0, instance.id().as_bytes());
    // The upper half: the lower bits vary little between short texts.
    (hash >> 32) as u32 & (count - 1)
}

/// Returns the number of relays that plan `groups` groups, where `relays` are available.
pub fn planner_count(groups: usize, relays: usize) -> usize {
    match groups <= MAX_GROUPS_ONE_PLANNER {
        true => 1,
        false => groups.div_ceil(GROUPS_PER_PLANNER).clamp(1, relays.max(1)),
    }
}

/// Returns whether the planner with rank `rank` among `planners` plans the group with number
/// `group` among all.
pub fn is_planned_by(group: usize, rank: usize, planners: usize) -> bool {
    group % planners.max(1) == rank
}

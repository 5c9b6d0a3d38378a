//! Which replicas are planned together, and by whom.
//!
//! The weighing of a layout takes time in proportion to the cube of its replicas, which for a thousand of them
//! stops a small VM for a minute. So the replicas of a data centre are dealt to groups of
//! at most [`TARGET_GROUP_SIZE`] on average, each of which covers the model by itself; paths pass between groups as they
//! please. Groups are dealt by the hash of the id, and their count is a power of two: a replica that joins or
//! leaves changes one group, and where their count changes, each is split in two or joined with one other.
//!
//! One relay plans up to [`MAX_GROUPS_ONE_PLANNER`] groups; where there are more, one relay plans [`GROUPS_PER_PLANNER`], in the order of
//! their names.
//! Two that take themselves for the planner of one group are harmless: engines count the orders that they took.
//!
//! Trade-off: a group cannot use what others hold twice, so some memory is spent on covering the model in each. A
//! data centre of up to 64 replicas is one group, and all of up to six data centres have one planner.

use switchfold_core::hash::hash_bytes;

use crate::instance::ReplicaInstance;

/// Replicas of a group on average, at most: its layout is weighed within a tenth of a second of a small VM.
pub const TARGET_GROUP_SIZE: usize = 64;

/// Groups that one relay plans alone: it knows all orders under way, so that no more loads run at once than the store
/// of weights serves at full speed.
pub const MAX_GROUPS_ONE_PLANNER: usize = 6;

/// Groups that each relay plans where there are more: some 125 replicas, which want 250 calls of a small VM within the
/// seconds between a start of all and the traffic.
pub const GROUPS_PER_PLANNER: usize = 2;

/// Count of groups for the replicas of a data centre.
pub fn group_count(replicas: usize) -> u32 {
    let wanted = replicas.div_ceil(TARGET_GROUP_SIZE).max(1);
    wanted.next_power_of_two() as u32
}

/// Group of a replica among `count`: the same for all lives of its id.
pub fn group_of(instance: &ReplicaInstance, count: u32) -> u32 {
    let hash = hash_bytes(0, instance.id().as_bytes());
    // The upper half: the lower bits of short texts differ little.
    (hash >> 32) as u32 & (count - 1)
}

/// Count of relays that plan so many groups, of `relays` that are there.
pub fn planner_count(groups: usize, relays: usize) -> usize {
    match groups <= MAX_GROUPS_ONE_PLANNER {
        true => 1,
        false => groups.div_ceil(GROUPS_PER_PLANNER).clamp(1, relays.max(1)),
    }
}

/// Whether the planner of a rank plans a group, by its number among all.
pub fn is_planned_by(group: usize, rank: usize, planners: usize) -> bool {
    group % planners.max(1) == rank
}

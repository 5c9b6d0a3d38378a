//! Merging of versioned objects: versions never regress, and all processes converge.

use std::sync::Arc;

use proptest::prelude::*;
use switchfold_core::{
    ErrorKind,
    config::{EventConfig, event_key, parse_object},
    version::{ObjectCopy, ObjectKey, VersionedObjects},
};

fn copy(version: u64) -> ObjectCopy {
    // Every fifth version is a tombstone.
    let value = (!version.is_multiple_of(5)).then(|| Arc::from(version.to_le_bytes().as_slice()));
    ObjectCopy { version, value }
}

#[derive(Clone, Debug)]
enum GossipStep {
    /// A node receives a copy. Copies arrive in any order and any number of times.
    Deliver { node: usize, object: usize, version: u64 },
    /// A node sends all its copies to another node.
    Exchange { from: usize, to: usize },
    /// A node restarts without any objects.
    Restart { node: usize },
}

fn gossip_step() -> impl Strategy<Value = GossipStep> {
    prop_oneof![
        (0_usize..4, 0_usize..3, 1_u64..20)
            .prop_map(|(node, object, version)| GossipStep::Deliver { node, object, version }),
        (0_usize..4, 0_usize..4).prop_map(|(from, to)| GossipStep::Exchange { from, to }),
        (0_usize..4).prop_map(|node| GossipStep::Restart { node }),
    ]
}

fn key(object: usize) -> ObjectKey {
    ObjectKey::new("event", format!("e{object}"))
}

fn exchange(nodes: &mut [VersionedObjects], from: usize, to: usize) {
    let copies: Vec<(ObjectKey, ObjectCopy)> =
        nodes[from].iter().map(|(key, copy)| (key.clone(), copy.clone())).collect();
    for (key, copy) in copies {
        nodes[to].merge(&key, copy);
    }
}

proptest! {
    #[test]
    fn versions_never_regress_and_nodes_converge(steps in prop::collection::vec(gossip_step(), 1..120)) {
        let mut nodes = vec![VersionedObjects::new(); 4];
        for step in steps {
            let before: Vec<Vec<u64>> =
                nodes.iter().map(|node| (0..3).map(|object| node.version(&key(object))).collect()).collect();
            let mut restarted = None;
            match step {
                GossipStep::Deliver { node, object, version } => {
                    nodes[node].merge(&key(object), copy(version));
                }
                GossipStep::Exchange { from, to } => exchange(&mut nodes, from, to),
                GossipStep::Restart { node } => {
                    nodes[node] = VersionedObjects::new();
                    restarted = Some(node);
                }
            }
            for (index, node) in nodes.iter().enumerate() {
                for (object, version) in before[index].iter().enumerate() {
                    let has_not_regressed = node.version(&key(object)) >= *version;
                    prop_assert!(has_not_regressed || restarted == Some(index));
                }
            }
        }
        for _ in 0..2 {
            for from in 0..4 {
                for to in 0..4 {
                    exchange(&mut nodes, from, to);
                }
            }
        }
        for node in &nodes[1..] {
            prop_assert_eq!(node.hash(), nodes[0].hash());
            prop_assert!(node.iter().eq(nodes[0].iter()));
        }
    }
}

#[test]
fn tombstones_merge_by_version_and_are_not_listed() {
    let mut objects = VersionedObjects::new();
    assert!(objects.merge(&key(1), copy(4)));
    assert!(objects.merge(&key(1), copy(5)));
    assert!(!objects.merge(&key(1), copy(4)));
    assert_eq!(objects.value(&key(1)), None);
    assert_eq!(objects.of_kind("event").count(), 0);
    assert_eq!((objects.max_version(), objects.len()), (5, 1));
}

#[test]
fn malformed_objects_name_the_object_and_the_field() {
    let table = [
        ("{", "EOF"),
        (r#"{"name":"dawn","state":"open"}"#, "classes"),
        (r#"{"name":"dawn","state":"ajar","classes":[]}"#, "ajar"),
        (r#"{"name":"dawn","state":"open","classes":[],"colour":1}"#, "colour"),
    ];
    for (text, expected) in table {
        let error = parse_object::<EventConfig>(&event_key("dawn"), text.as_bytes()).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::MalformedObject);
        let message = error.to_string();
        assert!(message.contains(expected) && message.contains("dawn"), "{message}");
    }
}

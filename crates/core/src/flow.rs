//! Maximum throughput of replicas and links, as a maximum flow.
//!
//! Each replica is an edge whose capacity is the replica's rate. The links between data centres are
//! edges with the capacity of the link, one for each boundary between layer ranges. The maximum
//! flow from the first layer to the last is the upper bound of the throughput, the flow through
//! each replica is its target share, and the minimum cut shows the bottleneck. Links are aggregated
//! by pairs of data centres, so the graph has `replicas + boundaries * data_centres^2` edges
//! instead of a number quadratic in the replicas.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use petgraph::{
    algo::dinics,
    graph::{DiGraph, EdgeIndex, NodeIndex},
    visit::EdgeRef,
};
use serde::Serialize;

use crate::route::LayerRange;

/// A replica in the flow network.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowReplica {
    /// Name, by which the minimum cut refers to the replica.
    pub name: String,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Layers that the replica holds.
    pub layers: LayerRange,
    /// Tokens per thousand seconds that the replica's engine and its own link can handle.
    pub milli_rate: u64,
}

/// Capacity of the link from one data centre to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowLink {
    /// Index of the sending data centre.
    pub from: usize,
    /// Index of the receiving data centre.
    pub to: usize,
    /// Capacity in tokens per thousand seconds, at each boundary between stages.
    pub milli_rate: u64,
}

/// An edge of the minimum cut: a part that limits the flow.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutPart {
    /// A replica, by name.
    Replica(String),
    /// A link between data centres at one boundary between stages.
    Link {
        /// Index of the sending data centre.
        from: usize,
        /// Index of the receiving data centre.
        to: usize,
        /// First layer after the boundary.
        layer: u32,
    },
}

/// Maximum flow and minimum cut.
#[derive(Clone, Debug, Serialize)]
pub struct FlowBound {
    /// Maximum flow in tokens per thousand seconds.
    pub milli_rate: u64,
    /// Flow through each replica in tokens per thousand seconds, in the order of the replicas.
    pub shares: Vec<u64>,
    /// Edges of the minimum cut: the parts that limit the flow.
    pub cut: Vec<CutPart>,
}

/// Capacity of unlimited links, above any possible flow.
const UNLIMITED: u64 = u64::MAX / 1_024;

/// Origin of an edge of the graph.
#[derive(Clone, Debug)]
enum FlowEdge {
    Unlimited,
    /// A replica, by its index.
    Replica(usize),
    /// A link and the first layer after the boundary.
    Link(FlowLink, u32),
}

struct FlowGraph {
    graph: DiGraph<(), u64>,
    /// Origin of each edge, by edge index.
    edges: Vec<FlowEdge>,
    source: NodeIndex,
    sink: NodeIndex,
}

/// Nodes at the ends or starts of layer ranges, by layer and data centre.
type BoundaryNodes = BTreeMap<(u32, usize), NodeIndex>;

impl FlowGraph {
    fn new() -> Self {
        let mut graph = DiGraph::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        Self { graph, edges: Vec::new(), source, sink }
    }

    fn add_edge(&mut self, from: NodeIndex, to: NodeIndex, rate: u64, edge: FlowEdge) {
        self.graph.add_edge(from, to, rate);
        self.edges.push(edge);
    }

    fn boundary(&mut self, nodes: &mut BoundaryNodes, layer: u32, data_centre: usize) -> NodeIndex {
        let graph = &mut self.graph;
        *nodes.entry((layer, data_centre)).or_insert_with(|| graph.add_node(()))
    }

    fn add_replicas(
        &mut self,
        replicas: &[FlowReplica],
        layers: u32,
    ) -> (BoundaryNodes, BoundaryNodes) {
        let (mut ends, mut starts) = (BTreeMap::new(), BTreeMap::new());
        for (index, replica) in replicas.iter().enumerate() {
            let from = match replica.layers.first() {
                0 => self.source,
                first => self.boundary(&mut starts, first, replica.data_centre),
            };
            let to = match replica.layers.end() {
                end if end == layers => self.sink,
                end => self.boundary(&mut ends, end, replica.data_centre),
            };
            self.add_edge(from, to, replica.milli_rate, FlowEdge::Replica(index));
        }
        (ends, starts)
    }

    fn add_links(&mut self, ends: &BoundaryNodes, starts: &BoundaryNodes, links: &[FlowLink]) {
        for (&(layer, from), &end) in ends {
            for (&(_, to), &start) in starts.range((layer, 0)..=(layer, usize::MAX)) {
                let mut matching = links.iter().filter(|link| link.from == from && link.to == to);
                match matching.next() {
                    Some(link) => {
                        self.add_edge(end, start, link.milli_rate, FlowEdge::Link(*link, layer))
                    }
                    None => self.add_edge(end, start, UNLIMITED, FlowEdge::Unlimited),
                }
            }
        }
    }

    /// Returns the nodes that can be reached from the source in the residual graph.
    fn reachable(&self, flows: &[u64]) -> BTreeSet<NodeIndex> {
        let mut visited = BTreeSet::from([self.source]);
        let mut queue = VecDeque::from([self.source]);
        while let Some(node) = queue.pop_front() {
            let forward =
                self.graph.edges(node).filter(|edge| flows[edge.id().index()] < *edge.weight());
            let backward = self.graph.edges_directed(node, petgraph::Incoming);
            let backward = backward.filter(|edge| flows[edge.id().index()] > 0);
            let next = forward.map(|edge| edge.target()).chain(backward.map(|edge| edge.source()));
            for node in next {
                if visited.insert(node) {
                    queue.push_back(node);
                }
            }
        }
        visited
    }

    fn cut(&self, flows: &[u64], replicas: &[FlowReplica]) -> Vec<CutPart> {
        let reachable = self.reachable(flows);
        let mut parts = BTreeSet::new();
        for edge in self.graph.edge_references() {
            if !reachable.contains(&edge.source()) || reachable.contains(&edge.target()) {
                continue;
            }
            match &self.edges[edge.id().index()] {
                FlowEdge::Unlimited => {}
                FlowEdge::Replica(index) => {
                    parts.insert(CutPart::Replica(replicas[*index].name.clone()));
                }
                FlowEdge::Link(link, layer) => {
                    parts.insert(CutPart::Link { from: link.from, to: link.to, layer: *layer });
                }
            }
        }
        parts.into_iter().collect()
    }
}

/// Computes the maximum flow of a model with `layers` layers over replicas and links.
///
/// Links that are not listed have unlimited capacity. Takes a few milliseconds for thousands of
/// replicas.
pub fn flow_bound(replicas: &[FlowReplica], links: &[FlowLink], layers: u32) -> FlowBound {
    let mut network = FlowGraph::new();
    let (ends, starts) = network.add_replicas(replicas, layers);
    network.add_links(&ends, &starts, links);
    let (milli_rate, flows) = dinics(&network.graph, network.source, network.sink);
    let mut shares = vec![0; replicas.len()];
    for (index, edge) in network.edges.iter().enumerate() {
        if let FlowEdge::Replica(replica) = edge {
            shares[*replica] = flows[EdgeIndex::<u32>::new(index).index()];
        }
    }
    let cut = network.cut(&flows, replicas);
    FlowBound { milli_rate, shares, cut }
}

//! Searches for better first layouts, behind the greedy ones that were ordered at once.
//!
//! A search takes what there is of a small VM's core for half a second, so one runs at a time, on a thread
//! of its own, once the first orders have left. Its orders count only while no request has come, since
//! loads cost next to nothing until then.

use std::collections::BTreeMap;

use switchfold_router::{
    Millis,
    placement::{LayerHolder, ModelShape, PlacementConfig, PlacementOrder, improve_group},
};
use tokio::task::{JoinHandle, spawn_blocking};

use super::groups::{GroupName, PlanGroups};

/// Time after the first orders of a group before its search begins, in milliseconds: orders take a few
/// milliseconds, and twenty of them some ten times that at a small VM.
const SEARCH_AFTER: Millis = 400;

/// A search for one group.
#[derive(Debug)]
struct LayoutSearch {
    /// The group as it will be once its first orders are carried out.
    laid_out: Vec<LayerHolder>,
    /// When these were given.
    ordered: Millis,
    /// The search itself, once it has begun.
    searching: Option<JoinHandle<Vec<PlacementOrder>>>,
}

/// Searches by group, those that wait for their turn among them.
#[derive(Debug, Default)]
pub(super) struct LayoutSearches {
    searches: BTreeMap<GroupName, LayoutSearch>,
}

impl LayoutSearches {
    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.searches.is_empty()
    }

    /// Adds a search for a group that was laid out now.
    pub(super) fn add(&mut self, name: GroupName, laid_out: Vec<LayerHolder>, now: Millis) {
        let search = LayoutSearch { laid_out, ordered: now, searching: None };
        self.searches.insert(name, search);
    }

    /// Drops all searches: requests came first.
    pub(super) fn drop_all(&mut self) {
        tracing::info!(event = "search-late", groups = self.searches.len());
        self.searches.clear();
    }

    /// Begins the next search of these groups, which share a model, and gives the orders of those that
    /// have ended and whose group holds by now what it was first ordered to.
    pub(super) async fn advance(
        &mut self,
        groups: &PlanGroups,
        model: ModelShape,
        now: Millis,
    ) -> Vec<(GroupName, Vec<PlacementOrder>)> {
        self.renew(groups, now);
        self.begin_next(groups, model, now);
        let mut ended = Vec::new();
        for (name, holders) in groups {
            let ready = self.searches.get(name).is_some_and(|search| search.is_ready(holders));
            let search = if ready { self.searches.remove(name) } else { None };
            let Some(searching) = search.and_then(|search| search.searching) else { continue };
            match searching.await {
                Ok(orders) => ended.push((name.clone(), orders)),
                // The group keeps the layout that it has.
                Err(error) => {
                    tracing::error!(event = "plan-failed", service = name.service, %error)
                }
            }
        }
        ended
    }

    /// Searches anew for groups that replicas joined or left meanwhile, once all hold their layers.
    fn renew(&mut self, groups: &PlanGroups, now: Millis) {
        for (name, search) in &mut self.searches {
            let Some(holders) = groups.get(name) else { continue };
            let is_settled = |holder: &LayerHolder| holder.can_order && holder.range == holder.held;
            if search.laid_out != *holders && holders.iter().all(is_settled) {
                let laid_out = holders.clone();
                *search = LayoutSearch { laid_out, ordered: now, searching: None };
            }
        }
    }

    fn begin_next(&mut self, groups: &PlanGroups, model: ModelShape, now: Millis) {
        if self.searches.values().any(LayoutSearch::is_running) {
            return;
        }
        let is_due = |(name, search): &(&GroupName, &mut LayoutSearch)| {
            let waited = now.saturating_sub(search.ordered) >= SEARCH_AFTER;
            groups.contains_key(*name) && search.searching.is_none() && waited
        };
        let Some((_, search)) = self.searches.iter_mut().find(is_due) else { return };
        let group = search.laid_out.clone();
        let config = PlacementConfig::default();
        search.searching = Some(spawn_blocking(move || improve_group(&group, model, &config)));
    }
}

impl LayoutSearch {
    fn is_running(&self) -> bool {
        self.searching.as_ref().is_some_and(|searching| !searching.is_finished())
    }

    fn is_ready(&self, holders: &[LayerHolder]) -> bool {
        let ended = self.searching.as_ref().is_some_and(JoinHandle::is_finished);
        ended && self.laid_out == holders
    }
}

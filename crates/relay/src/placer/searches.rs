//! Searches for better first layouts, after the greedy ones have been ordered.
//!
//! A search uses the whole processor share of a small VM for half a second. Therefore one search
//! runs at a time, on a thread of its own, and only after the first orders have been sent. Its
//! orders are used only if no request has arrived by then, since loads cost next to nothing until
//! the first request.

use std::collections::BTreeMap;

use switchfold_router::{
    Millis,
    placement::{LayerHolder, ModelShape, PlacementConfig, PlacementOrder, improve_group},
};
use tokio::task::{JoinHandle, spawn_blocking};

use super::groups::{GroupName, PlanGroups};

/// Time after the first orders of a group before its search starts, in milliseconds. One order
/// takes a few milliseconds, and twenty take some ten times as long at a small VM.
const SEARCH_DELAY: Millis = 400;

/// A search for a better layout of one group.
#[derive(Debug)]
struct LayoutSearch {
    /// The group as it will be once its first orders are carried out.
    layout: Vec<LayerHolder>,
    /// Time of these orders.
    ordered_at: Millis,
    /// The running search; `None` until it starts.
    task: Option<JoinHandle<Vec<PlacementOrder>>>,
}

/// Pending and running searches, by group.
#[derive(Debug, Default)]
pub(super) struct LayoutSearches {
    searches: BTreeMap<GroupName, LayoutSearch>,
}

impl LayoutSearches {
    /// Returns whether no search is pending or running.
    pub(super) fn is_empty(&self) -> bool {
        self.searches.is_empty()
    }

    /// Adds a search for a group whose first layout was ordered at `now`.
    pub(super) fn add(&mut self, name: GroupName, layout: Vec<LayerHolder>, now: Millis) {
        let search = LayoutSearch { layout, ordered_at: now, task: None };
        self.searches.insert(name, search);
    }

    /// Cancels all searches, because a request arrived before they finished.
    pub(super) fn cancel_all(&mut self) {
        tracing::info!(event = "search-late", groups = self.searches.len());
        self.searches.clear();
    }

    /// Starts the next search for these groups, which share a model. Returns the orders of the
    /// searches that have finished and whose groups hold the layers of their first orders by now.
    pub(super) async fn advance(
        &mut self,
        groups: &PlanGroups,
        model: ModelShape,
        now: Millis,
    ) -> Vec<(GroupName, Vec<PlacementOrder>)> {
        self.restart_changed(groups, now);
        self.start_next(groups, model, now);
        let mut finished = Vec::new();
        for (name, holders) in groups {
            let is_ready = self.searches.get(name).is_some_and(|search| search.is_ready(holders));
            let search = if is_ready { self.searches.remove(name) } else { None };
            let Some(task) = search.and_then(|search| search.task) else { continue };
            match task.await {
                Ok(orders) => finished.push((name.clone(), orders)),
                // The group keeps the layout that it has.
                Err(error) => {
                    tracing::error!(event = "plan-failed", service = name.service, %error)
                }
            }
        }
        finished
    }

    /// Restarts the searches of groups whose replicas have changed, once all of them hold their
    /// layers.
    fn restart_changed(&mut self, groups: &PlanGroups, now: Millis) {
        for (name, search) in &mut self.searches {
            let Some(holders) = groups.get(name) else { continue };
            let is_settled = |holder: &LayerHolder| holder.can_order && holder.range == holder.held;
            if search.layout != *holders && holders.iter().all(is_settled) {
                let layout = holders.clone();
                *search = LayoutSearch { layout, ordered_at: now, task: None };
            }
        }
    }

    /// Starts the next search that is due, unless one is running.
    fn start_next(&mut self, groups: &PlanGroups, model: ModelShape, now: Millis) {
        if self.searches.values().any(LayoutSearch::is_running) {
            return;
        }
        let is_due = |(name, search): &(&GroupName, &mut LayoutSearch)| {
            let has_waited = now.saturating_sub(search.ordered_at) >= SEARCH_DELAY;
            groups.contains_key(*name) && search.task.is_none() && has_waited
        };
        let Some((_, search)) = self.searches.iter_mut().find(is_due) else { return };
        let group = search.layout.clone();
        let config = PlacementConfig::default();
        search.task = Some(spawn_blocking(move || improve_group(&group, model, &config)));
    }
}

impl LayoutSearch {
    fn is_running(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Returns whether the search has finished and the group has the layout that it started from.
    fn is_ready(&self, holders: &[LayerHolder]) -> bool {
        let is_finished = self.task.as_ref().is_some_and(JoinHandle::is_finished);
        is_finished && self.layout == holders
    }
}

//! Metrics of the owned groups.

use crate::OwnerService;

impl OwnerService {
    pub(crate) fn update_gauges(&self) {
        let snapshots = self.snapshots();
        let queued: usize = snapshots.iter().map(|(_, group)| group.queued).sum();
        self.cx.metrics.queued().set(queued as i64);
        self.cx.metrics.owned_groups().set(snapshots.len() as i64);
        let store_loads: Vec<_> = snapshots
            .iter()
            .filter_map(|(id, group)| Some((id.clone(), group.store_load_values()?)))
            .collect();
        self.cx.metrics.set_store_loads(&store_loads);
    }
}

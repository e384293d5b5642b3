//! Serves the entry's lookups from the control state of this instance.

use std::sync::Arc;

use shallotdrum_control::{ControlState, ControlView};
use shallotdrum_entry::{Catalog, GroupOwner, LookupError, Owner, ResolvedModel, ServiceRoute};
use shallotdrum_manifest::{Manifest, Subscriber};
use shallotdrum_types::{
    Fingerprint, GroupId, KeyHash, LogIndex, ModelName, PoolId, ServiceId, SessionId, SubscriberId,
};
use tokio::sync::watch;

/// [`Catalog`] that reads the control state of this instance.
pub(crate) struct ViewCatalog(pub(crate) ControlView);

impl Catalog for ViewCatalog {
    fn subscriber_of_key(&self, key: &KeyHash) -> Option<SubscriberId> {
        self.0.read(|state| state.subscriber_of_key(key).cloned())
    }

    fn model(
        &self,
        subscriber: &SubscriberId,
        name: &ModelName,
    ) -> Result<ResolvedModel, LookupError> {
        self.0.read(|state| {
            let (manifest, section) = look_up(state, subscriber)?;
            let resolved =
                manifest.resolve(name).map_err(|e| LookupError::NotFound(e.to_string()))?;
            if !section.may_use_adapter(&resolved.adapter.adapter) {
                return Err(LookupError::Forbidden(format!("adapter `{}`", name.adapter)));
            }
            Ok(ResolvedModel {
                base: resolved.base,
                adapter: resolved.adapter,
                pool: resolved.pool,
                max_context_tokens: resolved.max_context_tokens,
                max_output_tokens: section.limits.max_output_tokens,
            })
        })
    }

    fn service(
        &self,
        subscriber: &SubscriberId,
        service: &ServiceId,
        method: &str,
        path: &str,
    ) -> Result<ServiceRoute, LookupError> {
        self.0.read(|state| {
            let (manifest, section) = look_up(state, subscriber)?;
            let name = || format!("service `{service}`");
            let entry =
                manifest.services.get(service).ok_or_else(|| LookupError::NotFound(name()))?;
            if !section.may_use_service(service) {
                return Err(LookupError::Forbidden(name()));
            }
            let repeatable = entry.is_repeatable(method, path);
            Ok(ServiceRoute { pool: entry.pool.clone(), repeatable })
        })
    }

    fn models(&self, subscriber: &SubscriberId, after: Option<&str>, limit: usize) -> Vec<String> {
        self.0.read(|state| {
            let Ok((manifest, section)) = look_up(state, subscriber) else { return Vec::new() };
            let mut names: Vec<_> = manifest
                .adapters
                .iter()
                .filter(|(id, _)| section.may_use_adapter(id))
                .map(|(id, adapter)| format!("{}/{id}", adapter.base_model))
                .filter(|name| after.is_none_or(|after| name.as_str() > after))
                .collect();
            names.sort_unstable();
            names.truncate(limit);
            names
        })
    }

    fn for_each_group(&self, pool: &PoolId, visit: &mut dyn FnMut(&GroupId)) {
        self.0.read(|state| {
            state
                .groups_of_pool(pool)
                .filter(|group| !group.targets.is_empty())
                .for_each(|group| visit(&group.id));
        });
    }

    fn owner(&self, group: &GroupId) -> GroupOwner {
        self.0.read(|state| {
            let Some(group) = state.group(group) else { return GroupOwner::Gone };
            match group.owner.and_then(|id| state.session(id)) {
                Some(session) => {
                    GroupOwner::Owned(Owner { session: session.id, addr: session.info.addrs.data })
                }
                None => GroupOwner::Unowned,
            }
        })
    }

    fn is_live(&self, session: SessionId) -> bool {
        self.0.read(|state| state.session(session).is_some())
    }

    fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.0.read(|state| state.is_quarantined(request))
    }

    fn changes(&self) -> watch::Receiver<LogIndex> {
        self.0.changed()
    }
}

/// Returns the current manifest and the subscriber's section of it.
fn look_up<'a>(
    state: &'a ControlState,
    subscriber: &SubscriberId,
) -> Result<(&'a Arc<Manifest>, &'a Subscriber), LookupError> {
    let no_subscriber = || LookupError::NotFound(format!("subscriber `{subscriber}`"));
    let manifest = state.manifest().ok_or_else(no_subscriber)?;
    let section = manifest.subscribers.get(subscriber).ok_or_else(no_subscriber)?;
    Ok((manifest, section))
}

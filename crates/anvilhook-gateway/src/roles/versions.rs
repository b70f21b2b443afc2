//! Keeps engines of both roles in each software version, while several versions serve a service.

use std::collections::HashMap;
use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::splits::VersionSplit;
use anvilhook_core::stream_origins::Software;
use anvilhook_core::units::{Clock, Millis};

use super::{RoleController, take_from_fullest_zones};
use crate::fleets::Upstream;
use crate::tables::Table;
use crate::wires::Wire;

impl<W: Wire, T: Table, C: Clock> RoleController<W, T, C> {
    /// Returns at most `left` changes that give each software version engines of both kinds.
    pub(super) fn missing_by_version(
        &self,
        staying: &[&Arc<Upstream>],
        versions: &HashMap<Software, VersionSplit>,
        left: usize,
        now: Millis,
    ) -> Vec<(Arc<Upstream>, Role)> {
        if versions.len() < 2 {
            return Vec::new();
        }
        let is_settled = |one: &&Arc<Upstream>| {
            let is_changing = one.state.role_change(now, one.role()).is_some();
            !is_changing && !self.settling.contains_key(&one.hash)
        };
        let mut changes = Vec::new();
        for (software, role) in
            versions.iter().filter_map(|(one, split)| Some((one, split.missing()?)))
        {
            let others = staying.iter().copied().filter(|one| one.software == *software);
            let others = others.filter(|one| one.role() != Some(role)).filter(is_settled);
            let taken = take_from_fullest_zones(others.collect(), 1, now);
            changes.extend(taken.into_iter().map(|upstream| (upstream, role)));
        }
        changes.truncate(left);
        changes
    }
}

/// Returns how the engines of each software version are split. An engine that changes its role counts in its new one.
pub(super) fn version_splits(
    staying: &[&Arc<Upstream>],
    now: Millis,
) -> HashMap<Software, VersionSplit> {
    let mut versions: HashMap<Software, VersionSplit> = HashMap::new();
    for upstream in staying {
        let change = upstream.state.role_change(now, upstream.role()).map(|change| change.role);
        if let Some(role) = change.or(upstream.role()) {
            versions.entry(upstream.software).or_default().add(role);
        }
    }
    versions
}

/// Returns the engines of `from` that may leave their role for `role` without leaving too few of their software version.
pub(super) fn spared_by_versions(
    from: Vec<&Arc<Upstream>>,
    role: Role,
    mut versions: HashMap<Software, VersionSplit>,
) -> Vec<&Arc<Upstream>> {
    if versions.len() < 2 {
        return from;
    }
    let leaves = if role == Role::Prefill { Role::Decode } else { Role::Prefill };
    let is_spared = |one: &&Arc<Upstream>| {
        let Some(split) = versions.get_mut(&one.software) else { return false };
        let can_spare = split.can_spare(leaves);
        if can_spare {
            match leaves {
                Role::Prefill => split.readers -= 1,
                Role::Decode | Role::Mixed => split.generators -= 1,
            }
            split.add(role);
        }
        can_spare
    };
    from.into_iter().filter(is_spared).collect()
}

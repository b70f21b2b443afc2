//! The controller's view of the instances and of their acknowledgements.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use anvilhook_core::drains::{DrainAck, DrainMark, DrainProgress, progress};
use anvilhook_core::membership::{Listed, Roster};
use anvilhook_core::names::{InstanceName, PoolName, UpstreamName};
use anvilhook_core::orders::Term;
use anvilhook_core::units::{Millis, Revision};
use anvilhook_platform::{InstanceList, ListedInstance, ListedState, Result, Table};
use anvilhook_store::InstanceDirectory;

use crate::rows;

/// `DrainHint` is an acknowledgement of a drain that was received over the peer link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainHint {
    /// The instance that acknowledges.
    pub instance: InstanceName,
    /// The engine's pool.
    pub pool: PoolName,
    /// The engine.
    pub engine: UpstreamName,
    /// The generation since which the engine drains.
    pub since: u64,
}

/// `TermHint` is an acknowledgement, received over the peer link, that an instance gives no order for
/// a pool below a term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermHint {
    /// The instance that acknowledges.
    pub instance: InstanceName,
    /// The pool.
    pub pool: PoolName,
    /// The term.
    pub term: Term,
}

/// `PeerHints` contains the acknowledgements that were received over the peer link. Losing one only
/// costs time, because all of them are in the table too, sooner or later.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerHints {
    /// Acknowledgements of drains.
    pub drains: Vec<DrainHint>,
    /// Acknowledgements of terms.
    pub terms: Vec<TermHint>,
}

/// `Fleet` is a controller's view of the instances.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    roster: Roster,
    /// The hinted set of other instances; empty if there are no hints.
    hinted: BTreeSet<InstanceName>,
    acks: BTreeMap<InstanceName, DrainAck>,
    /// The hints of this step, indexed for lookup: with hundreds of instances, a search through all
    /// hints for each instance and engine would use a large part of a core.
    drain_hints: HashMap<(PoolName, UpstreamName), HashMap<InstanceName, u64>>,
    term_hints: HashMap<PoolName, HashMap<InstanceName, Term>>,
    /// The configuration revision that each instance has announced as applied.
    revisions: BTreeMap<InstanceName, Revision>,
    read_at: Option<Millis>,
    is_fresh: bool,
}

impl Fleet {
    /// Begins a step: marks the view as no longer fresh and replaces the hints.
    pub fn begin_step(&mut self, hints: &PeerHints) {
        self.is_fresh = false;
        self.drain_hints.clear();
        for hint in &hints.drains {
            let engine = (hint.pool.clone(), hint.engine.clone());
            let of_engine = self.drain_hints.entry(engine).or_default();
            of_engine.insert(hint.instance.clone(), hint.since);
        }
        self.term_hints.clear();
        for hint in &hints.terms {
            let of_pool = self.term_hints.entry(hint.pool.clone()).or_default();
            of_pool.insert(hint.instance.clone(), hint.term);
        }
    }

    /// Returns whether the instances should be read again.
    pub fn is_due(&self, now: Millis, interval: Millis) -> bool {
        self.read_at.is_none_or(|at| now >= at + interval)
    }

    /// Reads the announcements, the acknowledgements and the instance list. `upstreams` are the names
    /// in the list that are not instances of this system.
    pub async fn refresh(
        &mut self,
        table: &impl Table,
        instances: &impl InstanceList,
        upstreams: &BTreeSet<UpstreamName>,
        now: Millis,
    ) -> Result<()> {
        // The list is read first. If that fails, the set of terminated instances stays as it was, and
        // the rest goes on.
        match instances.list().await {
            Ok(lines) => self.roster.replace_listed(instance_lines(&lines, upstreams)),
            Err(err) => log::warn!("the instance list cannot be read: {err}"),
        }
        let records = InstanceDirectory::new(table.clone()).list().await.map_err(platform_error)?;
        let acks: Vec<DrainAck> = rows::scan(table, rows::DRAIN_ACK_PREFIX).await?;
        let revisions = records.iter().map(|record| (record.name.clone(), record.revision));
        self.revisions = revisions.collect();
        self.roster.replace_announced(records.into_iter().map(|record| record.name));
        self.acks = acks.into_iter().map(|ack| (ack.instance.clone(), ack)).collect();
        self.read_at = Some(now);
        self.is_fresh = true;
        Ok(())
    }

    /// Returns whether the platform reports that an instance has terminated for good.
    pub fn is_gone(&self, instance: &InstanceName) -> bool {
        self.roster.is_gone(instance)
    }

    /// Returns the terminated instances that still have an acknowledgement in the table.
    pub fn gone_with_acks(&self) -> Vec<InstanceName> {
        self.acks.keys().filter(|name| self.is_gone(name)).cloned().collect()
    }

    /// Replaces the hinted set of other instances.
    pub fn set_hinted(&mut self, names: impl IntoIterator<Item = InstanceName>) {
        self.hinted = names.into_iter().collect();
    }

    /// Returns whether the other instances are hinted.
    pub fn has_hinted(&self) -> bool {
        !self.hinted.is_empty()
    }

    /// Returns the hinted instances. If there are none, returns all instances that were announced or
    /// listed, and had not terminated, at the last read. The result is used to rank candidates, for
    /// which hints suffice.
    pub fn present(&self) -> impl Iterator<Item = &InstanceName> {
        self.hinted.iter().chain(self.roster.required().filter(|_| self.hinted.is_empty()))
    }

    /// Returns whether an instance has acknowledged a term over the peer link.
    pub fn acknowledges(&self, instance: &InstanceName, pool: &PoolName, term: Term) -> bool {
        let acknowledged = self.term_hints.get(pool).and_then(|of_pool| of_pool.get(instance));
        acknowledged.is_some_and(|acknowledged| *acknowledged >= term)
    }

    /// Returns the highest term of a pool that another instance has acknowledged.
    pub fn highest_term(&self, pool: &PoolName) -> Option<Term> {
        self.term_hints.get(pool)?.values().max().copied()
    }

    /// Returns the instances that have not announced a revision or a later one, or `None` if the
    /// instances have not been read in this step.
    pub fn lagging(&self, revision: Revision) -> Option<BTreeSet<InstanceName>> {
        let lags = |name: &&InstanceName| {
            self.revisions.get(*name).is_none_or(|announced| *announced < revision)
        };
        self.is_fresh.then(|| self.roster.required().filter(lags).cloned().collect())
    }

    /// Returns the progress of an engine's drain, or `None` if the instances have not been read in
    /// this step: another instance may have announced itself since, and must acknowledge too.
    pub fn progress(
        &self,
        pool: &PoolName,
        engine: &UpstreamName,
        mark: Option<&DrainMark>,
    ) -> Option<DrainProgress> {
        let hinted = self.drain_hints.get(&(pool.clone(), engine.clone()));
        let acknowledges = |name: &InstanceName, mark: &DrainMark| {
            let stored = self.acks.get(name).is_some_and(|ack| ack.clears(pool, engine, mark));
            stored || hinted.and_then(|hinted| hinted.get(name)) == Some(&mark.since)
        };
        self.is_fresh.then(|| progress(mark, self.roster.required(), acknowledges))
    }
}

/// Returns the entries of the instance list that are instances of this system. Instances and upstreams
/// share one namespace in the list; an entry that is not known to be an upstream may be an instance
/// that could not announce itself.
fn instance_lines<'a>(
    lines: &'a [ListedInstance],
    upstreams: &'a BTreeSet<UpstreamName>,
) -> impl Iterator<Item = (InstanceName, Listed)> + 'a {
    let ours = lines.iter().filter(|line| !upstreams.contains(&line.name));
    ours.filter_map(|line| {
        let name = InstanceName::try_new(line.name.as_str()).ok()?;
        let listed = match line.state {
            ListedState::Live | ListedState::Leaving => Listed::Present,
            ListedState::Gone => Listed::Gone,
        };
        Some((name, listed))
    })
}

fn platform_error(err: anvilhook_store::Error) -> anvilhook_platform::Error {
    anvilhook_platform::Error::BadAnswer { message: err.to_string() }
}

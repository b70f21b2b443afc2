//! Digests: what one instance tells another, and what is taken in of it.

use std::net::SocketAddr;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use serde::{Deserialize, Serialize};

use super::members::Peers;
use super::rows::RowsPiece;
use super::versions::FollowedTable;
use super::watches::ToldWatch;
use crate::loads::{PeerLoad, RoleChange, Work};
use crate::prompts::Part;
use crate::relay::Gateway;
use crate::wires::Wire;

/// `EngineLoad` is what an instance has in flight at an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The short form of the engine's id.
    pub engine: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompts being read, in milliseconds of work.
    pub reading_ms: u32,
    /// KV caches being fetched, in milliseconds of the engine's link.
    pub fetching_ms: u32,
}

/// `CachedPrompt` is a prompt that an engine now keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPrompt {
    /// The short form of the engine's id.
    pub engine: u32,
    /// The prompt's parts, with their lengths in tokens.
    pub parts: Vec<(u64, u32)>,
}

/// `ToldRoleChange` is an order to change a role that an engine has taken.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldRoleChange {
    /// The short form of the engine's id and start.
    pub engine: u32,
    /// The role that it takes.
    pub role: Role,
    /// How long it may still take, in milliseconds.
    pub left_ms: u32,
}

/// `Digest` is what one instance tells another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's process, a number of its own choice.
    pub from: u64,
    /// The engines at which it has something in flight.
    pub loads: Vec<EngineLoad>,
    /// What engines have read since the last digest.
    pub cached: Vec<CachedPrompt>,
    /// Whether it tells of caches only, and nothing of loads.
    pub is_partial: bool,
    /// Engines that the sender itself knows to change their role, with the time that it still takes
    /// in milliseconds.
    pub away: Vec<(u32, u32)>,
    /// Engines that the sender has ordered to take another role.
    pub role_changes: Vec<ToldRoleChange>,
    /// The short form of the sender's availability zone.
    pub zone: u32,
    /// The sender's watch over each of [`FollowedTable::ALL`].
    pub watches: [ToldWatch; 2],
    /// A part of changed rows of such a table.
    pub rows: Option<RowsPiece>,
    /// A table of which the sender asks for what has changed since a version.
    pub asks: Option<(FollowedTable, u64)>,
}

impl Digest {
    /// Makes a digest that tells only who sends it.
    pub(super) fn from(peers: &Peers, now: Millis) -> Self {
        Self {
            from: peers.number(),
            zone: peers.zone(),
            watches: FollowedTable::ALL.map(|table| peers.watch_of(table).told(now)),
            ..Self::default()
        }
    }

    /// Makes one that tells nothing of loads.
    pub(super) fn partial(peers: &Peers, now: Millis) -> Self {
        Self { is_partial: true, ..Self::from(peers, now) }
    }
}

/// Makes the digest of what this instance has in flight, and of what the peers don't know yet.
pub(super) fn digest<W: Wire, C: Clock>(gateway: &Gateway<W, C>, now: Millis) -> Digest {
    const MAX_CACHED: usize = 24;
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.entry.role.is_some());
    let mut digest = Digest::from(gateway.peers(), now);
    for upstream in engines {
        let engine = upstream.digest;
        let work = upstream.state.own_work();
        if work.in_flight > 0 {
            let reading_ms = work.reading_ms as u32;
            let fetching_ms = work.fetching_ms as u32;
            let in_flight = work.in_flight;
            digest.loads.push(EngineLoad { engine, in_flight, reading_ms, fetching_ms });
        }
        let away = upstream.state.own_away_until() - now;
        if away > Millis::ZERO {
            digest.away.push((engine, away.0 as u32));
        }
        let change = upstream.state.role_change(now, upstream.entry.role);
        if let Some(change) = change.filter(|change| change.is_own) {
            let left_ms = (change.until - now).0 as u32;
            digest.role_changes.push(ToldRoleChange { engine, role: change.role, left_ms });
        }
    }
    for (engine, parts) in gateway.take_cached(MAX_CACHED) {
        let Some(upstream) = view.get(&engine) else { continue };
        let parts = parts.iter().map(|part| (part.id, part.tokens)).collect();
        digest.cached.push(CachedPrompt { engine: upstream.digest, parts });
    }
    digest
}

/// Takes in what a peer tells. `before` are the engines at which it told of work the last time.
pub(super) fn take_in<W: Wire, C: Clock>(
    digest: &Digest,
    from: SocketAddr,
    before: &[u32],
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    for (table, told) in FollowedTable::ALL.into_iter().zip(&digest.watches) {
        gateway.peers().watch_of(table).take_in(from, told, now);
    }
    let view = gateway.fleet().view();
    // Only the engines that are named, or were, change; there may be hundreds of others.
    let ended = before.iter().filter(|engine| !digest.loads.iter().any(|l| l.engine == **engine));
    for upstream in ended.filter_map(|engine| view.by_digest(*engine)) {
        upstream.state.record_peer(digest.from, PeerLoad { at: now, ..PeerLoad::default() });
    }
    for load in &digest.loads {
        let Some(upstream) = view.by_digest(load.engine) else { continue };
        let work = Work {
            in_flight: load.in_flight,
            reading_ms: f64::from(load.reading_ms),
            fetching_ms: f64::from(load.fetching_ms),
        };
        upstream.state.record_peer(digest.from, PeerLoad { work, at: now });
    }
    for (engine, left_ms) in &digest.away {
        if let Some(upstream) = view.by_digest(*engine) {
            upstream.state.mark_away(now + Millis(u64::from(*left_ms)));
        }
    }
    for told in &digest.role_changes {
        if let Some(upstream) = view.by_digest(told.engine) {
            let until = now + Millis(u64::from(told.left_ms));
            upstream.state.record_role_change(RoleChange { role: told.role, until, is_own: false });
        }
    }
    let config = gateway.config();
    for cached in &digest.cached {
        let Some(upstream) = view.by_digest(cached.engine) else { continue };
        let spec = config.as_ref().and_then(|config| config.service(&upstream.entry.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else { continue };
        let parts = cached.parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens });
        let parts: Vec<Part> = parts.collect();
        gateway.caches().record(&upstream.entry.id, &parts, engine.kv_tokens.0);
    }
}

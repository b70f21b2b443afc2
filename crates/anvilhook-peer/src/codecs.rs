//! Converts messages to and from the Cap'n Proto schema.

use std::sync::Arc;

use anvilhook_core::orders::{Role, Term};
use anvilhook_core::reports::LoadReport;
use anvilhook_core::units::{Millis, Revision, Tokens};

use crate::errors::{Error, Result};
use crate::gossip::{
    AccountDigest, AckSection, DemandSection, DrainAck, EngineDigest, Item, LoadSection,
    ReportDigest, TermAck, Transfer, Update,
};
use crate::peer_capnp::{
    account_demand, ack_section, demand_section, drain_ack, engine_report, engine_sent, header,
    load_section, term_ack, transfer, update,
};

/// Writes an update.
pub(crate) fn write_update(from: &Update, mut to: update::Builder<'_>) {
    to.set_revision(from.revision.0);
    let mut acks = to.reborrow().init_acks(from.acks.len() as u32);
    for (at, item) in (0..).zip(&from.acks) {
        write_acks(item, acks.reborrow().get(at));
    }
    let mut load = to.reborrow().init_load(from.load.len() as u32);
    for (at, item) in (0..).zip(&from.load) {
        write_load(item, load.reborrow().get(at));
    }
    let mut demand = to.init_demand(from.demand.len() as u32);
    for (at, item) in (0..).zip(&from.demand) {
        write_demand(item, demand.reborrow().get(at));
    }
}

/// Reads an update.
///
/// # Errors
///
/// `Error::Codec` if any part of it is invalid.
pub(crate) fn read_update(from: update::Reader<'_>) -> Result<Update> {
    Ok(Update {
        revision: Revision(from.get_revision()),
        acks: from.get_acks()?.iter().map(read_acks).collect::<Result<_>>()?,
        load: from.get_load()?.iter().map(read_load).collect::<Result<_>>()?,
        demand: from.get_demand()?.iter().map(read_demand).collect::<Result<_>>()?,
    })
}

/// Writes a transfer.
pub(crate) fn write_transfer(from: &Transfer, mut to: transfer::Builder<'_>) {
    to.set_base(from.base.0);
    to.set_revision(from.revision.0);
    to.set_json(&from.json);
}

/// Reads a transfer.
///
/// # Errors
///
/// `Error::Codec` if any part of it is invalid.
pub(crate) fn read_transfer(from: transfer::Reader<'_>) -> Result<Transfer> {
    Ok(Transfer {
        base: Revision(from.get_base()),
        revision: Revision(from.get_revision()),
        json: Arc::from(from.get_json()?),
    })
}

/// Reads a name.
///
/// # Errors
///
/// `Error::Codec` if the text is not a valid name.
pub(crate) fn read_name<N>(text: capnp::Result<capnp::text::Reader<'_>>) -> Result<N>
where
    N: std::str::FromStr<Err = anvilhook_core::Error>,
{
    let text = text?.to_str().map_err(Error::codec)?;
    text.parse().map_err(Error::codec)
}

fn write_header<T>(item: &Item<T>, mut to: header::Builder<'_>) {
    to.set_origin(item.origin.as_str());
    to.set_version(item.version);
    to.set_age_ms(clamp(item.age.0));
    to.set_hops(item.hops);
}

fn read_item<T>(header: capnp::Result<header::Reader<'_>>, body: T) -> Result<Item<T>> {
    let header = header?;
    Ok(Item {
        origin: read_name(header.get_origin())?,
        version: header.get_version(),
        age: Millis(u64::from(header.get_age_ms())),
        hops: header.get_hops(),
        body: Arc::new(body),
    })
}

fn write_acks(item: &Item<AckSection>, mut to: ack_section::Builder<'_>) {
    write_header(item, to.reborrow().init_header());
    let mut drains = to.reborrow().init_drains(item.body.drains.len() as u32);
    for (at, ack) in (0..).zip(&item.body.drains) {
        let mut drain: drain_ack::Builder<'_> = drains.reborrow().get(at);
        drain.set_pool(ack.pool.as_str());
        drain.set_engine(ack.engine.as_str());
        drain.set_generation(ack.generation);
    }
    let mut terms = to.init_terms(item.body.terms.len() as u32);
    for (at, ack) in (0..).zip(&item.body.terms) {
        let mut term: term_ack::Builder<'_> = terms.reborrow().get(at);
        term.set_pool(ack.pool.as_str());
        term.set_term(ack.term.0);
        term.set_holder(ack.holder.as_str());
    }
}

fn read_acks(from: ack_section::Reader<'_>) -> Result<Item<AckSection>> {
    let read_drain = |ack: drain_ack::Reader<'_>| {
        let (pool, engine) = (read_name(ack.get_pool())?, read_name(ack.get_engine())?);
        Ok(DrainAck { pool, engine, generation: ack.get_generation() })
    };
    let read_term = |ack: term_ack::Reader<'_>| {
        let (pool, holder) = (read_name(ack.get_pool())?, read_name(ack.get_holder())?);
        Ok(TermAck { pool, term: Term(ack.get_term()), holder })
    };
    let drains = from.get_drains()?.iter().map(read_drain).collect::<Result<_>>()?;
    let terms = from.get_terms()?.iter().map(read_term).collect::<Result<_>>()?;
    read_item(from.get_header(), AckSection { drains, terms })
}

fn write_load(item: &Item<LoadSection>, mut to: load_section::Builder<'_>) {
    write_header(item, to.reborrow().init_header());
    let mut reports = to.reborrow().init_reports(item.body.reports.len() as u32);
    for (at, digest) in (0..).zip(&item.body.reports) {
        write_report(digest, reports.reborrow().get(at));
    }
    let mut engines = to.init_engines(item.body.engines.len() as u32);
    for (at, digest) in (0..).zip(&item.body.engines) {
        let mut engine: engine_sent::Builder<'_> = engines.reborrow().get(at);
        engine.set_engine(digest.engine.as_str());
        engine.set_boot(digest.boot);
        engine.set_seq(digest.seq);
        engine.set_requests(digest.requests);
        engine.set_prefill_tokens(clamp(digest.prefill.0));
        engine.set_decode_tokens(clamp(digest.decode.0));
    }
}

fn read_load(from: load_section::Reader<'_>) -> Result<Item<LoadSection>> {
    let read_engine = |digest: engine_sent::Reader<'_>| {
        Ok(EngineDigest {
            engine: read_name(digest.get_engine())?,
            boot: digest.get_boot(),
            seq: digest.get_seq(),
            requests: digest.get_requests(),
            prefill: Tokens(u64::from(digest.get_prefill_tokens())),
            decode: Tokens(u64::from(digest.get_decode_tokens())),
        })
    };
    let engines = from.get_engines()?.iter().map(read_engine).collect::<Result<_>>()?;
    let reports = from.get_reports()?.iter().map(read_report).collect::<Result<_>>()?;
    read_item(from.get_header(), LoadSection { engines, reports })
}

fn write_report(from: &ReportDigest, mut to: engine_report::Builder<'_>) {
    let report = &from.report;
    to.set_engine(from.engine.as_str());
    to.set_boot(report.boot);
    to.set_seq(report.seq);
    to.set_age_ms(clamp(report.age.0));
    to.set_role(match report.role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    });
    to.set_leaving(report.leaving);
    to.set_queued_requests(report.queued_requests);
    to.set_queued_prefill_tokens(clamp(report.queued_prefill.0));
    to.set_running_requests(report.running_requests);
    to.set_running_decode_tokens(clamp(report.running_decode.0));
    to.set_prefill_tokens_per_s(report.prefill_tokens_per_s);
    to.set_decode_step_ms(report.decode_step_ms as f32);
    to.set_decode_step_per_request_ms(report.decode_step_per_request_ms as f32);
    to.set_max_batch(report.max_batch);
}

fn read_report(from: engine_report::Reader<'_>) -> Result<ReportDigest> {
    let role = match from.get_role() {
        0 => Role::Prefill,
        1 => Role::Decode,
        2 => Role::Mixed,
        other => return Err(Error::codec(format!("unknown role number {other}"))),
    };
    let report = LoadReport {
        boot: from.get_boot(),
        seq: from.get_seq(),
        age: Millis(u64::from(from.get_age_ms())),
        role,
        model: None,
        leaving: from.get_leaving(),
        queued_requests: from.get_queued_requests(),
        queued_prefill: Tokens(u64::from(from.get_queued_prefill_tokens())),
        running_requests: from.get_running_requests(),
        running_decode: Tokens(u64::from(from.get_running_decode_tokens())),
        prefill_tokens_per_s: from.get_prefill_tokens_per_s(),
        decode_step_ms: f64::from(from.get_decode_step_ms()),
        decode_step_per_request_ms: f64::from(from.get_decode_step_per_request_ms()),
        max_batch: from.get_max_batch(),
    };
    Ok(ReportDigest { engine: read_name(from.get_engine())?, report })
}

fn write_demand(item: &Item<DemandSection>, mut to: demand_section::Builder<'_>) {
    write_header(item, to.reborrow().init_header());
    to.set_hears_all(item.body.hears_all);
    let mut accounts = to.init_accounts(item.body.accounts.len() as u32);
    for (at, digest) in (0..).zip(&item.body.accounts) {
        let mut account: account_demand::Builder<'_> = accounts.reborrow().get(at);
        account.set_account(digest.account.as_str());
        // The cast saturates at the bounds of u32.
        account.set_milli_requests_per_s((digest.requests_per_s * 1_000.0) as u32);
        account.set_open_requests(digest.open_requests);
    }
}

fn read_demand(from: demand_section::Reader<'_>) -> Result<Item<DemandSection>> {
    let read_account = |digest: account_demand::Reader<'_>| {
        Ok(AccountDigest {
            account: read_name(digest.get_account())?,
            requests_per_s: f64::from(digest.get_milli_requests_per_s()) / 1_000.0,
            open_requests: digest.get_open_requests(),
        })
    };
    let accounts = from.get_accounts()?.iter().map(read_account).collect::<Result<_>>()?;
    read_item(from.get_header(), DemandSection { hears_all: from.get_hears_all(), accounts })
}

fn clamp(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

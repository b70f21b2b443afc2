//! The events that an instance logs, each with its fields, in one place.
//!
//! A line is logged for each decision that touches a request or changes what the instance believes.

use std::fmt::Display;

use anvilhook_core::units::Millis;

use crate::tables::TableError;

/// The target of lines about requests.
pub const REQUESTS: &str = "anvilhook::requests";

/// The target of lines about what is believed.
pub const BELIEFS: &str = "anvilhook::beliefs";

/// Logs that a table can't be reached.
pub fn dependency_lost(name: &str, err: &TableError) {
    log::warn!(target: BELIEFS, event = "dependency_lost", dependency = name, cause:% = err; "");
}

/// Logs that a table is reached again.
pub fn dependency_regained(name: &str, took: Millis) {
    let took_ms = took.0;
    log::info!(target: BELIEFS, event = "dependency_regained", dependency = name, took_ms; "");
}

/// Logs that a table's changes are no longer kept.
pub fn history_gone(name: &str, version: u64) {
    log::info!(target: BELIEFS, event = "history_gone", dependency = name, version; "");
}

/// Logs a row that can't be read.
pub fn unreadable(table: &str, key: &str, err: &dyn Display) {
    log::error!(target: BELIEFS, event = "unreadable_row", table, key, cause:% = err; "");
}

/// Logs a configuration that is now in force.
pub fn config_adopted(version: u64, before: Option<u64>) {
    log::info!(target: BELIEFS, event = "config_adopted", version, before:? = before; "");
}

/// Logs the upstreams that are now listed.
pub fn fleet_changed(listed: usize, draining: usize) {
    log::info!(target: BELIEFS, event = "fleet_changed", listed, draining; "");
}

/// Logs that an upstream turned out to be gone.
pub fn upstream_gone(upstream: &str, request: &str) {
    log::info!(target: BELIEFS, event = "upstream_gone", upstream, request; "");
}

/// Logs an attempt that did not bring an answer.
pub fn attempt_failed(request: &str, upstream: &str, stage: &str, verdict: &str, cause: &str) {
    log::warn!(
        target: REQUESTS,
        event = "attempt_failed", request, upstream, stage, verdict, cause; ""
    );
}

/// `Conclusion` is how a request ended.
#[derive(Debug)]
pub struct Conclusion<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Its route, if one was found.
    pub route: &'a str,
    /// The status that the caller got.
    pub status: u16,
    /// Why, in a word.
    pub reason: &'a str,
    /// The upstreams that it was sent to, in order.
    pub upstreams: String,
    /// The time from its arrival, in milliseconds.
    pub took_ms: u64,
    /// The configuration's version by which it was decided.
    pub config: u64,
}

/// Logs how a request ended, or when a stream began.
pub fn concluded(conclusion: &Conclusion<'_>) {
    let Conclusion { request, route, status, reason, upstreams, took_ms, config } = conclusion;
    let level = if *status < 400 { log::Level::Info } else { log::Level::Warn };
    log::log!(
        target: REQUESTS, level,
        event = "concluded", request, route, status, reason, upstreams = upstreams.as_str(),
        took_ms, config; ""
    );
}

/// Logs a stream that broke and what was done.
pub fn stream_broken(request: &str, upstream: &str, last_event: Option<u64>, outcome: &str) {
    log::warn!(
        target: REQUESTS,
        event = "stream_broken", request, upstream, last_event:? = last_event, outcome; ""
    );
}

/// Logs an order to an engine.
pub fn order_given(upstream: &str, role: &str, token: u64, outcome: &str) {
    log::info!(
        target: BELIEFS, event = "order_given", upstream, role, token, outcome; ""
    );
}

/// Logs a lease that was taken or not.
pub fn lease(outcome: &str, token: u64) {
    log::info!(target: BELIEFS, event = "lease", outcome, token; "");
}

/// Logs the start of an instance.
pub fn started(name: &str, zone: &str, version: &str) {
    log::info!(target: BELIEFS, event = "started", instance = name, zone, version; "");
}

/// Logs a signal and what it leads to.
pub fn signalled(signal: &str, in_flight: u64) {
    log::info!(target: BELIEFS, event = "signalled", signal, in_flight; "");
}

/// Logs the end of an instance.
pub fn stopped(in_flight: u64) {
    log::info!(target: BELIEFS, event = "stopped", in_flight; "");
}

//! Tests that unreadable rows and settings are reported by a metric, and by one log line for each
//! version.
//!
//! The log belongs to the process, so the tests distinguish their lines by the rows' keys.

mod support;

use std::net::SocketAddr;

use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_gateway::budgets::BudgetOptions;
use anvilhook_gateway::followers::{ConfigFollower, EntryFollower, Follow};
use anvilhook_gateway::policies::Policy;
use anvilhook_gateway::reloads::{OptionSource, Reloader, Reread, Tunables};
use anvilhook_gateway::tables::Row;
use support::fronts::{TestGateway, ample_budget, gateway};
use support::logs::{lines_with, store_lines};

/// Returns the lines logged so far about unreadable rows or settings that contain `text`.
fn reports_with(text: &str) -> Vec<String> {
    let of_event = |event: &str| lines_with(&[event, text]);
    let reports = ["\"unreadable_row\"", "\"settings_refused\""].map(of_event).concat();
    reports.into_iter().map(|(_, line)| line).collect()
}

fn new_gateway() -> TestGateway {
    store_lines();
    gateway(SystemClock::new(), None, Vec::new(), ample_budget())
}

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    let value = value.map(|value| value.to_owned().into());
    Row { key: key.to_owned(), value, version }
}

fn count(gateway: &TestGateway, source: &str) -> u64 {
    let text = gateway.metrics_text();
    let line = format!("anvilhook_gateway_unreadable_total{{name=\"{source}\"}} ");
    let value = text.lines().find_map(|text| text.strip_prefix(&line));
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// Guards against a log that is full of one row, and against an unreadable row that is never
/// reported. The row stays while the whole table is read repeatedly; then it is rewritten
/// unreadable, fixed, and corrupted once more. Each read used to report it; now each version does.
#[test]
fn verify_each_version_of_a_row_is_reported_once() {
    let gateway = new_gateway();
    let mut follower = EntryFollower::new(gateway.clone(), SystemClock::new());
    let reported = || (reports_with("\"corrupt-entry\"").len(), count(&gateway, "upstreams"));

    for _ in 0..5 {
        follower
            .reset(&[row("corrupt-entry", Some("rubbish"), 3), row("good", Some("ready 1"), 2)]);
    }
    assert_eq!(reported(), (1, 1));
    follower.change(&[row("corrupt-entry", Some("rubbish"), 3)]);
    assert_eq!(reported(), (1, 1), "the same version, as a change");
    follower.change(&[row("corrupt-entry", Some("other rubbish"), 4)]);
    assert_eq!(reported(), (2, 2));
    follower.change(&[row("corrupt-entry", Some("ready 1"), 5)]);
    follower.change(&[row("corrupt-entry", Some("rubbish"), 6)]);
    follower.change(&[row("corrupt-entry", None, 7)]);
    assert_eq!(reported(), (3, 3));
    follower.reset(&[row("good", Some("ready 1"), 2)]);
    assert_eq!(reported(), (3, 3));
    assert!(gateway.fleet().view().get("good").is_some());
}

/// Guards against an unreadable configuration that is never reported. Its row is corrupted, and the
/// whole table is read repeatedly. Each version is reported once, and the applied configuration
/// stays.
#[test]
fn verify_an_unreadable_configuration_is_reported_and_changes_nothing() {
    let gateway = new_gateway();
    let mut follower = ConfigFollower::new(gateway.clone());
    follower.reset(&[row("current", Some("7"), 1)]);

    for _ in 0..5 {
        follower.reset(&[row("current", Some("rubbish"), 2)]);
    }
    follower.change(&[row("current", Some("-1"), 3)]);

    assert_eq!(count(&gateway, "configs"), 2);
    assert_eq!(reports_with("\"current\"").len(), 2);
    assert_eq!(gateway.config().map(|config| config.version), Some(7));
}

/// Guards against one log line that takes the space of thousands. The key and the value of an
/// unreadable row are as long as rows may be, and both used to be logged in full.
#[test]
fn verify_lines_with_external_text_are_bounded() {
    let gateway = new_gateway();
    let mut follower = EntryFollower::new(gateway, SystemClock::new());
    let key = format!("long-key-{}", "\u{e9}".repeat(100_000));

    follower.reset(&[row(&key, Some("rubbish"), 1)]);

    let lines = reports_with("long-key-");
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() < 1_000, "{} bytes", lines[0].len());
}

/// `Refused` is a source of settings that can't be used.
struct Refused;

impl OptionSource for Refused {
    fn reread(&mut self, _is_asked: bool) -> Result<Option<Reread>, String> {
        Err(format!("settings.json: zone: refused-{}", "x".repeat(100_000)))
    }
}

/// Guards against an instance that keeps running with old settings without a report. The settings
/// are corrupted while it runs; they are reported by a log line and a counter, and the active
/// settings stay.
#[test]
fn verify_unusable_settings_are_reported_and_change_nothing() {
    let gateway = new_gateway();
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let budget = BudgetOptions { share: 0.1, spare: 1.0, window: Millis(1_000) };
    let tunables =
        Tunables { grace: Millis(8_000), budget, seeds: Vec::new(), policy: Policy::default() };
    let mut reloader = Reloader::new(Refused, gateway.clone(), own, tunables.clone());

    reloader.check(true);

    assert_eq!(count(&gateway, "settings"), 1);
    let lines = reports_with("refused-");
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() < 1_000, "{} bytes", lines[0].len());
    assert_eq!(reloader.tunables(), &tunables);
}

//! What can't be read is told: by a metric, and by one line of the log for each version.
//!
//! The log is the process's, so the tests tell their lines apart by the rows' keys.

mod support;

use std::net::SocketAddr;
use std::sync::Mutex;

use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_gateway::budgets::BudgetOptions;
use anvilhook_gateway::events::json_of;
use anvilhook_gateway::followers::{ConfigFollower, EntryFollower, Follow};
use anvilhook_gateway::reloads::{OptionSource, Reloader, Reread, Tunables};
use anvilhook_gateway::tables::Row;
use log::{LevelFilter, Log, Metadata, Record};
use support::fronts::{TestGateway, ample_budget, gateway};

/// `Lines` keeps the events that were logged.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().expect("no panic").extend(json_of(record));
    }

    fn flush(&self) {}
}

/// Returns the lines so far of what can't be read that hold a text.
fn lines_with(text: &str) -> Vec<String> {
    let is_told = |line: &str| {
        ["\"unreadable_row\"", "\"settings_refused\""].iter().any(|event| line.contains(event))
    };
    let lines = LINES.0.lock().expect("no panic");
    lines.iter().filter(|line| is_told(line) && line.contains(text)).cloned().collect()
}

fn new_gateway() -> TestGateway {
    // Another test may have set the logger already.
    if log::set_logger(&LINES).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
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

/// Symptom: the log is full of one row, or nobody learns that a row can't be read.
/// Sequence: a row that can't be read stays while the table is read whole again and again; then another
/// one is written, it is mended, and it is spoilt once more.
/// Cause: each reading told it; now each version does.
#[test]
fn verify_each_version_of_a_row_is_told_once() {
    let gateway = new_gateway();
    let mut follower = EntryFollower::new(gateway.clone(), SystemClock::new());
    let told = || (lines_with("\"spoilt-entry\"").len(), count(&gateway, "upstreams"));

    for _ in 0..5 {
        follower.reset(&[row("spoilt-entry", Some("rubbish"), 3), row("good", Some("ready 1"), 2)]);
    }
    assert_eq!(told(), (1, 1));
    follower.change(&[row("spoilt-entry", Some("rubbish"), 3)]);
    assert_eq!(told(), (1, 1), "the same version, by another way");
    follower.change(&[row("spoilt-entry", Some("other rubbish"), 4)]);
    assert_eq!(told(), (2, 2));
    follower.change(&[row("spoilt-entry", Some("ready 1"), 5)]);
    follower.change(&[row("spoilt-entry", Some("rubbish"), 6)]);
    follower.change(&[row("spoilt-entry", None, 7)]);
    assert_eq!(told(), (3, 3));
    follower.reset(&[row("good", Some("ready 1"), 2)]);
    assert_eq!(told(), (3, 3));
    assert!(gateway.fleet().view().get("good").is_some());
}

/// Symptom: nobody learns that the configuration can't be read.
/// Sequence: its row is spoilt, and read whole again and again.
/// Cause: each version is told once, and the configuration in force stays.
#[test]
fn verify_a_configuration_that_cannot_be_read_is_told_and_changes_nothing() {
    let gateway = new_gateway();
    let mut follower = ConfigFollower::new(gateway.clone());
    follower.reset(&[row("current", Some("7"), 1)]);

    for _ in 0..5 {
        follower.reset(&[row("current", Some("rubbish"), 2)]);
    }
    follower.change(&[row("current", Some("-1"), 3)]);

    assert_eq!(count(&gateway, "configs"), 2);
    assert_eq!(lines_with("\"current\"").len(), 2);
    assert_eq!(gateway.config().map(|config| config.version), Some(7));
}

/// Symptom: one line of the log takes the place of thousands.
/// Sequence: the key of a row that can't be read, and what stands in it, are as long as rows may be.
/// Cause: both were told whole.
#[test]
fn verify_lines_about_foreign_texts_are_bounded() {
    let gateway = new_gateway();
    let mut follower = EntryFollower::new(gateway, SystemClock::new());
    let key = format!("long-key-{}", "\u{e9}".repeat(100_000));

    follower.reset(&[row(&key, Some("rubbish"), 1)]);

    let lines = lines_with("long-key-");
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() < 1_000, "{} bytes", lines[0].len());
}

/// `Refused` are settings that can't be used.
struct Refused;

impl OptionSource for Refused {
    fn reread(&mut self, _is_asked: bool) -> Result<Option<Reread>, String> {
        Err(format!("settings.json: zone: refused-{}", "x".repeat(100_000)))
    }
}

/// Symptom: nobody learns that an instance goes on by old settings.
/// Sequence: the settings are spoilt while it runs.
/// Cause: they are told by a line and a count, and what was in force stays.
#[test]
fn verify_settings_that_cannot_be_used_are_told_and_change_nothing() {
    let gateway = new_gateway();
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let budget = BudgetOptions { share: 0.1, spare: 1.0, window: Millis(1_000) };
    let tunables = Tunables { grace: Millis(8_000), budget, seeds: Vec::new() };
    let mut reloader = Reloader::new(Refused, gateway.clone(), own, tunables.clone());

    reloader.check(true);

    assert_eq!(count(&gateway, "settings"), 1);
    let lines = lines_with("refused-");
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() < 1_000, "{} bytes", lines[0].len());
    assert_eq!(reloader.tunables(), &tunables);
}

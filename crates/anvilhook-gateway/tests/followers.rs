//! Following the tables: lapses, old reports, outages, and configurations that never go back.

mod support;

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::{Clock, Millis, SystemClock};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::entries::EntryRegistry;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::followers::{ConfigFollower, EntryFollower, Follow, follow};
use anvilhook_gateway::peers::{FollowedTable, TableVersion};
use anvilhook_gateway::tables::Row;
use futures_util::FutureExt;
use support::fronts::{TestGateway, ample_budget, config_of_version, start};
use support::tables::{Fault, MemoryTable};
use support::until;
use support::wires::entry;

/// How long a call waits for changes.
const WAIT: Millis = Millis(1_800);

fn report(id: &str, draining: bool, sequence: u64) -> Entry {
    Entry { draining, sequence, ..entry(id, 1) }
}

fn ids(book: &EntryRegistry) -> Vec<String> {
    let mut ids: Vec<_> = book.entries().map(|entry| entry.id.to_string()).collect();
    ids.sort();
    ids
}

/// Symptom: requests go to an upstream that is leaving or gone.
/// Sequence: a report that was held up arrives after a newer one.
/// Cause: the reports' numbers, not their arrival, give their order.
#[test]
fn verify_an_old_report_changes_nothing() {
    let draining = |book: &EntryRegistry| book.entries().any(|entry| entry.draining);
    let mut book = EntryRegistry::new();
    book.put(report("a", false, 1));
    book.put(report("a", true, 3));

    assert!(!book.put(report("a", false, 2)), "an older report");
    assert!(draining(&book));
    book.put(report("a", false, 4));
    assert!(draining(&book), "leaving is never taken back");

    assert!(book.remove("a", Millis(10)));
    assert!(!book.put(report("a", false, 4)), "a report from before the removal");
    assert!(ids(&book).is_empty());
    assert!(book.put(report("a", false, 5)), "one from after it");
}

/// Symptom: all upstreams vanish after an outage of the table, though they run.
/// Sequence: the table is away; entries lapse, for the upstreams can't report; it returns.
/// Cause: entries are given time to be back. One that is leaving, or still missing then, is gone.
#[test]
fn verify_lapsed_entries_have_time_to_be_back() {
    let mut book = EntryRegistry::new();
    for id in ["back", "late", "gone"] {
        book.put(report(id, false, 1));
    }
    book.put(report("leaving", true, 1));
    book.regained(Millis(10_000));

    book.reset(Vec::new(), Millis(10_000));
    assert_eq!(ids(&book), ["back", "gone", "late"]);
    book.put(report("back", false, 2));
    assert!(!book.expire(Millis(11_900)));
    book.put(report("late", false, 2));
    assert!(book.expire(Millis(12_200)));

    assert_eq!(ids(&book), ["back", "late"]);
    assert!(book.remove("back", Millis(12_201)), "no grace beyond the return");
}

/// Symptom: an upstream that left gets work three seconds after the end of a cut.
/// Sequence: a call is sent just before the cut's end and hangs; the upstream's entry is removed
/// after the end; a second later the return is noticed, and the removal is taken for a lapse.
/// Cause: the time for entries to be back counts from when the table was last known to be away.
#[test]
fn verify_a_late_notice_of_the_return_gives_no_more_time() {
    // When the last failed call was sent, when the return was noticed, and when the grace is over.
    let cases = [(26_474, 27_598, 29_174), (9_990, 10_000, 12_200), (8_000, 10_000, 10_700)];
    for (last_away, noticed, expected) in cases {
        let mut book = EntryRegistry::new();
        book.put(report("left", false, 1));
        book.regained(Millis(noticed));
        book.bound_grace(Millis(last_away));

        assert!(!book.remove("left", Millis(noticed)));

        assert_eq!(book.next_expiry(), Some(Millis(expected)));
        assert!(!book.expire(Millis(expected - 1)));
        assert!(book.expire(Millis(expected)));
        assert!(ids(&book).is_empty());
    }
}

/// Symptom: an upstream that runs never gets work again.
/// Sequence: it starts again under the id that it had; its reports begin anew at a low number, and
/// reports of the start before arrive among them, in any order.
/// Cause: the start comes before the number in the order of reports, and a later start neither
/// leaves nor is gone because the earlier one was.
#[test]
fn verify_a_later_start_under_the_same_id_counts_anew() {
    let of =
        |born: Option<u64>, draining, sequence| Entry { born, ..report("a", draining, sequence) };
    let (before, after) = (Some(1_000), Some(2_000));
    // The entries in order of arrival, and which start counts in the end and whether it is leaving.
    let cases = [
        (vec![of(before, false, 9), of(after, false, 1)], after, false),
        (vec![of(before, true, 9), of(after, false, 1)], after, false),
        (vec![of(after, false, 1), of(before, false, 9)], after, false),
        (vec![of(after, false, 1), of(before, true, 9)], after, false),
        (vec![of(before, false, 9), of(after, false, 1), of(before, true, 10)], after, false),
        (vec![of(after, true, 1), of(after, false, 2)], after, true),
        (vec![of(None, true, 9), of(after, false, 1)], after, false),
        (vec![of(after, false, 1), of(None, true, 9)], after, false),
        // The clock of an upstream's start may stand far off: it is compared only with itself.
        (vec![of(Some(0), false, 9), of(Some(u64::MAX), false, 1)], Some(u64::MAX), false),
    ];
    for (entries, born, draining) in cases {
        for is_removed_between in [false, true] {
            let mut book = EntryRegistry::new();
            for (at, entry) in entries.iter().enumerate() {
                if is_removed_between && at > 0 && entry.born > entries[at - 1].born {
                    assert!(book.remove("a", Millis(10)));
                }
                book.put(entry.clone());
            }

            let left: Vec<_> = book.entries().map(|entry| (entry.born, entry.draining)).collect();

            assert_eq!(left, [(born, draining)], "{entries:?} {is_removed_between}");
        }
    }
}

/// Symptom: requests go to an address that a foreign writer put into the table, or an upstream whose
/// row was overwritten stays away for good.
/// Sequence: a row is overwritten by bytes that can't be read; the upstream reports again, with its
/// next number.
/// Cause: a row that can't be read names no upstream, and says nothing of the upstream's own reports.
#[test]
fn verify_an_overwritten_row_names_nobody_until_the_upstream_reports_again() {
    let mut book = EntryRegistry::new();
    book.put(report("a", false, 4));
    book.put(report("b", false, 4));

    assert!(book.discard("a", Millis(10)));
    assert!(!book.discard("unheard of", Millis(10)));

    assert_eq!(ids(&book), ["b"]);
    assert!(!book.put(report("a", false, 3)), "an older report than the overwritten one");
    assert!(book.put(report("a", false, 4)));
}

/// Symptom: an upstream whose row was overwritten stays away for good, though it reports again.
/// Sequence: the row is spoilt, and the table is read whole; the upstream reports with the number that it
/// has.
/// Cause: what the whole table lacked was taken for removed, also a row that stands there and can't be read.
#[tokio::test]
async fn verify_an_overwritten_row_is_no_removal_where_the_table_is_read_whole() {
    let gateway = gateway().await;
    let row = |key: &str, value: &str, version| Row {
        key: key.to_owned(),
        value: Some(value.to_owned().into()),
        version,
    };
    let mut follower = EntryFollower::new(gateway.clone(), SystemClock::new());
    let listed = |id: &str| gateway.fleet().view().get(id).is_some();
    follower.reset(&[row("a", "ready 4", 1), row("b", "ready 4", 2)]);

    follower.reset(&[row("a", "rubbish", 3), row("b", "ready 4", 2)]);
    assert!(!listed("a") && listed("b"));
    follower.change(&[row("a", "ready 3", 4)]);
    assert!(!listed("a"), "an older report than the overwritten one");
    follower.change(&[row("a", "ready 4", 5)]);

    assert!(listed("a"));
}

/// Symptom: requests go to an address that nobody listens at, for two seconds after an outage.
/// Sequence: the table was away; a row is spoilt, and the table is read whole.
/// Cause: the row was taken for one that lapsed in the outage, and its entry given time to be back.
#[tokio::test]
async fn verify_an_overwritten_row_names_nobody_after_an_outage() {
    let gateway = gateway().await;
    let row = |value: &str, version| Row {
        key: "a".to_owned(),
        value: Some(value.to_owned().into()),
        version,
    };
    let clock = SystemClock::new();
    let mut follower = EntryFollower::new(gateway.clone(), clock);
    follower.reset(&[row("ready 4", 1)]);

    follower.regained(clock.now());
    follower.reset(&[row("rubbish", 2)]);

    assert!(gateway.fleet().view().get("a").is_none());
}

async fn gateway() -> TestGateway {
    start(None, Vec::new(), ample_budget()).await.gateway
}

/// Returns a gateway that follows the configuration in a table, and has its first version.
async fn following_config() -> (TestGateway, MemoryTable) {
    let gateway = gateway().await;
    let table = MemoryTable::default();
    table.put("configs", "current", Some("1"));
    let follower = ConfigFollower::new(gateway.clone());
    tokio::spawn(follow(table.clone(), SystemClock::new(), WAIT, follower));
    until(|| gateway.config().is_some()).await;
    (gateway, table)
}

/// Symptom: an instance goes back to an older configuration.
/// Sequence: an older version is read after a newer one, or the changes' history is gone.
/// Cause: a version is put in force only above the one in force.
#[tokio::test]
async fn verify_the_configuration_only_moves_on() {
    let gateway = gateway().await;
    let table = MemoryTable::default();
    let clock = SystemClock::new();
    let version = || gateway.config().map_or(0, |config| config.version);
    table.put("configs", "current", Some("7"));
    tokio::spawn(follow(table.clone(), clock, WAIT, ConfigFollower::new(gateway.clone())));
    until(|| version() == 7).await;

    table.put("configs", "current", Some("5"));
    table.put("configs", "other", Some("99"));
    table.put("configs", "current", Some("rubbish"));
    table.set_fault(Fault::HistoryGone);
    table.put("configs", "current", Some("8"));

    until(|| version() == 8).await;
    assert!(table.calls().1 >= 2, "the table was read anew");
    gateway.adopt_config(config_of_version(6, Repeats::Idempotent, 1, false));
    assert_eq!(version(), 8);
}

/// Symptom: a change is in force seconds late after the table's return.
/// Sequence: a call that waits for changes is sent while the table is away and hears nothing.
/// Cause: while the table is away, calls must not wait for changes.
#[tokio::test]
async fn verify_calls_do_not_wait_while_the_table_is_away() {
    let (gateway, table) = following_config().await;
    let first_waits = || table.calls().0;
    until(|| !first_waits().is_empty()).await;

    table.set_fault(Fault::Unavailable);
    until(|| first_waits().len() >= 4).await;
    table.set_fault(Fault::None);
    table.put("configs", "current", Some("2"));
    until(|| gateway.config().is_some_and(|config| config.version == 2)).await;

    let waits = first_waits();
    assert_eq!(waits[0], WAIT);
    assert_eq!(waits[2..4], [Millis::ZERO, Millis::ZERO]);
}

/// Symptom: an instance keeps an old configuration for as long as the history of changes reaches.
/// Sequence: the table is away while several versions are written; all of them together are too
/// large to be read in the time of a call.
/// Cause: what stands there now is read in place of the changes.
#[tokio::test]
async fn verify_changes_too_large_to_be_read_are_not_asked_for_again() {
    let (gateway, table) = following_config().await;

    table.set_fault(Fault::Unavailable);
    until(|| table.refused() > 0).await;
    table.put("configs", "current", Some("2"));
    table.set_fault(Fault::LargeChanges);

    until(|| gateway.config().is_some_and(|config| config.version == 2)).await;
}

/// Symptom: an upstream that has left gets work, or one that runs gets none.
/// Sequence: entries appear, begin to leave, vanish, and lapse in an outage.
/// Cause: the fleet is the listed entries, kept through the outage.
#[tokio::test]
async fn verify_the_fleet_follows_the_entries() {
    let gateway = gateway().await;
    let table = MemoryTable::default();
    table.put("upstreams", "a", Some("ready 1"));
    table.put("upstreams", "b", Some("ready 1"));
    let clock = SystemClock::new();
    let follower = EntryFollower::new(gateway.clone(), clock);
    tokio::spawn(follow(table.clone(), clock, WAIT, follower));
    let takes_work = |id: &str| gateway.fleet().takes_work(id, Millis::ZERO);
    until(|| takes_work("a") && takes_work("b")).await;

    table.put("upstreams", "a", Some("leaving 2"));
    until(|| !takes_work("a")).await;
    table.put("upstreams", "a", Some("ready 1"));
    table.set_fault(Fault::Unavailable);
    until(|| table.calls().0.ends_with(&[Millis::ZERO])).await;
    table.put("upstreams", "b", None);
    table.put("upstreams", "c", Some("ready 1"));
    table.set_fault(Fault::None);
    until(|| takes_work("c")).await;

    assert!(takes_work("b"), "it lapsed in the outage and has time to be back");
    assert!(!takes_work("a"));
    until(|| !takes_work("b")).await;
}

/// Symptom: a new instance refuses all requests as if there were no upstreams.
/// Sequence: the first reading finds a row that can't be read.
/// Cause: one bad row must not hide the others.
#[tokio::test]
async fn verify_one_bad_row_hides_no_other() {
    let gateway = gateway().await;
    let table = MemoryTable::default();
    table.put("upstreams", "bad", Some("rubbish"));
    table.put("upstreams", "good", Some("ready 1"));
    let clock = SystemClock::new();
    let follower = EntryFollower::new(gateway.clone(), clock);

    tokio::spawn(follow(table, clock, WAIT, follower));

    let fleet = gateway.clone();
    until(move || fleet.fleet().takes_work("good", Millis::ZERO)).await;
    let listed: Vec<Arc<str>> =
        gateway.fleet().view().all().map(|upstream| upstream.entry.id.clone()).collect();
    assert_eq!(listed, [Arc::from("good")]);
}

/// Symptom: the start of many upstreams costs each instance a call to the table for each of them.
/// Sequence: forty upstreams register one after the other within a second.
/// Cause: after a change, further ones gather for a moment before they are asked for.
#[tokio::test(start_paused = true)]
async fn verify_upstreams_that_start_together_are_read_together() {
    const UPSTREAMS: usize = 40;
    let gateway = gateway().await;
    let table = MemoryTable::default();
    let clock = SystemClock::new();
    tokio::spawn(follow(table.clone(), clock, WAIT, EntryFollower::new(gateway.clone(), clock)));

    for at in 0..UPSTREAMS {
        table.put("upstreams", &format!("u{at}"), Some("ready 1"));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    until(|| gateway.fleet().view().all().count() == UPSTREAMS).await;

    let (waits, scans) = table.calls();
    assert!(waits.len() + scans <= 8, "{} calls", waits.len() + scans);
}

/// Symptom: an instance sends requests to an upstream that left twenty seconds before.
/// Sequence: there are many instances, so that each call for changes waits long; the connection of
/// one goes silent, and then the upstream leaves. Another instance hears of it and tells.
/// Cause: whoever hears of a change that its own call does not bring asks the table again.
#[tokio::test]
async fn verify_a_silent_connection_is_noticed_by_what_peers_tell() {
    let gateway = gateway().await;
    let table = MemoryTable::default();
    table.put("upstreams", "a", Some("ready 1"));
    let clock = SystemClock::new();
    let follower = EntryFollower::new(gateway.clone(), clock);
    tokio::spawn(follow(table.clone(), clock, Millis(600_000), follower));
    until(|| gateway.fleet().view().get("a").is_some()).await;
    until(|| !table.calls().0.is_empty()).await;
    table.set_fault(Fault::NoResponse);
    table.put("upstreams", "a", Some("leaving 2"));

    gateway.peers().version_of(FollowedTable::Entries).record_announced(table.version());

    until(|| !gateway.fleet().takes_work("a", Millis::ZERO)).await;
    assert_eq!(table.calls().0.last(), Some(&Millis::ZERO), "no further call that may go silent");
}

/// Symptom: the table is asked for ever for a version that it does not have.
/// Sequence: a peer tells of a version that no row bears.
/// Cause: what was told of is asked for once.
#[tokio::test]
async fn verify_a_version_that_nobody_can_read_is_asked_for_once() {
    let version = TableVersion::default();
    version.record_own(5);
    version.record_announced(9);

    version.wait_for_newer(5).await;
    version.record_queried(version.announced());

    assert!(version.wait_for_newer(5).now_or_never().is_none());
    version.record_announced(8);
    assert!(version.wait_for_newer(5).now_or_never().is_none(), "an older one");
    version.record_announced(10);
    assert!(version.wait_for_newer(5).now_or_never().is_some());
}

/// Symptom: an upstream that has left gets work for seconds beyond its notice, until some other entry
/// changes.
/// Sequence: two entries lapse one after the other, around an outage of which others tell again and
/// again; so each has an end of its own to the time in which it may be back. Then nothing changes.
/// Cause: only the first of those ends was waited for.
#[tokio::test]
async fn verify_each_lapsed_entry_goes_at_its_own_time() {
    let gateway = gateway().await;
    let clock = SystemClock::new();
    let row = |key: &str, value: Option<&str>, version| Row {
        key: key.to_owned(),
        value: value.map(|value| value.to_owned().into()),
        version,
    };
    let mut follower = EntryFollower::new(gateway.clone(), clock);
    follower.reset(&[row("a", Some("ready 1"), 1), row("b", Some("ready 1"), 2)]);

    for (key, version) in [("a", 3), ("b", 4)] {
        follower.regained(clock.now());
        follower.change(&[row(key, None, version)]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(gateway.fleet().view().all().count(), 2, "both have time to be back");
    until(|| gateway.fleet().view().all().count() == 0).await;
}

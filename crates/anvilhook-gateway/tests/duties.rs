//! Duties at the platform's API: one holder at a time, one report a window, and engines by a fresh list.

mod support;

use std::sync::Arc;

use anvilhook_core::api_keys::{AccountRegistry, ClientAccount, KeyHasher};
use anvilhook_core::fleet_size::{EngineKind, ScalingSpec, SizeOptions};
use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, ManualClock, Millis, WallTime};
use anvilhook_core::usage::{Source, Windows};
use anvilhook_gateway::clouds::{CloudAnswer, FleetOrder};
use anvilhook_gateway::configs::{Config, Repeats, ServiceSpec};
use anvilhook_gateway::duties::{DutyOptions, DutyRunner};
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::relay::Gateway;
use support::clouds::MemoryCloud;
use support::fronts::{
    ample_budget, config_of_version, gateway, route, start_with_clock, with_long_timeouts,
};
use support::tables::{Fault, MemoryTable};
use support::upstreams::{Step, Upstream, refusal, signed};
use support::wires::{TestWire, entry, limits};

const WINDOW: Millis = Millis(5_000);
const DUE: Millis = Millis(10_000);
const LEASE: Millis = Millis(3_000);
const OWN: Source = Source::Instance { zone: 1, number: 1 };

type TestKeeper = DutyRunner<TestWire, MemoryTable, ManualClock, MemoryCloud>;

/// `Site` is instances before one table and one API, on one clock.
struct Site {
    clock: ManualClock,
    table: MemoryTable,
    cloud: MemoryCloud,
}

/// `TestInstance` is one of them.
struct TestInstance {
    gateway: Gateway<TestWire, ManualClock>,
    keeper: TestKeeper,
}

fn site() -> Site {
    let (table, cloud) = (MemoryTable::default(), MemoryCloud::default());
    Site { clock: ManualClock::new(), table, cloud }
}

fn keyed(repeats: Repeats) -> Config {
    let mut accounts = AccountRegistry::new(KeyHasher::new([3; 32]));
    accounts.try_add(kitchen(), ["good-key"]).expect("a good key");
    with_long_timeouts(&config_of_version(1, repeats, 2, false)).with_accounts(accounts)
}

fn kitchen() -> ClientAccount {
    ClientAccount { name: Arc::from("kitchen"), priority: None }
}

impl Site {
    fn instance(&self, name: &str) -> TestInstance {
        let config = Some(keyed(Repeats::Idempotent));
        let gateway = gateway(self.clock.clone(), config, Vec::new(), ample_budget());
        let options = DutyOptions {
            lease: LEASE,
            usage_due: Some(DUE),
            sizes: None,
            late_calls: Millis::ZERO,
        };
        let (table, clock, cloud) = (self.table.clone(), self.clock.clone(), self.cloud.clone());
        let keeper =
            DutyRunner::new(gateway.clone(), table, clock, cloud, name.to_owned(), options);
        TestInstance { gateway, keeper }
    }

    /// Lets time go on into the next window, to so long after its beginning.
    fn enter_next_window(&self, instance: &TestInstance, after: Millis) -> u64 {
        let windows = Windows::of(WINDOW);
        let time = instance.gateway.usage().time(self.clock.now());
        let ended = windows.at(time);
        let WallTime(end) = windows.end(ended);
        self.clock.advance(Millis(end - time.0) + after);
        ended
    }
}

impl TestInstance {
    fn count(&self, requests: usize, clock: &ManualClock) {
        for _ in 0..requests {
            self.gateway.usage().count(OWN, &kitchen(), clock.now());
        }
    }

    /// Looks for long enough that a lease which has lapsed is taken.
    async fn look_on(&mut self, clock: &ManualClock) {
        for _ in 0..20 {
            self.keeper.run_once().await;
            clock.advance(Millis(250));
        }
    }
}

fn counts(requests: u32) -> Vec<(Arc<str>, u32)> {
    vec![(Arc::from("kitchen"), requests)]
}

/// The usage of a window is missing, off, or reported before it is complete.
#[tokio::test]
async fn verify_each_window_is_reported_once_after_its_end() {
    let site = site();
    let mut one = site.instance("one");
    site.enter_next_window(&one, Millis(100));
    one.count(3, &site.clock);

    let window = site.enter_next_window(&one, Millis(1_000));
    one.keeper.run_once().await;
    assert!(site.cloud.reports().iter().all(|called| called.report.window < window));
    site.clock.advance(Millis(2_000));
    one.keeper.run_once().await;
    one.keeper.run_once().await;

    let reports = site.cloud.reports();
    let of_window: Vec<_> = reports.iter().filter(|one| one.report.window == window).collect();
    assert_eq!(of_window.len(), 1, "{reports:?}");
    assert_eq!(of_window[0].report.counts, counts(3));
}

/// A window has two reports that differ: the answer to the first was lost, and counts came late.
#[tokio::test]
async fn verify_a_report_is_repeated_only_as_it_was() {
    let site = site();
    let mut one = site.instance("one");
    site.enter_next_window(&one, Millis(100));
    one.count(3, &site.clock);
    let began_at = site.clock.now();
    let window = site.enter_next_window(&one, Millis(3_000));

    site.cloud.set_answers(&[CloudAnswer::Busy, CloudAnswer::NoAnswer]);
    one.keeper.run_once().await;
    one.gateway.usage().count(OWN, &kitchen(), began_at);
    one.look_on(&site.clock).await;

    let reports = site.cloud.reports();
    let of_window: Vec<_> = reports.iter().filter(|one| one.report.window == window).collect();
    assert_eq!(of_window.len(), 3, "{reports:?}");
    assert!(of_window.iter().all(|called| called.report.counts == counts(3)), "{reports:?}");
}

/// A successor reports its own sum of a window that its predecessor has reported, whose call is yet to be
/// carried out.
#[tokio::test]
async fn verify_a_successor_sends_what_was_written() {
    let site = site();
    let (mut one, mut two) = (site.instance("one"), site.instance("two"));
    site.enter_next_window(&one, Millis(100));
    one.count(3, &site.clock);
    two.count(5, &site.clock);
    let window = site.enter_next_window(&one, Millis(2_500));

    site.cloud.set_answers(&[CloudAnswer::NoAnswer]);
    one.keeper.run_once().await;
    two.look_on(&site.clock).await;

    let reports = site.cloud.reports();
    let of_window: Vec<_> = reports.iter().filter(|one| one.report.window == window).collect();
    assert_eq!(of_window.len(), 2, "{reports:?}");
    assert_eq!((&*of_window[0].holder, &*of_window[1].holder), ("one", "two"));
    assert!(of_window[0].token < of_window[1].token, "{reports:?}");
    assert_eq!(of_window[1].report.counts, counts(3));
}

/// Two holders act in turns within a lease.
#[tokio::test]
async fn verify_nobody_acts_while_another_holds_the_lease() {
    let site = site();
    let (mut one, mut two) = (site.instance("one"), site.instance("two"));
    site.enter_next_window(&one, Millis(2_500));
    one.keeper.run_once().await;
    let before = site.cloud.reports().len();

    two.keeper.run_once().await;
    site.clock.advance(LEASE);
    two.keeper.run_once().await;

    assert_eq!((before, site.cloud.reports().len()), (1, 1));
}

/// A holder that was suspended calls with the token of a lease that another one has taken since.
#[tokio::test]
async fn verify_a_holder_that_wakes_up_reads_its_lease_anew() {
    let site = site();
    let (mut one, mut two) = (site.instance("one"), site.instance("two"));
    site.enter_next_window(&one, Millis(2_500));
    one.keeper.run_once().await;
    two.keeper.run_once().await;
    site.enter_next_window(&one, Millis(2_500));
    two.keeper.run_once().await;
    assert_eq!(site.cloud.reports().last().map(|called| &*called.holder), Some("two"));

    site.enter_next_window(&one, Millis(2_500));
    two.keeper.run_once().await;
    let calls = site.cloud.reports().len();
    one.keeper.run_once().await;

    assert_eq!(site.cloud.reports().len(), calls);
}

/// A holder's token rises with each renewal, and a call of its own that is carried out late counts as an
/// earlier holder's.
#[tokio::test]
async fn verify_a_holder_keeps_its_token() {
    let site = site();
    let mut one = site.instance("one");
    for _ in 0..3 {
        site.enter_next_window(&one, Millis(2_500));
        one.keeper.run_once().await;
    }

    let tokens: Vec<_> = site.cloud.reports().iter().map(|called| called.token).collect();
    assert_eq!(tokens.len(), 3);
    assert!(tokens.iter().all(|token| *token == tokens[0]), "{tokens:?}");
}

/// A holder whom the platform has told of a newer one goes on calling.
#[tokio::test]
async fn verify_a_fenced_holder_leaves_the_newer_one_its_time() {
    let site = site();
    let mut one = site.instance("one");
    site.enter_next_window(&one, Millis(2_500));
    site.cloud.set_answers(&[CloudAnswer::Conflict]);

    one.keeper.run_once().await;
    site.clock.advance(LEASE);
    one.keeper.run_once().await;

    assert_eq!(site.cloud.reports().len(), 1);
}

/// A report is sent though nobody could write it, or a lease whose writing got no answer is used.
#[tokio::test]
async fn verify_nothing_is_sent_while_the_table_is_away() {
    for fault in [Fault::Unavailable, Fault::AnswersLost] {
        let site = site();
        let mut one = site.instance("one");
        site.enter_next_window(&one, Millis(2_500));
        site.table.set_fault(fault);
        one.keeper.run_once().await;
        assert_eq!(site.cloud.reports(), [], "{fault:?}");

        site.table.set_fault(Fault::None);
        one.look_on(&site.clock).await;
        assert!(!site.cloud.reports().is_empty(), "{fault:?}");
    }
}

/// A report that is too late to count holds up those after it.
#[tokio::test]
async fn verify_windows_whose_time_is_over_are_left_out() {
    let site = site();
    let mut one = site.instance("one");
    site.enter_next_window(&one, Millis(2_500));
    one.keeper.run_once().await;
    let missed = site.enter_next_window(&one, Millis(100));
    site.clock.advance(WINDOW * 3);

    one.look_on(&site.clock).await;

    let windows: Vec<_> = site.cloud.reports().iter().map(|one| one.report.window).collect();
    assert!(!windows.contains(&missed) && windows.len() > 2, "{windows:?} {missed}");
}

/// Requests are billed that never ran, or twice because they were tried twice.
#[tokio::test]
async fn verify_a_request_counts_once_and_only_if_it_may_have_run() {
    // What the first upstream does, and how many requests count.
    let cases = [
        ("well", vec![signed("200 OK", "well")], 1),
        ("its own error", vec![signed("500 Error", "why")], 1),
        ("cut", vec![Step::Close], 1),
        ("refused", vec![refusal()], 0),
    ];
    for (name, steps, expected) in cases {
        let upstream = Upstream::always(steps).await;
        let again = Upstream::always(vec![refusal()]).await;
        let entries = [("first", &upstream), ("second", &again)];
        let entries = entries.map(|(id, one)| entry(id, one.address.port()));
        let clock = ManualClock::new();
        let config = Some(keyed(Repeats::Idempotent));
        let front = start_with_clock(clock.clone(), config, entries.into(), ample_budget()).await;

        front.post("r1", "Authorization: Bearer good-key\r\n", "").await;
        front.post("r2", "Authorization: Bearer bad-key\r\n", "").await;

        let usage = front.gateway.usage();
        let window = Windows::of(WINDOW).at(usage.time(clock.now()));
        let totals: u32 = usage.totals(window).iter().map(|(_, count)| count).sum();
        assert_eq!(totals, expected, "{name}");
    }
}

const SIZES: SizeOptions = SizeOptions { max_factor: 1.0, max_cost: 1.0, regular: 0.0 };

/// Returns listed engines of a zone.
fn engines(zone: &str, count: usize, reclaimable: bool) -> Vec<Entry> {
    let one = |at: usize| Entry {
        zone: zone.into(),
        role: Some(Role::Decode),
        reclaimable,
        ..entry(&format!("{zone}-{reclaimable}-{at}"), 1)
    };
    (0..count).map(one).collect()
}

impl Site {
    /// Returns an instance that knows engines in two zones and may order others.
    fn sizing(&self, name: &str, entries: Vec<Entry>) -> TestInstance {
        let config = config_of_version(1, Repeats::Idempotent, 2, true);
        let service = config.services().next().expect("the service of the tests").clone();
        let boot = Millis(4_000);
        let scaling = ScalingSpec { min: 1, max: 9, boot, reclaimable_price: Some(0.2) };
        let service = ServiceSpec { scaling: Some(scaling), ..service };
        let routes = vec![route(Repeats::Idempotent, 2)];
        let config = Config::new(2, limits(), vec![service], routes);
        let gateway = gateway(self.clock.clone(), Some(config), entries, ample_budget());
        let options = DutyOptions {
            lease: LEASE,
            usage_due: None,
            sizes: Some(SIZES),
            late_calls: Millis::ZERO,
        };
        let (table, clock, cloud) = (self.table.clone(), self.clock.clone(), self.cloud.clone());
        let keeper =
            DutyRunner::new(gateway.clone(), table, clock, cloud, name.to_owned(), options);
        TestInstance { gateway, keeper }
    }
}

/// Engines are ordered by a list that nobody has read for a while.
#[tokio::test]
async fn verify_no_engines_are_ordered_by_an_old_list() {
    let site = site();
    let mut one = site.sizing("one", engines("a", 4, false));
    one.gateway.record_contact("list");
    site.clock.advance(Millis(8_000));

    one.look_on(&site.clock).await;
    assert_eq!(site.cloud.orders(), []);

    one.gateway.record_contact("list");
    one.look_on(&site.clock).await;
    assert!(!site.cloud.orders().is_empty());
}

/// A holder that comes later takes those that the one before has ordered for what is usual, and orders as
/// many again.
#[tokio::test]
async fn verify_a_successor_knows_how_many_engines_are_usual() {
    let site = site();
    let listed = [engines("a", 4, false), engines("b", 4, false)].concat();
    let mut one = site.sizing("one", listed.clone());
    one.gateway.record_contact("list");
    one.look_on(&site.clock).await;
    let desired = |orders: Vec<FleetOrder>| -> Vec<_> {
        let orders = orders.into_iter().map(|order| order.size);
        orders.map(|size| (size.zone.to_string(), size.kind, size.desired)).collect()
    };
    let cheap = EngineKind::Reclaimable;
    assert_eq!(desired(site.cloud.orders()), [("a".into(), cheap, 4), ("b".into(), cheap, 4)]);

    let doubled = [listed, engines("a", 4, true), engines("b", 4, true)].concat();
    let mut two = site.sizing("two", doubled);
    for _ in 0..4 {
        two.gateway.record_contact("list");
        two.look_on(&site.clock).await;
    }

    let orders = desired(site.cloud.orders());
    assert!(orders.len() > 2, "{orders:?}");
    let given_up = [EngineKind::Regular; 2].map(|kind| (kind, 0));
    let rest: Vec<_> = orders[2..4].iter().map(|(_, kind, desired)| (*kind, *desired)).collect();
    assert_eq!(rest, given_up, "{orders:?}");
}

//! Orders under the lease: one holder at a time, and nothing after its lapse.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::relay::Gateway;
use anvilhook_gateway::roles::{RoleController, RoleOptions};
use support::fronts::{ample_budget, config, gateway};
use support::tables::{Fault, MemoryTable};
use support::upstreams::{Received, Step, Upstream, signed};
use support::wires::{TestWire, entry};

const STREAM: Repeats = Repeats::Stream { resumable: true };

struct Engines {
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
}

/// Starts engines that all generate, and answer an order with `status`.
async fn engines(count: usize, status: &'static str) -> Engines {
    engines_of(Role::Decode, count, status).await
}

async fn engines_of(role: Role, count: usize, status: &'static str) -> Engines {
    let mut engines = Engines { upstreams: Vec::new(), entries: Vec::new() };
    for at in 0..count {
        let script = move |received: &Received| {
            if received.line.starts_with("GET /report") {
                let role = if role == Role::Prefill { "prefill" } else { "decode" };
                vec![signed("200 OK", role)]
            } else if status.is_empty() {
                vec![Step::Close]
            } else {
                vec![signed(status, "")]
            }
        };
        let upstream = Upstream::start(script).await;
        let port = upstream.address.port();
        engines.entries.push(Entry { role: Some(role), ..entry(&format!("e{at}"), port) });
        engines.upstreams.push(upstream);
    }
    engines
}

impl Engines {
    fn orders(&self) -> Vec<String> {
        let all = self.upstreams.iter().flat_map(Upstream::received);
        all.filter(|one| one.line.starts_with("POST /order")).map(|one| one.body).collect()
    }
}

/// `Site` is a gateway before the engines and the table, on one clock.
struct Site {
    gateway: Gateway<TestWire, ManualClock>,
    table: MemoryTable,
    clock: ManualClock,
}

fn site(engines: &Engines) -> Site {
    let clock = ManualClock::new();
    let config = Some(config(STREAM, 2, true));
    let gateway = gateway(clock.clone(), config, engines.entries.clone(), ample_budget());
    Site { gateway, table: MemoryTable::default(), clock }
}

impl Site {
    fn keeper(&self, holder: &str) -> RoleController<TestWire, MemoryTable, ManualClock> {
        let options =
            RoleOptions { prefill_share: 0.5, patience: Millis::ZERO, lease: Millis(3_000) };
        let (gateway, table) = (self.gateway.clone(), self.table.clone());
        let holder = holder.to_owned();
        RoleController::new(gateway, table, self.clock.clone(), holder, options)
    }
}

/// Symptom: engines that generate are idle while prompts wait.
/// Sequence: four engines start, all generating; half of them are to read.
/// Cause: the split is kept by orders, each with the lease's version and the orders seen.
#[tokio::test]
async fn verify_the_split_is_ordered_once() {
    let engines = engines(4, "200 OK").await;
    let site = site(&engines);
    let mut keeper = site.keeper("one");

    keeper.reconcile().await;
    keeper.reconcile().await;

    assert_eq!(engines.orders(), ["Prefill 1 Some(4)", "Prefill 1 Some(4)"]);
    assert_eq!(site.table.value("anvilhook_leases", "roles").as_deref(), Some("one"));
}

/// Symptom: output waits for the few engines that generate, while readers are idle.
/// Sequence: engines that generated have left; all that stay are readers.
/// Cause: the split is kept in both directions.
#[tokio::test]
async fn verify_readers_are_made_generators() {
    let engines = engines_of(Role::Prefill, 4, "200 OK").await;
    let site = site(&engines);

    site.keeper("one").reconcile().await;

    assert_eq!(engines.orders(), ["Decode 1 Some(4)", "Decode 1 Some(4)"]);
}

/// Symptom: an engine that has changed its role stands idle for two seconds, or until the table is back.
/// Sequence: it takes an order, and is done before the list shows it.
/// Cause: whoever gave the order asks the engine itself, and believes its report.
#[tokio::test]
async fn verify_an_engine_is_used_as_soon_as_it_has_its_new_role() {
    let has_order = Arc::new(AtomicBool::new(false));
    let turning = Arc::clone(&has_order);
    let turned = Upstream::start(move |received| {
        if received.line.starts_with("POST /order") {
            turning.store(true, Ordering::SeqCst);
            return vec![signed("200 OK", "")];
        }
        let has_turned = turning.load(Ordering::SeqCst);
        vec![signed("200 OK", if has_turned { "prefill" } else { "decode" })]
    })
    .await;
    let mut engines = engines(2, "200 OK").await;
    engines.entries[1] = Entry { role: Some(Role::Decode), ..entry("e1", turned.address.port()) };
    let site = site(&engines);
    let mut keeper = site.keeper("one");

    keeper.reconcile().await;

    assert!(has_order.load(Ordering::SeqCst), "it is the one that is ordered");
    let engine = || Arc::clone(site.gateway.fleet().view().get("e1").expect("listed"));
    assert!(!engine().takes_work(site.clock.now()), "it may still change");
    let shown = async {
        while engine().role() != Some(Role::Prefill) {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(std::time::Duration::from_secs(10), shown).await.expect("it is asked");
    assert!(engine().takes_work(site.clock.now()));
}

/// Symptom: five hundred prompts are refused and the retry budget is spent when the split is moved.
/// Sequence: engines with prompts in their queues are ordered to generate; they refuse all that has not
/// begun, and go on getting prompts of instances that have not heard of the order.
/// Cause: an engine gets no work from a while before its order on.
#[tokio::test]
async fn verify_an_engine_gets_no_work_from_before_its_order_on() {
    let gateway: Arc<OnceLock<Gateway<TestWire, ManualClock>>> = Arc::default();
    let took_work = Arc::new(Mutex::new(Vec::new()));
    let (asked, seen) = (Arc::clone(&gateway), Arc::clone(&took_work));
    let ordered = Upstream::start(move |received| {
        if received.line.starts_with("POST /order") {
            let gateway = asked.get().expect("it was set");
            let takes_work = gateway.fleet().takes_work("e1", Millis::ZERO);
            seen.lock().expect("no panic").push(takes_work);
        }
        vec![signed("200 OK", "decode")]
    })
    .await;
    let mut engines = engines(2, "200 OK").await;
    engines.entries[1] = Entry { role: Some(Role::Decode), ..entry("e1", ordered.address.port()) };
    let site = site(&engines);
    gateway.set(site.gateway.clone()).ok().expect("it is set once");
    assert!(site.gateway.fleet().takes_work("e1", Millis::ZERO));

    site.keeper("one").reconcile().await;

    assert_eq!(*took_work.lock().expect("no panic"), [false]);
}

/// Symptom: engines change their roles for others that are only restarting.
/// Sequence: the split is uneven for a moment, twice.
/// Cause: an order is given only after the split has been uneven for long enough.
#[tokio::test]
async fn verify_a_moment_of_unevenness_is_no_reason() {
    let engines = engines(2, "200 OK").await;
    let site = site(&engines);
    let mut keeper = site.keeper("one");
    keeper.set_patience(Millis(1_000));
    let mut even = engines.entries.clone();
    even[0].role = Some(Role::Prefill);

    for _ in 0..2 {
        keeper.reconcile().await;
        site.clock.advance(Millis(900));
        site.gateway.adopt_entries(even.clone());
        keeper.reconcile().await;
        site.clock.advance(Millis(900));
        site.gateway.adopt_entries(engines.entries.clone());
    }
    assert!(engines.orders().is_empty());

    keeper.reconcile().await;
    site.clock.advance(Millis(1_000));
    keeper.reconcile().await;
    assert_eq!(engines.orders().len(), 1);
}

/// Symptom: an engine gets orders of two holders.
/// Sequence: two instances each think that they are to act, the second within the first's lease.
/// Cause: only the lapse of the lease, seen by the second's own clock, lets it take it.
#[tokio::test]
async fn verify_a_second_holder_waits_for_the_lapse() {
    let engines = engines(4, "409 Busy").await;
    let site = site(&engines);
    let (mut one, mut two) = (site.keeper("one"), site.keeper("two"));

    one.reconcile().await;
    let by_first = engines.orders().len();
    two.reconcile().await;
    assert_eq!((by_first, engines.orders().len()), (2, 2));

    // Lease and guard have passed since the second saw the row.
    site.clock.advance(Millis(3_500));
    two.reconcile().await;
    assert_eq!(engines.orders().len(), 2, "the guard has not passed");
    site.clock.advance(Millis(200));
    two.reconcile().await;

    let orders = engines.orders();
    assert_eq!(orders.len(), 4);
    assert!(orders.iter().filter(|order| order.starts_with("Prefill 2 ")).count() == 2);
}

/// Symptom: orders go out under a lease that was never gained.
/// Sequence: the write of the lease fails in one of the ways below.
/// Cause: only an answered write gives the lease. A lost answer may have written the row, so its
/// own holder, too, waits for the lapse.
#[tokio::test]
async fn verify_no_order_goes_out_without_an_answered_lease() {
    for fault in [Fault::Unavailable, Fault::AnswersLost] {
        let engines = engines(4, "200 OK").await;
        let site = site(&engines);
        let mut keeper = site.keeper("one");
        site.table.set_fault(fault);

        keeper.reconcile().await;
        site.table.set_fault(Fault::None);
        if fault == Fault::AnswersLost {
            keeper.reconcile().await;
        }

        assert!(engines.orders().is_empty(), "{fault:?}");
    }
}

/// Symptom: a holder that was refused goes on with its old token, or an order is given twice.
/// Sequence: engines answer the first orders as below.
/// Cause: after a newer token was seen the lease is worthless; an order whose answer was lost may
/// still be carried out.
#[tokio::test]
async fn verify_orders_are_not_repeated_at_once() {
    for status in ["412 Fenced", "409 Busy", "421 Misdirected", ""] {
        let engines = engines(2, status).await;
        let site = site(&engines);
        let mut keeper = site.keeper("one");

        for _ in 0..3 {
            keeper.reconcile().await;
        }

        assert_eq!(engines.orders().len(), 1, "{status}");
    }
}

/// Symptom: an order of a holder that had lost its lease takes effect.
/// Sequence: the holder is suspended between taking the lease and giving its orders.
/// Cause: the lease is counted from before its write was sent, and looked at before each order.
#[tokio::test]
async fn verify_a_suspended_holder_gives_no_order() {
    let clock = ManualClock::new();
    let suspended = clock.clone();
    let script = move |received: &Received| {
        // Time passes while the engine is asked for its state.
        suspended.advance(Millis(2_500));
        match received.line.starts_with("GET /report") {
            true => vec![signed("200 OK", "decode")],
            false => vec![signed("200 OK", "")],
        }
    };
    let upstream = Upstream::start(script).await;
    let port = upstream.address.port();
    let entries = ["e0", "e1"].map(|id| Entry { role: Some(Role::Decode), ..entry(id, port) });
    let config = Some(config(STREAM, 2, true));
    let gateway = gateway(clock.clone(), config, entries.to_vec(), ample_budget());
    let site = Site { gateway, table: MemoryTable::default(), clock };

    site.keeper("one").reconcile().await;

    let lines: Vec<_> = upstream.received().into_iter().map(|one| one.line).collect();
    assert_eq!(lines, ["GET /report HTTP/1.1"]);
}

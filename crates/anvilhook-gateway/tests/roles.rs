//! Tests of role orders under the lease: one holder at a time, and no order after the lease has
//! expired.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::loads::Held;
use anvilhook_gateway::policies::Policy;
use anvilhook_gateway::relay::Gateway;
use anvilhook_gateway::roles::{RoleController, RoleOptions};
use anvilhook_gateway::speeds::EngineWork;
use support::fronts::{ample_budget, config, gateway};
use support::tables::{Fault, MemoryTable};
use support::upstreams::{Received, Step, Upstream, signed};
use support::wires::{TestWire, entry};

const STREAM: Repeats = Repeats::Stream { resumable: true };

struct Engines {
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
}

/// Starts engines that all have the decode role and answer an order with `status`.
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

/// `Site` is a gateway with its engines and its table, all on one clock.
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
    fn controller(&self, holder: &str) -> RoleController<TestWire, MemoryTable, ManualClock> {
        let options =
            RoleOptions { prefill_share: 0.5, patience: Millis::ZERO, lease: Millis(3_000) };
        let (gateway, table) = (self.gateway.clone(), self.table.clone());
        let holder = holder.to_owned();
        RoleController::new(gateway, table, self.clock.clone(), holder, options)
    }
}

/// Guards against idle decode engines while prompts wait. Four engines start in the decode role,
/// and half of them should prefill. The controller keeps the split by orders. Each carries the
/// lease's version and the number of orders that the engine has seen.
#[tokio::test]
async fn verify_the_split_is_ordered_once() {
    let engines = engines(4, "200 OK").await;
    let site = site(&engines);
    let mut controller = site.controller("one");

    controller.reconcile().await;
    controller.reconcile().await;

    assert_eq!(engines.orders(), ["Prefill 1 Some(4)", "Prefill 1 Some(4)"]);
    assert_eq!(site.table.value("anvilhook_leases", "roles").as_deref(), Some("one"));
}

/// Guards against streams that can't go on because all engines of their software version read prompts, while the split
/// over all versions is the wanted one.
#[tokio::test]
async fn verify_each_software_version_keeps_engines_of_both_roles() {
    for has_versions in [true, false] {
        let mut readers = engines_of(Role::Prefill, 4, "200 OK").await;
        let mut generators = engines(4, "200 OK").await;
        for (at, entry) in generators.entries.iter_mut().enumerate() {
            entry.id = Arc::from(format!("g{at}"));
            entry.version = Some(Arc::from(if has_versions { "v2" } else { "v1" }));
        }
        let listed = [readers.entries.clone(), generators.entries.clone()].concat();
        readers.entries = listed;
        let site = site(&readers);

        site.controller("one").reconcile().await;

        let (to_generate, to_read) = (readers.orders(), generators.orders());
        let expected = usize::from(has_versions);
        assert_eq!((to_generate.len(), to_read.len()), (expected, expected), "{has_versions}");
        assert!(to_generate.iter().all(|order| order.starts_with("Decode")), "{to_generate:?}");
        assert!(to_read.iter().all(|order| order.starts_with("Prefill")), "{to_read:?}");
    }
}

/// Guards against output that waits for a few decode engines while prefill engines are idle. The
/// decode engines have left and only prefill engines remain; the controller keeps the split in both
/// directions.
#[tokio::test]
async fn verify_prefill_engines_are_ordered_to_decode() {
    let engines = engines_of(Role::Prefill, 4, "200 OK").await;
    let site = site(&engines);

    site.controller("one").reconcile().await;

    assert_eq!(engines.orders(), ["Decode 1 Some(4)", "Decode 1 Some(4)"]);
}

/// Guards against an engine that stays idle after a role change for two seconds, or until the table
/// is reachable again. The engine completes the order before the instance list shows it, so the
/// instance that gave the order polls the engine itself and uses its report.
#[tokio::test]
async fn verify_an_engine_is_used_as_soon_as_it_has_its_new_role() {
    let has_order = Arc::new(AtomicBool::new(false));
    let order_seen = Arc::clone(&has_order);
    let changing = Upstream::start(move |received| {
        if received.line.starts_with("POST /order") {
            order_seen.store(true, Ordering::SeqCst);
            return vec![signed("200 OK", "")];
        }
        let has_changed = order_seen.load(Ordering::SeqCst);
        vec![signed("200 OK", if has_changed { "prefill" } else { "decode" })]
    })
    .await;
    let mut engines = engines(2, "200 OK").await;
    engines.entries[1] = Entry { role: Some(Role::Decode), ..entry("e1", changing.address.port()) };
    let site = site(&engines);
    let mut controller = site.controller("one");

    controller.reconcile().await;

    assert!(has_order.load(Ordering::SeqCst), "this engine gets the order");
    let engine = || Arc::clone(site.gateway.fleet().view().get("e1").expect("listed"));
    assert!(!engine().takes_work(site.clock.now()), "it may still be changing its role");
    let role_reported = async {
        while engine().role() != Some(Role::Prefill) {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(std::time::Duration::from_secs(10), role_reported)
        .await
        .expect("the engine is polled");
    assert!(engine().takes_work(site.clock.now()));
}

/// Guards against five hundred refused prompts and an exhausted retry budget when the split moves.
/// Engines with queued prompts are ordered to decode; they refuse everything that has not started,
/// and instances that have not received the order keep sending them prompts. So an engine gets no
/// work from a moment before its order.
#[tokio::test]
async fn verify_an_engine_gets_no_work_from_just_before_its_order() {
    let gateway: Arc<OnceLock<Gateway<TestWire, ManualClock>>> = Arc::default();
    let took_work = Arc::new(Mutex::new(Vec::new()));
    let (shared, seen) = (Arc::clone(&gateway), Arc::clone(&took_work));
    let ordered = Upstream::start(move |received| {
        if received.line.starts_with("POST /order") {
            let gateway = shared.get().expect("it was set");
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

    site.controller("one").reconcile().await;

    assert_eq!(*took_work.lock().expect("no panic"), [false]);
}

/// Guards against role changes that replace engines which are only restarting. The split is uneven
/// twice for a moment; an order is given only after it has been uneven for long enough.
#[tokio::test]
async fn verify_a_brief_imbalance_causes_no_order() {
    let engines = engines(2, "200 OK").await;
    let site = site(&engines);
    let mut controller = site.controller("one");
    controller.set_patience(Millis(1_000));
    let mut even = engines.entries.clone();
    even[0].role = Some(Role::Prefill);

    for _ in 0..2 {
        controller.reconcile().await;
        site.clock.advance(Millis(900));
        site.gateway.adopt_entries(even.clone());
        controller.reconcile().await;
        site.clock.advance(Millis(900));
        site.gateway.adopt_entries(engines.entries.clone());
    }
    assert!(engines.orders().is_empty());

    controller.reconcile().await;
    site.clock.advance(Millis(1_000));
    controller.reconcile().await;
    assert_eq!(engines.orders().len(), 1);
}

/// Guards against prompts that are read late for ten seconds after most readers were lost: only a tenth of the
/// engines changed at a time, although the generators were idle. Generators that are needed keep their role.
#[tokio::test]
async fn verify_engines_that_are_not_needed_change_at_once() {
    // Whether `surplus_role_changes` is on, the share of the slots in use, and the number of orders.
    for (is_active, used_slots, expected) in [(false, 0, 1), (true, 0, 6), (true, 3, 1)] {
        let engines = engines(12, "200 OK").await;
        let site = site(&engines);
        site.gateway.set_policy(Policy { surplus_role_changes: is_active, ..Policy::default() });
        let work = EngineWork { reading_ms: 1_000.0, ..EngineWork::default() };
        site.gateway.speeds().record_work(&Arc::from("service"), work, site.clock.now());
        let view = site.gateway.fleet().view();
        let busy = view.of_service("service").iter().flat_map(|one| {
            let slots = one.entry.slots * used_slots / 4;
            (0..slots).map(|_| Held::new(Arc::clone(one)))
        });
        let _busy: Vec<Held> = busy.collect();
        let mut controller = site.controller("one");

        controller.reconcile().await;

        assert_eq!(engines.orders().len(), expected, "{is_active} {used_slots}");
    }
}

/// Guards against orders from two holders. Two instances both try to act, the second within the
/// first's lease; it may take the lease only once the lease has expired by its own clock.
#[tokio::test]
async fn verify_a_second_holder_waits_for_the_lease_to_expire() {
    let engines = engines(4, "409 Busy").await;
    let site = site(&engines);
    let (mut one, mut two) = (site.controller("one"), site.controller("two"));

    one.reconcile().await;
    let by_first = engines.orders().len();
    two.reconcile().await;
    assert_eq!((by_first, engines.orders().len()), (2, 2));

    // The lease and most of the guard have passed since the second instance saw the row.
    site.clock.advance(Millis(3_500));
    two.reconcile().await;
    assert_eq!(engines.orders().len(), 2, "the guard has not passed");
    site.clock.advance(Millis(200));
    two.reconcile().await;

    let orders = engines.orders();
    assert_eq!(orders.len(), 4);
    assert!(orders.iter().filter(|order| order.starts_with("Prefill 2 ")).count() == 2);
}

/// Guards against orders under a lease that was never acquired. Only an answered write grants the
/// lease. A write whose answer is lost may still have stored the row, so its own holder waits for
/// the expiry too.
#[tokio::test]
async fn verify_no_order_is_sent_without_an_answered_lease_write() {
    for fault in [Fault::Unavailable, Fault::AnswersLost] {
        let engines = engines(4, "200 OK").await;
        let site = site(&engines);
        let mut controller = site.controller("one");
        site.table.set_fault(fault);

        controller.reconcile().await;
        site.table.set_fault(Fault::None);
        if fault == Fault::AnswersLost {
            controller.reconcile().await;
        }

        assert!(engines.orders().is_empty(), "{fault:?}");
    }
}

/// Guards against a refused holder that continues with its old token, and against an order that is
/// given twice. Once a newer token has been seen the lease is invalid; an order whose answer was
/// lost may still be carried out.
#[tokio::test]
async fn verify_orders_are_not_repeated_at_once() {
    for status in ["412 Fenced", "409 Busy", "421 Misdirected", ""] {
        let engines = engines(2, status).await;
        let site = site(&engines);
        let mut controller = site.controller("one");

        for _ in 0..3 {
            controller.reconcile().await;
        }

        assert_eq!(engines.orders().len(), 1, "{status}");
    }
}

/// Guards against an order from a holder that has lost its lease because it was suspended between
/// acquiring the lease and giving its orders. The lease counts from before its write was sent, and
/// is checked before each order.
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

    site.controller("one").reconcile().await;

    let lines: Vec<_> = upstream.received().into_iter().map(|one| one.line).collect();
    assert_eq!(lines, ["GET /report HTTP/1.1"]);
}

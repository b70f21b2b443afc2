//! Orders under the lease: one holder at a time, and nothing after its lapse.

mod support;

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::peers::Peers;
use anvilhook_gateway::roles::{RoleKeeper, RoleOptions};
use support::fronts::{Front, ample_budget, config, start};
use support::tables::{Fault, MemoryTable};
use support::upstreams::{Received, Step, Upstream, signed};
use support::wires::entry;

const STREAM: Repeats = Repeats::Stream { resumable: true };

struct Engines {
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
}

/// Starts engines that all generate, and answer an order with `status`.
async fn engines(count: usize, status: &'static str) -> Engines {
    let mut engines = Engines { upstreams: Vec::new(), entries: Vec::new() };
    for at in 0..count {
        let script = move |received: &Received| {
            if received.line.starts_with("GET /report") {
                vec![signed("200 OK", "decode")]
            } else if status.is_empty() {
                vec![Step::Close]
            } else {
                vec![signed(status, "")]
            }
        };
        let upstream = Upstream::start(script).await;
        let port = upstream.address.port();
        engines.entries.push(Entry { role: Some(Role::Decode), ..entry(&format!("e{at}"), port) });
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

fn keeper(
    front: &Front,
    table: &MemoryTable,
    holder: &str,
) -> RoleKeeper<support::wires::TestWire, MemoryTable, SystemClock> {
    let options = RoleOptions { prefill_share: 0.5, lease: Millis(1_500) };
    let peers = Arc::new(Peers::default());
    let (gateway, table) = (front.gateway.clone(), table.clone());
    RoleKeeper::new(gateway, table, SystemClock::new(), peers, holder.to_owned(), 1, options)
}

async fn front_of(engines: &Engines) -> Front {
    start(Some(config(STREAM, 2, true)), engines.entries.clone(), ample_budget()).await
}

/// Symptom: engines that generate are idle while prompts wait.
/// Sequence: four engines start, all generating; half of them are to read.
/// Cause: the split is kept by orders, each with the lease's version and the orders seen.
#[tokio::test]
async fn verify_the_split_is_ordered_once() {
    let engines = engines(4, "200 OK").await;
    let (front, table) = (front_of(&engines).await, MemoryTable::default());
    let mut keeper = keeper(&front, &table, "one");

    keeper.look().await;
    keeper.look().await;

    assert_eq!(engines.orders(), ["Prefill 1 Some(4)", "Prefill 1 Some(4)"]);
    assert_eq!(table.value("anvilhook_leases", "roles").as_deref(), Some("one"));
}

/// Symptom: an engine gets orders of two holders.
/// Sequence: two instances each think that they are to act, the second within the first's lease.
/// Cause: only the lapse of the lease, seen by the second's own clock, lets it take it.
#[tokio::test]
async fn verify_a_second_holder_waits_for_the_lapse() {
    let engines = engines(4, "409 Busy").await;
    let (front, table) = (front_of(&engines).await, MemoryTable::default());
    let (mut one, mut two) = (keeper(&front, &table, "one"), keeper(&front, &table, "two"));

    one.look().await;
    let by_first = engines.orders().len();
    two.look().await;
    assert_eq!((by_first, engines.orders().len()), (2, 2));

    // Lease and guard have passed since the second saw the row.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    two.look().await;

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
    for fault in [Fault::Away, Fault::AnswersLost] {
        let engines = engines(4, "200 OK").await;
        let (front, table) = (front_of(&engines).await, MemoryTable::default());
        let mut keeper = keeper(&front, &table, "one");
        table.set_fault(fault);

        keeper.look().await;
        table.set_fault(Fault::None);
        if fault == Fault::AnswersLost {
            keeper.look().await;
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
        let (front, table) = (front_of(&engines).await, MemoryTable::default());
        let mut keeper = keeper(&front, &table, "one");

        for _ in 0..3 {
            keeper.look().await;
        }

        assert_eq!(engines.orders().len(), 1, "{status}");
    }
}

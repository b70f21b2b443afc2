//! Upstreams that name, in their answers, how many requests a second they accept from all instances together.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::peers::register;
use support::fronts::{Front, ample_budget, config, start_with_clock, with_long_timeouts};
use support::tables::MemoryTable;
use support::upstreams::{Step, Upstream, signed};
use support::wires::entry;

/// The interval between two rounds of requests, in which each instance sends one to each route.
const ROUND: Millis = Millis(50);

/// The number of rounds in the time over which a limit is checked.
const WINDOW_ROUNDS: usize = 80;

/// Returns a signed answer that names a limit.
fn limited(per_s: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nT-Id: {{id}}\r\nT-Signature: s\r\nT-Limit: {per_s}\r\nContent-Length: 4\r\n\r\nfine"
    ))
}

/// Returns instances that share a clock, know each other, and serve by the same entries.
async fn instances(
    count: usize,
    clock: &ManualClock,
    entries: &[Entry],
) -> Vec<Front<ManualClock>> {
    let table = MemoryTable::default();
    let mut fronts = Vec::new();
    for _ in 0..count {
        let config = with_long_timeouts(&config(Repeats::AtMostOnce, 1, false));
        fronts.push(
            start_with_clock(clock.clone(), Some(config), entries.to_vec(), ample_budget()).await,
        );
    }
    // In the second pass all instances are listed.
    for number in (0..count).chain(0..count) {
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + number as u16));
        let peers = Arc::clone(fronts[number].gateway.peers());
        register(table.clone(), number.to_string(), address, peers).await;
    }
    fronts
}

/// Sends rounds of requests from all instances. Returns how many arrived at an upstream in each round.
async fn arrivals_by_round(
    fronts: &[Front<ManualClock>],
    clock: &ManualClock,
    upstream: &Upstream,
    rounds: usize,
) -> Vec<usize> {
    let mut arrivals = Vec::new();
    for round in 0..rounds {
        let before = upstream.received().len();
        for (number, front) in fronts.iter().enumerate() {
            let answer = front.post(&format!("r{round}-{number}"), "", "").await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        arrivals.push(upstream.received().len() - before);
        clock.advance(ROUND);
    }
    arrivals
}

/// Returns the highest number of arrivals in any window over which a limit is checked.
fn most_in_window(arrivals: &[usize]) -> usize {
    arrivals.windows(WINDOW_ROUNDS).map(|window| window.iter().sum()).max().unwrap_or_default()
}

/// Guards against an upstream that gets more requests than the limit that it names, because no instance
/// observes the limit, or each one observes it for its own requests only.
#[tokio::test]
async fn verify_instances_share_an_upstreams_request_limit() {
    let clock = ManualClock::new();
    clock.advance(Millis(1_000));
    let limited_one = Upstream::always(vec![limited("10")]).await;
    let other = Upstream::always(vec![signed("200 OK", "fine")]).await;
    let entries = [
        entry("limited", limited_one.address.port()),
        Entry { zone: "zone-b".into(), ..entry("other", other.address.port()) },
    ];
    let fronts = instances(3, &clock, &entries).await;
    arrivals_by_round(&fronts, &clock, &limited_one, 10).await;

    let arrivals = arrivals_by_round(&fronts, &clock, &limited_one, 2 * WINDOW_ROUNDS).await;

    // One and a half times the limit over four seconds, and five requests.
    assert!(most_in_window(&arrivals) <= 65, "{arrivals:?}");
    let total: usize = arrivals.iter().sum();
    assert!(total >= 64, "the upstream gets at least four fifths of its limit: {arrivals:?}");
}

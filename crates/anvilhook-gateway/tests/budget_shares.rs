//! Tests of how instances divide the retry budget among each other.

mod support;

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::Millis;
use anvilhook_gateway::budgets::BudgetOptions;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::peers::register;
use support::fronts::{config, with_long_timeouts};
use support::instances::{Instance, connect, instance};
use support::tables::MemoryTable;
use support::upstreams::{Upstream, signed};
use support::wires::entry;

/// The extra arrivals that all instances together may make, without any for their requests.
const SPARE: usize = 20;
const BUDGET: BudgetOptions =
    BudgetOptions { share: 0.0, spare: SPARE as f64, window: Millis(60_000) };

/// By which factor the sum may exceed the spare part while shares change: it is a third of what is allowed.
const TRANSITION_FACTOR: usize = 2;

/// The number of requests that an instance gets.
const REQUESTS: usize = 40;

/// The number of requests after which the others have received how many an instance gets.
const KNOWN_REQUESTS: usize = 10;

/// Longer than it takes until requests count for the shares of all instances.
const KNOWN_TIME: Duration = Duration::from_millis(2_200);

/// `Fleet` is a number of instances whose upstreams answer every request with an error, so that each request that may be
/// repeated arrives twice if the budget allows it.
struct Fleet {
    instances: Vec<Instance>,
    upstreams: [Upstream; 2],
}

async fn fleet(count: u64) -> Fleet {
    let upstream = || Upstream::always(vec![signed("500 Error", "why")]);
    let upstreams = [upstream().await, upstream().await];
    let make_config = || with_long_timeouts(&config(Repeats::Idempotent, 2, false));
    let listed = || {
        let ports = ["u0", "u1"].iter().zip(&upstreams);
        ports.map(|(id, one)| entry(id, one.address.port())).collect()
    };
    let (mut instances, table) = (Vec::new(), MemoryTable::default());
    for number in 1..=count {
        let one = instance(number, &make_config, listed(), true).await;
        one.front.gateway.set_budget(BUDGET);
        table.put("anvilhook_instances", &number.to_string(), Some(&one.peer.to_string()));
        instances.push(one);
    }
    for (number, one) in (1..).zip(&instances) {
        let number: u64 = number;
        let peers = Arc::clone(one.front.gateway.peers());
        register(table.clone(), number.to_string(), one.peer, peers).await;
    }
    Fleet { instances, upstreams }
}

impl Fleet {
    /// Sends requests to one instance, and returns how many extra arrivals they caused.
    async fn extras_at(&self, number: usize) -> usize {
        let before = self.arrivals();
        let one = &self.instances[number];
        for count in 0..REQUESTS {
            one.front.post(&format!("i{number}r{count}"), "", "body").await;
            if count == KNOWN_REQUESTS {
                tokio::time::sleep(KNOWN_TIME).await;
            }
        }
        self.arrivals() - before - REQUESTS
    }

    fn arrivals(&self) -> usize {
        self.upstreams.iter().map(|one| one.received().len()).sum()
    }
}

/// Guards against an instance that gets nearly all requests and refuses them for lack of a retry budget, which is divided by
/// the number of instances.
#[tokio::test]
async fn verify_an_instance_with_most_requests_gets_most_of_the_budget() {
    let fleet = fleet(5).await;
    connect(&fleet.instances.iter().collect::<Vec<_>>()).await;

    let extras = fleet.extras_at(0).await;

    assert!(extras * 4 >= SPARE * 3, "{extras} of {SPARE}");
    assert!(extras <= SPARE, "{extras} of {SPARE}");
}

/// Guards against instances that use the budget several times over, as one after the other gets most requests.
#[tokio::test]
async fn verify_the_sum_is_bounded_while_shares_change() {
    let fleet = fleet(5).await;
    connect(&fleet.instances.iter().collect::<Vec<_>>()).await;

    let mut sum = 0;
    for number in 0..5 {
        sum += fleet.extras_at(number).await;
    }

    assert!(sum <= SPARE * TRANSITION_FACTOR, "{sum} of {SPARE}");
}

/// Guards against instances that all get requests at the same moment, and each take these for all there are.
#[tokio::test]
async fn verify_the_sum_is_bounded_when_requests_come_everywhere_at_once() {
    let fleet = fleet(5).await;
    connect(&fleet.instances.iter().collect::<Vec<_>>()).await;
    tokio::time::sleep(KNOWN_TIME).await;

    let before = fleet.arrivals();
    for count in 0..REQUESTS {
        for one in &fleet.instances {
            one.front.post(&format!("r{count}"), "", "body").await;
        }
    }

    let extras = fleet.arrivals() - before - 5 * REQUESTS;
    assert!(extras <= SPARE, "{extras} of {SPARE}");
}

/// Guards against instances that receive nothing from each other and each use the whole budget.
#[tokio::test]
async fn verify_the_sum_is_bounded_without_messages() {
    let fleet = fleet(5).await;
    let all = &fleet.instances;
    connect(&all.iter().collect::<Vec<_>>()).await;
    all.iter().for_each(Instance::end_exchange);

    let mut sum = 0;
    for number in 0..5 {
        sum += fleet.extras_at(number).await;
    }

    assert!(sum <= SPARE, "{sum} of {SPARE}");
}

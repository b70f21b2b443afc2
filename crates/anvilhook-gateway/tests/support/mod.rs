//! Support for the tests: a test wire, scripted upstreams, a table and API in memory, and a gateway.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

pub mod clocks;
pub mod clouds;
pub mod fronts;
pub mod instances;
pub mod logs;
pub mod tables;
pub mod upstreams;
pub mod wires;

/// Waits until a condition is true, and panics if it is not within 20 s.
pub async fn until(mut is_true: impl FnMut() -> bool) {
    const MAX_WAIT: Duration = Duration::from_secs(20);
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, waiting).await.expect("the condition becomes true in time");
}

//! What the tests share: a wire of their own, scripted upstreams, and a gateway in front of them.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

pub mod clocks;
pub mod clouds;
pub mod fronts;
pub mod tables;
pub mod upstreams;
pub mod wires;

/// Waits until something holds, and fails if it never does.
pub async fn until(mut holds: impl FnMut() -> bool) {
    const LONGEST: Duration = Duration::from_secs(20);
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(LONGEST, waiting).await.expect("it comes to hold");
}

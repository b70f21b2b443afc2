//! Tests the clocks.

use std::time::Duration;

use anvilhook_core::units::{BootClock, Clock, Millis, SystemClock};

fn assert_advances<C: Clock>(clock: C) {
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    let after = clock.clone().now();

    assert!(before < Millis(10_000), "the clock starts at zero");
    assert!(after >= before + Millis(19), "{before} {after}");
}

#[test]
fn verify_clocks_start_at_zero_and_advance() {
    assert_advances(SystemClock::new());
    assert_advances(BootClock::new());
}

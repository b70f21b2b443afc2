//! The clocks.

use std::time::Duration;

use anvilhook_core::units::{BootClock, Clock, Millis, SystemClock};

fn moves_on<C: Clock>(clock: C) {
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    let after = clock.clone().now();

    assert!(before < Millis(10_000), "it starts at zero");
    assert!(after >= before + Millis(19), "{before} {after}");
}

#[test]
fn verify_the_clocks_start_at_zero_and_move_on() {
    moves_on(SystemClock::new());
    moves_on(BootClock::new());
}

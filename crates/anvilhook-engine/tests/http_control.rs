//! Tests `HttpEngineControl` against the stand-in engine.

use anvilhook_core::Verdict;
use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::{Order, OrderReply, Role, Stamp, StampedOrder, Term};
use anvilhook_core::units::Millis;
use anvilhook_engine::{ControlOptions, EngineControl, Error, HttpEngineControl};
use anvilhook_http::{ClientOptions, HttpClient, Stage};
use anvilhook_standin::engines::{EngineOptions, EngineServer, EngineServerOptions, OrderFault};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

fn control(timeout: Millis) -> HttpEngineControl {
    let client =
        HttpClient::try_new(&ClientOptions::default()).expect("the default options are valid");
    let opts = ControlOptions { timeout, ..ControlOptions::default() };
    HttpEngineControl::new(client, opts, &mut ChaCha8Rng::seed_from_u64(1))
}

async fn start(engine: EngineOptions) -> EngineServer {
    let opts = EngineServerOptions { engine, ..EngineServerOptions::default() };
    EngineServer::start(opts).await.expect("the engine starts on a free port")
}

fn become_decode(term: u64, seq: u64) -> StampedOrder {
    let stamp = Stamp { term: Term(term), seq };
    StampedOrder { stamp, order: Order::SetRole { role: Role::Decode } }
}

/// A timeout that no answer exceeds unless it is lost.
const LONG_TIMEOUT: Millis = Millis::from_secs(10);

/// The timeout for answers that do not arrive. The order itself must arrive within it.
const SHORT_TIMEOUT: Millis = Millis::from_secs(3);

#[tokio::test]
async fn verify_reads_and_orders_reach_the_engine() {
    let engine = start(EngineOptions { first_boot: 7, ..EngineOptions::default() }).await;
    let (control, address) = (control(LONG_TIMEOUT), engine.address());

    let report = control.report(address).await.unwrap();
    let page = control.cache_events(address, 0).await.unwrap();
    let first = control.order(address, &become_decode(3, 1)).await.unwrap();
    let stale = control.order(address, &become_decode(2, 9)).await.unwrap();
    let state = control.state(address).await.unwrap();
    let cancelled = control.cancel(address, AttemptId(5)).await;

    assert_eq!((report.boot, report.role), (7, Role::Mixed));
    assert_eq!((page.boot, page.events.len()), (7, 0));
    assert_eq!(first, OrderReply::Accepted);
    assert_eq!(stale, OrderReply::Fenced { last: Stamp { term: Term(3), seq: 1 } });
    assert_eq!(state.running_order, Some(become_decode(3, 1)));
    assert_eq!(cancelled, Ok(()));
}

#[tokio::test]
async fn verify_order_without_an_answer_is_in_doubt_and_its_effect_is_read_back() {
    // Guards against treating a lost answer as a lost order. The engine accepts the order and its
    // answer is lost or late. A sender that assumes that nothing happened gives the order twice, or
    // gives a different order while the first is still in progress.
    let cases = [
        (OrderFault::AnswerLost, LONG_TIMEOUT, false),
        (OrderFault::AnsweredLate(LONG_TIMEOUT), SHORT_TIMEOUT, true),
    ];
    for (fault, timeout, timed_out) in cases {
        let engine = start(EngineOptions::default()).await;
        engine.next_order(fault);
        let (control, state_reader) = (control(timeout), control(LONG_TIMEOUT));

        let lost = control.order(engine.address(), &become_decode(1, 1)).await.unwrap_err();
        let state = state_reader.state(engine.address()).await.unwrap();

        assert_eq!(lost.verdict(), Verdict::MayHaveRun, "{fault:?}");
        let Error::Call(call) = lost else { panic!("{fault:?}: {lost:?}") };
        assert_eq!((call.stage, call.timed_out), (Stage::FirstByte, timed_out), "{fault:?}");
        assert_eq!(state.last_stamp, become_decode(1, 1).stamp, "{fault:?}");
    }
}

#[tokio::test]
async fn verify_delayed_order_takes_effect_after_its_sender_timed_out() {
    // Guards against treating a state read after a timeout as proof that the order is lost. The
    // network delays the order, its sender times out, a state read shows no order, and then the
    // order arrives. An engine that does not check fencing numbers then changes its role long after
    // the sender's lease has expired.
    let engine = start(EngineOptions { checks_fencing: false, ..EngineOptions::default() }).await;
    engine.next_order(OrderFault::HeldBack);
    let (control, state_reader) = (control(SHORT_TIMEOUT), control(LONG_TIMEOUT));

    let lost = control.order(engine.address(), &become_decode(1, 1)).await.unwrap_err();
    let before = state_reader.state(engine.address()).await.unwrap();
    engine.release_orders();
    let mut after = before.clone();
    while after.running_order.is_none() {
        after = state_reader.state(engine.address()).await.unwrap();
    }

    assert_eq!(lost.verdict(), Verdict::MayHaveRun);
    assert_eq!(before.running_order, None);
    assert_eq!(after.running_order, Some(become_decode(1, 1)));
}

#[tokio::test]
async fn verify_engine_that_is_down_has_not_accepted_an_order() {
    let engine = start(EngineOptions::default()).await;
    let control = control(LONG_TIMEOUT);
    engine.crash().await;

    let refused = control.order(engine.address(), &become_decode(1, 1)).await.unwrap_err();
    engine.restart().await;
    let state = control.state(engine.address()).await.unwrap();

    assert_eq!(refused.verdict(), Verdict::NotRun);
    assert_eq!((state.boot, state.last_stamp), (2, Stamp::default()));
    assert_eq!(engine.orders(), []);
}

#[tokio::test]
async fn verify_order_succeeds_while_pooled_connections_are_unresponsive() {
    // Guards against sending an order on a pooled connection. A read leaves its connection open, a
    // middlebox drops the connection's state, and an order sent on it would never arrive although
    // the engine works.
    let engine = start(EngineOptions::default()).await;
    let control = control(LONG_TIMEOUT);
    control.state(engine.address()).await.unwrap();
    engine.front().connections().silence_all();

    let reply = control.order(engine.address(), &become_decode(1, 1)).await;

    assert_eq!(reply, Ok(OrderReply::Accepted));
}

//! Contract tests of the engine's state machine, under a time that the tests set.

use std::sync::Arc;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::names::ModelName;
use anvilhook_core::orders::{ModelRef, Order, OrderReply, Role, Stamp, StampedOrder, Term};
use anvilhook_core::reports::{CacheChange, CacheEvent, PrefixHash};
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_standin::engines::{
    CutCause, EngineEvent, EngineModel, EngineOptions, ModelRequest, OrderEnd, OrderOutcome,
    Refused, WorkKind,
};

/// The number of tokens in one block of a prompt.
const BLOCK: u64 = 256;

/// Returns options with times that are easy to add up: 1 ms per prompt token, 10 ms per batch step.
fn slow() -> EngineOptions {
    EngineOptions {
        prefill_tokens_per_s: 1_000,
        prefill_chunk: Tokens(100),
        kv_import_tokens_per_s: 100_000,
        decode_step_ms: 10.0,
        decode_step_per_request_ms: 1.0,
        ..EngineOptions::default()
    }
}

fn engine(opts: EngineOptions) -> EngineModel {
    EngineModel::new(opts, Millis::ZERO)
}

fn req(attempt: u128, prompt: u64, output: u64) -> ModelRequest {
    ModelRequest {
        attempt: AttemptId(attempt),
        kind: WorkKind::Full,
        prompt: Tokens(prompt),
        blocks: Arc::from([]),
        output: Tokens(output),
        priority: 1,
    }
}

fn blocks(prompt: impl IntoIterator<Item = u64>) -> Arc<[PrefixHash]> {
    prompt.into_iter().map(PrefixHash).collect()
}

fn role_order(term: u64, seq: u64, role: Role) -> StampedOrder {
    StampedOrder { stamp: Stamp { term: Term(term), seq }, order: Order::SetRole { role } }
}

/// Returns the attempt and time of each first token.
fn first_tokens(events: &[EngineEvent]) -> Vec<(u128, u64)> {
    let first = |event: &EngineEvent| match event {
        EngineEvent::FirstToken { attempt, at, .. } => Some((attempt.0, at.0)),
        _ => None,
    };
    events.iter().filter_map(first).collect()
}

/// Returns the attempt, time and longest gap of each finished request.
fn ends(events: &[EngineEvent]) -> Vec<(u128, u64, u64)> {
    let end = |event: &EngineEvent| match event {
        EngineEvent::Finished { attempt, at, longest_gap, .. } => {
            Some((attempt.0, at.0, longest_gap.0))
        }
        _ => None,
    };
    events.iter().filter_map(end).collect()
}

#[test]
fn verify_tokens_come_at_the_pace_of_the_options() {
    let mut engine = engine(slow());
    engine.submit(Millis(5), req(1, 50, 3)).unwrap();

    let next = engine.next_event_at();
    let events = engine.advance(Millis(1_000));

    let attempt = AttemptId(1);
    let expected = [
        EngineEvent::FirstToken { attempt, at: Millis(55), cached: Tokens(0) },
        EngineEvent::Token { attempt, index: 2, at: Millis(65) },
        EngineEvent::Token { attempt, index: 3, at: Millis(75) },
        EngineEvent::Finished {
            attempt,
            at: Millis(75),
            output: Tokens(3),
            longest_gap: Millis(10),
        },
    ];
    assert_eq!(next, Some(Millis(55)));
    assert_eq!(events, expected);
    assert_eq!(engine.next_event_at(), None);
}

#[test]
fn verify_prefill_delays_generating_requests() {
    let mut engine = engine(slow());
    engine.submit(Millis(0), req(1, 1, 100)).unwrap();
    engine.advance(Millis(51));

    // A prompt of two chunks of 100 ms.
    engine.submit(Millis(51), req(2, 200, 1)).unwrap();
    let events = engine.advance(Millis(2_000));

    assert_eq!(first_tokens(&events), [(2, 61 + 2 * 110)]);
    assert_eq!(ends(&events)[1].2, 110);
}

#[test]
fn verify_batch_steps_grow_with_the_batch_and_the_batch_is_limited() {
    let mut engine = engine(EngineOptions { max_batch: 2, ..slow() });
    for attempt in 1..=3 {
        engine.submit(Millis(0), req(attempt, 1, 3)).unwrap();
    }

    let events = engine.advance(Millis(1_000));

    // The second request starts to generate after a step of 10 ms and 1 ms for its prompt. The
    // third waits for a slot.
    assert_eq!(ends(&events).iter().map(|end| end.0).collect::<Vec<_>>(), [1, 2, 3]);
    let third = first_tokens(&events)[2];
    assert!(third.1 > ends(&events)[0].1, "{events:?}");
}

#[test]
fn verify_smaller_priority_goes_first_and_equals_keep_their_order() {
    let mut engine = engine(slow());
    engine.submit(Millis(0), req(9, 100, 1)).unwrap();
    for (attempt, priority) in [(1, 2), (2, 0), (3, 1), (4, 0)] {
        engine.submit(Millis(0), ModelRequest { priority, ..req(attempt, 100, 1) }).unwrap();
    }

    let order: Vec<u128> =
        first_tokens(&engine.advance(Millis(9_999))).iter().map(|first| first.0).collect();

    assert_eq!(order, [9, 2, 4, 3, 1]);
}

#[test]
fn verify_cached_prefix_is_not_read_again_until_it_is_evicted() {
    let mut engine = engine(EngineOptions { cache_blocks: 3, ..slow() });
    let cases = [
        // Each case: the blocks of a prompt, and the expected number of cached tokens.
        (vec![1, 2], 0),
        (vec![1, 2, 3], 2 * BLOCK),
        // The whole prompt is cached, but its last token is always read.
        (vec![1, 2], 2 * BLOCK - 1),
        // A new block evicts the least recently used one; within a prompt, the tail goes first.
        (vec![8], 0),
        (vec![1, 2, 3], 2 * BLOCK),
        (vec![7, 6, 5], 0),
        (vec![1, 2], 0),
    ];
    let mut now = Millis::ZERO;
    for (i, (prompt, expected)) in cases.into_iter().enumerate() {
        let tokens = prompt.len() as u64 * BLOCK;
        let req = ModelRequest { blocks: blocks(prompt.clone()), ..req(i as u128, tokens, 1) };
        engine.submit(now, req).unwrap();
        now += Millis(10_000);

        let events = engine.advance(now);

        let EngineEvent::FirstToken { cached, .. } = events[0] else { panic!("{events:?}") };
        assert_eq!(cached, Tokens(expected), "case {i}: {prompt:?}");
    }
}

#[test]
fn verify_cache_events_come_late_in_order_and_with_gaps() {
    let opts = EngineOptions { cache_blocks: 1, cache_event_lag: Millis(500), ..slow() };
    let mut whole = engine(opts.clone());
    let mut gapped = engine(EngineOptions { cache_event_loss: 0.5, seed: 3, ..opts });
    for engine in [&mut whole, &mut gapped] {
        for block in 1..=20 {
            let req = ModelRequest { blocks: blocks([block]), ..req(block.into(), BLOCK, 1) };
            engine.submit(Millis(block * 1_000), req).unwrap();
        }
        engine.advance(Millis(99_000));
    }

    // The first block is stored at 1,256 ms and evicted by the second.
    let stored = CacheEvent { seq: 1, change: CacheChange::Stored, block: PrefixHash(1) };
    let all = whole.cache_events(Millis(99_000), 0).unwrap().events;
    let seqs: Vec<u64> = all.iter().map(|event| event.seq).collect();
    let later = whole.cache_events(Millis(99_000), 37).unwrap().events;
    let left = gapped.cache_events(Millis(99_000), 0).unwrap().events;
    assert_eq!(all[0], stored);
    assert_eq!(all[2].change, CacheChange::Evicted);
    assert_eq!(seqs, (1..=39).collect::<Vec<u64>>());
    assert_eq!(later, all[37..]);
    assert!(left.len() < all.len() && left.iter().all(|event| all.contains(event)));

    let mut early = engine(slow());
    early.submit(Millis(0), ModelRequest { blocks: blocks([1]), ..req(1, BLOCK, 1) }).unwrap();
    assert_eq!(early.cache_events(Millis(755), 0).unwrap().events, []);
    assert_eq!(early.cache_events(Millis(756), 0).unwrap().events, [stored]);
}

#[test]
fn verify_reports_lag_and_state_their_age() {
    let opts = EngineOptions { report_lag: Millis(500), report_interval: Millis(250), ..slow() };
    let mut engine = engine(opts);
    engine.submit(Millis(100), req(1, 5_000, 1)).unwrap();
    // Each case: the time, and the age, number and queued prompt tokens of the report returned
    // then.
    let cases = [
        (100, 100, 1, 0),
        (600, 600, 1, 0),
        (750, 500, 2, 4_900),
        (800, 550, 2, 4_900),
        // A report shows the state before the events of the same instant.
        (1_000, 500, 3, 4_700),
        (60_000, 500, 239, 0),
    ];
    for (now, age, seq, prompt) in cases {
        let report = engine.report(Millis(now)).unwrap();

        assert_eq!((report.age, report.seq), (Millis(age), seq), "at {now}");
        assert_eq!(report.queued_prefill, Tokens(prompt), "at {now}");
    }
}

#[test]
fn verify_each_refusal() {
    let cases: [(EngineOptions, WorkKind, Refused); 6] = [
        (EngineOptions { model: None, ..slow() }, WorkKind::Full, Refused::NoModel),
        (EngineOptions { max_queue: 0, ..slow() }, WorkKind::Full, Refused::QueueFull),
        (EngineOptions { role: Role::Prefill, ..slow() }, WorkKind::Full, Refused::WrongRole),
        (EngineOptions { role: Role::Prefill, ..slow() }, WorkKind::Decode, Refused::WrongRole),
        (EngineOptions { role: Role::Decode, ..slow() }, WorkKind::Full, Refused::WrongRole),
        (EngineOptions { role: Role::Decode, ..slow() }, WorkKind::Prefill, Refused::WrongRole),
    ];
    for (opts, kind, expected) in cases {
        let mut engine = engine(opts);

        let refused = engine.submit(Millis(0), ModelRequest { kind, ..req(1, 10, 1) });

        assert_eq!(refused, Err(expected), "{kind:?}");
        assert_eq!(engine.advance(Millis(1_000)), []);
    }

    let mut engine = engine(slow());
    engine.submit(Millis(0), req(1, 10, 1)).unwrap();
    assert_eq!(engine.submit(Millis(0), req(1, 10, 1)), Err(Refused::Duplicate));
}

#[test]
fn verify_prefill_exports_and_decode_imports() {
    let mut prefill = engine(EngineOptions { role: Role::Prefill, ..slow() });
    let mut decode = engine(EngineOptions { role: Role::Decode, ..slow() });
    let kind = WorkKind::Prefill;
    prefill.submit(Millis(0), ModelRequest { kind, ..req(1, 500, 0) }).unwrap();
    let kind = WorkKind::Decode;
    decode.submit(Millis(0), ModelRequest { kind, ..req(1, 500, 2) }).unwrap();

    let prefilled = prefill.advance(Millis(9_999));
    let decoded = decode.advance(Millis(9_999));

    let attempt = AttemptId(1);
    assert_eq!(prefilled, [EngineEvent::Prefilled { attempt, at: Millis(500), cached: Tokens(0) }]);
    // The import takes 5 ms and each token 10 ms.
    assert_eq!(first_tokens(&decoded), [(1, 15)]);
    assert_eq!(ends(&decoded), [(1, 25, 10)]);
}

#[test]
fn verify_cancelled_request_frees_its_slot() {
    let mut engine = engine(EngineOptions { max_batch: 1, ..slow() });
    engine.submit(Millis(0), req(1, 1, 1_000)).unwrap();
    engine.submit(Millis(0), req(2, 1, 1)).unwrap();

    let open = engine.cancel(Millis(100), AttemptId(1));
    let again = engine.cancel(Millis(100), AttemptId(1));
    let events = engine.advance(Millis(200));

    assert_eq!((open, again), (true, false));
    assert!(events.contains(&EngineEvent::Cancelled { attempt: AttemptId(1), at: Millis(100) }));
    assert_eq!(ends(&events).len(), 1);
}

#[test]
fn verify_order_drops_open_requests_and_records_them() {
    // An order given before the drain is complete truncates callers' answers at a role change: here
    // a request is open when the engine is ordered to change its role.
    let mut engine = engine(EngineOptions { role_change: Millis(4_000), ..slow() });
    engine.submit(Millis(0), req(1, 1, 1_000)).unwrap();
    let order = role_order(1, 1, Role::Decode);

    let reply = engine.order(Millis(100), &order);
    let submitted = engine.submit(Millis(2_000), req(2, 1, 1));
    let state_during = engine.state(Millis(2_000)).unwrap();
    let events = engine.advance(Millis(5_000));
    let state_after = engine.state(Millis(5_000)).unwrap();

    assert_eq!((reply, submitted), (OrderReply::Accepted, Err(Refused::Changing)));
    assert_eq!((state_during.role, state_during.running_order), (Role::Mixed, Some(order.clone())));
    assert_eq!((state_after.role, state_after.running_order), (Role::Decode, None));
    let (at, cause) = (Millis(100), CutCause::Order);
    assert!(events.contains(&EngineEvent::Cut { attempt: AttemptId(1), at, cause }));
    let record = &engine.orders()[0];
    assert_eq!((record.at, record.boot, &record.order), (Millis(100), 1, &order));
    assert_eq!((&record.open, &record.cut), (&vec![AttemptId(1)], &vec![AttemptId(1)]));
    assert_eq!(record.end, Some(OrderEnd::Done { at: Millis(4_100) }));
}

#[test]
fn verify_which_orders_an_engine_accepts() {
    let accepted = || OrderReply::Accepted;
    let fenced = |term, seq| OrderReply::Fenced { last: Stamp { term: Term(term), seq } };
    // Each case: whether the engine checks fencing, and orders 10 s apart with the expected
    // replies.
    let cases = [
        (true, vec![((2, 1), accepted()), ((1, 9), fenced(2, 1)), ((2, 1), fenced(2, 1))]),
        (true, vec![((2, 1), accepted()), ((2, 2), accepted()), ((3, 1), accepted())]),
        (false, vec![((2, 1), accepted()), ((1, 9), accepted()), ((2, 1), accepted())]),
    ];
    for (checks_fencing, orders) in cases {
        let mut engine = engine(EngineOptions { checks_fencing, ..slow() });
        let mut now = Millis::ZERO;
        let mut highest = Stamp::default();
        for ((term, seq), expected) in orders {
            now += Millis(10_000);
            let role = if seq % 2 == 0 { Role::Mixed } else { Role::Decode };
            let order = role_order(term, seq, role);
            highest = highest.max(order.stamp);

            assert_eq!(engine.order(now, &order), expected, "{checks_fencing} {term}.{seq}");
            assert_eq!(engine.state(now).unwrap().last_stamp, highest);
        }
    }
}

#[test]
fn verify_order_during_another_is_refused_and_changes_nothing() {
    let mut engine = engine(slow());
    engine.order(Millis(0), &role_order(1, 1, Role::Decode));

    let reply = engine.order(Millis(10), &role_order(1, 2, Role::Prefill));

    assert!(matches!(reply, OrderReply::Refused { .. }));
    assert_eq!(engine.state(Millis(9_999)).unwrap().role, Role::Decode);
    assert_eq!(engine.state(Millis(9_999)).unwrap().last_stamp.seq, 1);
}

#[test]
fn verify_model_and_adapter_orders() {
    let name = |text| ModelName::try_new(text).unwrap();
    let model = ModelRef { model: name("dossiers"), version: 2 };
    let mut engine = engine(EngineOptions { model_load: Millis(8_000), ..slow() });
    let stamp = |seq| Stamp { term: Term(1), seq };
    let load = Order::LoadModel { model: model.clone() };
    let adapter = Order::LoadAdapter { adapter: name("lots") };

    engine.order(Millis(0), &StampedOrder { stamp: stamp(1), order: load });
    let loading = engine.state(Millis(7_999)).unwrap().model;
    let after = engine.state(Millis(8_000)).unwrap().model;
    engine.order(Millis(8_000), &StampedOrder { stamp: stamp(2), order: adapter });
    let served = engine.submit(Millis(8_001), req(1, 1, 1));
    let adapters = engine.state(Millis(9_000)).unwrap().adapters;

    assert_eq!((loading, after), (None, Some(model)));
    assert_eq!(served, Ok(()));
    assert_eq!(adapters, [name("lots")]);
}

#[test]
fn verify_crash_during_an_order_restarts_in_a_known_state() {
    let cases = [(OrderOutcome::Before, Role::Mixed), (OrderOutcome::After, Role::Decode)];
    for (interrupted_order, role) in cases {
        let mut engine = engine(EngineOptions { interrupted_order, ..slow() });
        engine.submit(Millis(0), req(1, 1, 1_000)).unwrap();
        engine.order(Millis(100), &role_order(5, 1, Role::Decode));

        engine.crash(Millis(200));
        let down = (engine.state(Millis(300)), engine.submit(Millis(300), req(2, 1, 1)));
        engine.restart(Millis(400));
        let state = engine.state(Millis(400)).unwrap();

        assert_eq!(down, (None, Err(Refused::Down)));
        assert_eq!((state.boot, state.role, state.running_order), (2, role, None));
        assert_eq!((state.last_stamp, state.open_requests), (Stamp::default(), 0));
        assert_eq!(engine.orders()[0].end, Some(OrderEnd::Interrupted { at: Millis(200) }));
        assert_eq!(engine.report(Millis(400)).unwrap().boot, 2);
    }
}

#[test]
fn verify_same_input_gives_same_events_at_any_step_size() {
    let run = |step: u64| {
        let mut engine = engine(EngineOptions { cache_event_loss: 0.3, ..slow() });
        let mut events = Vec::new();
        for now in 0..4_000 {
            if now % 40 == 0 {
                let prompt = 1 + now % 300;
                events.extend(engine.advance(Millis(now)));
                engine.submit(Millis(now), req(now.into(), prompt, 1 + now % 9)).unwrap();
            } else if now % step == 0 {
                events.extend(engine.advance(Millis(now)));
            }
        }
        events.extend(engine.advance(Millis(99_999)));
        events
    };

    assert_eq!(run(1), run(7));
    assert_eq!(run(1), run(4_001));
}

//! Which requests are quarantined.

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::quarantine::{
    EndOutcome, EngineEnd, QuarantineOptions, QuarantineTracker, SuspectStatus,
};
use anvilhook_core::units::Millis;

const REQUEST: Fingerprint = Fingerprint(7);

fn book() -> QuarantineTracker {
    QuarantineTracker::new(QuarantineOptions::default())
}

/// Has an engine end under the request.
fn record(book: &mut QuarantineTracker, engine: u32, at: Millis) -> EndOutcome {
    book.record_end(REQUEST, EngineEnd { engine, at }, at)
}

/// Has so many engines end under it.
fn end_under(book: &mut QuarantineTracker, engines: u32, at: Millis) {
    for engine in 1..=engines {
        record(book, engine, at);
    }
}

/// A request that ends each engine is never told from those that ran beside it.
#[test]
fn verify_three_ends_quarantine_a_request() {
    let mut book = book();

    let weighed = [1, 2, 3, 4].map(|engine| record(&mut book, engine, Millis(5)));

    let expected =
        [EndOutcome::Counted, EndOutcome::Counted, EndOutcome::Quarantined, EndOutcome::Explained];
    assert_eq!(weighed, expected);
    assert_eq!(book.status(REQUEST, Millis(6)), SuspectStatus::Quarantined);
    assert_eq!(book.status(Fingerprint(8), Millis(6)), SuspectStatus::Clear);
}

/// One engine's end is counted once for each instance that tells of it.
#[test]
fn verify_an_engine_that_ended_counts_once() {
    let mut book = book();

    let weighed = [1, 1, 1].map(|engine| record(&mut book, engine, Millis(5)));

    assert_eq!(weighed, [EndOutcome::Counted, EndOutcome::Ignored, EndOutcome::Ignored]);
    assert_eq!(book.status(REQUEST, Millis(6)), SuspectStatus::Suspected(1));
}

/// Many callers' equal requests ran well all the time, and are refused once three engines of a rack end.
#[test]
fn verify_what_runs_well_is_not_suspected() {
    let mut book = book();
    book.record_success(REQUEST, Millis(1_000));

    let of_rack = [1, 2, 3].map(|engine| record(&mut book, engine, Millis(2_000)));

    assert_eq!(of_rack, [EndOutcome::Ignored; 3]);
    assert_eq!(book.status(REQUEST, Millis(2_000)), SuspectStatus::Clear);
}

/// A request that once ran well may end engines for ever after.
#[test]
fn verify_a_run_that_ended_well_does_not_clear_for_ever() {
    let mut book = book();
    book.record_success(REQUEST, Millis(1_000));

    end_under(&mut book, 3, Millis(61_001));

    assert_eq!(book.status(REQUEST, Millis(61_001)), SuspectStatus::Quarantined);
}

/// A request stays suspected though it runs well.
#[test]
fn verify_a_run_that_ends_well_clears_a_suspect() {
    let mut book = book();
    end_under(&mut book, 2, Millis(5));

    assert!(book.record_success(REQUEST, Millis(6)));
    assert!(!book.record_success(REQUEST, Millis(7)));

    assert_eq!(book.status(REQUEST, Millis(8)), SuspectStatus::Clear);
}

/// A quarantine lapses while its request goes on coming, and each lapse ends another engine.
#[test]
fn verify_a_quarantine_lasts_while_its_request_comes() {
    let mut book = book();
    let memory = QuarantineOptions::default().memory;
    end_under(&mut book, 3, Millis::ZERO);

    book.record_arrival(REQUEST, memory - Millis(1));

    assert_eq!(book.status(REQUEST, memory + Millis(1)), SuspectStatus::Quarantined);
    assert_eq!(book.status(REQUEST, memory * 2), SuspectStatus::Clear);
}

/// In a storm of ends, requests that met three of them by chance are refused.
#[test]
fn verify_more_ends_are_needed_where_engines_end_of_themselves() {
    const OTHER: Fingerprint = Fingerprint(8);
    let mut book = book();
    // Of each four engines that end at a time, one ran the request.
    let storm = (1..=5_u32).map(|burst| {
        let at = Millis(u64::from(burst) * 1_000);
        for engine in 1..=3 {
            book.record_end(OTHER, EngineEnd { engine: burst * 10 + engine, at }, at);
            book.lift(OTHER, at);
        }
        record(&mut book, burst * 10, at)
    });

    let weighed: Vec<EndOutcome> = storm.collect();

    let expected = [[EndOutcome::Counted; 4].as_slice(), &[EndOutcome::Quarantined]].concat();
    assert_eq!(weighed, expected);
}

/// An engine that ends of itself meanwhile hides a request that ends one after the other.
#[test]
fn verify_a_single_end_of_another_hides_nothing() {
    let mut book = book();
    book.record_end(Fingerprint(8), EngineEnd { engine: 8, at: Millis(500) }, Millis(500));
    record(&mut book, 1, Millis(1_000));
    book.record_end(Fingerprint(8), EngineEnd { engine: 9, at: Millis(1_500) }, Millis(1_500));
    record(&mut book, 2, Millis(2_000));

    assert_eq!(record(&mut book, 3, Millis(3_000)), EndOutcome::Quarantined);
}

/// An operator's word does not bring a request back, or spares it what it does afterwards.
#[test]
fn verify_a_lifted_request_is_counted_anew() {
    let mut book = book();
    end_under(&mut book, 3, Millis(1));

    assert!(book.lift(REQUEST, Millis(2)));

    assert_eq!(book.status(REQUEST, Millis(2)), SuspectStatus::Clear);
    assert_eq!(record(&mut book, 4, Millis(3)), EndOutcome::Counted);
}

/// Suspects without end fill the memory, or those with the most against them are forgotten first.
#[test]
fn verify_the_book_is_bounded_and_keeps_the_worst() {
    let options = QuarantineOptions { max_requests: 4, ..QuarantineOptions::default() };
    let mut book = QuarantineTracker::new(options);
    end_under(&mut book, 3, Millis::ZERO);

    for other in 100..200 {
        let at = Millis(other as u64);
        book.record_end(Fingerprint(other), EngineEnd { engine: other as u32, at }, at);
        book.record_success(Fingerprint(other + 1_000), Millis(other as u64));
    }

    assert_eq!(book.suspects(Millis(200)).count(), 4);
    assert_eq!(book.status(REQUEST, Millis(200)), SuspectStatus::Quarantined);
}

/// An instance that has not heard of a clearance tells old ends on, and the request is suspected anew.
#[test]
fn verify_ends_of_before_a_clearance_are_not_believed_after_it() {
    let mut book = book();
    end_under(&mut book, 2, Millis(1_000));
    book.lift(REQUEST, Millis(2_000));

    let old = book.record_end(REQUEST, EngineEnd { engine: 2, at: Millis(1_000) }, Millis(60_000));
    let new = book.record_end(REQUEST, EngineEnd { engine: 3, at: Millis(59_000) }, Millis(60_000));

    assert_eq!((old, new), (EndOutcome::Ignored, EndOutcome::Counted));
}

/// What ran beside a request that is quarantined follows it with the next engine that ends under it.
#[test]
fn verify_ends_that_a_quarantined_request_explains_speak_against_no_other() {
    let other = Fingerprint(8);
    let beside = |book: &mut QuarantineTracker, engine, at| {
        book.record_end(other, EngineEnd { engine, at: Millis(at) }, Millis(at))
    };
    let mut book = book();
    record(&mut book, 1, Millis(100));
    record(&mut book, 2, Millis(200));
    beside(&mut book, 2, 200);
    record(&mut book, 3, Millis(300));
    beside(&mut book, 3, 300);

    let weighed = [record(&mut book, 4, Millis(400)), beside(&mut book, 4, 400)];

    assert_eq!(weighed, [EndOutcome::Explained, EndOutcome::Ignored]);
    assert_eq!(book.status(REQUEST, Millis(500)), SuspectStatus::Quarantined);
    assert_eq!(book.status(other, Millis(500)), SuspectStatus::Clear);
}

/// Two requests ran at the same three engines, and the one that ends them is cleared by the other.
#[test]
fn verify_neither_of_two_alike_suspects_hides_the_other() {
    let other = Fingerprint(8);
    let mut book = book();

    for engine in 1..=3 {
        let at = Millis(u64::from(engine) * 100);
        book.record_end(other, EngineEnd { engine, at }, at);
        record(&mut book, engine, at);
    }

    for request in [REQUEST, other] {
        assert_eq!(book.status(request, Millis(500)), SuspectStatus::Quarantined);
    }
}

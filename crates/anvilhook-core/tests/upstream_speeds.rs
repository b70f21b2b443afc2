//! Replays readings and plain requests in virtual time to test what is learnt of latencies and speeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use anvilhook_core::plain_costs::{PlainLoad, PlainTime};
use anvilhook_core::speeds::{Learning, Reading, ReadingCost, ReadingSpeed, UpstreamSpeed};
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const EXPECTED: ReadingCost =
    ReadingCost { ms_per_thousand: 15.6, ms_per_million_pairs: 0.65, fixed_ms: 1.0 };

/// The true cost at the mean speed, and the latency.
const TRUE: ReadingCost =
    ReadingCost { ms_per_thousand: 14.0, ms_per_million_pairs: 0.4, fixed_ms: 90.0 };

const SHORT: (u32, u32) = (383, 0);
const LONG: (u32, u32) = (17_020, 13_300);

/// `Model` predicts readings as the part does, or as before it: with the latency as work and with engines
/// that are never faster than the mean.
struct Model {
    is_split: bool,
    service: ReadingSpeed,
    engines: Vec<(UpstreamSpeed, f64)>,
}

impl Model {
    fn new(is_split: bool, engines: usize) -> Self {
        let service = ReadingSpeed::new(EXPECTED);
        Self { is_split, service, engines: vec![(UpstreamSpeed::default(), 1.0); engines] }
    }

    fn predicted_ms(&self, engine: usize, (tokens, cached): (u32, u32), now: Millis) -> f64 {
        let (cost, (speed, before)) = (self.service.cost(), &self.engines[engine]);
        if self.is_split {
            cost.fixed_ms + cost.work_ms(tokens, cached) * speed.slowness(now)
        } else {
            cost.read_ms(tokens, cached) * before
        }
    }

    fn learn(&mut self, engine: usize, (tokens, cached): (u32, u32), took_ms: f64, now: Millis) {
        let (speed, before) = &mut self.engines[engine];
        if self.is_split {
            let slowness = speed.slowness(now);
            let reading = Reading { tokens, cached, took_ms, backlog_ms: 0.0, slowness };
            if let Some(seen) = self.service.observe(&reading) {
                speed.record(seen, Learning::ENGINE, now);
            }
            return;
        }
        let expected_ms = self.service.cost().read_ms(tokens, cached);
        self.service.record(tokens, cached, (took_ms - 2.0) / *before);
        if expected_ms * *before > 40.0 {
            let seen = (took_ms / expected_ms).clamp(1.0, 6.0);
            *before += (seen - *before) * if seen > *before { 0.1 } else { 0.5 };
        }
    }
}

/// Replays 10 readings a second, of which one in four is long, at 24 engines of three speeds. Returns the
/// mean error of the predictions for long prompts in the second half, as a share of the time, and the model.
fn replay_readings(is_split: bool, queued_share: f64, seed: u64) -> (f64, Model) {
    const READINGS: u64 = 6_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut model = Model::new(is_split, 24);
    let (mut error, mut count) = (0.0, 0);
    for at in 0..READINGS {
        let (engine, now) = (rng.random_range(0..24), Millis(at * 100));
        let long = (LONG.1 + rng.random_range(1_000..12_000), LONG.1);
        let size = if rng.random_bool(0.25) { long } else { SHORT };
        let work_ms = TRUE.work_ms(size.0, size.1) * [0.6, 1.0, 1.6][engine % 3];
        let own_ms = TRUE.fixed_ms + work_ms + rng.random_range(0.0..4.0);
        if size == long && at > READINGS / 2 {
            error += (model.predicted_ms(engine, size, now) - own_ms).abs() / own_ms;
            count += 1;
        }
        let is_queued = rng.random_bool(queued_share);
        let queued_ms = if is_queued { rng.random_range(20.0..300.0) } else { 0.0 };
        model.learn(engine, size, own_ms + queued_ms, now);
    }
    (error / f64::from(count), model)
}

/// Guards against a fixed latency that is learnt as slowness, and against engines that are faster than
/// the mean but are never known to be.
#[test]
fn verify_latency_and_speeds_are_told_apart() {
    for seed in 0..4 {
        let (error, model) = replay_readings(true, 0.0, seed);
        let (error_before, _) = replay_readings(false, 0.0, seed);

        assert!(error < 0.06, "seed {seed}: {error}");
        assert!(error_before > 2.0 * error, "seed {seed}: {error_before} before, {error} now");
        let cost = model.service.cost();
        assert!((cost.fixed_ms - 91.0).abs() < 4.0, "seed {seed}: {cost:?}");
        let (work_ms, true_ms) = (cost.work_ms(LONG.0, LONG.1), TRUE.work_ms(LONG.0, LONG.1));
        assert!(
            (work_ms / true_ms - 0.99).abs() < 0.12,
            "seed {seed}: the mean cost drifts: {cost:?}"
        );
        // A prompt with nothing cached must not be predicted by chance.
        let (work_ms, true_ms) = (cost.work_ms(LONG.0, 0), TRUE.work_ms(LONG.0, 0));
        assert!((work_ms / true_ms - 0.99).abs() < 0.2, "seed {seed}: {work_ms} of {true_ms}");
    }
}

/// Guards against a cost that stays at the expected one for ever, because all readings take so much longer
/// that each of them is ignored as one that has queued. All engines would seem slow, and new ones fast.
#[test]
fn verify_a_cost_far_above_the_expected_is_learnt() {
    let mut model = Model::new(true, 90);
    for at in 0..9_000 {
        let long = (LONG.1 + 1_000 + at as u32 % 7_000, LONG.1);
        for (size, now) in [(SHORT, Millis(at * 20)), (long, Millis(at * 20 + 10))] {
            let took_ms = 90.0 + 5.0 * EXPECTED.work_ms(size.0, size.1);
            model.learn(at as usize % 90, size, took_ms, now);
        }
    }

    let (work_ms, now) = (model.service.cost().work_ms(LONG.0, LONG.1), Millis(180_000));
    let share = work_ms / (5.0 * EXPECTED.work_ms(LONG.0, LONG.1));
    assert!((share - 1.0).abs() < 0.15, "{share}");
    let slowness = model.engines[0].0.slowness(now);
    assert!((slowness - 1.0).abs() < 0.15, "{slowness}");
}

/// Guards against a latency that is learnt from readings that waited behind unknown work: all predictions
/// would then be too long, and requests would be rejected that can be served.
#[test]
fn verify_queues_are_not_learnt_as_latency() {
    for seed in 0..4 {
        let (_, model) = replay_readings(true, 0.6, seed);
        assert!((model.service.cost().fixed_ms - 91.0).abs() < 5.0, "{:?}", model.service.cost());
    }

    let (_, mut model) = replay_readings(true, 0.0, 9);
    (0..16).for_each(|_| model.learn(0, SHORT, 900.0, Millis(1_000)));
    assert!(model.service.cost().fixed_ms < 100.0, "a burst of some seconds");
    (0..900).for_each(|_| model.learn(0, SHORT, 9_000.0, Millis(1_000)));
    assert!(model.service.cost().fixed_ms <= 250.0, "bounded");
}

/// Guards against an engine that was slow, gets no more work, and so is never found to be fast again; and
/// against one that is slow still and costs several requests to find out.
#[test]
fn verify_a_slow_engine_recovers_without_work() {
    let mut speed = UpstreamSpeed::default();
    (0..40).for_each(|_| speed.record(5.0, Learning::ENGINE, Millis(1_000)));
    assert!(speed.slowness(Millis(1_000)) > 4.5);

    assert_eq!(speed.slowness(Millis(31_000)), 1.0);
    let (mut slow_still, mut fast_again) = (speed, speed);
    slow_still.record(5.0, Learning::ENGINE, Millis(32_000));
    (0..4).for_each(|_| fast_again.record(1.0, Learning::ENGINE, Millis(32_000)));

    assert!(slow_still.slowness(Millis(32_000)) > 4.5);
    assert!(fast_again.slowness(Millis(32_000)) < 1.6);
}

/// Returns the mean errors, as logarithms, of an upstream's slowness with and without its reports. It has
/// the lasting slowness `usual` and takes 2.5 times as long in 15 of 100 spans of 600 ms. `report` returns the
/// percentage that it reports, of its lasting and its temporary slowness.
fn report_errors(usual: f64, report: impl Fn(f64, f64, u64) -> u32) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut with, mut without) = (UpstreamSpeed::default(), UpstreamSpeed::default());
    let (mut errors, mut current, mut count) = ((0.0, 0.0), 1.0, 0.0);
    for at in 0..3_000_u64 {
        let now = Millis(at * 150);
        if at % 4 == 0 {
            current = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
        }
        let slowness: f64 = usual * current;
        if at > 400 {
            errors.0 += (with.slowness(now).ln() - slowness.ln()).abs();
            errors.1 += (without.slowness(now).ln() - slowness.ln()).abs();
            count += 1.0;
        }
        with.record_report(report(usual, current, at), now);
        with.record(slowness * rng.random_range(0.95..1.05), Learning::ENGINE, now);
        without.record(slowness * rng.random_range(0.95..1.05), Learning::ENGINE, now);
    }
    (errors.0 / count, errors.1 / count)
}

/// Guards against reports that are ignored or misread. A report may be relative to the mean of the service or
/// to the upstream's usual speed.
#[test]
fn verify_reports_improve_the_speed() {
    for usual in [0.6, 1.0, 1.6] {
        let absolute = |usual: f64, current: f64, _| (usual * current * 100.0) as u32;
        let relative = |_, current: f64, _| (current * 100.0) as u32;
        for (with, without) in [report_errors(usual, absolute), report_errors(usual, relative)] {
            assert!(with < 0.7 * without, "{usual}: {with} with reports, {without} without");
        }
    }
}

/// Guards against an upstream that attracts or repels requests by reports that have nothing to do with the
/// time that its work takes.
#[test]
fn verify_measured_times_take_precedence_over_nonsense() {
    for usual in [0.6, 1.0, 1.6] {
        let nonsense = |_, _, at: u64| [1, 4_000_000_000, 25, 900][(at % 4) as usize];
        let (with, without) = report_errors(usual, nonsense);
        assert!(with <= without * 1.05, "{usual}: {with} with reports, {without} without");
    }
    let mut speed = UpstreamSpeed::default();
    for slowness in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        speed.record(slowness, Learning::PLAIN, Millis(5));
        speed.record_report(u32::MAX, Millis(5));
        assert!((0.25..=6.0).contains(&speed.slowness(Millis(5))));
    }
}

/// `Sites` replays plain requests: 63 instances in three zones and five upstreams of 6 slots, of which the
/// only one of the third zone takes five times as long from 4 to 10 s.
struct Sites {
    is_learnt: bool,
    times: Vec<PlainTime>,
    speeds: Vec<[UpstreamSpeed; 5]>,
    /// The requests in flight of each upstream at each millisecond.
    in_flight: [Vec<u32>; 5],
    free_at: [BinaryHeap<Reverse<u64>>; 5],
}

const ZONES: [usize; 5] = [0, 0, 1, 1, 2];

impl Sites {
    fn new(is_learnt: bool) -> Self {
        Self {
            is_learnt,
            times: vec![PlainTime::default(); 63],
            speeds: vec![[UpstreamSpeed::default(); 5]; 63],
            in_flight: std::array::from_fn(|_| vec![0; 40_000]),
            free_at: std::array::from_fn(|_| (0..6).map(|_| Reverse(0)).collect()),
        }
    }

    fn cost(&self, instance: usize, upstream: usize, now: u64) -> f64 {
        let is_far = ZONES[upstream] != instance % 3;
        let known_at = now.saturating_sub(if is_far { 120 } else { 30 }) as usize;
        let in_flight = self.in_flight[upstream][known_at];
        if !self.is_learnt {
            let queued = f64::from(in_flight.saturating_sub(5));
            return f64::from(in_flight) + queued * 3.0 + if is_far { 4.0 } else { 0.0 };
        }
        let slowness = self.speeds[instance][upstream].slowness(Millis(now));
        let spread = ((instance * 5 + upstream) * 37 % 100) as f64 / 100.0;
        let load = PlainLoad { in_flight, slots: 6, slowness, is_far, spread };
        load.completion_ms(&self.times[instance])
    }

    /// Returns the share of the requests of 16 s that took longer than 300 ms.
    fn late_share(mut self, per_s: f64, seed: u64) -> f64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut answers: Vec<Vec<(usize, usize, u64, u32)>> = vec![Vec::new(); 60_000];
        let (mut late, mut count) = (0.0, 0.0);
        for now in 0..16_000_u64 {
            for (instance, upstream, took, found) in std::mem::take(&mut answers[now as usize]) {
                let is_far = ZONES[upstream] != instance % 3;
                let speed = &mut self.speeds[instance][upstream];
                let slowness = speed.slowness(Millis(now));
                if found < 6 {
                    let seen = self.times[instance].record(took as f64, slowness, is_far);
                    speed.record(seen, Learning::PLAIN, Millis(now));
                }
            }
            for _ in 0..63 {
                if !rng.random_bool(per_s / 63_000.0) {
                    continue;
                }
                // The zones send 181, 248 and 206 of 635 requests.
                let zone = [0, 1, 2][usize::from(rng.random_bool(0.715))
                    * (1 + usize::from(rng.random_bool(0.454)))];
                let instance = rng.random_range(0..21) * 3 + zone;
                let costs = (0..5).map(|upstream| (self.cost(instance, upstream, now), upstream));
                let (_, chosen) = costs.min_by(|a, b| a.0.total_cmp(&b.0)).expect("five");
                let is_slow = chosen == 4 && (4_000..10_000).contains(&now);
                let work = rng.random_range(54..75) * if is_slow { 5 } else { 1 };
                let Reverse(free_at) = self.free_at[chosen].pop().expect("six slots");
                let done_at = free_at.max(now) + work;
                self.free_at[chosen].push(Reverse(done_at));
                let found = self.in_flight[chosen][now as usize];
                self.in_flight[chosen][now as usize..done_at as usize]
                    .iter_mut()
                    .for_each(|n| *n += 1);
                let far = if ZONES[chosen] == zone { 0 } else { 3 };
                let took = done_at - now + far;
                answers[(done_at + far) as usize].push((instance, chosen, took, found));
                count += 1.0;
                late += f64::from(u8::from(took > 300));
            }
        }
        late / count
    }
}

/// Guards against requests that are sent to a slow upstream of the own zone although others are idle.
#[test]
fn verify_a_slow_plain_upstream_is_avoided() {
    // The usual rate, one and a half times as much, and a burst, in which the other upstreams are nearly full.
    for (per_s, bound) in [(165.0, 0.65), (250.0, 0.85), (313.0, 1.0)] {
        for seed in 0..3 {
            let now = Sites::new(true).late_share(per_s, seed);
            let before = Sites::new(false).late_share(per_s, seed);
            assert!(now < before * bound, "seed {seed}, {per_s}: {now} late, {before} before");
        }
    }
}

/// Guards against an upstream that is chosen because it is fuller or slower, and against a prediction that is
/// not a number, after any sequence of measured times.
#[test]
fn verify_predictions_are_finite_and_grow_with_the_load() {
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut time, mut speed) = (PlainTime::default(), UpstreamSpeed::default());
        for at in 0..2_000 {
            let odd = [f64::NAN, f64::INFINITY, 0.0, -5.0, 1e12][rng.random_range(0..5)];
            let took_ms = if rng.random_bool(0.1) { odd } else { rng.random_range(0.1..900.0) };
            let now = Millis(at * rng.random_range(1..50));
            let seen = time.record(took_ms, speed.slowness(now), rng.random_bool(0.3));
            speed.record(seen, Learning::PLAIN, now);
            speed.record_report(rng.random_range(1..2_000), now);

            let (in_flight, slots) = (rng.random_range(0..40), rng.random_range(0..20));
            let (slowness, is_far) = (speed.slowness(now), rng.random_bool(0.5));
            let load = PlainLoad { in_flight, slots, slowness, is_far, spread: 0.0 };
            let cost = load.completion_ms(&time);
            assert!(cost.is_finite() && cost > 0.0, "seed {seed}: {cost} for {load:?}");
            assert!((0.25..=6.0).contains(&slowness), "seed {seed}: {slowness}");
            let more = [
                PlainLoad { in_flight: in_flight + 1, ..load },
                PlainLoad { slowness: slowness * 1.1, ..load },
                PlainLoad { is_far: true, ..load },
            ];
            for worse in more {
                assert!(worse.completion_ms(&time) >= cost, "seed {seed}: {worse:?} {load:?}");
            }
        }
    }
}

//! Replays prompts from many instances at few engines in virtual time, with and without the estimate of a
//! common backlog, lanes and spread choices.

use anvilhook_core::pacing::{Pace, Waiting, pace_reading};
use anvilhook_core::reading_backlogs::ReadingBacklog;
use anvilhook_core::reading_lanes::{Lane, LaneMix, Lanes, PromptSize, spread_ms};
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A report of an instance: its time and the work that it states, in milliseconds.
type Report = (u64, f64);

/// Returns the backlog of `reports` by their common queue, and with each reduced by its own age.
fn backlogs(reports: &[Report], now: u64) -> (f64, f64) {
    let mut backlog = ReadingBacklog::default();
    reports.iter().for_each(|(at, work_ms)| backlog.add_report(*work_ms, Millis(*at)));
    let separate = reports.iter().map(|(at, work_ms)| (work_ms - (now - at) as f64).max(0.0));
    (backlog.left_ms(Millis(now)), separate.sum())
}

/// Guards against an engine that seems idle although prompts of five instances are queued there: the time
/// since the reports was deducted once for each of them.
#[test]
fn verify_an_engine_with_prompts_of_five_instances_is_not_drained_five_times_as_fast() {
    let reports: Vec<Report> = (0..5).map(|at| (at, 120.0)).collect();

    let (joint_ms, separate_ms) = backlogs(&reports, 130);

    assert_eq!((joint_ms, separate_ms), (470.0, 0.0));
}

/// Guards against a backlog beyond what is reported, below what one engine could have done, or below the
/// estimate that it replaces. Seed 41.
#[test]
fn verify_a_backlog_is_within_its_bounds() {
    let mut rng = ChaCha8Rng::seed_from_u64(41);
    for case in 0..2_000 {
        let count = rng.random_range(0..12);
        let mut reports: Vec<Report> = (0..count)
            .map(|_| (rng.random_range(1_000..1_400), rng.random_range(0.0..600.0)))
            .collect();
        reports.sort_by_key(|(at, _)| *at);
        let now = rng.random_range(1_400..1_800);

        let (joint_ms, separate_ms) = backlogs(&reports, now);

        let sum_ms: f64 = reports.iter().map(|(_, work_ms)| work_ms).sum();
        let first = reports.first().map_or(now, |(at, _)| *at);
        let least_ms = (sum_ms - (now - first) as f64).max(separate_ms);
        assert!(joint_ms <= sum_ms + 1e-6, "case {case}: {joint_ms} of {sum_ms}");
        assert!(joint_ms >= least_ms - 1e-6, "case {case}: {joint_ms}, at least {least_ms}");
    }
}

const TIGHTEST: Millis = Millis(250);
const INSTANCES: usize = 30;

/// `Options` selects what the instances of a replay know and use.
#[derive(Clone, Copy, Debug)]
struct Options {
    engines: usize,
    /// How old reports of peers are when they arrive, or `None` if all are lost.
    report_delay: Option<u64>,
    /// Whether lanes and spread choices are used.
    is_active: bool,
}

const SITE: Options = Options { engines: 15, report_delay: Some(150), is_active: true };

/// `Arrival` is a prompt that arrives at an instance.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    instance: usize,
    work: u64,
}

impl Arrival {
    fn size(&self) -> PromptSize {
        PromptSize::of(self.work as f64, TIGHTEST)
    }

    fn waiting(&self, now: u64) -> Waiting {
        let (objective, limit) = match self.size() {
            PromptSize::Short => (250, 4_000),
            PromptSize::Long => (1_200, 8_000),
        };
        let age = Millis(now - self.at);
        Waiting { age, objective: Millis(objective), wait_limit: Millis(limit) }
    }
}

/// Returns 20 s of a zone's prompts, with a mix that flips every 2.8 s by a factor of three.
fn flipping_mix(seed: u64, short_per_s: f64, long_per_s: f64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at in 0..20_000 {
        let (short, long) = if at / 2_800 % 2 == 0 { (1.5, 0.5) } else { (0.5, 1.5) };
        let mut add = |per_s: f64, work: std::ops::Range<u64>| {
            if rng.random_bool(per_s / 1e3) {
                let (work, instance) = (rng.random_range(work), rng.random_range(0..INSTANCES));
                arrivals.push(Arrival { at, instance, work });
            }
        };
        add(short_per_s * short, 5..10);
        add(long_per_s * long, 300..600);
    }
    arrivals
}

/// `Reading` is a prompt at an engine.
#[derive(Clone, Copy, Debug)]
struct Reading {
    instance: usize,
    sent: u64,
    work: u64,
    ends: u64,
}

/// Returns the backlog of an engine as an instance estimates it. Only long prompts are reported, at once
/// and then every 200 ms.
fn estimate(readings: &[Reading], instance: usize, now: u64, delay: Option<u64>) -> f64 {
    let mut backlog = ReadingBacklog::default();
    let mut own_ms = 0.0;
    let mut reports: Vec<Report> = Vec::new();
    for reading in readings {
        if reading.instance == instance {
            own_ms += if reading.ends > now { reading.work as f64 } else { 0.0 };
        } else if let Some(delay) = delay
            && reading.work >= 25
            && (reading.sent + delay..reading.ends + delay).contains(&now)
        {
            let age = (now - reading.sent - delay) % 200;
            reports.push((now - age, reading.work as f64));
        }
    }
    reports.sort_by_key(|(at, _)| *at);
    reports.iter().for_each(|(at, work_ms)| backlog.add_report(*work_ms, Millis(*at)));
    own_ms + backlog.left_ms(Millis(now))
}

/// `Outcome` counts prompts of both sizes, those that were on time, short ones that were read behind long
/// ones, and long ones in the lane of short ones.
#[derive(Debug, Default)]
struct Outcome {
    short: usize,
    short_on_time: usize,
    short_behind_long: usize,
    long: usize,
    long_on_time: usize,
    longest_wait: u64,
    long_crossed: usize,
}

impl Outcome {
    fn short_share(&self) -> f64 {
        self.short_on_time as f64 / self.short as f64
    }

    fn long_share(&self) -> f64 {
        self.long_on_time as f64 / self.long as f64
    }
}

/// Simulates engines that read prompts in the order of arrival. Waiting prompts are checked every 4 ms.
fn simulate(arrivals: &[Arrival], options: Options) -> Outcome {
    let mut engines: Vec<Vec<Reading>> = vec![Vec::new(); options.engines];
    let mut mixes = vec![LaneMix::default(); INSTANCES];
    let hash = |engine: usize| (engine as u64 * 7) % 31;
    let mut outcome = Outcome::default();
    let mut waiting: Vec<Arrival> = Vec::new();
    let mut arrivals = arrivals.iter().copied().peekable();
    let mut now = 0;
    while !waiting.is_empty() || arrivals.peek().is_some() {
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= now) {
            waiting.push(arrival);
        }
        waiting.retain(|prompt| {
            let (size, work_ms) = (prompt.size(), prompt.work as f64);
            let share = mixes[prompt.instance].short_share(Some(size), Millis(now));
            let lanes = share.filter(|_| options.is_active).map(|share| {
                Lanes::new((0..options.engines).map(|engine| ("zone", hash(engine))), share)
            });
            let lane_of = |engine| lanes.as_ref()?.lane("zone", hash(engine));
            let costs = (0..options.engines).map(|engine| {
                let (instance, delay) = (prompt.instance, options.report_delay);
                let backlog_ms = estimate(&engines[engine], instance, now, delay);
                let waited = Millis(now - prompt.at);
                let lane_ms = lane_of(engine)
                    .map_or(0.0, |lane| lane.cost_ms(size, work_ms, waited, TIGHTEST));
                let seed = prompt.instance as u64 * 1_000_003 + prompt.at;
                let spread_ms =
                    if options.is_active { spread_ms(seed, hash(engine), work_ms) } else { 0.0 };
                (backlog_ms + lane_ms + spread_ms, engine, backlog_ms)
            });
            let (_, engine, backlog_ms) =
                costs.min_by(|a, b| a.0.total_cmp(&b.0)).expect("engines");
            match pace_reading(&prompt.waiting(now), work_ms, backlog_ms, TIGHTEST) {
                Pace::Hold => return true,
                Pace::Hopeless => {
                    outcome.long += usize::from(size == PromptSize::Long);
                    outcome.short += usize::from(size == PromptSize::Short);
                    return false;
                }
                Pace::Free | Pace::Due => {}
            }
            mixes[prompt.instance].record(size, work_ms, Millis(now));
            let readings = &mut engines[engine];
            readings.retain(|reading| reading.ends + 1_000 > now);
            let is_behind_long =
                readings.iter().any(|reading| reading.ends > now && reading.work > 50);
            let begins = readings.last().map_or(now, |last| last.ends.max(now));
            let ends = begins + prompt.work;
            let is_on_time = ends + 60 - prompt.at <= prompt.waiting(now).objective.0;
            readings.push(Reading {
                instance: prompt.instance,
                sent: now,
                work: prompt.work,
                ends,
            });
            outcome.longest_wait = outcome.longest_wait.max(now - prompt.at);
            match size {
                PromptSize::Short => {
                    outcome.short += 1;
                    outcome.short_on_time += usize::from(is_on_time);
                    outcome.short_behind_long += usize::from(is_behind_long);
                }
                PromptSize::Long => {
                    outcome.long += 1;
                    outcome.long_on_time += usize::from(is_on_time);
                    let is_crossed = lane_of(engine).is_some_and(|lane| lane != Lane::Long);
                    outcome.long_crossed += usize::from(is_crossed);
                }
            }
            false
        });
        now += 4;
    }
    outcome
}

/// Guards against short prompts that are read behind long ones because the reports of other instances are
/// 150 ms old or lost. Seeds 1 to 3.
#[test]
fn verify_short_prompts_are_on_time_with_late_or_lost_reports() {
    for seed in 1..=3 {
        let arrivals = flipping_mix(seed, 125.0, 17.0);
        for report_delay in [Some(25), Some(150), None] {
            let options = Options { report_delay, ..SITE };

            let with = simulate(&arrivals, options);
            let without = simulate(&arrivals, Options { is_active: false, ..options });

            let of = format!("seed {seed}, {report_delay:?}: {with:?}, without {without:?}");
            assert!(with.short_share() > 0.95, "{of}");
            assert!(without.short_share() < 0.87, "{of}");
            assert!(with.short_behind_long * 5 < without.short_behind_long, "{of}");
            assert!(with.long_share() > without.long_share() - 0.05, "{of}");
        }
    }
}

/// Guards against a lane that stays idle while the other one is overloaded: there is more long work than
/// the long lane can read, then more short work than the short lane can.
#[test]
fn verify_either_lane_spills_over() {
    let overload = flipping_mix(1, 125.0, 40.0);
    let with = simulate(&overload, SITE);
    let without = simulate(&overload, Options { is_active: false, ..SITE });
    assert!(with.long_crossed > 20, "{with:?}");
    assert!(with.short_share() > without.short_share() + 0.1, "{with:?}, {without:?}");

    // Each of the instances sends one long prompt, and then a burst of short ones arrives.
    let long = (0..INSTANCES).map(|instance| Arrival { at: 0, instance, work: 300 });
    let burst = (0..900).map(|at| Arrival { at: 3_000 + at / 9, instance: 3, work: 9 });
    let arrivals: Vec<Arrival> = long.chain(burst).collect();
    let with = simulate(&arrivals, SITE);
    assert!(with.short_share() > 0.25, "15 engines read 315 prompts in 190 ms: {with:?}");
}

/// Guards against a share that follows a change of the mix too late, or that changes with each prompt.
#[test]
fn verify_the_share_follows_the_mix_within_two_seconds() {
    let mut mix = LaneMix::default();
    let mut changes = 0;
    let mut share = None;
    // Each second has short work of 400 ms. It has long work of 800 ms, for which the share is 0.555, and
    // then of 2,400 ms, for which it is 0.3. Either may be missed by a fifth.
    for at in 0..12_000 {
        let now = Millis(at);
        let long = if at < 6_000 { 40.0 } else { 120.0 };
        if at % 10 == 0 {
            mix.record(PromptSize::Short, 4.0, now);
        }
        if at % 50 == 0 {
            mix.record(PromptSize::Long, long, now);
        }
        if at > 2_000 {
            let next = mix.short_share(None, now);
            changes += usize::from(next != share);
            share = next;
        }
        if at == 5_999 {
            assert!(share.is_some_and(|share| share > 0.46), "{share:?}");
        }
        if at == 8_000 {
            assert!(share.is_some_and(|share| share < 0.36), "{share:?}");
        }
    }
    assert!(changes < 10, "{changes} changes");
    assert_eq!(mix.short_share(None, Millis(90_000)), None, "neither kind is present");
}

/// Guards against a lane without engines, and against a change of the list that moves many engines between
/// the lanes. Seed 42.
#[test]
fn verify_each_lane_has_engines_that_stay() {
    let mut rng = ChaCha8Rng::seed_from_u64(42);
    for case in 0..500 {
        let count: usize = rng.random_range(4..60);
        let engines: Vec<(&str, u64)> =
            (0..count).map(|_| ("zone", u64::from(rng.random::<u32>()))).collect();
        let share = rng.random_range(0.0..1.0);
        let ended = engines[rng.random_range(0..count)];
        let left = engines.iter().copied().filter(|engine| *engine != ended);

        let (before, after) = (Lanes::new(engines.clone(), share), Lanes::new(left, share));

        assert!((1..count).contains(&before.short_engines()), "case {case}");
        let is_long = |lanes: &Lanes<&str>, hash| lanes.lane("zone", hash) == Some(Lane::Long);
        let moved = engines.iter().filter(|(_, hash)| {
            count > 4 && *hash != ended.1 && is_long(&before, *hash) != is_long(&after, *hash)
        });
        assert!(moved.count() <= 1, "case {case}");
    }
}

/// Guards against instances that all choose the same one of several idle engines.
#[test]
fn verify_instances_choose_different_idle_engines() {
    const ENGINES: usize = 10;
    let choice = |instance: u64| {
        let cost = |engine: &u64| spread_ms(instance, *engine, 400.0);
        (0..ENGINES as u64).min_by(|a, b| cost(a).total_cmp(&cost(b))).expect("engines")
    };
    let mut chosen = [0; ENGINES];
    (0..100).for_each(|instance| chosen[choice(instance * 7_919) as usize] += 1);

    assert!(chosen.iter().all(|count| (3..=20).contains(count)), "{chosen:?}");
}

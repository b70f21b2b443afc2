//! The policies that are compared.

use anvilhook_core::caches::Holders;
use anvilhook_core::routing::{CostOptions, Phase, RouteTable, UpstreamState};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The share of a prompt that an engine must hold for cache affinity to count.
const AFFINITY_SHARE: f64 = 0.5;

/// `Split` is a number of engines for each role; the rest are mixed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Split {
    /// Engines that read prompts.
    pub prefill: usize,
    /// Engines that generate.
    pub decode: usize,
}

/// `Router` chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Router {
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest of this instance's requests.
    LeastOutstanding,
    /// The better of two drawn at random.
    PowerOfTwo,
    /// The one believed to hold most of the prompt, else the one with the fewest requests.
    CacheAffinity,
    /// The least cost, as the core works it out.
    Cost(CostOptions),
    /// As `Cost`, but with a rule of its own for engines that hold the prefix.
    Holder(HolderRule),
}

/// `HolderRule` is one way to choose between an engine that holds the prefix, for which a request
/// may have to wait, and a cold one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderRule {
    /// Whichever answers sooner, as Lackner et al. choose between fast storage with a queue and slow
    /// storage without (Algorithm 2).
    Turnaround,
    /// Always wait for the holder.
    AlwaysWait,
    /// Never look at who holds the prefix.
    NeverWait,
    /// One or the other at random.
    Random,
}

impl HolderRule {
    /// Returns the options under which the core's choice follows the rule.
    pub fn options(self) -> CostOptions {
        match self {
            HolderRule::Turnaround => {
                CostOptions { preferred_engines: 0, work_weight: 0.0, ..CostOptions::default() }
            }
            _ => CostOptions { preferred_engines: 1, ..CostOptions::default() },
        }
    }

    /// Draws whether the holder is looked for.
    pub fn waits(self, rng: &mut ChaCha8Rng) -> bool {
        match self {
            HolderRule::Turnaround | HolderRule::AlwaysWait => true,
            HolderRule::NeverWait => false,
            HolderRule::Random => rng.random_bool(0.5),
        }
    }
}

/// `Planning` is how roles are planned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planning {
    /// As they are at the start.
    Fixed(Split),
    /// The roles that would suit the present mix best, whatever the change costs.
    Greedy,
    /// As the core plans them.
    Weighed,
}

/// `Policy` is one way to take all decisions of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The name used in rows.
    pub name: &'static str,
    /// How engines are chosen.
    pub router: Router,
    /// How roles are planned.
    pub planning: Planning,
    /// Whether requests are refused early and accounts are limited.
    pub admission: bool,
    /// Whether tight requests have a lane of their own.
    pub lanes: bool,
}

impl Policy {
    /// Returns this project's policy.
    pub fn ours() -> Self {
        let router = Router::Cost(CostOptions::default());
        let planning = Planning::Weighed;
        Self { name: "anvilhook", router, planning, admission: true, lanes: true }
    }

    /// Returns this project's policy with other rules for engines that hold a prefix.
    pub fn holder_rules() -> Vec<Self> {
        let rules = [
            ("turnaround", HolderRule::Turnaround),
            ("always-wait", HolderRule::AlwaysWait),
            ("never-wait", HolderRule::NeverWait),
            ("random-wait", HolderRule::Random),
        ];
        let policy = |(name, rule)| Self { name, router: Router::Holder(rule), ..Self::ours() };
        rules.into_iter().map(policy).collect()
    }

    /// Returns this project's policy with one part left out of each.
    pub fn ablations() -> Vec<Self> {
        let ours = Self::ours();
        let cost = |name, options| Self { name, router: Router::Cost(options), ..ours };
        let usual = CostOptions::default();
        vec![
            Self { name: "without-admission", admission: false, ..ours },
            Self { name: "without-lanes", lanes: false, ..ours },
            Self { name: "without-planner", planning: Planning::Fixed(Split::default()), ..ours },
            cost("without-homes", CostOptions { preferred_engines: 0, ..usual }),
            cost("with-one-home", CostOptions { preferred_engines: 1, ..usual }),
            cost("without-work-weight", CostOptions { work_weight: 0.0, ..usual }),
            cost("with-all-sampled", CostOptions { sampled: 12, ..usual }),
            cost("with-two-sampled", CostOptions { sampled: 2, ..usual }),
        ]
    }

    /// Returns the baselines. `best` is the fixed split that was found best.
    pub fn baselines(best: Split) -> Vec<Self> {
        let mixed = Planning::Fixed(Split::default());
        let baseline = |name, router, planning| Self {
            name,
            router,
            planning,
            admission: false,
            lanes: false,
        };
        vec![
            baseline("round-robin", Router::RoundRobin, mixed),
            baseline("least-outstanding", Router::LeastOutstanding, mixed),
            baseline("power-of-two", Router::PowerOfTwo, mixed),
            baseline("cache-affinity", Router::CacheAffinity, mixed),
            baseline("fixed-roles", Router::LeastOutstanding, Planning::Fixed(best)),
            baseline("greedy-roles", Router::LeastOutstanding, Planning::Greedy),
        ]
    }
}

/// `Ask` is what a baseline router is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The part of a request.
    pub phase: Phase,
    /// The places that refused it.
    pub tried: &'a [usize],
    /// The believed holders of its prompt.
    pub holders: &'a Holders,
    /// The number of its prompt's blocks.
    pub blocks: usize,
}

/// `Chooser` is one instance's state of a baseline router.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    turn: usize,
}

impl Chooser {
    /// Chooses an engine for one part of a request as a baseline does. Returns its place in the
    /// table.
    pub fn choose(
        &mut self,
        router: &Router,
        table: &RouteTable,
        ask: &Ask<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let upstreams = table.upstreams();
        let fits = |place: &usize| {
            let upstream = &upstreams[*place];
            upstream.takes_work() && ask.phase.fits(upstream.role()) && !ask.tried.contains(place)
        };
        let fitting: Vec<usize> = (0..upstreams.len()).filter(fits).collect();
        if fitting.is_empty() {
            return None;
        }
        let open = |place: &usize| upstreams[*place].open_requests();
        match router {
            Router::RoundRobin => {
                self.turn += 1;
                Some(fitting[self.turn % fitting.len()])
            }
            Router::PowerOfTwo => {
                let two = [0, 1].map(|_| fitting[rng.random_range(0..fitting.len())]);
                two.into_iter().min_by_key(open)
            }
            Router::CacheAffinity => {
                let held = |place: &usize| held_blocks(&upstreams[*place], ask.holders);
                let most = *fitting.iter().max_by_key(|place| held(place))?;
                if f64::from(held(&most)) >= AFFINITY_SHARE * ask.blocks.max(1) as f64 {
                    return Some(most);
                }
                least_open(&fitting, open, rng)
            }
            _ => least_open(&fitting, open, rng),
        }
    }
}

fn held_blocks(upstream: &UpstreamState, holders: &Holders) -> u32 {
    upstream.cache_slot().map_or(0, |slot| holders.blocks_of(slot))
}

fn least_open(
    fitting: &[usize],
    open: impl Fn(&usize) -> u64,
    rng: &mut ChaCha8Rng,
) -> Option<usize> {
    let least = fitting.iter().map(&open).min()?;
    let equal: Vec<usize> = fitting.iter().copied().filter(|place| open(place) == least).collect();
    Some(equal[rng.random_range(0..equal.len())])
}

//! The policies that the bench compares: routers, role planning and admission.

use anvilhook_core::caches::Holders;
use anvilhook_core::routing::{CostOptions, Phase, RouteTable, UpstreamState};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The share of a prompt that an engine must hold for cache affinity to count.
const AFFINITY_SHARE: f64 = 0.5;

/// `Split` gives the number of engines for each specialised role. The others are mixed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Split {
    /// Engines that only read prompts (prefill).
    pub prefill: usize,
    /// Engines that only generate output (decode).
    pub decode: usize,
}

/// `Router` is a rule by which an engine is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Router {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest open requests of this instance.
    LeastOutstanding,
    /// The one with fewer open requests of two engines drawn at random.
    PowerOfTwo,
    /// The engine that is assumed to cache the largest part of the prompt, otherwise the one with
    /// the fewest open requests.
    CacheAffinity,
    /// The engine with the lowest cost, as the core computes it.
    Cost(CostOptions),
    /// Like `Cost`, but with a different rule for engines that hold the prefix.
    Holder(HolderRule),
}

/// `HolderRule` is one way to choose between an engine that holds the prefix, where a request may
/// have to wait, and an engine with a cold cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderRule {
    /// Use the engine that answers sooner, as Lackner et al. choose between fast storage with a
    /// queue and slow storage without one (Algorithm 2).
    Turnaround,
    /// Always wait for the holder.
    AlwaysWait,
    /// Ignore which engines hold the prefix.
    NeverWait,
    /// Choose between the two at random.
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

    /// Returns whether a request considers the holders of its prefix, drawn from `rng` under
    /// [`HolderRule::Random`].
    pub fn waits(self, rng: &mut ChaCha8Rng) -> bool {
        match self {
            HolderRule::Turnaround | HolderRule::AlwaysWait => true,
            HolderRule::NeverWait => false,
            HolderRule::Random => rng.random_bool(0.5),
        }
    }
}

/// `Planning` is the way in which roles are planned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planning {
    /// The roles stay as they are at the start.
    Fixed(Split),
    /// The roles follow the current mix, whatever a change costs.
    Greedy,
    /// The core plans the roles and weighs the gain of a change against its cost.
    Weighed,
}

/// `Policy` combines the rules for all decisions of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The name used in rows.
    pub name: &'static str,
    /// The rule by which engines are chosen.
    pub router: Router,
    /// The way in which roles are planned.
    pub planning: Planning,
    /// Whether requests are refused early and accounts are limited.
    pub admission: bool,
    /// Whether requests with a tight deadline have a separate lane.
    pub lanes: bool,
}

impl Policy {
    /// Returns this project's policy.
    pub fn ours() -> Self {
        let router = Router::Cost(CostOptions::default());
        let planning = Planning::Weighed;
        Self { name: "anvilhook", router, planning, admission: true, lanes: true }
    }

    /// Returns variants of this project's policy with other rules for engines that hold a prefix.
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

    /// Returns variants of this project's policy, each with one part left out or changed.
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

    /// Returns the baselines. `best` is the fixed split with the highest goodput.
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

/// `RouterQuery` is the input of a baseline router's choice.
#[derive(Clone, Copy, Debug)]
pub struct RouterQuery<'a> {
    /// The phase of the request that needs an engine.
    pub phase: Phase,
    /// The indices of the engines that refused the request.
    pub tried: &'a [usize],
    /// The engines that are assumed to cache parts of its prompt.
    pub holders: &'a Holders,
    /// The number of blocks in its prompt.
    pub blocks: usize,
}

/// `Chooser` holds the state of a baseline router on one instance.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    turn: usize,
}

impl Chooser {
    /// Chooses an engine for one phase of a request by a baseline router. Returns its index in the
    /// route table.
    pub fn choose(
        &mut self,
        router: &Router,
        table: &RouteTable,
        query: &RouterQuery<'_>,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let upstreams = table.upstreams();
        let fits = |index: &usize| {
            let upstream = &upstreams[*index];
            upstream.takes_work()
                && query.phase.fits(upstream.role())
                && !query.tried.contains(index)
        };
        let fitting: Vec<usize> = (0..upstreams.len()).filter(fits).collect();
        if fitting.is_empty() {
            return None;
        }
        let open = |index: &usize| upstreams[*index].open_requests();
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
                let held = |index: &usize| held_blocks(&upstreams[*index], query.holders);
                let most = *fitting.iter().max_by_key(|index| held(index))?;
                if f64::from(held(&most)) >= AFFINITY_SHARE * query.blocks.max(1) as f64 {
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
    let equal: Vec<usize> = fitting.iter().copied().filter(|index| open(index) == least).collect();
    Some(equal[rng.random_range(0..equal.len())])
}

//! Models one entry instance of a run: its view of the upstreams and its routing decisions.

use std::sync::Arc;

use anvilhook_core::admission::{Admission, AdmissionOptions, decide};
use anvilhook_core::caches::{CacheFollower, CacheSlot, Holders, PrefixIndex};
use anvilhook_core::limits::{AccountLimiter, LimitOptions};
use anvilhook_core::names::{UpstreamName, ZoneName};
use anvilhook_core::resources::AccountSpec;
use anvilhook_core::retries::{RetryBudget, RetryBudgetOptions};
use anvilhook_core::roles::{ObservedWork, PoolShape, WorkMeter};
use anvilhook_core::routing::{
    CostOptions, LaneBalancer, Lanes, Phase, Placement, RouteRequest, RouteTable, UpstreamState,
    Work,
};
use anvilhook_core::units::{Millis, Tokens};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployments::Deployment;
use super::policies::{Chooser, Policy, Router, RouterQuery};
use super::workloads::{ACCOUNTS, Request, Workload};

/// The maximum number of pairs of a block and an engine in an instance's prefix index.
const INDEX_CAPACITY: usize = 65_536;

/// `Decision` is an instance's routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to an engine.
    Send {
        /// The engine.
        engine: usize,
        /// The phase of the request that the engine runs.
        phase: Phase,
        /// The work that is counted as open at the engine.
        work: Work,
    },
    /// Refuse the request as not run.
    Refuse,
    /// No engine accepts the request at present.
    NoEngine,
}

/// `Sent` is work that the instance publishes to its peers.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// The engine.
    pub engine: usize,
    /// The work that was sent.
    pub work: Work,
    /// The time at which it was sent.
    pub at: Millis,
}

/// `Instance` models one entry instance.
pub struct Instance {
    /// Its availability zone.
    pub zone: usize,
    /// Its view of each engine.
    pub engines: Vec<Arc<UpstreamState>>,
    /// Its view of each upstream of the plain service.
    pub plain: Vec<Arc<UpstreamState>>,
    /// Measures the work that callers requested.
    pub meter: WorkMeter,
    /// The work that it has sent since its last digest.
    pub sent: Vec<Sent>,
    /// Its retry budget.
    pub retries: RetryBudget,
    lanes: Arc<Lanes>,
    lane_balancer: LaneBalancer,
    table: RouteTable,
    plain_table: RouteTable,
    prefixes: Arc<PrefixIndex>,
    followers: Vec<CacheFollower>,
    limiters: Vec<AccountLimiter>,
    chooser: Chooser,
    rng: ChaCha8Rng,
}

fn states(prefix: &str, count: usize) -> Vec<Arc<UpstreamState>> {
    let state = |index: usize| {
        let name = UpstreamName::try_new(&format!("{prefix}-{index}")).expect("a valid name");
        let zone = ZoneName::try_new(&format!("zone-{}", index % Deployment::ZONES));
        let address = ([127, 0, 0, 1], 1).into();
        Arc::new(UpstreamState::new(name, address, zone.expect("a valid name")))
    };
    (0..count).map(state).collect()
}

impl Instance {
    /// Creates an instance that has not received any report or digest yet.
    pub fn new(index: usize, workload: &Workload, policy: &Policy) -> Self {
        let engines = states("engine", Deployment::ENGINES);
        let plain = states("plain", Deployment::PLAIN);
        let slots = (0..Deployment::ENGINES as u16).map(CacheSlot);
        for (engine, slot) in engines.iter().zip(slots.clone()) {
            engine.set_cache_slot(slot);
        }
        let prefixes = Arc::new(PrefixIndex::new(Deployment::ENGINES, INDEX_CAPACITY));
        let options = match policy.router {
            Router::Cost(options) => options,
            Router::Holder(rule) => rule.options(),
            _ => CostOptions::default(),
        };
        let lanes = Arc::new(Lanes::new());
        let table = RouteTable::new(engines.clone())
            .with_options(options)
            .with_prefixes(prefixes.clone())
            .with_lanes(lanes.clone());
        let spec = AccountSpec {
            token_sha256: Vec::new(),
            requests_per_s: workload.account_limit as u32,
            open_requests: u32::MAX,
        };
        let limit = || AccountLimiter::new(&spec, Deployment::INSTANCES, &LimitOptions::default());
        Self {
            zone: index % Deployment::ZONES,
            plain_table: RouteTable::new(plain.clone()),
            engines,
            plain,
            meter: WorkMeter::default(),
            sent: Vec::new(),
            retries: RetryBudget::new(&RetryBudgetOptions::default()),
            lanes,
            lane_balancer: LaneBalancer::new(&PoolShape::default()),
            table,
            prefixes,
            followers: slots.map(CacheFollower::new).collect(),
            limiters: (0..ACCOUNTS).map(|_| limit()).collect(),
            chooser: Chooser::default(),
            rng: ChaCha8Rng::seed_from_u64(workload.seed ^ (index as u64) << 32),
        }
    }

    /// Returns the sequence number after which an engine's cache events should be requested.
    pub fn next_after(&self, engine: usize) -> u64 {
        self.followers[engine].next_after()
    }

    /// Applies a page of an engine's cache events.
    pub fn apply_cache_events(
        &mut self,
        engine: usize,
        page: &anvilhook_core::reports::CacheEventPage,
    ) {
        self.followers[engine].apply(page, &self.prefixes);
    }

    /// Moves the border between the lanes according to the observed work of all instances.
    pub fn move_lanes(&mut self, seen: &ObservedWork) {
        let engines = self.engines.len();
        self.lane_balancer.update(seen, engines, &self.lanes);
    }

    /// Returns whether the account's limit allows one more request.
    pub fn within_limit(&self, account: usize, now: Millis) -> bool {
        let limiter = &self.limiters[account];
        let admitted = limiter.try_admit(now).is_ok();
        if admitted {
            limiter.release();
        }
        admitted
    }

    fn names_of(&self, indices: &[usize]) -> Vec<UpstreamName> {
        indices.iter().map(|index| self.engines[*index].name().clone()).collect()
    }

    /// Decides where a request is sent first.
    pub fn start(
        &mut self,
        policy: &Policy,
        request: &Request,
        tried: &[usize],
        now: Millis,
    ) -> Decision {
        let names = self.names_of(tried);
        let req = route_request(request);
        let holders = self.prefixes.holders(&request.blocks);
        let uncached = self.least_uncached(request, &holders);
        if tried.is_empty() {
            self.meter.record(request.work, uncached);
        }
        match policy.router {
            Router::Cost(_) => self.start_by_cost(policy, &req, &names, now),
            Router::Holder(rule) => {
                let without_prefix = RouteRequest { prefix: &[], ..req };
                let req = if rule.waits(&mut self.rng) { req } else { without_prefix };
                self.start_by_cost(policy, &req, &names, now)
            }
            _ => self.start_as_baseline(policy, request, tried, &holders),
        }
    }

    /// Decides which engine generates the output after another engine has read the prompt.
    pub fn start_decode(
        &mut self,
        policy: &Policy,
        request: &Request,
        tried: &[usize],
        now: Millis,
    ) -> Decision {
        let names = self.names_of(tried);
        if let Router::Cost(_) | Router::Holder(_) = policy.router {
            let req = route_request(request);
            let (table, rng) = (&self.table, &mut self.rng);
            let chosen = table.choose_for(Phase::Decode, &req, &names, now, rng);
            let Some(chosen) = chosen else { return Decision::NoEngine };
            let work = chosen.work(Phase::Decode, request.work);
            let engine = self.index_of(chosen.upstream);
            return Decision::Send { engine, phase: Phase::Decode, work };
        }
        let none = self.prefixes.holders(&[]);
        let (table, rng, chooser) = (&self.table, &mut self.rng, &mut self.chooser);
        let query = RouterQuery { phase: Phase::Decode, tried, holders: &none, blocks: 0 };
        let engine = chooser.choose(&policy.router, table, &query, rng);
        self.send(engine, Phase::Decode, request, &none)
    }

    /// Chooses an upstream of the plain service.
    pub fn choose_plain(&mut self, policy: &Policy, request: &Request, now: Millis) -> usize {
        let table = &self.plain_table;
        let rng = &mut self.rng;
        if let Router::Cost(_) | Router::Holder(_) = policy.router {
            let chosen = table.choose(&route_request(request), &[], now, rng);
            let chosen = chosen.expect("every upstream of the plain service accepts work");
            return self.plain.iter().position(|state| Arc::ptr_eq(state, chosen)).unwrap_or(0);
        }
        let none = self.prefixes.holders(&[]);
        let router = &policy.router;
        let query = RouterQuery { phase: Phase::Whole, tried: &[], holders: &none, blocks: 0 };
        self.chooser.choose(router, table, &query, rng).unwrap_or(0)
    }

    /// Counts a request's work as open at an engine.
    pub fn begin(&mut self, engine: usize, work: Work, now: Millis) {
        self.engines[engine].begin_at(work, now);
        self.sent.push(Sent { engine, work, at: now });
    }

    fn start_by_cost(
        &mut self,
        policy: &Policy,
        req: &RouteRequest<'_>,
        tried: &[UpstreamName],
        now: Millis,
    ) -> Decision {
        let placement = self.table.place(req, tried, now, &mut self.rng);
        let Some(placement) = placement else { return Decision::NoEngine };
        if policy.admission {
            let options = AdmissionOptions::default();
            let decision = decide(&options, placement.total(), req.deadline, now);
            if decision != Admission::Run {
                return Decision::Refuse;
            }
        }
        let (candidate, phase) = match &placement {
            Placement::Whole(whole) => (whole, Phase::Whole),
            Placement::Split { prefill, .. } => (prefill, Phase::Prefill),
        };
        let work = candidate.work(phase, req.work);
        Decision::Send { engine: self.index_of(candidate.upstream), phase, work }
    }

    fn start_as_baseline(
        &mut self,
        policy: &Policy,
        request: &Request,
        tried: &[usize],
        holders: &Holders,
    ) -> Decision {
        let can = |phase: Phase| {
            self.engines.iter().any(|engine| engine.takes_work() && phase.fits(engine.role()))
        };
        // Prefill engines can be used like mixed ones if there are decode engines to continue.
        let splits = self.engines.iter().any(|engine| !Phase::Whole.fits(engine.role()));
        let phase = if splits && can(Phase::Prefill) && can(Phase::Decode) {
            Phase::Prefill
        } else {
            Phase::Whole
        };
        let (table, rng, chooser) = (&self.table, &mut self.rng, &mut self.chooser);
        let query = RouterQuery { phase, tried, holders, blocks: request.blocks.len() };
        let engine = chooser.choose(&policy.router, table, &query, rng);
        let Some(engine) = engine else { return Decision::NoEngine };
        // A mixed engine generates the output of the prompt that it has read.
        let role = self.engines[engine].role();
        let phase = if Phase::Whole.fits(role) { Phase::Whole } else { phase };
        self.send(Some(engine), phase, request, holders)
    }

    fn send(
        &self,
        engine: Option<usize>,
        phase: Phase,
        request: &Request,
        holders: &Holders,
    ) -> Decision {
        let Some(engine) = engine else { return Decision::NoEngine };
        let slot = CacheSlot(engine as u16);
        let uncached = uncached(request, holders.blocks_of(slot));
        let work = match phase {
            Phase::Whole => Work { prompt: uncached, ..request.work },
            Phase::Prefill => Work { prompt: uncached, output: Tokens(0), tight: false },
            Phase::Decode => Work { prompt: Tokens(0), ..request.work },
        };
        Decision::Send { engine, phase, work }
    }

    fn least_uncached(&self, request: &Request, holders: &Holders) -> Tokens {
        let most = holders.as_slice().iter().map(|holder| holder.blocks).max();
        uncached(request, most.unwrap_or(0))
    }

    fn index_of(&self, upstream: &Arc<UpstreamState>) -> usize {
        upstream.cache_slot().map_or(0, |slot| usize::from(slot.0))
    }
}

fn uncached(request: &Request, held: u32) -> Tokens {
    request.work.prompt - Tokens(u64::from(held) * anvilhook_core::reports::PREFIX_BLOCK_TOKENS)
}

fn route_request(request: &Request) -> RouteRequest<'_> {
    RouteRequest {
        work: request.work,
        prefix: &request.blocks,
        deadline: request.deadline,
        priority: request.kind.priority(),
    }
}

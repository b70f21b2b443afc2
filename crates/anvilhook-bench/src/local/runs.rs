//! Executes a run: starts the site and its instances, sends the load and injects the faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use anvilhook_core::units::{Clock, Millis, SystemClock};
use anvilhook_daemon::instances::InstanceHandle;
use anvilhook_platform::{ListedInstance, ListedState};
use tokio::task::{JoinHandle, JoinSet};

use super::audits::{CompletedRequest, Evidence};
use super::plans::{Body, Fault, FaultKind, Plan, PlanOptions, Planned};
use crate::callers::{Caller, Outcome};
use crate::sites::{Site, SiteOptions, engine_name, zone};

/// The time for which an engine may still receive new work after it was listed as leaving.
const LEAVING_GRACE: Millis = Millis::from_secs(3);

/// The time for which the balancer still sends requests to an instance that is no longer ready.
const BALANCER_LAG: Millis = Millis(300);

/// `Member` is a running instance behind the balancer.
struct Member {
    callers: SocketAddr,
    operators: SocketAddr,
    /// Whether the balancer sends requests to the instance.
    in_rotation: bool,
    handle: Option<InstanceHandle<SystemClock>>,
}

/// `Run` holds a site with its instances and the balancer's state.
pub struct Run {
    /// The stand-ins.
    pub site: Site,
    members: Mutex<Vec<Member>>,
    caller: Caller,
    clock: SystemClock,
    stopping: Mutex<Vec<JoinHandle<()>>>,
    drained: Mutex<Vec<(usize, Millis)>>,
}

impl Run {
    /// Starts the stand-ins and the instances.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started.
    pub async fn start(options: &PlanOptions) -> eyre::Result<Arc<Self>> {
        let site_options = SiteOptions {
            engines: options.engines,
            plain: options.plain,
            engine: Default::default(),
            seed: options.seed,
            ..SiteOptions::default()
        };
        Self::start_site(&site_options, options.instances).await
    }

    /// Starts the stand-ins of a site and the given number of instances.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started.
    pub async fn start_site(options: &SiteOptions, instances: usize) -> eyre::Result<Arc<Self>> {
        let site = Site::start(options).await?;
        let mut members = Vec::new();
        for index in 0..instances {
            let seed = options.seed.wrapping_mul(1_000).wrapping_add(index as u64);
            let handle = site.start_instance(index, seed).await?;
            let addresses = handle.addresses();
            let (callers, operators) = (addresses.callers, addresses.operators);
            members.push(Member { callers, operators, in_rotation: true, handle: Some(handle) });
        }
        Ok(Arc::new(Self {
            site,
            members: Mutex::new(members),
            caller: Caller::try_new()?,
            clock: SystemClock::new(),
            stopping: Mutex::default(),
            drained: Mutex::default(),
        }))
    }

    /// Returns the callers' and the operators' address of each running instance.
    pub fn addresses(&self) -> Vec<(SocketAddr, SocketAddr)> {
        let members = lock(&self.members);
        let running = members.iter().filter(|member| member.in_rotation);
        running.map(|member| (member.callers, member.operators)).collect()
    }

    /// Executes a plan and returns the outcomes of its requests. Calls `on_fault` before each
    /// fault.
    pub async fn execute(
        self: &Arc<Self>,
        plan: &Plan,
        on_fault: impl Fn(&Fault),
    ) -> Vec<CompletedRequest> {
        let started_at = self.clock.now();
        let mut requests = plan.requests.iter().enumerate().peekable();
        let mut faults = plan.faults.iter().peekable();
        let mut open = JoinSet::new();
        loop {
            let next_request = requests.peek().map(|(_, planned)| planned.at);
            let next_fault = faults.peek().map(|fault| fault.at);
            let Some(at) = next_request.into_iter().chain(next_fault).min() else { break };
            let elapsed = self.clock.now() - started_at;
            tokio::time::sleep((at - elapsed).as_duration()).await;

            if next_fault == Some(at) {
                if let Some(fault) = faults.next() {
                    on_fault(fault);
                    self.inject(fault.kind).await;
                }
            } else if let Some((number, planned)) = requests.next() {
                let (run, planned) = (Arc::clone(self), planned.clone());
                open.spawn(async move { run.send(number, planned).await });
            }
        }
        let ended = open.join_all().await;
        self.finish_stops().await;
        ended
    }

    /// Returns the runs that the stand-ins counted.
    pub fn evidence(&self) -> Evidence {
        Evidence::new(&self.site.engines, &self.site.ledger)
    }

    /// Returns how many attempts reached an engine later than allowed after it was listed as
    /// leaving.
    pub fn sent_to_leaving(&self) -> usize {
        let drained = lock(&self.drained);
        let late = drained.iter().map(|(engine, since)| {
            let attempts = self.site.engines[*engine].attempts();
            let limit = *since + LEAVING_GRACE;
            attempts.iter().filter(|attempt| attempt.received_at > limit).count()
        });
        late.sum()
    }

    async fn send(&self, number: usize, planned: Planned) -> CompletedRequest {
        let mut outcome = self.send_once(number, &planned.body).await;
        // A caller that sent an idempotency key may retry at another instance. The key prevents a
        // second run of the call and makes the instance return the answer that was lost.
        if planned.body.has_key() && outcome.answer().is_none() && !outcome.is_not_run() {
            outcome = self.send_once(number + 1, &planned.body).await;
        }
        CompletedRequest { planned, outcome }
    }

    async fn send_once(&self, number: usize, body: &Body) -> Outcome {
        let Some(instance) = self.choose(number) else { return Outcome::Unreachable };
        match body {
            Body::Chat(call) => self.caller.chat(instance, call).await,
            Body::Plain(call) => self.caller.plain(instance, call).await,
        }
    }

    /// Chooses an instance as the platform's balancer does: in turn, among those that have not been
    /// removed.
    fn choose(&self, number: usize) -> Option<SocketAddr> {
        let members = lock(&self.members);
        let running: Vec<&Member> = members.iter().filter(|member| member.in_rotation).collect();
        running.get(number % running.len().max(1)).map(|member| member.callers)
    }

    async fn inject(self: &Arc<Self>, fault: FaultKind) {
        let (engines, plain) = (&self.site.engines, &self.site.plain);
        match fault {
            FaultKind::CrashEngine(index) => engines[index].crash().await,
            FaultKind::RestartEngine(index) => engines[index].restart().await,
            FaultKind::CrashPlain(index) => plain[index].crash().await,
            FaultKind::RestartPlain(index) => plain[index].restart().await,
            FaultKind::SilenceEngine(index) => engines[index].front().connections().silence_all(),
            FaultKind::SilencePlain(index) => plain[index].front().connections().silence_all(),
            FaultKind::DrainEngine(index) => self.list_as_leaving(index),
            FaultKind::StopInstance(index) => self.stop_instance(index),
        }
    }

    fn list_as_leaving(&self, index: usize) {
        let line = ListedInstance {
            name: engine_name(index),
            address: self.site.engines[index].address(),
            zone: zone(index),
            state: ListedState::Leaving,
        };
        self.site.platform.enter_instance(line);
        lock(&self.drained).push((index, self.site.clock.now()));
    }

    /// Starts a graceful stop, and lets the balancer remove the instance after `BALANCER_LAG`. A
    /// balancer checks readiness only periodically, so the instance still receives some requests
    /// and has to refuse them.
    fn stop_instance(self: &Arc<Self>, index: usize) {
        let Some(handle) = lock(&self.members)[index].handle.take() else { return };
        let run = Arc::clone(self);
        let stopping = tokio::spawn(async move {
            let removal = async {
                tokio::time::sleep(BALANCER_LAG.as_duration()).await;
                lock(&run.members)[index].in_rotation = false;
            };
            tokio::join!(removal, handle.stop());
        });
        lock(&self.stopping).push(stopping);
    }

    async fn finish_stops(&self) {
        let stopping = std::mem::take(&mut *lock(&self.stopping));
        for stop in stopping {
            if let Err(err) = stop.await {
                log::error!("an instance failed to stop: {err}");
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The platform within the process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::names::UpstreamName;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{
    Commit, Error, InstanceList, ListedInstance, ObjectStore, Result, Row, RowKey, Table,
    Transaction,
};
use bytes::Bytes;
use tokio::sync::watch;

use super::counts::{Counter, Counters, Counts};
use super::faults::{Access, Decision, Loss, PlatformFaults, Service};
use super::instance_lists::InstanceListState;
use super::objects::ObjectStoreState;
use super::tables::TableState;

/// `Pacing` is how a call waits for a delay to pass.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Pacing {
    /// Until a test has advanced the clock and called `PlatformFaults::step`.
    #[default]
    Stepped,
    /// By the runtime's timer, under the machine's clock.
    Timed,
}

/// `PlatformOptions` sets up a stand-in.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformOptions {
    /// How late the instance list shows an event.
    pub list_lag: Millis,
    /// How calls wait for a delay.
    pub pacing: Pacing,
}

/// `LocalPlatform` reaches the platform's state machines within the process.
///
/// Clones and callers' views share one platform. Each caller's view has faults and counts of its
/// own, so that one instance can be cut off alone.
#[derive(Clone, Debug)]
pub struct LocalPlatform<C> {
    clock: C,
    pacing: Pacing,
    shared: Arc<Shared>,
    /// The view of one caller; none for the platform itself.
    caller: Option<Arc<Caller>>,
}

#[derive(Debug, Default)]
struct Shared {
    services: Mutex<Services>,
    late: Mutex<Vec<LateWrite>>,
    faults: PlatformFaults,
    counters: Counters,
}

#[derive(Debug)]
struct Caller {
    name: String,
    faults: PlatformFaults,
    counters: Counters,
}

#[derive(Debug, Default)]
struct Services {
    table: TableState,
    objects: ObjectStoreState,
    instances: InstanceListState,
}

/// `LateWrite` is a write whose caller has heard that the answer is lost, and that is yet to land.
struct LateWrite(Effect);

type Effect = Box<dyn FnOnce(&mut Services, Millis) + Send>;

impl std::fmt::Debug for LateWrite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LateWrite")
    }
}

impl<C: Clock> LocalPlatform<C> {
    /// Makes an empty platform.
    pub fn new(clock: C, options: PlatformOptions) -> Self {
        let shared = Shared::default();
        lock(&shared.services).instances.set_lag(options.list_lag);
        Self { clock, pacing: options.pacing, shared: Arc::new(shared), caller: None }
    }

    /// Returns a caller's view of the platform, with faults and counts of its own beside those of
    /// the platform.
    pub fn for_caller(&self, name: &str) -> Self {
        let caller = Caller {
            name: name.to_owned(),
            faults: PlatformFaults::default(),
            counters: Counters::default(),
        };
        Self { caller: Some(Arc::new(caller)), ..self.clone() }
    }

    /// Returns the faults of this view: the caller's, or those of the whole platform.
    pub fn faults(&self) -> PlatformFaults {
        self.caller.as_ref().map_or(&self.shared.faults, |caller| &caller.faults).clone()
    }

    /// Returns what this view was used for: by its caller, or by all.
    pub fn counts(&self) -> Counts {
        self.caller.as_ref().map_or(&self.shared.counters, |caller| &caller.counters).snapshot()
    }

    /// Enters an instance into the list, or changes its line, past all faults.
    pub fn enter_instance(&self, line: ListedInstance) {
        lock(&self.shared.services).instances.enter(self.clock.now(), line);
    }

    /// Takes an instance off the list without a word about its fate, past all faults.
    pub fn remove_instance(&self, name: &UpstreamName) {
        lock(&self.shared.services).instances.remove(self.clock.now(), name);
    }

    /// Changes how late the list shows an event.
    pub fn set_list_lag(&self, lag: Millis) {
        lock(&self.shared.services).instances.set_lag(lag);
    }

    /// Returns the rows whose keys begin with `prefix`, past all faults and counts.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        lock(&self.shared.services).table.scan(prefix, None, usize::MAX)
    }

    /// Lands the writes that were lost with a late effect, in order, and returns their number.
    pub fn land_late_writes(&self) -> usize {
        let late = std::mem::take(&mut *lock(&self.shared.late));
        let landed = late.len();
        let mut services = lock(&self.shared.services);
        for write in late {
            (write.0)(&mut services, self.clock.now());
        }
        landed
    }

    /// Passes a call through the faults of the caller and of the platform, and carries it out.
    async fn call<T>(
        &self,
        access: Access,
        run: impl FnOnce(&mut Services, Millis) -> T + Send + 'static,
    ) -> Result<T> {
        let mut loss = None;
        if let Some(caller) = &self.caller {
            loss = self.arrive(&caller.faults, access).await?;
        }
        if loss.is_none() {
            loss = self.arrive(&self.shared.faults, access).await?;
        }

        let outcome = match loss {
            None => return Ok(run(&mut lock(&self.shared.services), self.clock.now())),
            Some(Loss::BeforeEffect) => "before its effect",
            Some(Loss::AfterEffect) => {
                run(&mut lock(&self.shared.services), self.clock.now());
                "after its effect"
            }
            Some(Loss::LateEffect) => {
                let write = LateWrite(Box::new(|services, now| {
                    run(services, now);
                }));
                lock(&self.shared.late).push(write);
                "with a late effect"
            }
        };
        Err(self.lost(outcome))
    }

    /// Waits as the faults demand, and returns how the answer is lost, if it is.
    async fn arrive(&self, faults: &PlatformFaults, access: Access) -> Result<Option<Loss>> {
        let mut due = None;
        loop {
            // Changes are watched from before the decision, so that none between the decision and
            // the wait is missed.
            let mut changes = faults.subscribe();
            let now = self.clock.now();
            match faults.decide(now, access, &mut due) {
                Decision::Serve(loss) => return Ok(loss),
                Decision::Refuse(why) => return Err(self.refused(why)),
                Decision::Cut => {
                    if self.pacing == Pacing::Timed {
                        wait_for_change(&mut changes).await;
                    }
                    return Err(self.lost("by a partition"));
                }
                Decision::Wait => wait_for_change(&mut changes).await,
                Decision::WaitUntil(due) => self.wait_until(due - now, &mut changes).await,
            }
        }
    }

    async fn wait_until(&self, left: Millis, changes: &mut watch::Receiver<()>) {
        match self.pacing {
            Pacing::Stepped => wait_for_change(changes).await,
            Pacing::Timed => tokio::select! {
                () = tokio::time::sleep(left.as_duration()) => (),
                () = wait_for_change(changes) => (),
            },
        }
    }

    fn refused(&self, why: &str) -> Error {
        self.count(Counter::Refused, 1);
        Error::Unavailable { message: format!("{why}, for caller {}", self.caller_name()) }
    }

    fn lost(&self, how: &str) -> Error {
        self.count(Counter::Lost, 1);
        Error::AnswerLost { message: format!("lost {how}, for caller {}", self.caller_name()) }
    }

    fn caller_name(&self) -> &str {
        self.caller.as_ref().map_or("any", |caller| &caller.name)
    }

    fn count(&self, counter: Counter, amount: u64) {
        self.shared.counters.add(counter, amount);
        if let Some(caller) = &self.caller {
            caller.counters.add(counter, amount);
        }
    }
}

impl<C: Clock> Table for LocalPlatform<C> {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        let key = key.clone();
        let this = self.clone();
        let access = Access { service: Service::Table, writes: 0 };
        self.call(access, move |services, _| {
            this.count(Counter::Reads, 1);
            services.table.read(&key)
        })
        .await
    }

    async fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Result<Vec<Row>> {
        let (prefix, after) = (prefix.to_owned(), after.cloned());
        let this = self.clone();
        let access = Access { service: Service::Table, writes: 0 };
        self.call(access, move |services, _| {
            this.count(Counter::Scans, 1);
            services.table.scan(&prefix, after.as_ref(), limit)
        })
        .await
    }

    async fn commit(&self, txn: &Transaction) -> Result<Commit> {
        let txn = txn.clone();
        let this = self.clone();
        // A transaction that only checks conditions still costs the service one write.
        let access = Access { service: Service::Table, writes: txn.writes.len().max(1) as u32 };
        self.call(access, move |services, _| {
            let commit = services.table.commit(&txn);
            this.count(Counter::Commits, 1);
            match commit {
                Commit::Done => this.count(Counter::RowsWritten, txn.writes.len() as u64),
                Commit::Conflict { .. } => this.count(Counter::Conflicts, 1),
            }
            commit
        })
        .await
    }
}

impl<C: Clock> ObjectStore for LocalPlatform<C> {
    async fn put(&self, key: &str, value: Bytes) -> Result<()> {
        let key = key.to_owned();
        let this = self.clone();
        let access = Access { service: Service::Objects, writes: 1 };
        self.call(access, move |services, _| {
            this.count(Counter::ObjectCalls, 1);
            services.objects.put(&key, value);
        })
        .await
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>> {
        let key = key.to_owned();
        let this = self.clone();
        let access = Access { service: Service::Objects, writes: 0 };
        self.call(access, move |services, _| {
            this.count(Counter::ObjectCalls, 1);
            services.objects.get(&key)
        })
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>> {
        let prefix = prefix.to_owned();
        let this = self.clone();
        let access = Access { service: Service::Objects, writes: 0 };
        self.call(access, move |services, _| {
            this.count(Counter::ObjectCalls, 1);
            services.objects.list(&prefix)
        })
        .await
    }
}

impl<C: Clock> InstanceList for LocalPlatform<C> {
    async fn list(&self) -> Result<Vec<ListedInstance>> {
        let this = self.clone();
        let access = Access { service: Service::Instances, writes: 0 };
        self.call(access, move |services, now| {
            this.count(Counter::ListCalls, 1);
            services.instances.list(now)
        })
        .await
    }
}

async fn wait_for_change(changes: &mut watch::Receiver<()>) {
    if changes.changed().await.is_err() {
        // The faults live as long as the platform that this call holds, so this is never reached;
        // pending is the honest end of a wait for what cannot come.
        std::future::pending::<()>().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each critical section leaves its value whole, so a panicking test leaves it usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

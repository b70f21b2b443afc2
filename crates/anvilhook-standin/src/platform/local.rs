//! `LocalPlatform`: access to the stand-in platform within the process.

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

/// `Pacing` is the way in which a call waits for a delay to pass.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Pacing {
    /// The call waits until a test has advanced the clock and called `PlatformFaults::step`.
    #[default]
    Stepped,
    /// The call waits on the runtime's timer, under the machine's clock.
    Timed,
}

/// `PlatformOptions` configures a stand-in platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformOptions {
    /// The lag after which the instance list shows a change.
    pub list_lag: Millis,
    /// The way in which calls wait for a delay.
    pub pacing: Pacing,
}

/// `LocalPlatform` accesses the platform's state machines within the process.
///
/// Clones and callers' views share one platform. Each caller's view has its own faults and counts,
/// so that a single instance can be partitioned from the platform.
#[derive(Clone, Debug)]
pub struct LocalPlatform<C> {
    clock: C,
    pacing: Pacing,
    shared: Arc<Shared>,
    /// The caller of this view; `None` for the platform itself.
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

/// `LateWrite` is a write that has yet to take effect, after its caller was notified of a lost
/// answer.
struct LateWrite(Effect);

type Effect = Box<dyn FnOnce(&mut Services, Millis) + Send>;

impl std::fmt::Debug for LateWrite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LateWrite")
    }
}

impl<C: Clock> LocalPlatform<C> {
    /// Creates an empty platform.
    pub fn new(clock: C, options: PlatformOptions) -> Self {
        let shared = Shared::default();
        lock(&shared.services).instances.set_lag(options.list_lag);
        Self { clock, pacing: options.pacing, shared: Arc::new(shared), caller: None }
    }

    /// Returns a caller's view of the platform, with its own faults and counts in addition to those
    /// of the platform.
    pub fn for_caller(&self, name: &str) -> Self {
        let caller = Caller {
            name: name.to_owned(),
            faults: PlatformFaults::default(),
            counters: Counters::default(),
        };
        Self { caller: Some(Arc::new(caller)), ..self.clone() }
    }

    /// Returns the faults of this view: those of its caller, or else those of the whole platform.
    pub fn faults(&self) -> PlatformFaults {
        self.caller.as_ref().map_or(&self.shared.faults, |caller| &caller.faults).clone()
    }

    /// Returns the counts of this view: those of its caller, or else those of all callers.
    pub fn counts(&self) -> Counts {
        self.caller.as_ref().map_or(&self.shared.counters, |caller| &caller.counters).snapshot()
    }

    /// Adds an instance to the list or updates its entry. No fault applies.
    pub fn enter_instance(&self, entry: ListedInstance) {
        lock(&self.shared.services).instances.enter(self.clock.now(), entry);
    }

    /// Removes an instance from the list without giving its status. No fault applies.
    pub fn remove_instance(&self, name: &UpstreamName) {
        lock(&self.shared.services).instances.remove(self.clock.now(), name);
    }

    /// Sets the lag after which the list shows a change.
    pub fn set_list_lag(&self, lag: Millis) {
        lock(&self.shared.services).instances.set_lag(lag);
    }

    /// Returns the rows whose keys begin with `prefix`. No fault applies and nothing is counted.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        lock(&self.shared.services).table.scan(prefix, None, usize::MAX)
    }

    /// Applies the writes lost with `Loss::LateEffect`, in order, and returns their number.
    pub fn land_late_writes(&self) -> usize {
        let late = std::mem::take(&mut *lock(&self.shared.late));
        let landed = late.len();
        let mut services = lock(&self.shared.services);
        for write in late {
            (write.0)(&mut services, self.clock.now());
        }
        landed
    }

    /// Applies the faults of the caller and of the platform to a call, and carries it out.
    async fn call<T>(
        &self,
        access: Access,
        run: impl FnOnce(&mut Services, Millis) -> T + Send + 'static,
    ) -> Result<T> {
        let mut loss = None;
        if let Some(caller) = &self.caller {
            loss = self.pass_faults(&caller.faults, access).await?;
        }
        if loss.is_none() {
            loss = self.pass_faults(&self.shared.faults, access).await?;
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

    /// Waits as the faults require and returns how the answer is lost, if it is.
    async fn pass_faults(&self, faults: &PlatformFaults, access: Access) -> Result<Option<Loss>> {
        let mut due = None;
        loop {
            // Subscribes before the decision, so that a change between the decision and the wait is
            // not missed.
            let mut changes = faults.subscribe();
            let now = self.clock.now();
            match faults.decide(now, access, &mut due) {
                Decision::Serve(loss) => return Ok(loss),
                Decision::Refuse(why) => return Err(self.refused(why)),
                Decision::Partition => {
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
        // A transaction that only checks conditions costs the service one write.
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
        // Not reached: the platform that this call holds keeps the sender alive. Without a sender
        // no change can pass_faults, so the wait would never end.
        std::future::pending::<()>().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each critical section leaves its value consistent, so it is usable after a panic in a test.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

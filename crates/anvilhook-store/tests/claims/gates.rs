//! Lets a test choose the order of the steps of several instances, each of which pauses before every
//! step.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use anvilhook_core::units::ManualClock;
use anvilhook_platform::{Commit, Result, Row, RowKey, Table, Transaction};
use anvilhook_standin::platform::{LocalPlatform, Loss};

use crate::fixtures::CallerOutcome;

/// The answer that an instance's caller gets, and how often that instance dispatched.
pub type Served = (CallerOutcome, usize);

/// `Step` is the next step of a paused instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    Read,
    Commit,
    Dispatch,
}

/// `Gate` pauses one instance before each of its steps.
#[derive(Debug, Default)]
pub struct Gate {
    open: bool,
    waiting: Option<Step>,
    permit: Option<Option<Loss>>,
}

#[derive(Clone, Debug)]
pub struct Gated {
    inner: LocalPlatform<ManualClock>,
    gate: Arc<Mutex<Gate>>,
}

impl Gated {
    pub fn new(platform: &LocalPlatform<ManualClock>) -> Self {
        let gate = Gate { open: true, ..Gate::default() };
        Self { inner: platform.for_caller("racer"), gate: Arc::new(Mutex::new(gate)) }
    }

    pub async fn pass(&self, step: Step) {
        let loss = poll_fn(|_| {
            let mut gate = self.gate.lock().unwrap();
            gate.waiting = Some(step);
            match gate.permit.take() {
                None if !gate.open => Poll::Pending,
                permit => Poll::Ready(permit.flatten()),
            }
        })
        .await;
        if let Some(loss) = loss {
            self.inner.faults().lose_next_writes(1, loss);
        }
    }
}

impl Table for Gated {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.pass(Step::Read).await;
        self.inner.read(key).await
    }

    async fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Result<Vec<Row>> {
        self.pass(Step::Read).await;
        self.inner.scan(prefix, after, limit).await
    }

    async fn commit(&self, txn: &Transaction) -> Result<Commit> {
        self.pass(Step::Commit).await;
        self.inner.commit(txn).await
    }
}

/// Runs a future that never waits, and panics if it does.
pub fn now_or_never<F: Future>(future: F) -> F::Output {
    match std::pin::pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(output) => output,
        Poll::Pending => panic!("the future waits"),
    }
}

/// `Choices` enumerates all sequences of choices, depth first.
#[derive(Default)]
pub struct Choices {
    taken: Vec<(usize, usize)>,
    next: usize,
}

impl Choices {
    pub fn choose(&mut self, count: usize) -> usize {
        if self.next == self.taken.len() {
            self.taken.push((0, count));
        }
        let (chosen, of) = self.taken[self.next];
        assert_eq!(of, count, "a replayed run must offer the same choices");
        self.next += 1;
        chosen
    }

    /// Advances to the next sequence, and returns whether there is one.
    pub fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some((chosen, count)) = self.taken.pop() {
            if chosen + 1 < count {
                self.taken.push((chosen + 1, count));
                return true;
            }
        }
        false
    }
}

/// `Move` is one possible choice.
#[derive(Clone, Copy, Debug)]
pub enum Move {
    Go { racer: usize, loss: Option<Loss> },
    Kill { racer: usize },
    LandLateWrites,
}

/// `Racer` is one instance that runs step by step.
pub struct Racer {
    gate: Arc<Mutex<Gate>>,
    /// The rest of the run, or `None` once it has ended or was killed.
    pub future: Option<Pin<Box<dyn Future<Output = Served>>>>,
    pub served: Option<Served>,
}

impl Racer {
    pub fn new(table: &Gated, future: impl Future<Output = Served> + 'static) -> Self {
        table.gate.lock().unwrap().open = false;
        let mut racer =
            Self { gate: table.gate.clone(), future: Some(Box::pin(future)), served: None };
        racer.poll();
        racer
    }

    /// Runs the instance up to its next step.
    fn poll(&mut self) {
        let mut cx = Context::from_waker(Waker::noop());
        let Some(future) = &mut self.future else { return };
        if let Poll::Ready(served) = future.as_mut().poll(&mut cx) {
            self.served = Some(served);
            self.future = None;
        }
    }

    pub fn go(&mut self, loss: Option<Loss>) {
        self.gate.lock().unwrap().permit = Some(loss);
        self.poll();
    }

    pub fn moves(&self, racer: usize, may_fail: bool, moves: &mut Vec<Move>) {
        if self.future.is_none() {
            return;
        }
        moves.push(Move::Go { racer, loss: None });
        if !may_fail {
            return;
        }
        moves.push(Move::Kill { racer });
        if self.gate.lock().unwrap().waiting == Some(Step::Commit) {
            let losses = [Loss::BeforeEffect, Loss::AfterEffect, Loss::LateEffect];
            moves.extend(losses.map(|loss| Move::Go { racer, loss: Some(loss) }));
        }
    }
}

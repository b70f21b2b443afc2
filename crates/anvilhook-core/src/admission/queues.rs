//! The queue of requests that wait at an instance for an upstream to have room.

use std::collections::BTreeMap;

use super::AdmissionOptions;
use crate::names::AccountName;
use crate::units::Millis;

/// `Waiting` is one request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting<T> {
    /// Its priority; the smaller goes first.
    pub priority: u8,
    /// When its answer must be whole.
    pub deadline: Millis,
    /// The least time in which it can be answered.
    pub estimate: Millis,
    /// Whose it is.
    pub account: AccountName,
    /// What the caller needs to go on with it.
    pub item: T,
}

#[derive(Debug, Default)]
struct AccountCount {
    waiting: usize,
    running: usize,
}

/// `AdmissionQueue` orders waiting requests by priority, then accounts within their fair part
/// before those above it, then by deadline.
///
/// Without the middle rule an account that floods the system with short deadlines would be served
/// before all others of its priority. One would notice the others' requests end late although the
/// account limits are not reached.
///
/// ```
/// use anvilhook_core::admission::{AdmissionOptions, AdmissionQueue, Waiting};
/// use anvilhook_core::names::AccountName;
/// use anvilhook_core::units::Millis;
///
/// let mut queue = AdmissionQueue::new(&AdmissionOptions::default());
/// let account = AccountName::try_new("kitchen-1").unwrap();
/// for (priority, item) in [(2, "question"), (0, "alert")] {
///     let account = account.clone();
///     let (deadline, estimate) = (Millis(900), Millis(100));
///     queue.push(Waiting { priority, deadline, estimate, account, item });
/// }
/// assert_eq!(queue.pop().unwrap().item, "alert");
/// ```
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    options: AdmissionOptions,
    // By priority, deadline and arrival.
    waiting: BTreeMap<(u8, Millis, u64), Waiting<T>>,
    accounts: BTreeMap<AccountName, AccountCount>,
    running: usize,
    next_arrival: u64,
}

impl<T> AdmissionQueue<T> {
    /// Makes an empty queue.
    pub fn new(options: &AdmissionOptions) -> Self {
        Self {
            options: *options,
            waiting: BTreeMap::new(),
            accounts: BTreeMap::new(),
            running: 0,
            next_arrival: 0,
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Puts a request into the queue. Returns the request to be refused in its stead if the queue
    /// was full: the last in order of the account that has the most waiting, so that a flood
    /// pushes out itself.
    pub fn push(&mut self, request: Waiting<T>) -> Option<Waiting<T>> {
        let key = (request.priority, request.deadline, self.next_arrival);
        self.next_arrival += 1;
        self.accounts.entry(request.account.clone()).or_default().waiting += 1;
        self.waiting.insert(key, request);
        if self.waiting.len() <= self.options.max_waiting {
            return None;
        }
        let last = *self.waiting.keys().next_back()?;
        let most = self.accounts.values().map(|count| count.waiting).max()?;
        let crowded = |request: &Waiting<T>| {
            request.priority == last.0
                && self.accounts.get(&request.account).is_some_and(|c| c.waiting == most)
        };
        let victim = self.waiting.iter().rev().find(|(_, request)| crowded(request));
        let key = victim.map_or(last, |(key, _)| *key);
        self.take(key)
    }

    /// Takes the next request that should start, and counts it as running until `finish`.
    pub fn pop(&mut self) -> Option<Waiting<T>> {
        let top = self.waiting.keys().next()?.0;
        let fair = self.fair_part();
        let within = |request: &Waiting<T>| {
            self.accounts.get(&request.account).is_none_or(|count| count.running < fair)
        };
        let same_priority = self.waiting.iter().take_while(|(key, _)| key.0 == top);
        let mut same_priority = same_priority.peekable();
        let first = *same_priority.peek()?.0;
        let key = same_priority.find(|(_, request)| within(request)).map_or(first, |(key, _)| *key);
        let request = self.take(key)?;
        self.accounts.entry(request.account.clone()).or_default().running += 1;
        self.running += 1;
        Some(request)
    }

    /// Takes out a request that can no longer be answered in time, to be refused as not run.
    pub fn pop_hopeless(&mut self, now: Millis) -> Option<Waiting<T>> {
        let late =
            |request: &Waiting<T>| now + request.estimate + self.options.margin > request.deadline;
        let key = self.waiting.iter().find(|(_, request)| late(request)).map(|(key, _)| *key)?;
        self.take(key)
    }

    /// Counts in a request that started without waiting.
    pub fn start(&mut self, account: &AccountName) {
        self.accounts.entry(account.clone()).or_default().running += 1;
        self.running += 1;
    }

    /// Counts out a request that has ended.
    pub fn finish(&mut self, account: &AccountName) {
        let Some(count) = self.accounts.get_mut(account) else { return };
        count.running = count.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        self.forget_idle(account);
    }

    // An account's fair part of the running requests; at least one, so that it can start at all.
    fn fair_part(&self) -> usize {
        let active = self.accounts.len().max(1);
        self.running.div_ceil(active).max(1)
    }

    fn take(&mut self, key: (u8, Millis, u64)) -> Option<Waiting<T>> {
        let request = self.waiting.remove(&key)?;
        if let Some(count) = self.accounts.get_mut(&request.account) {
            count.waiting = count.waiting.saturating_sub(1);
        }
        self.forget_idle(&request.account);
        Some(request)
    }

    fn forget_idle(&mut self, account: &AccountName) {
        if self.accounts.get(account).is_some_and(|c| c.waiting == 0 && c.running == 0) {
            self.accounts.remove(account);
        }
    }
}

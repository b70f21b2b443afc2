//! A platform's API in memory, with faults.

use std::sync::{Arc, Mutex};

use anvilhook_gateway::clouds::{Authority, Cloud, CloudAnswer, FleetOrder, UsageReport};

/// `CalledWith` is a usage report as it came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CalledWith {
    pub holder: String,
    pub token: u64,
    pub report: UsageReport,
}

/// `MemoryCloud` is the API of one test. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct MemoryCloud {
    reports: Arc<Mutex<Vec<CalledWith>>>,
    orders: Arc<Mutex<Vec<FleetOrder>>>,
    answers: Arc<Mutex<Vec<CloudAnswer>>>,
}

impl MemoryCloud {
    /// Has the next calls answered so, the last one first; all others are accepted.
    pub fn answer(&self, answers: &[CloudAnswer]) {
        *self.answers.lock().expect("no panic") = answers.to_vec();
    }

    /// Returns the reports that came.
    pub fn reports(&self) -> Vec<CalledWith> {
        self.reports.lock().expect("no panic").clone()
    }

    /// Returns the orders that came.
    pub fn orders(&self) -> Vec<FleetOrder> {
        self.orders.lock().expect("no panic").clone()
    }

    fn next_answer(&self) -> CloudAnswer {
        self.answers.lock().expect("no panic").pop().unwrap_or(CloudAnswer::Accepted)
    }
}

impl Cloud for MemoryCloud {
    async fn report_usage(&self, authority: Authority<'_>, report: &UsageReport) -> CloudAnswer {
        let (holder, token) = (authority.holder.to_owned(), authority.token);
        let called = CalledWith { holder, token, report: report.clone() };
        self.reports.lock().expect("no panic").push(called);
        self.next_answer()
    }

    async fn size_fleet(&self, _authority: Authority<'_>, order: &FleetOrder) -> CloudAnswer {
        self.orders.lock().expect("no panic").push(order.clone());
        self.next_answer()
    }
}

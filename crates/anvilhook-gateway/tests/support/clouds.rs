//! An in-memory platform API that can answer with faults.

use std::sync::{Arc, Mutex};

use anvilhook_gateway::clouds::{Authority, Cloud, CloudAnswer, FleetOrder, UsageReport};

/// `ReceivedReport` is a usage report as the API received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedReport {
    pub holder: String,
    pub token: u64,
    pub report: UsageReport,
}

/// `MemoryCloud` is the API of one test. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct MemoryCloud {
    reports: Arc<Mutex<Vec<ReceivedReport>>>,
    orders: Arc<Mutex<Vec<FleetOrder>>>,
    answers: Arc<Mutex<Vec<CloudAnswer>>>,
}

impl MemoryCloud {
    /// Sets the answers to the next calls, in reverse order. All later calls are accepted.
    pub fn set_answers(&self, answers: &[CloudAnswer]) {
        *self.answers.lock().expect("no panic") = answers.to_vec();
    }

    /// Returns the received reports.
    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.reports.lock().expect("no panic").clone()
    }

    /// Returns the received orders.
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
        let called = ReceivedReport { holder, token, report: report.clone() };
        self.reports.lock().expect("no panic").push(called);
        self.next_answer()
    }

    async fn size_fleet(&self, _authority: Authority<'_>, order: &FleetOrder) -> CloudAnswer {
        self.orders.lock().expect("no panic").push(order.clone());
        self.next_answer()
    }
}

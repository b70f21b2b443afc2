//! Orders one engine to change its role, and follows the change.

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use http::StatusCode;

use crate::events::{UpstreamEvent, emit};
use crate::fleets::Upstream;
use crate::leases::Lease;
use crate::loads::RoleObservation;
use crate::relay::Gateway;
use crate::wires::{EngineReport, OrderAnswer, RoleOrder, Wire};

/// The pause between two polls of an engine for its new role. Each costs as much as a health check.
const ROLE_PAUSE: Duration = Duration::from_millis(300);

/// The name of the engines' reports in the metric of unreadable input.
const REPORTS: &str = "reports";

/// `Change` is a change of role that is due.
pub(super) struct Change {
    pub upstream: Arc<Upstream>,
    pub role: Role,
    /// How long the engine accepts no work during the change.
    pub duration: Millis,
}

/// `OrderOutcome` is the outcome of an order that was given.
#[derive(Clone, Copy)]
pub(super) enum OrderOutcome {
    Answered(OrderAnswer),
    /// The engine did not answer. It may have accepted the order, or may accept it later.
    NoAnswer,
}

impl OrderOutcome {
    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderOutcome::Answered(OrderAnswer::Taken) => "taken",
            OrderOutcome::Answered(OrderAnswer::Busy) => "busy",
            OrderOutcome::Answered(OrderAnswer::Refused) => "refused",
            OrderOutcome::Answered(OrderAnswer::Fenced) => "fenced",
            OrderOutcome::NoAnswer => "no_answer",
        }
    }
}

/// Gives an engine an order if its report still allows one. Returns the outcome, or `None` if no order was
/// given.
pub(super) async fn give_order<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    clock: &C,
    change: &Change,
    holder: &str,
    lease: Lease,
) -> Option<OrderOutcome> {
    let Change { upstream, role, .. } = change;
    let wire = gateway.wire();
    let report = gateway.own_call_directly(upstream, &wire.report()).await?;
    let report = read_report(gateway, report.status, &report.body)?;
    // An engine that has restarted, which its entry does not show yet, may have another role.
    let is_other = upstream.entry.has_other_start(report.born);
    // Its report, or another answer since it was chosen, may have reported that it leaves.
    if is_other
        || upstream.is_leaving()
        || report.busy
        || report.role == *role
        || clock.now() >= lease.until
    {
        return None;
    }
    let order = RoleOrder {
        role: *role,
        holder: holder.to_owned(),
        fencing_token: lease.token,
        expected: Some(report.orders),
    };
    let answer = gateway.own_call_directly(upstream, &wire.order(&order)).await;
    Some(answer.map_or(OrderOutcome::NoAnswer, |answer| {
        OrderOutcome::Answered(wire.order_answer(answer.status))
    }))
}

/// Parses an engine's report. Returns `None` if it is unreadable, and counts that if the status is a success.
fn read_report<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    status: StatusCode,
    body: &[u8],
) -> Option<EngineReport> {
    let report = gateway.wire().engine_report(body);
    if report.is_err() && status.is_success() {
        gateway.metrics().record_unreadable(REPORTS);
    }
    report.ok()
}

/// Polls an engine that has accepted an order until it has its new role, and notifies the other instances.
///
/// The upstream table shows the change up to two seconds later, and not at all while it is unreachable. An
/// engine that accepts work again would be idle until then.
pub(super) async fn await_role<W: Wire, C: Clock>(
    gateway: Gateway<W, C>,
    upstream: Arc<Upstream>,
    role: Role,
    duration: Millis,
) {
    tokio::time::sleep(duration.as_duration()).await;
    loop {
        let view = gateway.fleet().view();
        let Some(listed) = view.get(&upstream.entry.id) else { return };
        if !listed.entry.is_same_start(&upstream.entry) || listed.entry.role == Some(role) {
            return;
        }
        let report = gateway.own_call(&upstream, &gateway.wire().report()).await;
        let report = report.and_then(|report| read_report(&gateway, report.status, &report.body));
        if report.is_some_and(|report| report.role == role && !report.busy) {
            let sequence = listed.entry.sequence;
            upstream.state.observe_role(RoleObservation { role, sequence, is_own: true });
            gateway.peers().announce();
            emit(&UpstreamEvent::RoleShown { upstream: &upstream.entry.id, role, request: None });
            return;
        }
        tokio::time::sleep(ROLE_PAUSE).await;
    }
}

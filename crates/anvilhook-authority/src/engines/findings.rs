//! The findings on an engine, which are reported to operators.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvilhook_core::authority::Wait;
use anvilhook_core::drains::DrainCause;
use anvilhook_core::names::InstanceName;
use anvilhook_core::orders::EngineState;
use anvilhook_core::resources::Fencing;

use super::EngineMemory;
use crate::observations::{Finding, list, reasons};
use crate::plans::EnginePlan;
use crate::pools::HeldPool;

/// Returns the finding for an engine whose change waits, or `None` if the instances were not read in
/// this step, so that the previous finding still applies.
pub(super) fn finding_of(wait: &Wait, pool: &HeldPool, engine: &EnginePlan) -> Option<Finding> {
    match wait {
        Wait::Instances(names) if names.is_empty() => None,
        Wait::Instances(names) => {
            let mark = pool.row.drains.engines.get(&engine.name);
            let since = mark.map_or(0, |mark| mark.since);
            let message = format!("the drain of generation {since} awaits {}", list(names));
            Some(Finding::new(false, reasons::AWAITING_INSTANCES, message))
        }
        _ => Some(Finding::of_wait(wait)),
    }
}

/// Returns whether requests are routed to an engine, and if not, the causes and the progress of its
/// drain.
pub(super) fn serving_finding(pool: &HeldPool, engine: &EnginePlan) -> Finding {
    let Some(mark) = pool.row.drains.engines.get(&engine.name) else {
        return Finding::new(true, reasons::SERVING, "requests may go to the engine");
    };
    let causes = mark.causes.iter().map(|cause| match cause {
        DrainCause::Change => "a change".to_owned(),
        DrainCause::Plan(name) => format!("drain plan {name}"),
    });
    let causes = causes.collect::<Vec<_>>().join(", ");
    if pool.engines.get(&engine.name).is_some_and(|memory| memory.drained) {
        return Finding::new(
            false,
            reasons::DRAINED,
            format!("has no open requests and gets no new ones: {causes}"),
        );
    }
    Finding::new(false, reasons::DRAINING, format!("gets no new requests: {causes}"))
}

pub(super) fn memory_is_unreachable(memory: &EngineMemory) -> bool {
    memory.read.is_none() && !memory.answers
}

pub(super) fn unreachable_finding(engine: &EnginePlan) -> Finding {
    let address: SocketAddr = engine.address;
    let message = format!("the engine's state cannot be read at {address}");
    Finding::new(false, reasons::ENGINE_UNREACHABLE, message)
}

pub(super) fn changing_finding(message: &str) -> Finding {
    Finding::new(false, reasons::CHANGING, message)
}

pub(super) fn fencing_finding(declared: Fencing, state: &EngineState, lost_fence: bool) -> Finding {
    match (declared, state.checks_fencing) {
        (Fencing::Checks, false) => Finding::new(
            false,
            reasons::DECLARED_CHECKS,
            "declared to check fencing numbers, but reports that it does not; treated as ignoring them",
        ),
        (Fencing::Ignores, true) => Finding::new(
            false,
            reasons::DECLARED_IGNORES,
            "declared to ignore fencing numbers, but reports that it checks; treated as ignoring them",
        ),
        (Fencing::Checks, true) if lost_fence => Finding::new(
            false,
            reasons::FENCE_LOST,
            "lost the highest stamp in a restart; treated as ignoring fencing numbers",
        ),
        _ => Finding::new(true, reasons::FENCING_AGREES, "the engine reports what is declared"),
    }
}

pub(super) fn lagging_finding(engine: &EnginePlan, lagging: &BTreeSet<InstanceName>) -> Finding {
    let (names, revision) = (list(lagging), engine.declared_at.0);
    let message = format!("moved to this pool at revision {revision}, not yet used by {names}");
    Finding::new(false, reasons::AWAITING_INSTANCES, message)
}

//! Which kind an engine is: one that refuses orders with an old fencing number, or one that does not.

use crate::orders::EngineState;
use crate::resources::Fencing;

/// Returns the kind that holds for an engine: it checks only if it is declared to, says so itself,
/// and has not lost its fence in a restart.
///
/// An engine that forgets the highest stamp when it restarts lets an old order in again, like one
/// that ignores stamps; one would see an order of an earlier term in its log after the restart.
pub fn effective_fencing(declared: Fencing, state: &EngineState, lost_fence: bool) -> Fencing {
    let checks = declared == Fencing::Checks && state.checks_fencing && !lost_fence;
    if checks { Fencing::Checks } else { Fencing::Ignores }
}

//! Determines whether an engine refuses orders with an old fencing number.

use crate::orders::EngineState;
use crate::resources::Fencing;

/// Returns the effective fencing of an engine. It counts as checking only if it is declared to check,
/// reports that it does, and has not lost its highest stamp in a restart.
///
/// An engine that forgets the highest stamp when it restarts accepts old orders again, like one that
/// ignores stamps: after the restart its log would show an order of an earlier term.
pub fn effective_fencing(declared: Fencing, state: &EngineState, lost_fence: bool) -> Fencing {
    let checks = declared == Fencing::Checks && state.checks_fencing && !lost_fence;
    if checks { Fencing::Checks } else { Fencing::Ignores }
}

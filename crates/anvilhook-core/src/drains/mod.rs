//! Drains: taking work off an engine before it is changed, without cutting a request.
//!
//! An engine is marked as draining in the table, at a generation. Every announced instance that
//! has read the mark routes nothing more there and, once none of its own requests is in flight,
//! acknowledges the generation. Only when all have done so, and the engine's state read after that
//! shows no open request, is the engine drained.

mod acknowledgements;
mod followers;
mod marks;
mod plans;

pub use acknowledgements::{DrainAck, DrainProgress, PoolAck, progress};
pub use followers::{DrainFollower, FollowedPool};
pub use marks::{DrainCause, DrainMark, DrainMarks};
pub use plans::{DrainPlanner, EngineView, PlanRefusal};

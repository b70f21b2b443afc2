//! Drains: taking work off an engine before it is changed, without interrupting a request.
//!
//! An engine is marked as draining in the table, at a generation. Every announced instance that has read
//! the mark routes no new requests to the engine. Once it has no request in flight there, it
//! acknowledges the generation. The engine is drained only when all instances have acknowledged and the
//! engine's state, read after that, shows no open request.

mod acknowledgements;
mod followers;
mod marks;
mod plans;

pub use acknowledgements::{DrainAck, DrainProgress, PoolAck, progress};
pub use followers::{DrainFollower, FollowedPool};
pub use marks::{DrainCause, DrainMark, DrainMarks};
pub use plans::{DrainPlanner, EngineView, PlanRefusal};

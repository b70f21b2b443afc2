//! Role planning: which engines read prompts, which generate and which do both.
//!
//! A `WorkMeter` on the request path counts the work; a `RolePlanner` weighs from it whether a
//! change of roles gains more than it costs. The planner only says which roles should be; carrying
//! them out, one drained engine after the other, is the work of the engines' authority.

mod capacities;
mod meters;
mod planners;

pub use capacities::{PoolShape, RoleCounts};
pub use meters::{Flow, ObservedWork, WorkMeter};
pub use planners::{EngineRole, PlanOptions, RoleBounds, RoleChange, RolePlanner};

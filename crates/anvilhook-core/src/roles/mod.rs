//! Role planning decides which engines read (prefill) prompts, which generate output and which do both.
//!
//! A `WorkMeter` on the request path counts the work. From its figures a `RolePlanner` decides whether
//! a change of roles gains more than it costs. The planner only returns the roles that engines should
//! have; the engines' authority applies them by draining one engine after the other.

mod capacities;
mod meters;
mod planners;

pub use capacities::{PoolShape, RoleCounts};
pub use meters::{Flow, ObservedWork, WorkMeter};
pub use planners::{EngineRole, PlanOptions, RoleBounds, RoleChange, RolePlanner};

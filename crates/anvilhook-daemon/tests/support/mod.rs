//! Fixtures: a fake upstream that injects faults on its connections, and the front of an instance that
//! uses it.

pub mod fakes;
pub mod fronts;

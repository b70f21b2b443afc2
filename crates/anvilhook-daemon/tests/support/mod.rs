//! Fixtures: a fake upstream with faults on the wire, and an instance's front before it.

pub mod fakes;
pub mod fronts;

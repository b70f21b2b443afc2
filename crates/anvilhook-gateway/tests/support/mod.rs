//! What the tests share: a wire of their own, scripted upstreams, and a gateway in front of them.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod fronts;
pub mod tables;
pub mod upstreams;
pub mod wires;

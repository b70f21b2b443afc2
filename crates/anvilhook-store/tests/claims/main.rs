//! Tests that claimed requests run at most once across instances, under faults, in every order of steps
//! and over time.

mod faults;
mod fixtures;
mod gates;
mod interleavings;
mod over_http;
mod sweeps;

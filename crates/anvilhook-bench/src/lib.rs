//! The local demonstration and the benches of the policy, the control plane and the proxy.
//!
//! Each subcommand of `anvilhook-bench` is a module with an `Args` struct and a `run` function.
#![forbid(unsafe_code)]

pub mod callers;
pub mod control;
pub mod local;
pub mod policy;
pub mod proxy;
pub mod sites;

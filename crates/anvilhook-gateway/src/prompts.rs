//! Describes the prompt of a request: its parts and its length.

use std::sync::Arc;

use anvilhook_core::fingerprints::Fingerprint;

/// `Part` is a part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Part {
    /// The part's id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// `SharedPart` identifies a part that requests to a model of a service share.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SharedPart {
    /// The service.
    pub service: Arc<str>,
    /// The model, as callers name it.
    pub model: Arc<str>,
    /// The part's id.
    pub id: u64,
    /// The fingerprint of its service, its model and its id.
    pub fingerprint: Fingerprint,
}

/// `Prompt` is the work that a request requires of a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The model, as the caller names it.
    pub model: Arc<str>,
    /// The parts in order. The last one is the request's own.
    pub parts: Vec<Part>,
    /// The prompt's whole length in tokens.
    pub tokens: u32,
    /// The maximum number of tokens to be generated.
    pub max_output: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Returns the parts that other requests to `service` may share, in a form that all instances recognize.
    pub fn shared_parts(&self, service: &Arc<str>) -> impl Iterator<Item = SharedPart> {
        self.shared().iter().map(move |part| SharedPart {
            service: Arc::clone(service),
            model: Arc::clone(&self.model),
            id: part.id,
            fingerprint: Fingerprint::of_part(service, &self.model, part.id),
        })
    }
}

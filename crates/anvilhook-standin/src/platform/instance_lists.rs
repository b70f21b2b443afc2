//! The instance list as a state machine that shows changes with a lag.

use std::collections::BTreeMap;

use anvilhook_core::names::UpstreamName;
use anvilhook_core::units::Millis;
use anvilhook_platform::ListedInstance;

/// `InstanceListState` holds the history of the list and returns its state of some time ago.
///
/// ```
/// use anvilhook_core::names::{UpstreamName, ZoneName};
/// use anvilhook_core::units::Millis;
/// use anvilhook_platform::{ListedInstance, ListedState};
/// use anvilhook_standin::platform::InstanceListState;
///
/// let mut list = InstanceListState::new(Millis(500));
/// let instance = ListedInstance {
///     name: UpstreamName::try_new("engine-1").unwrap(),
///     address: "127.0.0.1:7000".parse().unwrap(),
///     zone: ZoneName::try_new("piraeus").unwrap(),
///     state: ListedState::Live,
/// };
/// list.enter(Millis(100), instance);
/// assert!(list.list(Millis(599)).is_empty());
/// assert_eq!(list.list(Millis(600)).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InstanceListState {
    lag: Millis,
    events: Vec<ListEvent>,
}

#[derive(Clone, Debug)]
struct ListEvent {
    at: Millis,
    name: UpstreamName,
    /// The instance's new entry; `None` if it was removed from the list.
    entry: Option<ListedInstance>,
}

impl InstanceListState {
    /// Creates an empty list that shows each change after `lag`.
    pub fn new(lag: Millis) -> Self {
        Self { lag, events: Vec::new() }
    }

    /// Sets the lag after which changes are shown.
    pub fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Adds an instance or updates its entry.
    pub fn enter(&mut self, now: Millis, entry: ListedInstance) {
        let name = entry.name.clone();
        self.events.push(ListEvent { at: now, name, entry: Some(entry) });
    }

    /// Removes an instance from the list without giving its status.
    pub fn remove(&mut self, now: Millis, name: &UpstreamName) {
        self.events.push(ListEvent { at: now, name: name.clone(), entry: None });
    }

    /// Returns the list as it was `lag` before `now`, sorted by name.
    pub fn list(&self, now: Millis) -> Vec<ListedInstance> {
        let mut entries = BTreeMap::new();
        // An event is shown after its full lag. `now - lag` would saturate at zero and show events
        // of time zero too early, so the lag is added to the event's time.
        for event in self.events.iter().filter(|event| event.at + self.lag <= now) {
            entries.insert(&event.name, &event.entry);
        }
        entries.into_values().flatten().cloned().collect()
    }
}

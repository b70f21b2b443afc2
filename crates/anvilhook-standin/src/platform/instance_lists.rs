//! The lagging instance list as a state machine.

use std::collections::BTreeMap;

use anvilhook_core::names::UpstreamName;
use anvilhook_core::units::Millis;
use anvilhook_platform::ListedInstance;

/// `InstanceListState` holds the history of the list and shows it as it was some time ago.
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
    /// The new line; none if the instance vanished from the list.
    line: Option<ListedInstance>,
}

impl InstanceListState {
    /// Makes an empty list that shows each event `lag` late.
    pub fn new(lag: Millis) -> Self {
        Self { lag, events: Vec::new() }
    }

    /// Changes how late events are shown.
    pub fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Enters an instance, or changes its line.
    pub fn enter(&mut self, now: Millis, line: ListedInstance) {
        let name = line.name.clone();
        self.events.push(ListEvent { at: now, name, line: Some(line) });
    }

    /// Takes an instance off the list without a word about its fate.
    pub fn remove(&mut self, now: Millis, name: &UpstreamName) {
        self.events.push(ListEvent { at: now, name: name.clone(), line: None });
    }

    /// Returns the list as it was `lag` before `now`, in the order of names.
    pub fn list(&self, now: Millis) -> Vec<ListedInstance> {
        let mut lines = BTreeMap::new();
        // An event is shown once its whole lag has passed; addition keeps the start of the clock
        // from showing events that happened at zero.
        for event in self.events.iter().filter(|event| event.at + self.lag <= now) {
            lines.insert(&event.name, &event.line);
        }
        lines.into_values().flatten().cloned().collect()
    }
}

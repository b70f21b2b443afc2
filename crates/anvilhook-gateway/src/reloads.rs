//! Applies options that may change while an instance runs.

use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};

use crate::budgets::BudgetOptions;
use crate::events::{InstanceEvent, emit};
use crate::policies::Policy;
use crate::relay::Gateway;
use crate::texts::bounded;
use crate::wires::Wire;

/// The label of the settings as a source of unreadable data in metrics.
const SETTINGS: &str = "settings";

/// `Tunables` are the options that may change while an instance runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// The time from the stop signal to the end of the process.
    pub grace: Millis,
    /// The budget for extra arrivals.
    pub budget: BudgetOptions,
    /// The addresses at which other instances may run, used until the table has been read.
    pub seeds: Vec<SocketAddr>,
    /// The parts that are active under overload.
    pub policy: Policy,
}

/// `Reread` is the result of rereading the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Reread {
    /// The options now.
    pub tunables: Tunables,
    /// Changed settings that take effect only when the process restarts.
    pub at_restart: Vec<&'static str>,
}

/// `OptionSource` rereads an instance's options.
pub trait OptionSource: Send + 'static {
    /// Returns the options if they may have changed since the last call, or always if `is_asked`.
    ///
    /// # Errors
    ///
    /// A text that names the source and the field, if the options are invalid.
    fn reread(&mut self, is_asked: bool) -> Result<Option<Reread>, String>;
}

/// `Reloader` applies changed options to a running gateway.
pub struct Reloader<S, W: Wire, C: Clock> {
    source: S,
    gateway: Gateway<W, C>,
    own: SocketAddr,
    tunables: Tunables,
}

impl<S: OptionSource, W: Wire, C: Clock> Reloader<S, W, C> {
    /// Applies the initial options. `own` is this instance's own address among the instances.
    pub fn new(source: S, gateway: Gateway<W, C>, own: SocketAddr, tunables: Tunables) -> Self {
        let reloader = Self { source, gateway, own, tunables };
        reloader.apply();
        reloader
    }

    /// Returns the active options.
    pub fn tunables(&self) -> &Tunables {
        &self.tunables
    }

    /// Checks whether the options have changed, and applies them. Invalid options change nothing:
    /// the instance continues with the previous ones.
    pub fn check(&mut self, is_asked: bool) {
        match self.source.reread(is_asked) {
            Ok(None) => {}
            Ok(Some(reread)) => {
                let has_changed = self.tunables != reread.tunables;
                self.tunables = reread.tunables;
                self.apply();
                if has_changed || is_asked || !reread.at_restart.is_empty() {
                    let at_restart = reread.at_restart;
                    emit(&InstanceEvent::SettingsReread { has_changed, at_restart });
                }
            }
            Err(cause) => {
                self.gateway.metrics().record_unreadable(SETTINGS);
                emit(&InstanceEvent::SettingsRefused { cause: bounded(&cause).to_owned() });
            }
        }
    }

    fn apply(&self) {
        self.gateway.set_budget(self.tunables.budget);
        self.gateway.set_policy(self.tunables.policy);
        let seeds = self.tunables.seeds.iter().filter(|seed| **seed != self.own);
        seeds.for_each(|seed| self.gateway.peers().add(*seed));
    }
}

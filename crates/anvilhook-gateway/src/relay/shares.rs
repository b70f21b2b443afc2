//! Applies the fair shares of client accounts to requests that wait for engines.

use anvilhook_core::fair_shares::{AccountKey, Contender};
use anvilhook_core::pacing::Pace;
use anvilhook_core::units::Clock;

use super::Gateway;
use super::places::Stage;
use super::requests::Exchange;
use crate::account_shares::{AccountShares, HeldRequest, key_of};
use crate::metrics::NameLabel;
use crate::wires::Wire;

/// `ShareTurn` is what is known of a request while it waits for one stage.
pub(super) struct ShareTurn {
    stage: Stage,
    /// Counts the request if it has no excess and engines are too busy for it.
    held: Option<HeldRequest>,
    has_yielded: bool,
}

impl ShareTurn {
    /// Begins to wait for a stage.
    pub fn new(stage: Stage) -> Self {
        Self { stage, held: None, has_yielded: false }
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns the work and the excesses of client accounts.
    pub fn account_shares(&self) -> &AccountShares {
        &self.inner.account_shares
    }

    /// Returns what a request's client account requested above its fair share of the service, as a factor of the
    /// share: 0 within the share, and while the service has enough capacity.
    pub(super) fn account_excess(&self, exchange: &Exchange) -> f64 {
        let Some(key) = self.account_key(exchange) else { return 0.0 };
        self.account_shares().excess(key, self.now())
    }

    fn account_key(&self, exchange: &Exchange) -> Option<AccountKey> {
        let account = exchange.access.account.as_ref()?;
        self.policy().fair_shares.then(|| key_of(&exchange.service, &account.name))
    }

    /// Records work that a request needs from engines, in milliseconds. Until that work is sent, the request's
    /// further work is not recorded.
    pub(super) fn record_asked_work(&self, exchange: &mut Exchange, work_ms: f64) {
        if exchange.asked_work.is_some() {
            return;
        }
        let Some(key) = self.account_key(exchange) else { return };
        self.account_shares().record_asked(key, work_ms, self.now());
        exchange.asked_work = Some((key, work_ms));
    }

    /// Records that the work that a request needs is sent to an engine.
    pub(super) fn record_sent_work(&self, exchange: &mut Exchange) {
        let Some((key, work_ms)) = exchange.asked_work.take() else { return };
        let (shares, now) = (self.account_shares(), self.now());
        shares.record_sent(key, work_ms, now);
        if shares.is_contended(&exchange.service, now) {
            let label = self.share_label(exchange);
            self.metrics().contended_work_ms.get_or_create(&label).inc_by(work_ms as u64);
        }
    }

    /// Returns the pace of a request, given its pace without regard to its account: a request of an account with
    /// an excess is delayed while engines are too busy and `yields` says that it lets others pass.
    pub(super) fn pace_by_share(
        &self,
        exchange: &Exchange,
        turn: &mut ShareTurn,
        pace: Pace,
        yields: impl Fn(&Contender) -> bool,
    ) -> Pace {
        if self.account_key(exchange).is_none() {
            return pace;
        }
        let (shares, service) = (self.account_shares(), &exchange.service);
        let excess = self.account_excess(exchange);
        if excess == 0.0 {
            if pace == Pace::Hold {
                turn.held.get_or_insert_with(|| shares.hold(service, turn.stage));
            }
            return pace;
        }
        turn.held = None;
        let waiting = exchange.waiting(self.now());
        let others_held = shares.held(service, turn.stage);
        let contender =
            Contender { excess, age: waiting.age, limit: waiting.wait_limit, others_held };
        if pace != Pace::Free || !yields(&contender) {
            return pace;
        }
        if !std::mem::replace(&mut turn.has_yielded, true) {
            self.metrics().account_held.get_or_create(&self.share_label(exchange)).inc();
        }
        Pace::Hold
    }

    /// Returns the label of a request's service in the metrics of fair shares.
    pub(super) fn share_label(&self, exchange: &Exchange) -> NameLabel {
        let declared = self.config().map_or(0, |config| config.services().count());
        NameLabel { name: self.metrics().service_label(&exchange.service, declared) }
    }
}

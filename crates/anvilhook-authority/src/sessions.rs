//! The instance's own session, which is opened when it takes its first pool and renewed while it holds
//! any.

use anvilhook_core::leases::{LeaseOptions, OwnSession, SessionRef, SessionRow, SessionStatus};
use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{Commit, Result, Table, Transaction};

use crate::rows;

/// `SessionHolder` opens, renews and ends this instance's session.
#[derive(Debug)]
pub(crate) struct SessionHolder {
    me: InstanceName,
    own: Option<OwnSession>,
}

impl SessionHolder {
    pub fn new(me: InstanceName) -> Self {
        Self { me, own: None }
    }

    /// Returns the session, even if it has run out.
    pub fn session(&self) -> Option<&SessionRef> {
        self.own.as_ref().map(OwnSession::session)
    }

    /// Returns whether an order may be given now for the pools that `session` holds. A later session
    /// of this instance gives no authority over the pools of an earlier one, which other instances may
    /// take.
    pub fn may_order(&self, session: &SessionRef, now: Millis, options: &LeaseOptions) -> bool {
        let own = self.own.as_ref().filter(|own| own.session() == session);
        own.is_some_and(|own| own.may_order(now, options))
    }

    /// Renews the session if that is due; called between other work. A failure is only logged: the
    /// next renewal tries again, and once the session has run out, `may_order` allows no order.
    pub async fn renew(&mut self, table: &impl Table, clock: &impl Clock, options: &LeaseOptions) {
        if let Err(err) = self.open_or_renew(table, clock, options).await {
            log::warn!("the session cannot be renewed: {err}");
        }
    }

    /// Opens or renews the session if that is due. A session that turns out to have ended is dropped,
    /// and all pools that it held are lost with it.
    pub async fn open_or_renew(
        &mut self,
        table: &impl Table,
        clock: &impl Clock,
        options: &LeaseOptions,
    ) -> Result<()> {
        let key = rows::session_key(&self.me);
        let mut own = match self.own.take() {
            Some(own) => own,
            None => {
                let stored = rows::read::<SessionRow>(table, &key).await?;
                let stored = stored.as_ref().map(|stored| (&stored.value, stored.version));
                OwnSession::new(self.me.clone(), options.length_ms, stored)
            }
        };
        if !own.is_due(clock.now(), options) {
            self.own = Some(own);
            return Ok(());
        }

        // The lease counts from here, before the write is sent.
        let row = own.begin(clock.now());
        let txn = Transaction {
            conditions: vec![rows::unchanged_at(key.clone(), own.version())],
            writes: vec![rows::put(key.clone(), &row)?],
        };
        let standing = match table.commit(&txn).await {
            Ok(Commit::Done) => {
                own.confirm();
                self.own = Some(own);
                return Ok(());
            }
            Ok(Commit::Conflict { standing }) => rows::find::<SessionRow>(&standing, &key),
            // The write may have taken effect; only the row shows whether it has.
            Err(_) => rows::read::<SessionRow>(table, &key).await,
        };
        match standing {
            Ok(standing) => {
                let standing = standing.as_ref().map(|stored| (&stored.value, stored.version));
                if own.read_back(standing) == SessionStatus::Active {
                    self.own = Some(own);
                }
                Ok(())
            }
            Err(err) => {
                self.own = Some(own);
                Err(err)
            }
        }
    }

    /// Ends the session at a planned stop, so that no instance has to wait until it lapses.
    pub async fn end(&mut self, table: &impl Table) -> Result<()> {
        let Some(own) = self.own.take() else { return Ok(()) };
        let key = rows::session_key(&self.me);
        let txn = Transaction {
            conditions: vec![rows::unchanged_at(key.clone(), own.version())],
            writes: vec![rows::put(key, &own.row().end())?],
        };
        table.commit(&txn).await?;
        Ok(())
    }
}

//! Authority over the engines of a pool: who may give orders, and which order may be given next.
//!
//! Everything that a successor must know lies in one row of the table, a `PoolRow`. Each change of
//! it is a compare-and-set on the row's version, so a holder that has been replaced can change
//! nothing more; and an order is recorded there before it is given, so a successor sees every order
//! that may still be on its way.

mod decisions;
mod evidence;
mod load_slots;
mod owners;
mod rows;
mod settling;

pub use decisions::{Decision, EngineFacts, Wait, decide, is_met};
pub use evidence::effective_fencing;
pub use load_slots::{LoadSlot, LoadSlots};
pub use owners::{Claim, ClaimRefusal, EngineOwner, OrderTarget};
pub use rows::{OpenOrder, PoolRow, SessionView, TakeRefusal};
pub use settling::{GivenOrder, OrderCall, OrderStatus, SettleOptions, settle};

//! Authority over the engines of a pool: who may give orders, and which order may be given next.
//!
//! Everything that a successor must know is in one row of the table, a `PoolRow`. Each change of the
//! row is a compare-and-set on its version, so a holder that has been replaced can't change it any
//! more. An order is recorded there before it is given, so a successor sees every order that may
//! still arrive.

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

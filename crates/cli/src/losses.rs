//! Ledger of losses: tries that were not served in their objective, each with its cause, from logs of vms.

mod attempt;
mod cause;
mod ledger;
mod table;
mod timeline;

pub use self::cause::LossCause;
pub use self::ledger::Ledger;
pub use self::ledger::Loss;

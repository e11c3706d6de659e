//! Escrow of account rates: each vm spends only from the share of a rate that it holds.
//!
//! # Ownership and loans
//!
//! The rate and the burst of an account are divided into [`Parts`]. The platform stores a [`Ledger`]
//! of the parts that each [`HolderId`] owns; it changes only when an owner leaves or is lost. In
//! between, parts follow demand by loans that expire on their own:
//!
//! - The lender subtracts parts and tokens before it sends a [`Loan`]. The borrower counts the loan's
//!   term from when it sent its request, the lender from when it answered plus a margin, so the
//!   borrower stops first. A lost loan withholds its parts until it expires; a duplicate matches no
//!   pending request and is dropped. A borrower that dies leaves nothing to reclaim.
//! - Tokens move only together with burst parts that can hold them. Otherwise the lender could refill
//!   its bucket while the tokens are in transit, and the fleet would hold more than one burst.
//! - Tokens granted to a local program occupy burst until they are reported spent or expire. A loan
//!   stops backing new grants one [`GRANT_VALIDITY`] before its term ends.
//! - An owner that leaves transfers its ledger entry to one peer by a [`Handover`], even while the
//!   platform is down. The handover names the entry, so it is valid only while the ledger lists that
//!   entry.
//! - An owner that was paused for [`FREEZE_GAP`] or longer may have lost its entry without noticing,
//!   so its parts are frozen until the ledger confirms them. [`Reclaim`] moves an entry only after
//!   its owner was gone for [`RECLAIM_WAIT`], which is longer, and after every listed vm has answered
//!   that it holds no handover of the entry and will accept none.
//! - A restarted steward knows that its predecessor on the same vm has ended, since it could bind the
//!   same addresses. It takes over the predecessor's entry after [`TAKEOVER_WAIT`], when every loan
//!   and grant of the predecessor has expired. It starts with an empty bucket: the predecessor
//!   may have spent a whole burst, and any window must see at most one burst plus one rate. The other
//!   vms are asked for a handover as in any reclaim.
//!
//! # Trade-offs
//!
//! - Loans that expire instead of permanent transfers: a loan must be renewed while the demand lasts,
//!   but nothing has to be recovered from a dead borrower.
//! - A long wait before a reclaim: the share of a lost owner is unused for [`RECLAIM_WAIT`], but a
//!   paused owner can never spend it a second time.
//! - Asking every listed vm before a reclaim: one that is partitioned away blocks it, and keeps
//!   serving from its share.
//! - Parts instead of amounts: when the rate changes, each holder scales its share as soon as its vm
//!   has the new bundle. The sum never exceeds the largest rate in force on any vm, and equals the
//!   new rate once every holder has the new bundle.

mod borrowing;
mod demand;
mod draw;
mod handover;
mod holder;
mod holder_id;
mod ledger;
mod loan;
mod message;
mod parts;
mod reclaim;

use std::time::Duration;

pub use self::borrowing::Borrowing;
pub use self::draw::Draw;
pub use self::handover::Handover;
pub use self::holder::DrawerId;
pub use self::holder::Holder;
pub use self::holder::HolderState;
pub use self::holder_id::HolderId;
use self::ledger::FIRST_EPOCH;
pub use self::ledger::Ledger;
pub use self::ledger::LedgerEntry;
pub use self::loan::Loan;
pub use self::loan::LoanRequest;
pub use self::loan::Return;
pub use self::message::Message;
pub use self::parts::Parts;
pub use self::reclaim::Reclaim;
pub use self::reclaim::ReclaimStep;

/// Time for which tokens granted to a local program are valid, counted from its request.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(500);
/// Term of a loan, which its borrower counts from its request.
pub const LOAN_TERM: Duration = Duration::from_secs(5);
/// Time past a loan's term before its lender reuses the parts; allows for clock drift.
pub const LOAN_MARGIN: Duration = Duration::from_millis(200);
/// Gap between two clock readings that freezes the owned parts.
pub const FREEZE_GAP: Duration = Duration::from_secs(10);
/// Time for which an owner must be gone before another vm may reclaim its entry.
pub const RECLAIM_WAIT: Duration = Duration::from_secs(15);
/// Time after its start at which a steward may take over the entry of its predecessor on the vm.
pub const TAKEOVER_WAIT: Duration = LOAN_TERM.saturating_add(LOAN_MARGIN);

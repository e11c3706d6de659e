//! Rates across the fleet: each virtual machine spends only the share that it holds.
//!
//! # What is shared
//!
//! The rate and the burst of an account are cut into [`Parts`]. The platform's [`Ledger`] says which
//! [`HolderId`] owns which parts; it changes only when an owner leaves or is lost. Demand moves parts
//! between owners and everybody else by loans that lapse by themselves:
//!
//! - The lender subtracts parts and tokens before it sends a [`Loan`]. The borrower counts the term
//!   of the loan from when it asked, the lender from when it answered plus a margin, so the
//!   borrower's use ends first. A lost loan costs its parts until it lapses; a doubled one matches no
//!   open question and is dropped. A borrower that dies needs no reclaim.
//! - Tokens only ever move together with burst parts that can hold them. Else the lender could refill
//!   while its tokens are under way, and the fleet would hold more than one burst.
//! - Tokens handed to a local program occupy burst until they are reported spent or are no longer
//!   valid. A loan stops backing new grants one validity before its term ends.
//! - An owner that leaves gives its entry of the ledger to one peer as a [`Handover`], also while the
//!   platform is down. The handover carries the entry's identity, so it is valid only as long as the
//!   ledger lists that entry.
//! - An owner that was paused for [`FREEZE_GAP`] or more may have lost its entry unaware: its parts
//!   are frozen until the ledger confirms them. [`Reclaim`] takes an entry only after its owner was
//!   gone for [`RECLAIM_WAIT`], which is longer, and after every listed virtual machine has said that
//!   it holds no handover of the entry and will accept none.
//!
//! - A new life on the same virtual machine knows that the last one has ended, since it listens on
//!   its addresses. It takes over the last one's entry after [`SUCCESSION_WAIT`], when every loan and
//!   grant of the last life has lapsed, and with an empty bucket: the last life spent from one burst,
//!   the new one starts at none, so any window holds one burst and one rate. The other virtual
//!   machines are asked for a handover as in any reclaim.
//!
//! # What each choice trades
//!
//! - Loans that lapse against moves for good: a loan must be renewed while the demand lasts, but
//!   nothing that a dead borrower held has to be found out.
//! - The wait before a reclaim against a quick one: the share of a lost owner serves nobody for
//!   [`RECLAIM_WAIT`]; in exchange a paused owner can never spend it a second time.
//! - Asking every listed virtual machine before a reclaim: one that is cut off blocks it, and keeps
//!   serving from its share.
//! - Parts instead of amounts: when the rate changes, each holder scales at once by the bundle that is
//!   in force on its virtual machine. The sum never exceeds the larger of the rates in force
//!   anywhere, and is the new rate as soon as every holder has the new bundle.

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
pub use self::holder::Holding;
pub use self::holder_id::HolderId;
use self::ledger::FIRST_EPOCH;
pub use self::ledger::Ledger;
pub use self::ledger::LedgerEntry;
pub use self::loan::Ask;
pub use self::loan::Loan;
pub use self::loan::Return;
pub use self::message::Message;
pub use self::parts::Parts;
pub use self::reclaim::Reclaim;
pub use self::reclaim::ReclaimStep;

/// Time that tokens handed to a local program may be spent, counted from its request.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(500);
/// Term of a loan.
pub const LOAN_TERM: Duration = Duration::from_secs(5);
/// Time beyond a loan's term before its lender uses the parts again; covers clocks that drift.
pub const LOAN_MARGIN: Duration = Duration::from_millis(200);
/// Gap between two readings of the clock after which owned parts are frozen.
pub const FREEZE_GAP: Duration = Duration::from_secs(10);
/// Time for which an owner must be gone before its entry may be reclaimed.
pub const RECLAIM_WAIT: Duration = Duration::from_secs(15);
/// Time after its own start at which a life may take over the entry of its virtual machine's last one.
pub const SUCCESSION_WAIT: Duration = LOAN_TERM.saturating_add(LOAN_MARGIN);

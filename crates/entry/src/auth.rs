//! Authentication of clients against the key verifiers in the bundle.

mod scram;
mod verifier;

pub(crate) use scram::MECHANISM;
pub(crate) use scram::ScramExchange;
pub(crate) use verifier::Verifier;

use mustardbay_policy::bundle::Account;
use mustardbay_policy::names::KeyId;

/// Returns the identifier of the account's key that matches the clear-text `key`.
///
/// Each verifier costs a key derivation, so call this on a blocking thread.
pub(crate) fn check_cleartext(account: &Account, key: &str) -> Option<KeyId> {
    account
        .keys
        .iter()
        .find(|k| Verifier::parse(&k.verifier).is_some_and(|v| v.accepts(key)))
        .map(|k| k.id.clone())
}

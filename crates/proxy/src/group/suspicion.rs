//! What speaks for a replacement of the primary.

use std::time::Duration;

use mustardbay_policy::names::UpstreamName;

use crate::pool::Contact;

/// Time for which a primary must have been failing before other vms are asked: longer than a statement.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);

/// Tells whether a primary is failing or to be replaced.
pub(super) fn needs_failover(primary: &UpstreamName, contacts: &[Contact]) -> bool {
    contacts.iter().any(|contact| {
        contact.registration.name == *primary
            && (contact.failing.is_some() || contact.is_departing())
    })
}

/// Tells whether another upstream may take the place of a primary that is to be replaced.
pub(super) fn has_candidate(primary: &UpstreamName, contacts: &[Contact]) -> bool {
    contacts.iter().any(|contact| {
        contact.registration.name != *primary
            && !contact.is_departing()
            && contact.failing.is_none()
    })
}

/// Tells whether an upstream has been failing for so long that other vms are asked about it.
pub(super) fn is_suspect(contact: &Contact) -> bool {
    let failing = contact.failing;
    failing.is_some_and(|failing| failing >= SUSPECT_AFTER)
}

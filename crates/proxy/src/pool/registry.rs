//! Updates of the list of registered upstreams.

use std::collections::BTreeMap;

use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::output::RetryReason;
use crate::pool::upstream::Registration;
use crate::pool::upstream::Role;
use crate::pool::upstream::Upstream;

impl Pool {
    /// Applies a new list of registered upstreams.
    pub(super) fn register(&mut self, registrations: Vec<Registration>, now: BootInstant) {
        let mut listed: BTreeMap<UpstreamName, Registration> = registrations
            .into_iter()
            .map(|registration| (registration.name.clone(), registration))
            .collect();
        let primary = listed
            .values()
            .filter(|r| r.role == Role::Primary)
            .map(|r| r.name.clone())
            .next();
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in names {
            match listed.remove(&name) {
                Some(registration) => self.update_registration(&name, registration, now),
                None => self.note_unlisted(&name, now),
            }
        }
        for (name, registration) in listed {
            let mut upstream = Upstream::new(registration.clone(), now);
            upstream.register(registration, now);
            self.upstreams.insert(name, upstream);
        }
        self.primary.register(primary, now);
    }

    /// Applies a changed registration; a restarted or moved upstream starts with a clean state.
    fn update_registration(
        &mut self,
        name: &UpstreamName,
        registration: Registration,
        now: BootInstant,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let old = &upstream.registration;
        let replaced =
            old.incarnation != registration.incarnation || old.address != registration.address;
        if replaced {
            self.forget(name, now);
            let upstream = Upstream::new(registration.clone(), now);
            self.upstreams.insert(name.clone(), upstream);
        }
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.register(registration, now);
        }
    }

    /// Drops an upstream that has been missing from the list for too long.
    fn note_unlisted(&mut self, name: &UpstreamName, now: BootInstant) {
        let gone = self
            .upstreams
            .get_mut(name)
            .is_some_and(|u| u.note_unlisted(now));
        if gone {
            self.forget(name, now);
        }
    }

    /// Drops an upstream and abandons its connections.
    fn forget(&mut self, name: &UpstreamName, now: BootInstant) {
        let connections = self.connections_to(name);
        for id in connections {
            self.abandon_connection(id, RetryReason::ConnectionLost, now);
        }
        self.upstreams.remove(name);
        self.primary.forget(name, now);
    }
}

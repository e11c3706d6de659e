//! Actor that reads the platform: virtual machines, bundle and group records.

use std::collections::BTreeMap;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_platform::Entry;
use mustardbay_platform::Platform;
use mustardbay_platform::PlatformError;
use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::group::Event;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::VmState;
use serde::Deserialize;

use crate::board::Board;
use crate::groups::Groups;
use crate::groups::RECORD_PREFIX;
use crate::groups::Report;
use crate::groups::parse_record;

/// Prefix of the keys that list virtual machines.
const VM_PREFIX: &str = "vms/";
/// Key of a bundle in one piece.
const PLAIN_BUNDLE_KEY: &str = "mustardbay/bundle/plain";

/// Virtual machine as the platform lists it.
#[derive(Debug, Clone, Deserialize)]
struct ListedVm {
    domain: DomainName,
    peer: String,
    pool: String,
    #[serde(default)]
    leaving: bool,
}

/// Actor that keeps up with the platform.
#[derive(Debug, Actor)]
pub(crate) struct Directory {
    platform: Arc<dyn Platform>,
    board: Arc<Board>,
    groups: ActorRef<Groups>,
    me: (VmName, VmState),
}

impl Directory {
    pub(crate) fn new(
        platform: Arc<dyn Platform>,
        board: Arc<Board>,
        groups: ActorRef<Groups>,
        me: (VmName, VmState),
    ) -> Self {
        Self {
            platform,
            board,
            groups,
            me,
        }
    }

    async fn refresh(&self) -> Result<(), PlatformError> {
        let listing = self.platform.list(VM_PREFIX).await?;
        if self.board.post_vms(self.vms(&listing.entries)) {
            tracing::info!(event = "vms_changed");
        }
        if let Some(entry) = self.platform.get(PLAIN_BUNDLE_KEY).await? {
            self.post_bundle(&entry);
        }
        let records = self.platform.list(RECORD_PREFIX).await?;
        self.report_groups(&records.entries).await;
        Ok(())
    }

    fn vms(&self, entries: &[Entry]) -> BTreeMap<VmName, VmState> {
        let listed = entries.iter().filter_map(parse_vm);
        let (name, state) = self.me.clone();
        listed.chain([(name, state)]).collect()
    }

    fn post_bundle(&self, entry: &Entry) {
        match serde_json::from_slice::<Bundle>(&entry.value) {
            Ok(bundle) => {
                let version = bundle.version.0;
                if self.board.post_bundle(bundle) {
                    tracing::info!(event = "bundle_in_force", version);
                }
            }
            Err(e) => tracing::error!(event = "bundle_rejected", error = %e),
        }
    }

    async fn report_groups(&self, entries: &[Entry]) {
        let records: BTreeMap<&str, &Entry> = entries
            .iter()
            .filter_map(|entry| Some((entry.key.strip_prefix(RECORD_PREFIX)?, entry)))
            .collect();
        for group in &self.board.view().bundle.groups {
            let entry = records.get(group.name.as_str());
            let recorded = entry.and_then(|entry| parse_record(entry));
            if entry.is_some() && recorded.is_none() {
                continue;
            }
            self.report(group.name.clone(), Event::Record(recorded))
                .await;
        }
    }

    async fn report(&self, group: GroupName, event: Event) {
        if self.groups.tell(Report { group, event }).await.is_err() {
            tracing::debug!(event = "groups_gone");
        }
    }
}

fn parse_vm(entry: &Entry) -> Option<(VmName, VmState)> {
    let name = entry.key.strip_prefix(VM_PREFIX)?;
    match serde_json::from_slice::<ListedVm>(&entry.value) {
        Ok(listed) => {
            let state = VmState {
                domain: listed.domain,
                incarnation: 0,
                pool: listed.pool,
                peer: listed.peer,
                leaving: listed.leaving,
            };
            Some((VmName::from(name), state))
        }
        Err(e) => {
            tracing::error!(event = "vm_rejected", vm = name, error = %e);
            None
        }
    }
}

/// Time to read the platform again.
#[derive(Debug)]
pub(crate) struct Refresh;

impl Message<Refresh> for Directory {
    type Reply = ();

    async fn handle(&mut self, _msg: Refresh, _ctx: &mut Context<Self, ()>) {
        if let Err(e) = self.refresh().await {
            tracing::warn!(event = "platform_not_read", error = %e);
        }
    }
}

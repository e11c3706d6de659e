//! Keeps the vm's belief young: from the store, or from another vm while the store is away.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use mustardbay_policy::names::VmName;

use crate::board::Adoption;
use crate::board::Belief;
use crate::board::Board;
use crate::clock::Moment;
use crate::link::AskBody;
use crate::link::Links;
use crate::link::ReplyBody;
use crate::link::frame::AskSurvey;
use crate::meters::Meters;
use crate::platform::Platform;
use crate::survey::Survey;
use crate::vm::SURVEY_EVERY;
use crate::vm::steward::Steward;
use crate::vm::steward::Surveyed;

/// Pause after the store gave no usable answer.
const RETRY: Duration = Duration::from_millis(300);
/// Age of the belief beyond which other vms are asked.
const ASK_PEERS: Duration = Duration::from_millis(1_800);
/// Longest wait for another vm's survey.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Other vms that are asked in one round.
const PEERS: usize = 3;

/// What the surveyor works with.
pub(super) struct Parts {
    pub(super) me: VmName,
    pub(super) board: Arc<Board>,
    pub(super) links: Arc<Links>,
    pub(super) platform: Arc<dyn Platform>,
    pub(super) meters: Arc<Meters>,
    pub(super) steward: ActorRef<Steward>,
}

/// Starts to survey.
pub(super) fn start(parts: Parts) {
    tokio::spawn(async move {
        let mut round = 0_usize;
        let mut reachable = true;
        loop {
            let asked = Moment::now();
            let pause = match parts.platform.survey().await {
                Ok(survey) => {
                    parts.meters.store_call("survey", "ok");
                    if !reachable {
                        tracing::info!(event = "store_back");
                        reachable = true;
                    }
                    parts.adopt(survey, asked, "store").await;
                    SURVEY_EVERY
                }
                Err(e) => {
                    parts.meters.store_call("survey", "failed");
                    if reachable {
                        tracing::info!(event = "store_lost", error = %e);
                        reachable = false;
                    }
                    round += 1;
                    parts.ask_peers(round).await;
                    RETRY
                }
            };
            tokio::time::sleep(pause).await;
        }
    });
}

impl Parts {
    async fn adopt(&self, survey: Survey, asked: Moment, source: &str) {
        let version = survey.configuration.version;
        let belief = Belief { survey, asked };
        match self.board.adopt(belief) {
            Adoption::NewVersion => {
                tracing::info!(event = "configuration_in_force", version = %version, source,
                    age_ms = Moment::now().since(asked).as_millis());
            }
            Adoption::SameVersion => {}
            Adoption::Stale => {
                tracing::info!(event = "survey_stale", version = %version, source);
            }
        }
        if self.steward.tell(Surveyed).await.is_err() {
            tracing::error!(event = "steward_gone");
        }
    }

    /// Asks a few other vms for a younger survey than the own.
    async fn ask_peers(&self, round: usize) {
        let Some(belief) = self.board.belief() else {
            return;
        };
        if belief.age(Moment::now()) < ASK_PEERS {
            return;
        }
        let others: Vec<_> = belief
            .survey
            .members
            .iter()
            .filter(|member| member.vm != self.me)
            .collect();
        for index in 0..PEERS.min(others.len()) {
            let member = others[(round + index) % others.len()];
            let asked = Moment::now();
            let ask = self.ask_peer(&member.vm, member.address);
            let Ok(Some((survey, age))) = tokio::time::timeout(PEER_TIMEOUT, ask).await else {
                continue;
            };
            // The peer's proof is dated before this question, whenever the answer was written.
            let proven = asked.before(age);
            if proven > belief.asked {
                self.adopt(survey, proven, member.vm.as_str()).await;
                return;
            }
        }
    }

    async fn ask_peer(
        &self,
        vm: &VmName,
        address: std::net::SocketAddr,
    ) -> Option<(Survey, Duration)> {
        let link = self.links.to(vm, address).await?;
        let reply = link.call(link.number(), AskBody::Survey(AskSurvey {})).await;
        let Ok(ReplyBody::Surveyed(surveyed)) = reply else {
            return None;
        };
        if surveyed.survey.is_empty() {
            return None;
        }
        match serde_json::from_slice(&surveyed.survey) {
            Ok(survey) => Some((survey, Duration::from_millis(surveyed.age_ms))),
            Err(e) => {
                tracing::warn!(event = "survey_unreadable", vm = %vm, error = %e);
                None
            }
        }
    }
}

//! Dispatch of requests from links to this vm's pools, rates and view.

mod snapshot_replies;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use crate::clock::BootInstant;
use crate::clock::millis;
use crate::clock::millis_ceil;
use crate::latest_view::LatestView;
use crate::link::Ask;
use crate::link::AskBody;
use crate::link::OutgoingReply;
use crate::link::Reply;
use crate::link::ReplyBody;
use crate::link::frame::AskSnapshot;
use crate::link::frame::Draw;
use crate::link::frame::Drawn;
use crate::link::frame::HandOver;
use crate::link::frame::HandOverReply;
use crate::link::frame::HandedAccount;
use crate::link::frame::ReachReply;
use crate::link::frame::SnapshotReply;
use crate::link_handler::snapshot_replies::SnapshotReplies;
use crate::pool::Cause;
use crate::pool::Input;
use crate::pool::Refusal;
use crate::pool::UnitId;
use crate::rates::Authority;
use crate::rates::TokenRequest;
use crate::socket;
use crate::sync::lock;

/// Maximum time to connect to an upstream that another vm asks about.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum wait for this vm's first view when another vm requests it.
const MAX_FIRST_VIEW_WAIT: Duration = Duration::from_secs(1);
/// Delay after which a session may retry if this vm does not know its group.
const UNKNOWN_GROUP_RETRY_MS: u32 = 200;

/// Whole snapshots that are sent to other vms at a time.
const MAX_WHOLE_SNAPSHOTS: usize = 2;

/// Channel for the inputs of a group's pool.
pub type PoolInbox = mpsc::UnboundedSender<Input>;

/// Handler of the requests that arrive on links, including the vm's own.
#[derive(Debug)]
pub struct LinkHandler {
    latest_view: Arc<LatestView>,
    pools: Mutex<BTreeMap<GroupName, PoolInbox>>,
    links: Mutex<BTreeMap<u64, mpsc::UnboundedSender<OutgoingReply>>>,
    next_link: AtomicU64,
    authority: Mutex<Authority>,
    snapshot_replies: SnapshotReplies,
    /// Permits to send a whole snapshot.
    whole_snapshots: Arc<Semaphore>,
}

impl LinkHandler {
    /// Creates a handler without pools.
    ///
    /// `rate_window` is the window in which operators count an account's rate and burst.
    #[must_use]
    pub fn new(latest_view: Arc<LatestView>, rate_window: Duration) -> Self {
        Self {
            snapshot_replies: SnapshotReplies::new(Arc::clone(&latest_view)),
            whole_snapshots: Arc::new(Semaphore::new(MAX_WHOLE_SNAPSHOTS)),
            latest_view,
            pools: Mutex::default(),
            links: Mutex::default(),
            next_link: AtomicU64::new(1),
            authority: Mutex::new(Authority::new(rate_window)),
        }
    }

    /// Registers a link and the channel for its replies; returns the link's number.
    pub fn open_link(&self, replies: mpsc::UnboundedSender<OutgoingReply>) -> u64 {
        let link = self.next_link.fetch_add(1, Ordering::Relaxed);
        lock(&self.links).insert(link, replies);
        link
    }

    /// Removes a link and tells every pool to abandon the link's units.
    pub fn close_link(&self, link: u64) {
        lock(&self.links).remove(&link);
        for pool in lock(&self.pools).values() {
            send(pool, Input::LinkClosed(link));
        }
    }

    /// Adds the pool of a group.
    pub fn add_pool(&self, group: GroupName, pool: PoolInbox) {
        lock(&self.pools).insert(group, pool);
    }

    /// Sends an input to every pool.
    pub fn tell_pools(&self, input: &Input) {
        for pool in lock(&self.pools).values() {
            send(pool, input.clone());
        }
    }

    /// Calls `change` with the authority that grants this vm's rates, under its lock.
    pub fn authority<T>(&self, change: impl FnOnce(&mut Authority) -> T) -> T {
        change(&mut lock(&self.authority))
    }

    /// Sends a reply on a link; the reply is dropped if the link is closed.
    pub fn reply(&self, link: u64, number: u64, body: impl Into<ReplyBody>) {
        self.reply_holding(link, number, body, None);
    }

    /// Sends a reply on a link, with a permit that is given back once it is written.
    fn reply_holding(
        &self,
        link: u64,
        number: u64,
        body: impl Into<ReplyBody>,
        permit: Option<OwnedSemaphorePermit>,
    ) {
        let reply = Reply {
            number,
            body: Some(body.into()),
        };
        let outgoing = OutgoingReply { reply, permit };
        let sent = lock(&self.links)
            .get(&link)
            .is_some_and(|replies| replies.send(outgoing).is_ok());
        if !sent {
            tracing::debug!(event = "reply_dropped", link, number);
        }
    }

    /// Handles a request from a link.
    pub fn handle(self: &Arc<Self>, link: u64, ask: Ask) {
        let number = ask.number;
        let unit_id = UnitId { link, number };
        let Some(body) = ask.body else {
            tracing::warn!(event = "request_unreadable", link, number);
            return;
        };
        match body {
            AskBody::Submit(unit) => {
                let group = GroupName::from(unit.group.as_str());
                let input = Input::Submit(unit_id, Box::new(unit));
                self.send_to_pool(&group, unit_id, input);
            }
            AskBody::Continue(next) => {
                let group = GroupName::from(next.group.as_str());
                let input = Input::Continue {
                    unit_id,
                    statement: next.statement,
                    settings: next.settings,
                    left: Duration::from_millis(next.left_ms.into()),
                };
                self.send_to_pool(&group, unit_id, input);
            }
            AskBody::Release(release) => {
                let group = GroupName::from(release.group.as_str());
                if let Some(pool) = lock(&self.pools).get(&group) {
                    send(pool, Input::Release(unit_id));
                }
            }
            AskBody::Draw(draw) => {
                let drawn = self.grant_tokens(&draw);
                self.reply(link, number, ReplyBody::Drawn(drawn));
            }
            AskBody::Reach(reach) => self.check_reach(link, number, &reach.address),
            AskBody::Snapshot(ask) => {
                self.send_snapshot(link, number, ask);
            }
            AskBody::HandOver(ask) => {
                let handed = self.hand_over(&ask);
                self.reply(link, number, ReplyBody::HandOverReply(handed));
            }
            AskBody::Ping(ping) => self.reply(link, number, ReplyBody::Pong(ping)),
        }
    }

    fn send_to_pool(&self, group: &GroupName, unit_id: UnitId, input: Input) {
        let pool = lock(&self.pools).get(group).cloned();
        if let Some(pool) = pool {
            send(&pool, input);
        } else {
            let refusal = Refusal::new(Cause::NoUpstream, UNKNOWN_GROUP_RETRY_MS);
            self.reply(unit_id.link, unit_id.number, ReplyBody::Refused(refusal));
        }
    }

    fn grant_tokens(&self, draw: &Draw) -> Drawn {
        let account = AccountName::from(draw.account.as_str());
        let request = TokenRequest {
            amount: draw.want,
            waiting: draw.waiting,
            max_wait: Duration::from_millis(draw.max_wait_ms.into()),
        };
        let grant = lock(&self.authority).grant(&account, request, BootInstant::now());
        tracing::trace!(event = "tokens_drawn", account = %account, wish = ?request, grant = ?grant);
        match grant {
            Some(grant) => Drawn {
                held: true,
                amount: grant.amount,
                retry_ms: millis(grant.retry),
                after_ms: millis_ceil(grant.after),
            },
            None => Drawn::default(),
        }
    }

    /// Stops granting accounts to a new authority, except those that this vm keeps by its own view.
    fn hand_over(&self, ask: &HandOver) -> HandOverReply {
        let now = BootInstant::now();
        let listed_at = now.before(Duration::from_millis(ask.list_age_ms.into()));
        let own = self.latest_view.view().map(|view| view.asked);
        let mut authority = lock(&self.authority);
        let mut accounts = Vec::new();
        for account in &ask.accounts {
            let name = AccountName::from(account.as_str());
            let Some(left) = authority.hand_over(&name, listed_at, own, now) else {
                tracing::info!(
                    event = "authority_kept",
                    account,
                    view_age_ms = ask.list_age_ms
                );
                continue;
            };
            accounts.push(HandedAccount {
                account: account.clone(),
                amount: left.amount,
                promised: left.promised,
            });
        }
        drop(authority);
        tracing::info!(
            event = "authority_handed_over",
            accounts = accounts.len(),
            asked = ask.accounts.len(),
            view_age_ms = ask.list_age_ms
        );
        HandOverReply { accounts }
    }

    /// Checks in the background whether an address can be connected to, and replies with the result.
    fn check_reach(self: &Arc<Self>, link: u64, number: u64, address: &str) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            tracing::warn!(event = "reach_address_invalid", link, address);
            return;
        };
        let handler = Arc::clone(self);
        tokio::spawn(async move {
            let reached = socket::connect(address, REACH_TIMEOUT).await.is_ok();
            let body = ReplyBody::ReachReply(ReachReply { reached });
            handler.reply(link, number, body);
        });
    }

    /// Replies with the view; a whole snapshot is encoded on a blocking thread.
    ///
    /// Beyond [`MAX_WHOLE_SNAPSHOTS`] at a time the reply is empty, and the requesting vm asks another one:
    /// when a large fleet starts, more transfers at once would share this vm's link and all come too late.
    fn send_snapshot(self: &Arc<Self>, link: u64, number: u64, ask: AskSnapshot) {
        if ask.max_wait_ms > 0 && self.latest_view.view().is_none() {
            self.send_first_snapshot(link, number, ask);
            return;
        }
        if !ask.whole {
            let snapshot_reply = self.snapshot_replies.reply(ask);
            self.reply(link, number, ReplyBody::SnapshotReply(snapshot_reply));
            return;
        }
        let Ok(permit) = Arc::clone(&self.whole_snapshots).try_acquire_owned() else {
            tracing::debug!(event = "snapshot_not_sent", link, number);
            self.reply(
                link,
                number,
                ReplyBody::SnapshotReply(SnapshotReply::default()),
            );
            return;
        };
        let handler = Arc::clone(self);
        tokio::task::spawn_blocking(move || {
            let body = ReplyBody::SnapshotReply(handler.snapshot_replies.reply(ask));
            handler.reply_holding(link, number, body, Some(permit));
        });
    }

    /// Replies once there is a view, or when the wait that the requesting vm allows is over.
    fn send_first_snapshot(self: &Arc<Self>, link: u64, number: u64, ask: AskSnapshot) {
        let handler = Arc::clone(self);
        tokio::spawn(async move {
            let max_wait = Duration::from_millis(ask.max_wait_ms.into());
            let max_wait = max_wait.min(MAX_FIRST_VIEW_WAIT);
            let first = handler.latest_view.wait_for_view(Duration::MAX, max_wait);
            if first.await.is_none() {
                tracing::debug!(event = "no_snapshot_yet", link, number);
            }
            let ask = AskSnapshot {
                max_wait_ms: 0,
                ..ask
            };
            handler.send_snapshot(link, number, ask);
        });
    }
}

/// Sends an input to a pool; it is dropped if the pool has ended.
fn send(pool: &PoolInbox, input: Input) {
    if pool.send(input).is_err() {
        tracing::debug!(event = "pool_gone");
    }
}

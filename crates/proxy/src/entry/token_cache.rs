//! Cache of the accounts' tokens on this vm, refilled by requests to their authorities.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::VmName;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::BootInstant;
use crate::clock::millis;
use crate::fleet::Member;
use crate::latest_view::LatestView;
use crate::link::AskBody;
use crate::link::Links;
use crate::link::ReplyBody;
use crate::link::frame::Draw;
use crate::link::frame::Drawn;
use crate::rates::ExhaustedAuthorities;
use crate::rates::LocalTokens;
use crate::rates::Split;
use crate::rates::Take;
use crate::rates::TokenRequest;
use crate::rates::far_max_wait;
use crate::sync::lock;

/// Timeout of a request to one authority within the region.
const AUTHORITY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an authority that did not answer is skipped.
const AVOID_PERIOD: Duration = Duration::from_millis(500);
/// Longest time for which an operation waits for answers of the authorities of one region.
const MAX_DRAW_WAIT: Duration = Duration::from_millis(150);
/// Divisor of the latency objective that gives the longest wait for a token yet to accrue.
///
/// The rest of the objective is left for the network, the queue and the statement.
const MAX_WAIT_DIVISOR: u32 = 3;
/// Retry delay in milliseconds used when no authority gave one.
const DEFAULT_RETRY_MS: u32 = 200;

/// Tokens of one account and the operations that wait for them.
#[derive(Debug)]
struct CachedAccount {
    local: LocalTokens,
    answered: Arc<Notify>,
    /// Retry delay in milliseconds if the last answer granted nothing.
    retry_ms: Option<u32>,
    exhausted: ExhaustedAuthorities,
}

/// Answer of an authority that had no token to grant.
#[derive(Debug, Clone)]
struct NoToken {
    authority: Member,
    drawn: Drawn,
}

impl NoToken {
    /// Returns the time until the authority has a token.
    fn time_left(&self) -> Duration {
        Duration::from_millis(self.drawn.retry_ms.into())
    }
}

/// Result of asking several authorities.
#[derive(Debug)]
enum DrawResult {
    /// One granted or promised tokens.
    Granted(Drawn),
    /// None had a token; holds the one that will have one first, if any answered.
    NoToken(Option<NoToken>),
}

/// Cached tokens of every account that this vm serves.
#[derive(Debug)]
pub struct TokenCache {
    accounts: Mutex<BTreeMap<AccountName, CachedAccount>>,
    /// Authorities that did not answer, with the time of the timeout.
    unresponsive: Mutex<BTreeMap<VmName, Instant>>,
    me: VmName,
    latest_view: Arc<LatestView>,
    links: Arc<Links>,
}

impl TokenCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(me: VmName, latest_view: Arc<LatestView>, links: Arc<Links>) -> Self {
        Self {
            accounts: Mutex::default(),
            unresponsive: Mutex::default(),
            me,
            latest_view,
            links,
        }
    }

    /// Spends a token of an account for one operation.
    ///
    /// Waits a moment for answers of the authorities, and a part of `objective` for a token yet to
    /// accrue.
    ///
    /// # Errors
    ///
    /// Returns the retry delay in milliseconds if there is no token.
    pub async fn take(
        self: &Arc<Self>,
        account: &AccountName,
        objective: Duration,
    ) -> Result<(), u32> {
        let max_wait = objective / MAX_WAIT_DIVISOR;
        let distance = self.links.round_trips().longest_added_wait();
        let until = Instant::now() + MAX_DRAW_WAIT + distance;
        let mut first = true;
        loop {
            let (taken, answered) = self.try_take(account, max_wait, first);
            let answer = answered.notified();
            let needed = (taken == Take::Wait).then_some(max_wait);
            self.draw(account, needed);
            if let Take::Spent(after) = taken {
                tokio::time::sleep(after).await;
                return Ok(());
            }
            let waited = tokio::time::timeout_at(until, answer).await;
            if let Some(retry_ms) = self.retry_after(account, waited.is_ok()) {
                tracing::debug!(event = "no_token", account = %account, retry_ms, answered = waited.is_ok());
                return Err(retry_ms);
            }
            first = false;
        }
    }

    /// Returns the retry delay if the awaited answer granted nothing or did not come.
    fn retry_after(&self, account: &AccountName, answered: bool) -> Option<u32> {
        if !answered {
            return Some(DEFAULT_RETRY_MS);
        }
        lock(&self.accounts).get(account)?.retry_ms
    }

    fn try_take(
        &self,
        account: &AccountName,
        max_wait: Duration,
        first: bool,
    ) -> (Take, Arc<Notify>) {
        let now = BootInstant::now();
        let mut accounts = lock(&self.accounts);
        let cached = accounts
            .entry(account.clone())
            .or_insert_with(|| CachedAccount {
                local: LocalTokens::new(now),
                answered: Arc::new(Notify::new()),
                retry_ms: None,
                exhausted: ExhaustedAuthorities::default(),
            });
        let taken = if first {
            cached.local.take(max_wait, now)
        } else {
            cached.local.retry_take(max_wait, now)
        };
        (taken, Arc::clone(&cached.answered))
    }

    /// Requests tokens if a refill is due; `needed` is the longest wait of a waiting operation.
    fn draw(self: &Arc<Self>, account: &AccountName, needed: Option<Duration>) {
        let now = BootInstant::now();
        let request = lock(&self.accounts)
            .get_mut(account)
            .and_then(|cached| cached.local.refill_request(needed.is_some(), now));
        let Some(request) = request else {
            return;
        };
        let tokens = Arc::clone(self);
        let account = account.clone();
        tokio::spawn(async move {
            let max_wait = needed.unwrap_or(Duration::ZERO);
            let drawn = tokens.draw_from_any(&account, request, max_wait).await;
            tokens.apply_answer(&account, request, drawn, now);
        });
    }

    /// Asks the authorities until one grants tokens, those of this vm's region first.
    ///
    /// If none of these does and an operation waits, one of another region may promise a token, or
    /// the one of this region that will have a token first.
    async fn draw_from_any(
        &self,
        account: &AccountName,
        request: TokenRequest,
        max_wait: Duration,
    ) -> Option<Drawn> {
        let view = self.latest_view.view()?;
        let snapshot = &view.snapshot;
        let rate = snapshot.configuration.accounts.get(account)?;
        let assignment = self.latest_view.assignment()?;
        let split = Split::new(*rate, assignment.authorities(account).len());
        let authorities = assignment.authorities_for(account, &self.me, split.authorities);
        let round_trips = self.links.round_trips();
        let (far, near): (Vec<Member>, Vec<Member>) = authorities
            .into_iter()
            .partition(|authority| round_trips.is_far(&authority.domain));
        let near = self.draw_in_turn(account, &near, request).await;
        let no_token = match near {
            DrawResult::Granted(drawn) => return Some(drawn),
            DrawResult::NoToken(no_token) => no_token,
        };
        let near_wait = no_token.as_ref().map(NoToken::time_left);
        let distance = round_trips.longest_added_wait();
        let mut soonest = no_token.clone();
        if let Some(wait) = far_max_wait(near_wait, max_wait, distance) {
            let max_wait = if request.waiting {
                wait
            } else {
                Duration::ZERO
            };
            let far_request = TokenRequest {
                max_wait,
                ..request
            };
            match self.draw_in_turn(account, &far, far_request).await {
                DrawResult::Granted(drawn) => return Some(drawn),
                DrawResult::NoToken(Some(other)) => soonest = Some(sooner(soonest, other)),
                DrawResult::NoToken(None) => {}
            }
        }
        let promised = self.draw_promise(account, no_token, request, max_wait);
        promised.await.or(soonest.map(|no_token| no_token.drawn))
    }

    /// Asks authorities in turn until one grants or promises tokens.
    async fn draw_in_turn(
        &self,
        account: &AccountName,
        authorities: &[Member],
        request: TokenRequest,
    ) -> DrawResult {
        let mut soonest: Option<NoToken> = None;
        for authority in authorities {
            let Some(drawn) = self.draw_unless_known(account, authority, request).await else {
                continue;
            };
            if drawn.amount > 0 {
                return DrawResult::Granted(drawn);
            }
            let no_token = NoToken {
                authority: authority.clone(),
                drawn,
            };
            soonest = Some(sooner(soonest, no_token));
        }
        DrawResult::NoToken(soonest)
    }

    /// Asks an authority that will soon have a token to promise it to a waiting operation.
    async fn draw_promise(
        &self,
        account: &AccountName,
        no_token: Option<NoToken>,
        request: TokenRequest,
        max_wait: Duration,
    ) -> Option<Drawn> {
        let no_token = no_token.filter(|no_token| no_token.time_left() <= max_wait)?;
        if !request.waiting {
            return None;
        }
        let waiting_request = TokenRequest {
            max_wait,
            ..request
        };
        self.draw_from(account, &no_token.authority, waiting_request)
            .await
    }

    /// Asks one authority, unless it recently timed out or is known to have no token in time.
    async fn draw_unless_known(
        &self,
        account: &AccountName,
        authority: &Member,
        request: TokenRequest,
    ) -> Option<Drawn> {
        if self.is_avoided(&authority.vm) {
            return None;
        }
        let known = self.known_exhausted(account, &authority.vm);
        if let Some(known) = known
            && u128::from(known.retry_ms) > request.max_wait.as_millis()
        {
            return Some(known);
        }
        self.draw_from(account, authority, request).await
    }

    /// Returns the answer of an authority that is known to have no token, without asking it.
    fn known_exhausted(&self, account: &AccountName, authority: &VmName) -> Option<Drawn> {
        let accounts = lock(&self.accounts);
        let exhausted = &accounts.get(account)?.exhausted;
        let left = exhausted.time_left(authority, BootInstant::now());
        (left > Duration::ZERO).then(|| Drawn {
            held: true,
            amount: 0,
            retry_ms: millis(left),
            after_ms: 0,
        })
    }

    fn note_exhausted(&self, account: &AccountName, authority: &VmName, retry_ms: u32) {
        if let Some(cached) = lock(&self.accounts).get_mut(account) {
            let time = Duration::from_millis(retry_ms.into());
            cached.exhausted.note(authority, time, BootInstant::now());
        }
    }

    fn is_avoided(&self, vm: &VmName) -> bool {
        let unresponsive = lock(&self.unresponsive);
        unresponsive
            .get(vm)
            .is_some_and(|at| at.elapsed() < AVOID_PERIOD)
    }

    /// Skips an authority that did not answer for [`AVOID_PERIOD`].
    fn avoid(&self, vm: &VmName) {
        tracing::info!(event = "authority_silent", vm = %vm);
        lock(&self.unresponsive).insert(vm.clone(), Instant::now());
    }

    async fn draw_from(
        &self,
        account: &AccountName,
        member: &Member,
        request: TokenRequest,
    ) -> Option<Drawn> {
        let timeout = AUTHORITY_TIMEOUT + self.links.added_wait(&member.vm);
        let call = self.call_authority(account, member, request);
        let Ok(drawn) = tokio::time::timeout(timeout, call).await else {
            self.avoid(&member.vm);
            return None;
        };
        let drawn = drawn?;
        if drawn.amount == 0 {
            self.note_exhausted(account, &member.vm, drawn.retry_ms);
        }
        Some(drawn)
    }

    async fn call_authority(
        &self,
        account: &AccountName,
        member: &Member,
        request: TokenRequest,
    ) -> Option<Drawn> {
        let link = self.links.to(&member.vm, member.address).await?;
        let draw = Draw {
            account: account.as_str().to_owned(),
            want: request.amount,
            waiting: request.waiting,
            max_wait_ms: millis(request.max_wait),
        };
        match link.call(link.number(), AskBody::Draw(draw)).await {
            Ok(ReplyBody::Drawn(drawn)) if drawn.held => Some(drawn),
            other => {
                tracing::debug!(event = "draw_failed", account = %account, authority = %member.vm, answer = ?other);
                None
            }
        }
    }

    fn apply_answer(
        &self,
        account: &AccountName,
        request: TokenRequest,
        drawn: Option<Drawn>,
        asked: BootInstant,
    ) {
        let mut accounts = lock(&self.accounts);
        let Some(cached) = accounts.get_mut(account) else {
            return;
        };
        let amount = drawn.map_or(0, |d| d.amount);
        let after = drawn.map_or(0, |d| d.after_ms);
        let retry_ms = drawn.map_or(DEFAULT_RETRY_MS, |d| d.retry_ms.max(1));
        let due = BootInstant::now().after(Duration::from_millis(after.into()));
        cached.retry_ms = (amount == 0 && request.waiting).then_some(retry_ms);
        cached.local.granted(amount, asked, due);
        cached.answered.notify_waiters();
    }
}

/// Returns whichever of two exhausted authorities has a token sooner.
fn sooner(known: Option<NoToken>, other: NoToken) -> NoToken {
    match known {
        Some(known) if known.drawn.retry_ms <= other.drawn.retry_ms => known,
        _ => other,
    }
}

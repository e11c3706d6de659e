//! Actor that fits the served upstreams to the view and keeps their connections warm.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_process::timer::Timer;

use crate::server::Pool;

/// Time between two rounds of upkeep.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);

/// Actor that looks after the served upstreams.
#[derive(Debug)]
pub(crate) struct UpkeepActor {
    pool: Pool,
}

impl Actor for UpkeepActor {
    type Args = Pool;
    type Error = Infallible;

    async fn on_start(args: Pool, _actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self { pool: args })
    }
}

/// A new view, or the passage of time.
#[derive(Debug)]
struct Upkeep;

impl Message<Upkeep> for UpkeepActor {
    type Reply = ();

    async fn handle(&mut self, _msg: Upkeep, _ctx: &mut Context<Self, ()>) {
        self.pool.fit_to_view();
        for upstream in self.pool.served() {
            tokio::spawn(upstream.keep_warm());
        }
    }
}

/// Starts the actor; it runs on every new view and at a steady pace.
pub(crate) fn start(pool: Pool, timer: &Timer) {
    let mut changes = pool.changes();
    let mut ticks = timer.every(UPKEEP_PERIOD);
    let upkeep = UpkeepActor::spawn(pool);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                result = changes.changed() => if result.is_err() { return },
                tick = ticks.recv() => if tick.is_none() { return },
            }
            if upkeep.tell(Upkeep).await.is_err() {
                return;
            }
        }
    });
}

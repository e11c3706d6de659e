//! Actor that applies new views to the upstreams and maintains their idle connections.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_process::timer::Timer;

use crate::pool::Pool;

/// Time between two rounds of maintenance.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(250);

/// Runs maintenance of the upstreams.
#[derive(Debug)]
pub(crate) struct MaintenanceActor {
    pool: Pool,
}

impl Actor for MaintenanceActor {
    type Args = Pool;
    type Error = Infallible;

    async fn on_start(args: Pool, _actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self { pool: args })
    }
}

/// Asks for one round of maintenance.
#[derive(Debug)]
struct RunMaintenance;

impl Message<RunMaintenance> for MaintenanceActor {
    type Reply = ();

    async fn handle(&mut self, _msg: RunMaintenance, _ctx: &mut Context<Self, ()>) {
        self.pool.apply_view();
        for upstream in self.pool.upstreams() {
            tokio::spawn(upstream.maintain_idle());
        }
    }
}

/// Starts the actor and runs maintenance on every new view and once a period.
pub(crate) fn start(pool: Pool, timer: &Timer) {
    let mut changes = pool.changes();
    let mut ticks = timer.every(MAINTENANCE_PERIOD);
    let maintenance = MaintenanceActor::spawn(pool);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                result = changes.changed() => if result.is_err() { return },
                tick = ticks.recv() => if tick.is_none() { return },
            }
            if maintenance.tell(RunMaintenance).await.is_err() {
                return;
            }
        }
    });
}

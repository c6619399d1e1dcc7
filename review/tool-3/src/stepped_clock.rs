//! A runner starts again under its id after the clock of its machine has been set back, and leaves.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::{
    Outcome, Setting,
    deployment::Role,
    platform::{Served, call, traffic},
    world::World,
};

/// How far the clock of one machine is ahead for some seconds.
const STEP: Duration = Duration::from_millis(2_400);
/// The users' `drain_ms`.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from the ack of its report until the runner deregisters and ends: `drain_ms` and some more.
const LEAVE: Duration = Duration::from_secs(6);
/// Time between two requests of all clients together, on a quiet evening.
const PERIOD: Duration = Duration::from_secs(1);

pub(crate) async fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    // Five entries in the data centre of the runner that leaves.
    let Some(mut world) = World::start(setting, &[0; 5]).await else {
        return Outcome::CannotRun;
    };
    let all_served = Served::default();
    tokio::spawn(traffic(record.clone(), world.entries.clone(), PERIOD, all_served.clone()));
    sleep(Duration::from_secs(6)).await;

    // The clock of the runner's machine is ahead while the runner crashes and is back.
    let ahead = if setting.trouble { STEP } else { Duration::ZERO };
    record.line(&format!("the clock of the runner's machine is {ahead:?} ahead"));
    crash(&mut world, setting, ahead).await;
    sleep(Duration::from_millis(1_600)).await;
    record.line("the clock of the runner's machine is right again");
    crash(&mut world, setting, Duration::ZERO).await;

    // Calm, for longer than `contact_ms`.
    sleep(Duration::from_secs(6)).await;
    let ran = world.runners[0].engine.lock().ran;
    world.runners[0].engine.lock().leaving = true;
    world.runners[0].report();
    let Some(acked) = ack(&world, setting).await else { return Outcome::CannotRun };
    sleep(LEAVE).await;
    let path = format!("/v1/Instances.Deregister/{}", world.runners[0].engine.lock().name);
    let born = json!({ "born": world.runners[0].engine.lock().born() });
    let answer = call(&world.controls, "POST", &path, &born).await;
    record.line(&format!("runner {path} answer={:?}", answer.map(|answer| answer.status)));
    world.runners[0].crash();
    sleep(Duration::from_secs(1)).await;

    let state = world.runners[0].engine.lock();
    let late = state.arrivals.iter().filter(|arrived| **arrived > acked + DRAIN).count();
    let between =
        state.arrivals.iter().filter(|arrived| (acked..acked + DRAIN).contains(*arrived)).count();
    record.line(&format!(
        "{} requests reached it before it left, {between} within drain_ms of the ack, {late} later",
        state.arrivals.len() - between - late
    ));
    drop(state);
    world.record_end(record, Role::Entry, &["backend_seen", "backend_holds", "fleet_departed"]);
    println!("late {late} of {}", between + late);
    if ran == 0 {
        return Outcome::CannotRun;
    }
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}

/// The first runner crashes, and is back at once under its id.
async fn crash(world: &mut World, setting: &Setting, ahead: Duration) {
    let runner = &mut world.runners[0];
    runner.crash();
    setting.record.line("the runner has crashed");
    sleep(Duration::from_millis(200)).await;
    runner.engine.lock().restart(ahead);
    let (name, born) = {
        let state = runner.engine.lock();
        (state.name.clone(), state.born())
    };
    setting.record.line(&format!("the runner is back as {name} born={born}"));
    runner.start().await.expect("its address is free");
}

/// Reports that the first runner drains until that is acknowledged; returns when it was.
async fn ack(world: &World, setting: &Setting) -> Option<Duration> {
    let runner = &world.runners[0];
    for _ in 0..20 {
        let (path, status) = {
            let mut state = runner.engine.lock();
            let path = format!("/v1/Instances.Heartbeat/{}", state.name);
            (path, state.status(crate::platform::ENGINES, runner.address, "xela-a"))
        };
        let answer = call(&world.controls, "POST", &path, &status).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            setting.record.line(&format!("acknowledged {status}"));
            return Some(setting.record.now());
        }
        sleep(Duration::from_millis(100)).await;
    }
    None
}

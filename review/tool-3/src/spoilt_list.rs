//! The origin spoils one digit of its first answers to questions for the list of a version's pieces.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    Outcome, Setting,
    deployment::Role,
    platform::{Attempt, Attempts, call, order, traffic},
    weights::MODEL,
    world::{ORDER_LIMIT, World},
};

/// The users' `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// Number of answers of the origin that are spoilt: one for each agent that asks it at the same time.
const SPOILS: u32 = 2;
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(12);

pub(crate) async fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let Some(mut world) = World::start(setting, &[0, 1]).await else { return Outcome::CannotRun };
    let (controls, entries) = (world.controls.clone(), world.entries.clone());
    let attempts = Attempts::default();
    tokio::spawn(traffic(record.clone(), entries, Duration::from_millis(50), attempts.clone()));
    sleep(Duration::from_secs(6)).await;

    // New weights are named; the first two answers with their list are spoilt in one digit.
    {
        let mut state = world.origin.state.lock().expect("no panic");
        state.newest = 2;
        state.spoil_list = setting.trouble.then_some((2, 40));
        state.spoils = SPOILS;
    }
    let named = json!({ "model": MODEL, "version": 2 });
    if !order(record, &controls, "/v1/version-put", &named, ORDER_LIMIT).await {
        return Outcome::CannotRun;
    }
    // The final fault, right after that ack: one machine with a disk loses it.
    let fault_at = record.now();
    let lost = world.deployment.of(Role::Control)[2];
    world.deployment.lose_disk(lost);
    let name = &world.deployment.processes[lost].name;
    record.line(&format!("final fault: {name} loses its disk"));
    sleep(Duration::from_millis(800)).await;
    world.deployment.start(lost);
    record.line("it is back");
    let back_at = record.now();
    sleep(RECOVER + COUNTED + Duration::from_secs(7)).await;

    let attempts = attempts.lock().expect("no panic").clone();
    let share = |from: Duration, to: Duration| {
        let sent: Vec<&Attempt> =
            attempts.iter().filter(|attempt| (from..to).contains(&attempt.sent)).collect();
        (sent.iter().filter(|attempt| attempt.served).count(), sent.len())
    };
    let before = share(Duration::ZERO, fault_at);
    let after = share(back_at + RECOVER, back_at + RECOVER + COUNTED);
    record.line(&format!("served before the final fault: {} of {}", before.0, before.1));
    record.line(&format!("served from recover_s after the return: {} of {}", after.0, after.1));
    for runner in &world.runners {
        let mut state = runner.engine.lock();
        let (name, version) = (state.name.clone(), state.version());
        record.line(&format!("{name} holds version {version:?} and ran {}", state.ran));
    }
    {
        let state = world.origin.state.lock().expect("no panic");
        let most = state.sent.iter().max_by_key(|(_, count)| **count);
        record.line(&format!(
            "origin lists={} spoilt={} pieces_sent={} most_often={most:?}",
            state.lists,
            state.lists_spoilt,
            state.sent.values().sum::<u32>()
        ));
    }
    let read = call(&controls, "GET", "/v1/Config.Read", &Value::Null).await;
    record.line(&format!("manifest read back: {:?}", read.map(|answer| answer.status)));
    world.record_end(record, Role::Agent, &["event=fetch", "event=load", "loading_failed"]);
    println!("before {}/{} after {}/{}", before.0, before.1, after.0, after.1);
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Outcome::CannotRun;
    }
    if after.0 * 4 < after.1 { Outcome::Broken } else { Outcome::Held }
}

//! The origin spoils one digit of one answer to a question for the list of a version's pieces.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    Outcome, Setting,
    deployment::{Deployment, Role},
    engine::{Engine, State},
    platform::{Attempt, Attempts, ENGINES, manifest, order, report, traffic},
    server::serve,
    weights::{MODEL, Origin, OriginState},
};

/// The users' `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(12);
const ORDER_LIMIT: Duration = Duration::from_secs(20);

pub(crate) async fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let mut deployment = Deployment::new(&setting.scratch, &setting.programs);
    for zone in 0..3 {
        deployment.add(Role::Control, zone, None);
    }
    for zone in 0..2 {
        deployment.add(Role::Entry, zone, None);
    }
    for zone in 0..3 {
        deployment.add(Role::Agent, zone, Some(ENGINES));
    }
    let network = deployment.network;
    let at = |role| deployment.of(role).into_iter().map(|index| deployment.processes[index].ip);
    let controls: Vec<_> = at(Role::Control).map(|ip| network.control(ip)).collect();
    let entries: Vec<_> = at(Role::Entry).map(|ip| network.front(ip)).collect();
    let origin = Origin {
        state: Arc::new(Mutex::new(OriginState { newest: 1, ..OriginState::default() })),
        link: Arc::default(),
        record: record.clone(),
    };
    let origin_address = network.runner(network.ip(200));
    let served = origin.clone();
    if serve(origin_address, move |request| served.clone().answer(request)).await.is_err() {
        return Outcome::CannotRun;
    }
    let mut engines = Vec::new();
    for index in deployment.of(Role::Agent) {
        let process = &deployment.processes[index];
        let state = State::new(&format!("i-{index}"));
        let engine = Engine { state: Arc::new(Mutex::new(state)), record: record.clone() };
        let (address, answering) = (network.runner(process.ip), engine.clone());
        if serve(address, move |request| answering.clone().answer(request)).await.is_err() {
            return Outcome::CannotRun;
        }
        tokio::spawn(report(engine.clone(), address, process.zone, controls.clone()));
        engines.push(engine);
    }
    for index in 0..deployment.processes.len() {
        deployment.start(index);
    }
    let document = manifest(1, origin_address);
    if !order(record, &controls, "/v1/Config.Replace", &document, ORDER_LIMIT).await {
        return Outcome::CannotRun;
    }
    sleep(Duration::from_secs(10).saturating_sub(record.now())).await;
    let attempts = Attempts::default();
    tokio::spawn(traffic(record.clone(), entries, Duration::from_millis(50), attempts.clone()));
    sleep(Duration::from_secs(6)).await;

    // New weights are named; the first answer with their list is spoilt in one digit.
    {
        let mut state = origin.state.lock().expect("no panic");
        state.newest = 2;
        state.spoil_list = setting.trouble.then_some((2, 40));
    }
    let named = json!({ "model": MODEL, "version": 2 });
    if !order(record, &controls, "/v1/version-put", &named, ORDER_LIMIT).await {
        return Outcome::CannotRun;
    }
    // The final fault, right after that ack: one machine with a disk loses it.
    let fault_at = record.now();
    let lost = deployment.of(Role::Control)[2];
    deployment.lose_disk(lost);
    record.line(&format!("final fault: {} loses its disk", deployment.processes[lost].name));
    sleep(Duration::from_millis(800)).await;
    deployment.start(lost);
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
    for engine in &engines {
        let mut state = engine.lock();
        let (name, version) = (state.name.clone(), state.version());
        record.line(&format!("{name} holds version {version:?} and ran {}", state.ran));
    }
    {
        let state = origin.state.lock().expect("no panic");
        let most = state.sent.iter().max_by_key(|(_, count)| **count);
        record.line(&format!(
            "origin lists={} spoilt={} pieces_sent={} most_often={most:?}",
            state.lists,
            state.lists_spoilt,
            state.sent.values().sum::<u32>()
        ));
    }
    for index in deployment.of(Role::Agent) {
        for line in deployment.log_lines(index, &["event=fetch", "event=load", "loading_failed"]) {
            record.line(&format!("log {} {line}", deployment.processes[index].name));
        }
    }
    let read = crate::platform::call(&controls, "GET", "/v1/Config.Read", &Value::Null).await;
    record.line(&format!("manifest read back: {:?}", read.map(|answer| answer.status)));
    record.line(&format!("ended by themselves: {:?}", deployment.ended()));
    println!("before {}/{} after {}/{}", before.0, before.1, after.0, after.1);
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Outcome::CannotRun;
    }
    if after.0 * 4 < after.1 { Outcome::Broken } else { Outcome::Held }
}

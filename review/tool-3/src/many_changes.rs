//! The operator changes the manifest some hundred times, in quick succession.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::StatusCode;
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    Outcome, Setting,
    deployment::Role,
    platform::{Served, call, large_manifest, order, traffic},
    record::Record,
    world::World,
};

/// Routes that are added, as many as two times `big_config` adds.
const ROUTES: u32 = 700;
/// Changes of all storms, at most.
const CHANGES: u64 = 600;
/// Time between two changes of a storm, the users' `gap_s`.
const GAP: Duration = Duration::from_millis(60);
/// Changes of one storm: `for_s` of 1.5 s.
const STORM: u64 = 25;
/// Time between two storms.
const PAUSE: Duration = Duration::from_secs(1);
/// The memory of a core machine, the users' `memory_mb`.
const MEMORY: u64 = 256 * 1_024 * 1_024;
/// Interval at which the platform looks at the memory of the processes.
const MEMORY_PERIOD: Duration = Duration::from_millis(10);
/// Time after which the platform starts a process again that was killed.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for which the operator repeats a change that is not acknowledged; the users' `ack_ms`, with
/// 3 ms more for each route, and some more.
const ACK_LIMIT: Duration = Duration::from_secs(8);
/// Time for which the operator reads the manifest back, several times the users' `contact_ms`.
const READ_TIME: Duration = Duration::from_secs(20);

/// What the operator has seen.
#[derive(Debug, Default)]
struct Seen {
    /// The newest version that was acknowledged.
    acked: u64,
    /// The version that was read back at the end, if any was.
    read: Option<u64>,
    done: bool,
}

pub(crate) async fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let Some(mut world) = World::start(setting, &[0, 1]).await else { return Outcome::CannotRun };
    let all_served = Served::default();
    let entries = world.entries.clone();
    tokio::spawn(traffic(record.clone(), entries, Duration::from_secs(1), all_served.clone()));
    let changes = if setting.trouble { CHANGES } else { 10 };
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let operator = operate(
        record.clone(),
        world.controls.clone(),
        world.origin_address,
        changes,
        seen.clone(),
    );
    tokio::spawn(operator);

    // The platform: it kills processes that use more memory than they may, and starts them again.
    let cores = world.deployment.of(Role::Control);
    let mut kills = vec![0; cores.len()];
    let mut restarts: Vec<(Instant, usize)> = Vec::new();
    while !seen.lock().expect("no panic").done {
        sleep(MEMORY_PERIOD).await;
        for (core, kills) in cores.iter().zip(&mut kills) {
            let peak = world.deployment.peak_memory(*core).unwrap_or_default();
            if peak > MEMORY {
                world.deployment.kill(*core);
                restarts.push((Instant::now() + RESTART_DELAY, *core));
                *kills += 1;
                let name = &world.deployment.processes[*core].name;
                record.line(&format!("{name} is killed, since it used {peak} bytes"));
            }
        }
        for (_, core) in restarts.extract_if(.., |(at, _)| Instant::now() >= *at) {
            world.deployment.start(core);
        }
    }
    let peaks: Vec<_> = cores.iter().map(|core| world.deployment.peak_memory(*core)).collect();
    let served = *all_served.lock().expect("no panic");
    record.line(&format!("requests served: {served}"));
    record.line(&format!("killed for their memory: {kills:?}; peaks at the end: {peaks:?}"));
    world.record_end(record, Role::Control, &["event=snapshot", "leadership_won"]);
    let seen = seen.lock().expect("no panic");
    record.line(&format!("acknowledged up to version {}, read back {:?}", seen.acked, seen.read));
    println!("acked {} read {:?} killed {kills:?}", seen.acked, seen.read);
    if seen.acked < 10 {
        return Outcome::CannotRun;
    }
    if seen.read.is_none_or(|read| read < seen.acked) { Outcome::Broken } else { Outcome::Held }
}

/// Sends changes one after the other until one is not acknowledged, then reads the manifest back.
async fn operate(
    record: Record,
    controls: Vec<SocketAddr>,
    origin: SocketAddr,
    changes: u64,
    seen: Arc<Mutex<Seen>>,
) {
    for version in 2..=changes + 1 {
        let next = Instant::now() + GAP;
        // Each change sets another time-out on all of these routes.
        let document = large_manifest(version, origin, ROUTES, 2_000 + version);
        if !order(&record, &controls, "/v1/Config.Replace", &document, ACK_LIMIT).await {
            break;
        }
        seen.lock().expect("no panic").acked = version;
        let pause = if version % STORM == 0 { PAUSE } else { Duration::ZERO };
        sleep_until(next + pause).await;
    }
    let end = Instant::now() + READ_TIME;
    while Instant::now() < end {
        for control in &controls {
            let answer = call(&[*control], "GET", "/v1/Config.Read", &Value::Null).await;
            let status = answer.as_ref().map(|answer| answer.status);
            record.line(&format!("operator reads the manifest at {control}: {status:?}"));
            let body = answer.filter(|answer| answer.status == StatusCode::OK);
            let body = body.and_then(|answer| answer.body).unwrap_or_default();
            let document: Value = serde_json::from_slice(&body).unwrap_or_default();
            let mut seen = seen.lock().expect("no panic");
            seen.read = seen.read.max(document["version"].as_u64());
            if seen.read.is_some_and(|read| read >= seen.acked) {
                seen.done = true;
                return;
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
    seen.lock().expect("no panic").done = true;
}

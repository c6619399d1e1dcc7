//! One end-to-end run, with a data centre taken out and put back in.

use std::{collections::BTreeMap, time::Duration};

use egret_route::Ran;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    caller::{Caller, Exchange, Outcome, RequestKind, tally},
    deployment::{Deployment, Instance, Plan},
};

/// The data centres of the Kumamoto deployment.
const DATA_CENTRES: [&str; 3] = ["kumamoto", "fukuoka", "kagoshima"];
/// Size of the weights, in bytes.
const WEIGHTS_BYTES: usize = 8 * 1024 * 1024;
/// Size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 256 * 1024;
/// Number of concurrent callers.
const CALLERS: usize = 12;
/// Duration of the load before, while and after the data centre is out.
const PHASE: Duration = Duration::from_secs(4);
/// Maximum pause of a caller between two requests.
const PAUSE_MAX: Duration = Duration::from_millis(120);
/// Longest wait until the deployment is up, or the records are live.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// The results of the demo.
#[derive(Debug)]
struct Findings {
    live_after: Duration,
    origin_copies: f64,
    exchanges: Vec<Exchange>,
    new_work_after_out: u64,
    false_not_run: u64,
    ran_twice: u64,
    cold_overloads: u64,
    bad_exits: Vec<String>,
}

/// Runs the demo and prints a report. Returns whether there were no violations.
///
/// # Errors
///
/// Returns what prevented the run.
pub async fn run(seed: u64) -> Result<bool, String> {
    let findings = run_phases(seed).await?;
    Ok(print_report(seed, &findings))
}

/// Returns the plan of the demo: 3 control instances, 3 entries, 6 agents with engines, 1 service.
#[must_use]
pub fn plan() -> Plan {
    let each = |kind: &str| -> Vec<Instance> {
        DATA_CENTRES.iter().map(|name| Instance::new(format!("{kind}-{name}"), name)).collect()
    };
    let engines = DATA_CENTRES.iter().flat_map(|name| {
        (1..=2).map(move |index| Instance::new(format!("runner-{name}-{index}"), name))
    });
    Plan {
        controls: each("control"),
        entries: each("entry"),
        engines: engines.collect(),
        services: vec![(Instance::new("register-1", DATA_CENTRES[0]), "register".to_owned())],
        ..Plan::default()
    }
}

/// Publishes the weights and records of the demo. Returns the time until all records were live.
///
/// # Errors
///
/// Returns what went wrong.
pub async fn publish(
    deployment: &Deployment,
    version: &str,
    seed: u64,
) -> Result<Duration, String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let weights: Vec<u8> = (0..WEIGHTS_BYTES).map(|_| random.random()).collect();
    let (digest, origin) = deployment
        .publish("survey-drafts", version, &weights, CHUNK_BYTES)
        .map_err(|error| error.to_string())?;
    let drafting = format!(
        "schema: 2\nname: drafting\nmodel:\n  name: survey-drafts\n  version: {version}\n  \
         digest: {digest}\n  origin: {origin}\nplacement: {{ kumamoto: 2, fukuoka: 2, kagoshima: 2 }}\n\
         priority: 200\n"
    );
    let register = "schema: 1\nname: register\nservice: register\npath: /register\ncalls:\n  \
                    - { method: POST, path: /register/orders, once: true }\n";
    let drafting = deployment.write("drafting.yaml", &drafting).map_err(|e| e.to_string())?;
    let register = deployment.write("register.yaml", register).map_err(|e| e.to_string())?;
    deployment.ctl(&["apply", &register]).await?;
    let started = Instant::now();
    deployment.ctl(&["apply", &drafting]).await?;
    wait_live(deployment).await?;
    Ok(started.elapsed())
}

async fn wait_live(deployment: &Deployment) -> Result<(), String> {
    let live = |status: &Value| {
        let records = status["records"].as_array();
        records.is_some_and(|records| {
            records
                .iter()
                .all(|record| record["live"].as_u64() >= record["wanted"].as_u64().max(Some(1)))
        })
    };
    let waited = deployment.wait_for(READY_TIMEOUT, live).await;
    waited
        .map(|_| ())
        .map_err(|status| format!("the records are not live in time: {}", status["records"]))
}

/// Waits until the status shows all agents and entries of a plan.
///
/// # Errors
///
/// Returns the last status when some are missing in time.
pub async fn wait_announced(deployment: &Deployment, plan: &Plan) -> Result<(), String> {
    let backends = plan.engines.len() + plan.services.len();
    let entries = plan.entries.len();
    let announced = |status: &Value| {
        let count = |key: &str| status[key].as_array().map_or(0, Vec::len);
        count("backends") == backends && count("entries") == entries
    };
    let waited = deployment.wait_for(READY_TIMEOUT, announced).await;
    waited.map(|_| ()).map_err(|status| format!("the deployment is not up in time: {status}"))
}

async fn run_phases(seed: u64) -> Result<Findings, String> {
    let plan = plan();
    let mut deployment = Deployment::start(&plan).map_err(|error| error.to_string())?;
    wait_announced(&deployment, &plan).await?;
    let live_after = publish(&deployment, "v1", seed).await?;
    let origin = deployment.stats(deployment.origin).await;
    let origin_copies = origin["bytes"].as_f64().unwrap_or(0.0) / WEIGHTS_BYTES as f64;

    let start = Instant::now();
    let load = start_load(&deployment, seed, start, PHASE * 3);
    sleep(PHASE).await;
    deployment.ctl(&["data-centre", "out", "fukuoka"]).await?;
    let before = requests_in(&deployment, "fukuoka").await;
    sleep(PHASE).await;
    let after = requests_in(&deployment, "fukuoka").await;
    deployment.ctl(&["data-centre", "in", "fukuoka"]).await?;
    let exchanges = join_callers(load).await;

    let run_counts = run_counts(&deployment).await;
    let cold_overloads = cold_overloads(&deployment).await;
    let bad_exits = stop_all(&mut deployment).await;
    let false_refusal = |exchange: &&Exchange| {
        exchange.kind == RequestKind::Register
            && exchange.outcome == Outcome::Refused(Ran::NotRun)
            && run_counts.contains_key(&exchange.name)
    };
    Ok(Findings {
        live_after,
        origin_copies,
        new_work_after_out: after.saturating_sub(before),
        false_not_run: exchanges.iter().filter(false_refusal).count() as u64,
        ran_twice: run_counts.values().filter(|count| **count > 1).count() as u64,
        exchanges,
        cold_overloads,
        bad_exits,
    })
}

pub(crate) fn start_load(
    deployment: &Deployment,
    seed: u64,
    start: Instant,
    length: Duration,
) -> JoinSet<Vec<Exchange>> {
    let known: Vec<_> = deployment.entries.values().copied().collect();
    let mut load = JoinSet::new();
    for number in 0..CALLERS {
        let mut random = SmallRng::seed_from_u64(seed ^ (number as u64) << 32);
        let mut caller = Caller::new(&format!("organisation-{}", number % 4), known.clone(), start);
        load.spawn(async move {
            let mut exchanges = Vec::new();
            while start.elapsed() < length {
                let kind = RequestKind::ALL[random.random_range(0..RequestKind::ALL.len())];
                let name = format!("caller-{number}-request-{}", exchanges.len());
                exchanges.push(caller.call(kind, &name).await);
                if kind == RequestKind::Register {
                    // Resends the request with the same key, as an uncertain caller would.
                    exchanges.push(caller.call(kind, &name).await);
                }
                sleep(random.random_range(Duration::ZERO..PAUSE_MAX)).await;
            }
            exchanges
        });
    }
    load
}

pub(crate) async fn join_callers(mut load: JoinSet<Vec<Exchange>>) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    while let Some(Ok(finished)) = load.join_next().await {
        exchanges.extend(finished);
    }
    exchanges
}

/// Returns the number of requests that the engines of a data centre have received.
async fn requests_in(deployment: &Deployment, data_centre: &str) -> u64 {
    let mut started = 0;
    for (name, address) in &deployment.backends {
        if name.contains(data_centre) {
            started += deployment.stats(*address).await["started"].as_u64().unwrap_or(0);
        }
    }
    started
}

/// Returns the number of requests above the concurrency limit of cold engines.
async fn cold_overloads(deployment: &Deployment) -> u64 {
    let mut overloads = 0;
    for address in deployment.backends.values() {
        overloads += deployment.stats(*address).await["cold_overloads"].as_u64().unwrap_or(0);
    }
    overloads
}

async fn run_counts(deployment: &Deployment) -> BTreeMap<String, u64> {
    let Some(service) = deployment.backends.get("register-1") else {
        return BTreeMap::new();
    };
    let stats = deployment.stats(*service).await;
    serde_json::from_value(stats).unwrap_or_default()
}

/// Stops all programs with `SIGTERM`. Returns those that did not exit with code 0 in time.
async fn stop_all(deployment: &mut Deployment) -> Vec<String> {
    let mut failed = Vec::new();
    for kind in ["entry-", "runner-", "register-", "control-"] {
        for name in deployment.process_names().into_iter().filter(|name| name.starts_with(kind)) {
            if deployment.terminate(&name, STOP_TIMEOUT).await != Some(0) {
                failed.push(name);
            }
        }
    }
    failed
}

fn print_report(seed: u64, found: &Findings) -> bool {
    let tallies = tally(&found.exchanges);
    println!(
        "{:<10} {:>6} {:>6} {:>8} {:>8} {:>5} {:>8} {:>8}",
        "KIND", "SENT", "WHOLE", "NOT RUN", "UNKNOWN", "LOST", "P50 MS", "P95 MS"
    );
    for (kind, tally) in &tallies {
        println!(
            "{:<10} {:>6} {:>6} {:>8} {:>8} {:>5} {:>8.1} {:>8.1}",
            kind.name(),
            tally.sent,
            tally.complete,
            tally.not_run,
            tally.unknown,
            tally.lost,
            tally.percentile(0.5).as_secs_f64() * 1_000.0,
            tally.percentile(0.95).as_secs_f64() * 1_000.0,
        );
    }
    for exchange in found
        .exchanges
        .iter()
        .filter(|exchange| matches!(exchange.outcome, Outcome::Lost(_)))
        .take(5)
    {
        println!("lost: {exchange:?}");
    }
    for name in &found.bad_exits {
        println!("did not stop gracefully: {name}");
    }
    let sum = |count: fn(&crate::caller::Tally) -> u64| tallies.values().map(count).sum::<u64>();
    let (sent, complete, not_run) = (sum(|t| t.sent), sum(|t| t.complete), sum(|t| t.not_run));
    let (unknown, lost) = (sum(|t| t.unknown), sum(|t| t.lost));
    let violations = lost
        + unknown
        + found.false_not_run
        + found.ran_twice
        + found.new_work_after_out
        + found.cold_overloads
        + found.bad_exits.len() as u64;
    println!(
        "result seed={seed} time_to_live_s={:.2} origin_copies={:.2} sent={sent} whole={complete} \
         refused_not_run={not_run} refused_unknown={unknown} lost={lost} ran_twice={} \
         false_not_run={} new_work_after_out={} \
         cold_overloads={} violations={violations}",
        found.live_after.as_secs_f64(),
        found.origin_copies,
        found.ran_twice,
        found.false_not_run,
        found.new_work_after_out,
        found.cold_overloads,
    );
    violations == 0 && complete > 0
}

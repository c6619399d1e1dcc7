//! Distribution of weights to many agents at once: time until live, copies carried by the links,
//! and the effect on callers.
//!
//! Agents are real processes. Bandwidths are capped so that in a time T the origin
//! sends four copies and an agent carries two in each direction. Engines run in this
//! process, so the weights that each answer was made with are known.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use egret_http::{HttpClient, headers};
use egret_record::VersionDigest;
use egret_standin::engine::{Engine, EngineOptions};
use http::Method;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    caller::Tally,
    demo::wait_announced,
    deployment::{Deployment, Instance, Plan},
    http_request::send_request,
};

const DATA_CENTRES: [&str; 3] = ["kumamoto", "fukuoka", "kagoshima"];
/// Size of a version, in bytes.
const WEIGHTS_BYTES: usize = 4 * 1024 * 1024;
/// Size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 8 * 1024;
/// The time T, in which an agent's link carries two copies in each direction.
const PERIOD: Duration = Duration::from_secs(16);
/// Copies that the origin's link carries in the time T.
const ORIGIN_COPIES: u64 = 4;
/// Copies that an agent's link carries in the time T in each direction.
const AGENT_COPIES: u64 = 2;
/// Divisor of the weights size, and so of the lower bound on time, in comparison runs.
const SIZE_DIVISOR: usize = 8;
/// Target for the time until live, as a multiple of the lower bound.
const TIME_TARGET: f64 = 1.25;
/// Timeout of a request, and of a version until it is live.
const TIMEOUT: Duration = Duration::from_secs(240);
/// Number of concurrent callers.
const CALLERS: usize = 4;
/// Duration of the load while no weights are transferred.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// Cost of the distribution of a version: its time as a multiple of the lower bound, the copies
/// sent by the origin, and those on the busiest link between two data centres.
#[derive(Debug, Clone, Copy)]
struct Carried {
    over_limit: f64,
    origin_copies: f64,
    region_copies: f64,
}

/// A request answered by a model, and the version that the answer names.
#[derive(Debug)]
struct AnsweredRequest {
    latency: Duration,
    id: String,
    version: String,
}

/// Measures distribution by trees, and by a chain and the origin alone for comparison.
///
/// A second version is distributed by trees under load, for the effect on callers.
///
/// Returns whether trees met the target and each answer named the version it was made with.
///
/// # Errors
///
/// Returns what prevented a measurement.
pub async fn run(agents: usize, seed: u64) -> Result<bool, String> {
    let (trees, ratio, mixed) = upgrade_under_load(agents, seed).await?;
    let chain = measure_sharing(agents, seed, "chain").await?;
    let origin = measure_sharing(agents, seed, "origin").await?;
    println!(
        "result agents={agents} seed={seed} time_over_limit={:.3} origin_copies={:.3} \
         region_pair_copies={:.3} chain_time_over_limit={:.3} origin_only_time_over_limit={:.3} \
         live_requests_p95_ratio={ratio:.3} mixed={mixed}",
        trees.over_limit,
        trees.origin_copies,
        trees.region_copies,
        chain.over_limit,
        origin.over_limit,
    );
    Ok(trees.over_limit <= TIME_TARGET && mixed == 0)
}

/// Rolls out a first version without load, then a second one under load.
///
/// Returns the cost of the first, the ratio of p95 latencies during the second one and while
/// idle, and the number of answers that name another version than they were made with.
async fn upgrade_under_load(agents: usize, seed: u64) -> Result<(Carried, f64, u64), String> {
    let (deployment, engines) = start(agents, WEIGHTS_BYTES, "trees").await?;
    let first = roll_out(&deployment, agents, "v1", seed, WEIGHTS_BYTES).await?;
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    let idle = send_requests(&entries, Arc::new(tokio::sync::Notify::new()), Some(IDLE_TIME)).await;
    let stop = Arc::new(tokio::sync::Notify::new());
    let load = tokio::spawn({
        let (entries, stop) = (entries.clone(), stop.clone());
        async move { send_requests(&entries, stop, None).await }
    });
    let second = roll_out(&deployment, agents, "v2", seed + 1, WEIGHTS_BYTES).await?;
    stop.notify_waiters();
    let loaded = load.await.map_err(|error| error.to_string())?;
    println!(
        "first: {first:?} second: {second:?} idle_requests={} busy_requests={}",
        idle.len(),
        loaded.len()
    );
    let contents: BTreeMap<String, VersionDigest> = ["v1", "v2"]
        .iter()
        .zip([seed, seed + 1])
        .map(|(version, seed)| {
            let weights = weights(seed, WEIGHTS_BYTES);
            let manifest =
                egret_weights::Manifest::of("survey-drafts", version, &weights, CHUNK_BYTES);
            (manifest.digest().to_string(), manifest.content)
        })
        .collect();
    let mixed = idle
        .iter()
        .chain(&loaded)
        .filter(|request| !version_matches(request, &engines, &contents))
        .count();
    let ratio = p95(&loaded).as_secs_f64() / p95(&idle).as_secs_f64().max(1e-9);
    Ok((first, ratio, mixed as u64))
}

/// Returns whether the version that an answer names is the one it was made with.
fn version_matches(
    request: &AnsweredRequest,
    engines: &[Engine],
    contents: &BTreeMap<String, VersionDigest>,
) -> bool {
    let served = engines.iter().find_map(|engine| engine.served(&request.id));
    served.is_some() && served.as_ref() == contents.get(&request.version)
}

fn p95(requests: &[AnsweredRequest]) -> Duration {
    let times = requests.iter().map(|request| request.latency).collect();
    Tally { times, ..Tally::default() }.percentile(0.95)
}

async fn measure_sharing(agents: usize, seed: u64, sharing: &str) -> Result<Carried, String> {
    let bytes = WEIGHTS_BYTES / SIZE_DIVISOR;
    let (deployment, _engines) = start(agents, WEIGHTS_BYTES, sharing).await?;
    roll_out(&deployment, agents, "v1", seed, bytes).await
}

async fn start(
    agents: usize,
    bytes: usize,
    sharing: &str,
) -> Result<(Deployment, Vec<Engine>), String> {
    let rate = |copies: u64| copies * bytes as u64 / PERIOD.as_secs();
    let mut engines = Vec::new();
    let mut local_engines = BTreeMap::new();
    let instances: Vec<_> = (0..agents)
        .map(|index| {
            Instance::new(format!("runner-{index:03}"), DATA_CENTRES[index % DATA_CENTRES.len()])
        })
        .collect();
    for instance in &instances {
        let (engine, address) = start_engine().await.map_err(|error| error.to_string())?;
        engines.push(engine);
        local_engines.insert(instance.name.clone(), address);
    }
    let each = |kind: &str| -> Vec<Instance> {
        DATA_CENTRES.iter().map(|name| Instance::new(format!("{kind}-{name}"), name)).collect()
    };
    let plan = Plan {
        controls: each("control"),
        entries: each("entry"),
        engines: instances,
        agent_settings: format!(
            "links: {{ sharing: {sharing}, upload_bytes: {}, download_bytes: {} }}\n",
            rate(AGENT_COPIES),
            rate(AGENT_COPIES)
        ),
        origin_rate: Some(rate(ORIGIN_COPIES)),
        local_engines,
        ..Plan::default()
    };
    let deployment = Deployment::start(&plan).map_err(|error| error.to_string())?;
    wait_announced(&deployment, &plan).await?;
    Ok((deployment, engines))
}

async fn start_engine() -> std::io::Result<(Engine, SocketAddr)> {
    let engine =
        Engine::new(EngineOptions { cold_time: Duration::ZERO, ..EngineOptions::default() });
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let router = engine.router();
    tokio::spawn(async move { viz::serve(listener, router).await });
    Ok((engine, address))
}

fn weights(seed: u64, bytes: usize) -> Vec<u8> {
    let mut random = SmallRng::seed_from_u64(seed);
    (0..bytes).map(|_| random.random()).collect()
}

async fn roll_out(
    deployment: &Deployment,
    agents: usize,
    version: &str,
    seed: u64,
    bytes: usize,
) -> Result<Carried, String> {
    let (digest, origin) = deployment
        .publish("survey-drafts", version, &weights(seed, bytes), CHUNK_BYTES)
        .map_err(|error| error.to_string())?;
    let record = format!(
        "schema: 1\nname: drafting\nmodel: survey-drafts\nversion: {version}\ndigest: {digest}\n\
         origin: {origin}\nreplicas: {agents}\n"
    );
    let path = deployment.write("drafting.yaml", &record).map_err(|error| error.to_string())?;
    let before = transferred(deployment).await;
    let started = Instant::now();
    deployment.ctl(&["apply", &path]).await?;
    let live = |status: &Value| status["records"][0]["live"].as_u64() >= Some(agents as u64);
    let waited = deployment.wait_for(TIMEOUT, live).await;
    waited.map_err(|status| format!("{version} is not live: {}", status["records"]))?;
    let took = started.elapsed();
    let after = transferred(deployment).await;
    // The lower bound on time: how long an agent's link needs for one copy of this size.
    let lower_bound =
        PERIOD.as_secs_f64() / AGENT_COPIES as f64 * bytes as f64 / WEIGHTS_BYTES as f64;
    Ok(Carried {
        over_limit: took.as_secs_f64() / lower_bound,
        origin_copies: (after.0 - before.0) / bytes as f64,
        region_copies: (after.1 - before.1) / bytes as f64,
    })
}

/// Returns the bytes sent by the origin, and those on the busiest link between two data centres.
async fn transferred(deployment: &Deployment) -> (f64, f64) {
    let origin = deployment.stats(deployment.origin).await["bytes"].as_f64().unwrap_or(0.0);
    let between = deployment.network.bytes_between();
    (origin, between.values().copied().max().unwrap_or(0) as f64)
}

/// Sends requests for `length`, or until `stop` is notified, and returns the answered ones.
async fn send_requests(
    entries: &[SocketAddr],
    stop: Arc<tokio::sync::Notify>,
    length: Option<Duration>,
) -> Vec<AnsweredRequest> {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let entry = entries[number % entries.len()];
        let stop = stop.clone();
        callers.spawn(async move {
            let mut finished = Vec::new();
            let calls = async {
                let client = HttpClient::pooled(None);
                for count in 0_u32.. {
                    finished.extend(call(&client, entry, &format!("{number}-{count}")).await);
                    sleep(Duration::from_millis(30)).await;
                }
            };
            let end = async {
                match length {
                    Some(length) => sleep(length).await,
                    None => stop.notified().await,
                }
            };
            tokio::select! {
                () = calls => {}
                () = end => {}
            }
            finished
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

async fn call(client: &HttpClient, entry: SocketAddr, name: &str) -> Option<AnsweredRequest> {
    let body = json!({ "model": "survey-drafts", "messages": [{ "content": name }] });
    let started = Instant::now();
    let content_type = [("content-type", "application/json")];
    let path = "/v1/chat/completions";
    let response =
        send_request(client, Method::POST, entry, path, &content_type, body.to_string(), TIMEOUT)
            .await
            .ok()?;
    let text = |name: &str| {
        let value = response.headers.get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    Some(AnsweredRequest {
        latency: started.elapsed(),
        id: text(headers::REQUEST_ID)?,
        version: text(headers::VERSION)?,
    })
}

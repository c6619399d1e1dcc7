//! Weights in a burst: time until live, copies over the links, and what callers notice.
//!
//! Agents are real processes with links that are capped so that in a time T the
//! origin carries four copies and an agent two each way; engines run in this
//! process, so that it knows itself which weights each answer was made with.

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
/// The time T, in which an agent's link carries two copies.
const PERIOD: Duration = Duration::from_secs(16);
/// Copies that the origin's link carries in the time T.
const ORIGIN_COPIES: u64 = 4;
/// Copies that an agent's link carries in the time T, each way.
const AGENT_COPIES: u64 = 2;
/// Versions for the comparisons are smaller by this, and their limit with them.
const SMALLER: usize = 8;
/// Time over the limit that is aimed at.
const TARGET: f64 = 1.25;
/// Longest wait for a deployment or version.
const LIMIT: Duration = Duration::from_secs(240);
/// Live requests at once.
const CALLERS: usize = 4;
/// Live requests while nothing is transferred.
const IDLE: Duration = Duration::from_secs(3);

/// How a version was carried.
#[derive(Debug, Clone, Copy)]
struct Carried {
    over_limit: f64,
    origin_copies: f64,
    region_copies: f64,
}

/// One live request.
#[derive(Debug)]
struct Live {
    took: Duration,
    id: String,
    version: String,
}

/// Measures all sizes asked for; tells whether the targets are met.
///
/// # Errors
///
/// Returns what kept a measurement from being made.
pub async fn run(agents: usize, seed: u64) -> Result<bool, String> {
    let (trees, ratio, mixed) = upgrade_under_load(agents, seed).await?;
    let chain = compare(agents, seed, "chain").await?;
    let origin = compare(agents, seed, "origin").await?;
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
    Ok(trees.over_limit <= TARGET && mixed == 0)
}

/// Rolls out a first version without callers, then a second one under load.
async fn upgrade_under_load(agents: usize, seed: u64) -> Result<(Carried, f64, u64), String> {
    let (deployment, engines) = start(agents, WEIGHTS_BYTES, "trees").await?;
    let first = roll_out(&deployment, agents, "v1", seed, WEIGHTS_BYTES).await?;
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    let idle = live(&entries, Arc::new(tokio::sync::Notify::new()), Some(IDLE)).await;
    let stop = Arc::new(tokio::sync::Notify::new());
    let load = tokio::spawn({
        let (entries, stop) = (entries.clone(), stop.clone());
        async move { live(&entries, stop, None).await }
    });
    let second = roll_out(&deployment, agents, "v2", seed + 1, WEIGHTS_BYTES).await?;
    stop.notify_waiters();
    let busy = load.await.map_err(|error| error.to_string())?;
    println!(
        "first: {first:?} second: {second:?} idle_requests={} busy_requests={}",
        idle.len(),
        busy.len()
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
    let mixed = idle.iter().chain(&busy).filter(|one| !is_true(one, &engines, &contents)).count();
    let ratio = p95(&busy).as_secs_f64() / p95(&idle).as_secs_f64().max(1e-9);
    Ok((first, ratio, mixed as u64))
}

/// Tells whether the version that an answer names is the one it was made with.
fn is_true(one: &Live, engines: &[Engine], contents: &BTreeMap<String, VersionDigest>) -> bool {
    let made = engines.iter().find_map(|engine| engine.served(&one.id));
    made.is_some() && made.as_ref() == contents.get(&one.version)
}

fn p95(live: &[Live]) -> Duration {
    let times = live.iter().map(|one| one.took).collect();
    Tally { times, ..Tally::default() }.percentile(0.95)
}

async fn compare(agents: usize, seed: u64, sharing: &str) -> Result<Carried, String> {
    let bytes = WEIGHTS_BYTES / SMALLER;
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
        .map(|at| Instance::new(format!("runner-{at:03}"), DATA_CENTRES[at % DATA_CENTRES.len()]))
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
    let before = counted(deployment).await;
    let started = Instant::now();
    deployment.ctl(&["apply", &path]).await?;
    let live = |status: &Value| status["records"][0]["live"].as_u64() >= Some(agents as u64);
    let waited = deployment.wait_for(LIMIT, live).await;
    waited.map_err(|status| format!("{version} is not live: {}", status["records"]))?;
    let took = started.elapsed();
    let after = counted(deployment).await;
    // The share of the limit that this many bytes need on an agent's link.
    let limit = PERIOD.as_secs_f64() / AGENT_COPIES as f64 * bytes as f64 / WEIGHTS_BYTES as f64;
    Ok(Carried {
        over_limit: took.as_secs_f64() / limit,
        origin_copies: (after.0 - before.0) / bytes as f64,
        region_copies: (after.1 - before.1) / bytes as f64,
    })
}

/// Returns the bytes that the origin sent, and those on the busiest way between two data centres.
async fn counted(deployment: &Deployment) -> (f64, f64) {
    let origin = deployment.stats(deployment.origin).await["bytes"].as_f64().unwrap_or(0.0);
    let between = deployment.network.bytes_between();
    (origin, between.values().copied().max().unwrap_or(0) as f64)
}

/// Sends live requests until told to stop, or for some time.
async fn live(
    entries: &[SocketAddr],
    stop: Arc<tokio::sync::Notify>,
    length: Option<Duration>,
) -> Vec<Live> {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let entry = entries[number % entries.len()];
        let stop = stop.clone();
        callers.spawn(async move {
            let mut seen = Vec::new();
            let calls = async {
                let client = HttpClient::pooled(None);
                for count in 0_u32.. {
                    seen.extend(call(&client, entry, &format!("{number}-{count}")).await);
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
            seen
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

async fn call(client: &HttpClient, entry: SocketAddr, name: &str) -> Option<Live> {
    let body = json!({ "model": "survey-drafts", "messages": [{ "content": name }] });
    let started = Instant::now();
    let kind = [("content-type", "application/json")];
    let path = "/v1/chat/completions";
    let response = send_request(client, Method::POST, entry, path, &kind, body.to_string(), LIMIT)
        .await
        .ok()?;
    let text = |name: &str| {
        let value = response.headers.get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    Some(Live {
        took: started.elapsed(),
        id: text(headers::REQUEST_ID)?,
        version: text(headers::VERSION)?,
    })
}

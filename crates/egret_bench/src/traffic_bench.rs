//! What requests and tokens cost an entry and an agent.

use std::{net::SocketAddr, time::Duration};

use egret_http::HttpClient;
use http::Method;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    caller::Tally,
    demo::wait_announced,
    deployment::{Deployment, Instance, Plan},
    http_request::send_request,
    process::cpu_seconds,
};

/// Time over which a load is measured.
const MEASURED: Duration = Duration::from_secs(4);
/// Callers at once.
const CALLERS: usize = 16;
/// Tokens of an answer in the runs for requests, and in those for tokens.
const TOKENS: [u32; 2] = [1, 200];
/// Longest wait for one answer.
const LIMIT: Duration = Duration::from_secs(20);

/// What a load cost.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    /// Requests a second.
    rate: f64,
    /// Processor time of the entry for each request, in seconds.
    entry: f64,
    /// Processor time of the agent for each request, in seconds.
    agent: f64,
    p50: Duration,
    p95: Duration,
}

/// Measures requests and tokens, and prints a result line for each.
///
/// # Errors
///
/// Returns what kept a measurement from being made.
pub async fn run(seed: u64) -> Result<bool, String> {
    let mut costs = Vec::new();
    for tokens in TOKENS {
        let (through, direct) = measure(tokens).await?;
        println!(
            "result tokens={tokens} seed={seed} requests_per_s={:.0} entry_cpu_micros={:.1} \
             agent_cpu_micros={:.1} p50_ms={:.2} p95_ms={:.2} direct_requests_per_s={:.0} \
             direct_p50_ms={:.2} direct_p95_ms={:.2} added_p95_ms={:.2}",
            through.rate,
            through.entry * 1e6,
            through.agent * 1e6,
            through.p50.as_secs_f64() * 1e3,
            through.p95.as_secs_f64() * 1e3,
            direct.rate,
            direct.p50.as_secs_f64() * 1e3,
            direct.p95.as_secs_f64() * 1e3,
            (through.p95.as_secs_f64() - direct.p95.as_secs_f64()) * 1e3,
        );
        costs.push(through);
    }
    let more = f64::from(TOKENS[1] - TOKENS[0]);
    println!(
        "result entry_cpu_micros_per_token={:.2} agent_cpu_micros_per_token={:.2}",
        (costs[1].entry - costs[0].entry) * 1e6 / more,
        (costs[1].agent - costs[0].agent) * 1e6 / more,
    );
    Ok(true)
}

async fn measure(tokens: u32) -> Result<(Cost, Cost), String> {
    let instance = |name: &str| Instance::new(name, "xela");
    let args = [
        "--limit",
        "64",
        "--cold-ms",
        "0",
        "--first-token-ms",
        "0",
        "--between-tokens-ms",
        "0",
        "--tokens",
    ];
    let mut engine_args: Vec<_> = args.map(str::to_owned).to_vec();
    engine_args.push(tokens.to_string());
    let plan = Plan {
        controls: vec![instance("control-1")],
        entries: vec![instance("entry-1")],
        engines: vec![instance("runner-1")],
        engine_args,
        ..Plan::default()
    };
    let deployment = Deployment::start(&plan).map_err(|error| error.to_string())?;
    wait_announced(&deployment, &plan).await?;
    let (digest, origin) = deployment
        .publish("drafts", "v1", &[7; 1_000], 1_000)
        .map_err(|error| error.to_string())?;
    let record = format!(
        "schema: 1\nname: drafting\nmodel: drafts\nversion: v1\ndigest: {digest}\n\
         origin: {origin}\nreplicas: 1\n"
    );
    let path = deployment.write("record.yaml", &record).map_err(|error| error.to_string())?;
    deployment.ctl(&["apply", &path]).await?;
    deployment.ctl(&["rollout", "drafting"]).await?;
    let entry = deployment.entries["entry-1"];
    // The gate opens with answers.
    load(entry, Duration::from_secs(1)).await;
    let id = |name: &str| deployment.process_id(name).ok_or_else(|| format!("no process {name}"));
    let (entry_id, agent_id) = (id("entry-1")?, id("runner-1")?);
    let before = (cpu_seconds(entry_id), cpu_seconds(agent_id));
    let mut through = load(entry, MEASURED).await;
    let requests = through.rate * MEASURED.as_secs_f64();
    through.entry = (cpu_seconds(entry_id) - before.0) / requests;
    through.agent = (cpu_seconds(agent_id) - before.1) / requests;
    let direct = load(deployment.backends["runner-1"], MEASURED).await;
    sleep(Duration::from_millis(100)).await;
    Ok((through, direct))
}

/// Sends streams one after the other from each caller, for some time.
async fn load(address: SocketAddr, length: Duration) -> Cost {
    let mut callers = JoinSet::new();
    let started = Instant::now();
    for number in 0..CALLERS {
        callers.spawn(async move {
            let client = HttpClient::pooled(None);
            let mut times = Vec::new();
            let message = json!({ "content": format!("caller {number}") });
            let body = json!({ "model": "drafts", "stream": true, "messages": [message] });
            let sent = [("content-type", "application/json")];
            let path = "/v1/chat/completions";
            while started.elapsed() < length {
                let began = Instant::now();
                let body = body.to_string();
                let response =
                    send_request(&client, Method::POST, address, path, &sent, body, LIMIT).await;
                if response.is_ok_and(|response| response.status.is_success()) {
                    times.push(began.elapsed());
                } else {
                    sleep(Duration::from_millis(20)).await;
                }
            }
            times
        });
    }
    let times: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    let rate = times.len() as f64 / length.as_secs_f64();
    let tally = Tally { times, ..Tally::default() };
    Cost { rate, p50: tally.percentile(0.5), p95: tally.percentile(0.95), ..Cost::default() }
}

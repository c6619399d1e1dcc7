//! Processor time and latency that requests and tokens cost at an entry and an agent.

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

/// Time for which a load is measured.
const MEASURE_TIME: Duration = Duration::from_secs(4);
/// Number of concurrent callers.
const CALLERS: usize = 16;
/// Number of tokens in an answer: few to measure requests, many to measure tokens.
const TOKENS: [u32; 2] = [1, 200];
/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The measured cost of a load.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    /// Requests per second.
    rate: f64,
    /// Processor time of the entry per request, in seconds.
    entry: f64,
    /// Processor time of the agent per request, in seconds.
    agent: f64,
    p50: Duration,
    p95: Duration,
}

/// Measures answers of few and of many tokens, and prints a result line for each.
///
/// A last line has the cost per token, from the difference.
///
/// # Errors
///
/// Returns what prevented a measurement.
pub async fn run(seed: u64) -> Result<bool, String> {
    let mut costs = Vec::new();
    for tokens in TOKENS {
        let (routed, direct) = measure(tokens).await?;
        println!(
            "result tokens={tokens} seed={seed} requests_per_s={:.0} entry_cpu_micros={:.1} \
             agent_cpu_micros={:.1} p50_ms={:.2} p95_ms={:.2} direct_requests_per_s={:.0} \
             direct_p50_ms={:.2} direct_p95_ms={:.2} added_p95_ms={:.2}",
            routed.rate,
            routed.entry * 1e6,
            routed.agent * 1e6,
            routed.p50.as_secs_f64() * 1e3,
            routed.p95.as_secs_f64() * 1e3,
            direct.rate,
            direct.p50.as_secs_f64() * 1e3,
            direct.p95.as_secs_f64() * 1e3,
            (routed.p95.as_secs_f64() - direct.p95.as_secs_f64()) * 1e3,
        );
        costs.push(routed);
    }
    let extra_tokens = f64::from(TOKENS[1] - TOKENS[0]);
    println!(
        "result entry_cpu_micros_per_token={:.2} agent_cpu_micros_per_token={:.2}",
        (costs[1].entry - costs[0].entry) * 1e6 / extra_tokens,
        (costs[1].agent - costs[0].agent) * 1e6 / extra_tokens,
    );
    Ok(true)
}

/// Measures requests through the entry, and directly to the engine for comparison.
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
    // Concurrency limits grow with successful responses, so warm up first.
    run_load(entry, Duration::from_secs(1)).await;
    let id = |name: &str| deployment.process_id(name).ok_or_else(|| format!("no process {name}"));
    let (entry_id, agent_id) = (id("entry-1")?, id("runner-1")?);
    let before = (cpu_seconds(entry_id), cpu_seconds(agent_id));
    let mut routed = run_load(entry, MEASURE_TIME).await;
    let requests = routed.rate * MEASURE_TIME.as_secs_f64();
    routed.entry = (cpu_seconds(entry_id) - before.0) / requests;
    routed.agent = (cpu_seconds(agent_id) - before.1) / requests;
    let direct = run_load(deployment.backends["runner-1"], MEASURE_TIME).await;
    sleep(Duration::from_millis(100)).await;
    Ok((routed, direct))
}

/// Sends streamed requests from all callers, each one after the other, for some time.
async fn run_load(address: SocketAddr, length: Duration) -> Cost {
    let mut callers = JoinSet::new();
    let started = Instant::now();
    for number in 0..CALLERS {
        callers.spawn(async move {
            let client = HttpClient::pooled(None);
            let mut times = Vec::new();
            let message = json!({ "content": format!("caller {number}") });
            let body = json!({ "model": "drafts", "stream": true, "messages": [message] });
            let headers = [("content-type", "application/json")];
            let path = "/v1/chat/completions";
            while started.elapsed() < length {
                let sent = Instant::now();
                let body = body.to_string();
                let response = send_request(
                    &client,
                    Method::POST,
                    address,
                    path,
                    &headers,
                    body,
                    CALL_TIMEOUT,
                )
                .await;
                if response.is_ok_and(|response| response.status.is_success()) {
                    times.push(sent.elapsed());
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

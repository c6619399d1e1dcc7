//! The operator, the runners' status reports, and the clients.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    engine::Engine,
    record::Record,
    server::{Answer, send},
    weights::{MODEL, PIECES},
};

/// The service of the model runners.
pub(crate) const ENGINES: &str = "huvo11a";
pub(crate) const HOST: &str = "hulo84.example";
pub(crate) const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// The manifest: one resumable stream, and one tenant.
pub(crate) fn manifest(version: u64, origin: SocketAddr) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r-2xp4zhp", "host": HOST, "path_prefix": "/xapu221/", "route_kind": "stream",
            "timeout_ms": 6_000, "goal_ms": 400, "priority": 1, "service": ENGINES,
            "max_attempts": 2, "public": false, "sticky": true, "resumable": true,
            "gap_goal_ms": 300, "home_regions": [],
        }],
        "services": [
            {
                "name": ENGINES, "health_path": "/healthz", "max_conns": 434, "protocol": "h1",
                "tls": false, "cold_start_s": 3.0, "cold_per_s": 36.0,
                "engine": {
                    "slots": 16, "kv_capacity": 1_640_000, "kv_bytes": 163_840,
                    "link_mbps": 400_000.0, "stride": 6,
                    "models": [{ "name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3 }],
                    "size_mb": 282_000.0, "adapter_slots": 8, "loads_per_s": 0.0, "step_ms": 6.73,
                    "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30_600.0,
                    "pairs_per_m": 0.647, "chunk": 2_048, "report_lag_ms": 200.0,
                    "loads_at_once": 8, "delays": [], "usual": { "prompt": 964, "answer": 119 },
                    "layers": 16, "layer_mb": 4_540.0, "act_bytes": 16_384, "pipe_mbps": 0.0,
                    "chunks": PIECES, "chunk_bytes": 24_576,
                },
            },
            {
                "name": "kafi81c", "origin": origin, "zone": "guate-a", "link_mbps": 7.3,
                "max_conns": 48,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            { "name": "bozi300", "api_keys": [KEY], "priority": 1, "home_regions": [] },
        ],
    })
}

/// The manifest with `count` further routes, each split over two services, with a time-out of their
/// own that all of them have.
pub(crate) fn large_manifest(
    version: u64,
    origin: SocketAddr,
    count: u32,
    timeout_ms: u64,
) -> Value {
    let mut document = manifest(version, origin);
    let plain = |name: &str| {
        json!({
            "name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
            "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
        })
    };
    let services = document["services"].as_array_mut().expect("a list");
    services.extend([plain("wuno96b"), plain("tiro31d")]);
    let routes = document["routes"].as_array_mut().expect("a list");
    routes.extend((0..count).map(|index| {
        json!({
            "name": format!("r-idle{index:04}"), "host": format!("idle{index:04}.example"),
            "path_prefix": format!("/nybe{index:04}/de{index:04}/"), "route_kind": "idempotent",
            "timeout_ms": timeout_ms, "goal_ms": 150, "priority": 2,
            "split": [
                { "service": "wuno96b", "weight": 85 }, { "service": "tiro31d", "weight": 10 },
                { "service": ENGINES, "weight": 5 },
            ],
            "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
            "gap_goal_ms": 0, "home_regions": [],
        })
    }));
    document
}

/// Calls one control address after the other, following a redirect twice; returns the first answer
/// that is final.
pub(crate) async fn call(
    controls: &[SocketAddr],
    method: &str,
    path: &str,
    body: &Value,
) -> Option<Answer> {
    for first in controls {
        let mut address = *first;
        for _ in 0..3 {
            let body = if body.is_null() { String::new() } else { body.to_string() };
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", address.to_string())
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body)))
                .expect("a valid request");
            let Some(answer) = send(address, request, Duration::from_secs(1)).await else { break };
            if answer.status == StatusCode::TEMPORARY_REDIRECT {
                let location = answer.headers.get("location").and_then(|text| text.to_str().ok());
                let target = location.and_then(|text| {
                    text.strip_prefix("http://")?.split('/').next()?.parse::<SocketAddr>().ok()
                });
                let Some(target) = target else { break };
                address = target;
                continue;
            }
            if answer.status.is_server_error() {
                break;
            }
            return Some(answer);
        }
    }
    None
}

/// Repeats an order of the operator until it is acknowledged; returns whether it was in time.
pub(crate) async fn order(
    record: &Record,
    controls: &[SocketAddr],
    path: &str,
    body: &Value,
    limit: Duration,
) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        let answer = call(controls, "POST", path, body).await;
        if let Some(answer) = answer.filter(|answer| answer.status.is_success()) {
            record.line(&format!("operator {path} answer={}", answer.status));
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    record.line(&format!("operator {path} has no ack"));
    false
}

/// Sends the status reports of a runner until the process ends.
pub(crate) async fn report(
    engine: Engine,
    address: SocketAddr,
    zone: &'static str,
    controls: Vec<SocketAddr>,
) {
    let mut first = 0;
    loop {
        let (name, status) = {
            let mut state = engine.lock();
            (state.name.clone(), state.status(ENGINES, address, zone))
        };
        let path = format!("/v1/Instances.Heartbeat/{name}");
        let mut order = controls.clone();
        order.rotate_left(first % controls.len());
        if call(&order[..1], "POST", &path, &status)
            .await
            .is_none_or(|answer| !answer.status.is_success())
        {
            first += 1;
            sleep(Duration::from_millis(100)).await;
            continue;
        }
        sleep(Duration::from_millis(1_200)).await;
    }
}

/// How many requests of clients were served.
pub(crate) type Served = Arc<Mutex<u64>>;

/// Returns a request of a client for a stream.
pub(crate) fn stream_request() -> (String, Request<Full<Bytes>>) {
    let id = format!("{:016x}", rand::random::<u64>());
    let part = format!("5c1e07a2:40,{:08x}:600", rand::random::<u32>());
    let request = Request::post(format!("/xapu221/{:x}", rand::random::<u16>()))
        .header("host", HOST)
        .header("x-request-id", &id)
        .header("x-model", MODEL)
        .header("x-tokens", "640,80")
        .header("x-prefix-hash", part)
        .header("x-deadline-ms", "6000")
        .header("authorization", format!("Token {KEY}"))
        .body(Full::new(Bytes::from_static(b"{\"prompt\":\"netlist\"}")));
    (id, request.expect("a valid request"))
}

/// Sends one request each `period` to one of the entries at random, until the process ends.
pub(crate) async fn traffic(
    record: Record,
    entries: Vec<SocketAddr>,
    period: Duration,
    all_served: Served,
) {
    loop {
        let entry = entries[rand::random_range(0..entries.len())];
        let (record, all_served) = (record.clone(), all_served.clone());
        tokio::spawn(async move {
            let (id, request) = stream_request();
            let sent = record.now();
            let answer = send(entry, request, Duration::from_secs(6)).await;
            let status = answer.as_ref().map(|answer| answer.status.as_u16());
            let served = answer.is_some_and(|answer| {
                answer.status == StatusCode::OK
                    && answer.headers.contains_key("x-stamp")
                    && answer.body.is_some_and(|body| body.ends_with(b"data: piece 6\n\n"))
            });
            record.line(&format!(
                "client request={id} sent={:.3} status={status:?} served={served}",
                sent.as_secs_f64()
            ));
            *all_served.lock().expect("no panic") += u64::from(served);
        });
        sleep(period).await;
    }
}

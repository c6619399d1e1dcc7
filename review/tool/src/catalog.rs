//! The operator's manifest, and calls of operators and runners to the control machines.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// The service of model runners.
pub(crate) const ENGINES: &str = "huvo11a";
/// The service of plain runners.
pub(crate) const PLAIN: &str = "wuno96b";
/// The service that hands out weights.
pub(crate) const ORIGIN: &str = "kafi81c";
/// The model of the runners.
pub(crate) const MODEL: &str = "daka510000";
/// The key of the only tenant.
pub(crate) const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// The host of all routes.
pub(crate) const HOST: &str = "jepu9.example";
/// The path prefix of the stream route.
pub(crate) const STREAM: &str = "/lepu270/";
/// The path prefix of the route of plain reads.
pub(crate) const READ: &str = "/filo73/";

/// Returns the manifest of a version.
pub(crate) fn manifest(version: u64, origin: SocketAddr) -> String {
    let route = |name: &str, prefix: &str, kind: &str, more: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
             \"route_kind\":\"{kind}\",\"goal_ms\":400,\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":2,\"public\":false,\"home_regions\":[],{more}}}"
        )
    };
    let stream = "\"timeout_ms\":6000,\"sticky\":true,\"resumable\":true,\"gap_goal_ms\":300";
    let read = "\"timeout_ms\":1200,\"sticky\":false,\"resumable\":false,\"gap_goal_ms\":0";
    let routes = [
        route("r-stream", STREAM, "stream", stream, ENGINES),
        route("r-read", READ, "idempotent", read, PLAIN),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{ENGINES}\",\
         \"health_path\":\"/healthz\",\"max_conns\":294,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":16,\"models\":[{{\"name\":\
         \"{MODEL}\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}}],\"layers\":16,\"chunks\":96,\
         \"chunk_bytes\":24576}}}},{{\"name\":\"{ORIGIN}\",\"origin\":\"{origin}\",\"zone\":\
         \"wlg-a\",\"link_mbps\":7.3,\"max_conns\":48}},{{\"name\":\"{PLAIN}\",\"health_path\":\
         \"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"bozi300\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1,\"home_regions\":[]}}]}}",
        routes.join(",")
    )
}

/// Calls one control machine once, following redirects twice.
pub(crate) fn call_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<Message> {
    let json = ("content-type", "application/json".to_owned());
    let second = Duration::from_secs(1);
    let mut target = address;
    for _ in 0..2 {
        let answer =
            http::call(target, method, path, std::slice::from_ref(&json), body.as_bytes(), second)?;
        if answer.status() != 307 {
            return Ok(answer);
        }
        let location = answer.header("location").unwrap_or_default();
        let host = location.strip_prefix("http://").and_then(|rest| rest.split('/').next());
        match host.and_then(|host| host.parse().ok()) {
            Some(next) => target = next,
            None => return Ok(answer),
        }
    }
    http::call(target, method, path, &[json], body.as_bytes(), second)
}

/// Calls control machines in turn until one answers 200 or a 4xx; returns the machine too.
pub(crate) fn call_any(
    record: &Record,
    addresses: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(Message, SocketAddr)> {
    let deadline = Instant::now() + limit;
    let mut pause = Duration::from_millis(50);
    let mut last;
    loop {
        for address in addresses {
            match call_once(*address, method, path, body) {
                Ok(answer) if matches!(answer.status(), 200..=299 | 400..=407 | 409..=428) => {
                    record.line(format_args!("{method} {path} at {address}: {}", answer.first));
                    return Some((answer, *address));
                }
                Ok(answer) => last = format!("{} {}", answer.first, answer.text()),
                Err(error) => last = error.to_string(),
            }
            if Instant::now() >= deadline {
                record.line(format_args!("{method} {path}: no clear answer, the last: {last}"));
                return None;
            }
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
}

//! A piece turns bad at a runner, and right after an ack to the operator all processes are killed
//! while that runner loads.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Verdict,
    deploy::{Deployment, HOST, KEY, manifest},
    engine::{EVENTS, Engine, MODEL, PIECE_BYTES, PIECES, start_origin},
    http,
    record::Record,
};

const ZONES: [&str; 3] = ["xela-a", "guate-a", "peten-a"];
/// Runners of the service, as on the site.
const RUNNERS: usize = 11;
const CLIENTS: u64 = 24;
const PAUSE: Duration = Duration::from_millis(50);
/// Time from the accepted order until the operator sends a manifest, right after whose ack all
/// processes are killed; loading takes 0.3 s.
const MANIFEST_DELAY: Duration = Duration::from_millis(50);
/// Time for which all processes are down.
const DOWN_TIME: Duration = Duration::from_millis(900);
/// Time for which clients go on.
const TRAFFIC: Duration = Duration::from_secs(20);

fn has_last_event(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains(&format!("id: {EVENTS}\n"))
}

pub(crate) fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let draft = Deployment::prepare(record, 2, &[])?;
    let origin = start_origin(draft.listener(120)?)?;
    let mut engines = Vec::new();
    for index in 0..RUNNERS {
        let host = 80 + u8::try_from(index).unwrap_or_default();
        let zone = ZONES[index % ZONES.len()];
        let id = format!("i-{host:08x}");
        engines.push(Engine::start(id, zone, draft.listener(host)?, record)?);
    }
    let apps: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| (engine.address, index % ZONES.len()))
        .collect();
    let deployment = Arc::new(Deployment::prepare(record, 2, &apps)?);
    engines.iter().for_each(|engine| engine.report_to(&deployment));
    deployment.start_all(&manifest(1, Some(origin), PIECES, PIECE_BYTES))?;

    let victim = &engines[0];
    if trouble {
        let limit = Duration::from_secs(30);
        let mut common = None;
        deployment.wait("all runners have a piece", limit, || {
            let all = engines.iter().map(Engine::staged);
            common = all.reduce(|all, own| &all & &own).and_then(|all| all.first().copied());
            common.is_some()
        })?;
        victim.rot(common.unwrap_or_default());
    }
    // Polled more often than `wait` does, as loading is short.
    let deadline = record.now() + Duration::from_secs(40);
    while victim.orders() == 0 {
        if record.now() > deadline {
            return Err(io::Error::other("the runner got no order"));
        }
        sleep(Duration::from_millis(5));
    }
    sleep(MANIFEST_DELAY);
    let next = manifest(2, Some(origin), PIECES, PIECE_BYTES);
    deployment.order("/v1/Config.Replace", &next.to_string())?;
    if trouble {
        deployment.kill_all();
        sleep(DOWN_TIME);
        deployment.restart_all()?;
    }
    let (served, start) = (Arc::new(AtomicU64::new(0)), record.now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = deployment.edges[usize::from(client % 2 == 1)].front();
            let (record, served) = (record.clone(), served.clone());
            thread::spawn(move || {
                for number in 0_u64.. {
                    if record.now() > start + TRAFFIC {
                        return;
                    }
                    sleep(PAUSE);
                    let id = format!("9c41-{client:02}-{number:04}");
                    let headers = format!(
                        "Host: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n\
                         X-Model: {MODEL}\r\nX-Tokens: 1460,80\r\n\
                         X-Prefix-Hash: 5c1e07a2:800,{client:04x}{number:04x}:660\r\n\
                         Authorization: Token {KEY}\r\n"
                    );
                    let limit = Duration::from_secs(6);
                    let answer = http::call(front, "POST", "/lepu270/2f", &headers, b"", limit);
                    match answer {
                        Ok(answer) => {
                            record.write(format_args!(
                                "client sent {id}, got {} whole {}",
                                answer.status, answer.whole
                            ));
                            if answer.status == 200 && answer.whole && has_last_event(&answer.body)
                            {
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                        Err(error) => {
                            record.write(format_args!("client sent {id}, no answer: {error}"));
                        }
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client ended"))?;
    }
    let spoilt: Vec<_> = engines.iter().flat_map(Engine::spoilt_answers).collect();
    let served = served.load(Ordering::Relaxed);
    record.write(format_args!("{served} requests served, with a spoilt layer {spoilt:?}"));
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(match spoilt.first() {
        Some(first) => Verdict::Broken(format!(
            "WHOLE, {} answers with a spoilt layer, the first to {first}",
            spoilt.len()
        )),
        None => Verdict::Held,
    })
}

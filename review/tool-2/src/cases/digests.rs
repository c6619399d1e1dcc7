//! One answer of the origin with the digests of a version has a wrong digit.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    Verdict,
    deploy::{Deployment, HOST, KEY, manifest},
    engine::{Engine, MODEL, PIECE_BYTES, PIECES, start_origin},
    http,
    plain::{signature, start_plain},
    record::Record,
};

const ZONES: [&str; 3] = ["xela-a", "guate-a", "peten-a"];
/// Time for which clients send requests.
const TRAFFIC: Duration = Duration::from_secs(85);
/// Clients of each kind of request, and the time between two requests of one.
const CLIENTS: usize = 16;
const PERIOD: Duration = Duration::from_secs(4);
/// How long a client waits for an answer, with its retry.
const DEADLINE: Duration = Duration::from_millis(3_900);
/// When the new version is named, from the start of traffic.
const NAMED_AT: Duration = Duration::from_secs(1);
/// Times that a request is tried.
const ATTEMPTS: u32 = 2;

/// Replaces one hexadecimal digit of a digest.
fn spoil(text: &str) -> String {
    let Some(start) = text.find("\"digests\":[\"").map(|at| at + 12) else {
        return text.to_owned();
    };
    let digit = if text[start..].starts_with('0') { "1" } else { "0" };
    format!("{}{digit}{}", &text[..start], &text[start + 1..])
}

#[derive(Default)]
struct Count {
    sent: AtomicU32,
    served: AtomicU32,
}

impl Count {
    fn share(&self) -> f64 {
        let sent = self.sent.load(Ordering::Relaxed).max(1);
        f64::from(self.served.load(Ordering::Relaxed)) / f64::from(sent)
    }
}

/// A client that sends one kind of request.
struct Caller {
    number: usize,
    is_stream: bool,
    front: SocketAddr,
    record: Record,
}

impl Caller {
    /// Sends a request, and once more if it is refused; returns whether it was served.
    fn call(&self, number: u32) -> bool {
        let began = Instant::now();
        for attempt in 0..ATTEMPTS {
            let left = DEADLINE.saturating_sub(began.elapsed());
            let kind = if self.is_stream { 's' } else { 'p' };
            let id = format!("9c41-{kind}{:02}-{number:03}-{attempt}", self.number);
            let (method, target) =
                if self.is_stream { ("POST", "/lepu270/2f") } else { ("GET", "/gera41/2f") };
            let mut headers = format!(
                "Host: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
                 Authorization: Token {KEY}\r\n",
                left.as_millis()
            );
            if self.is_stream {
                let own = self.number * 1_000 + number as usize;
                headers.push_str(&format!(
                    "X-Model: {MODEL}\r\nX-Tokens: 1460,80\r\n\
                     X-Prefix-Hash: 5c1e07a2:800,{own:08x}:660\r\n"
                ));
            }
            let answer = http::call(self.front, method, target, &headers, b"", left);
            let answer = match answer {
                Ok(answer) => answer,
                Err(error) => {
                    self.record.write(format_args!("client sent {id}, no answer: {error}"));
                    return false;
                }
            };
            let wait = answer.header("retry-after").and_then(|wait| wait.parse().ok());
            self.record.write(format_args!(
                "client sent {id}, got {} whole {} retry-after {wait:?}",
                answer.status, answer.whole
            ));
            if answer.status == 200 && answer.whole {
                return true;
            }
            let left = DEADLINE.saturating_sub(began.elapsed());
            let wait = Duration::try_from_secs_f64(wait.unwrap_or(0.0)).unwrap_or_default();
            sleep(wait.min(left / 3));
        }
        false
    }
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    // The addresses of the machines follow from the process, so listeners can be made before.
    let draft = Deployment::prepare(record, 2, &[])?;
    let spoilt = Arc::new(AtomicBool::new(!trouble));
    let origin = {
        let record = record.clone();
        start_origin(draft.listener(120)?, move |version, text| {
            let spoils = version == 2 && !spoilt.swap(true, Ordering::Relaxed);
            record.write(format_args!(
                "origin answers the digests of version {version}, spoilt {spoils}"
            ));
            if spoils { spoil(&text) } else { text }
        })?
    };
    let mut engines = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let host = 80 + u8::try_from(index).unwrap_or_default();
        engines.push(Engine::start(
            format!("i-{host:08x}"),
            true,
            zone,
            draft.listener(host)?,
            record,
        )?);
    }
    let apps: Vec<_> = engines.iter().enumerate().map(|(zone, it)| (it.address, zone)).collect();
    let deployment = Arc::new(Deployment::prepare(record, 2, &apps)?);
    for (id, zone, host) in [("i-7f3a91c2", "xela-a", 101), ("i-2b90cc41", "guate-a", 102)] {
        let record = record.clone();
        let handler = Arc::new(move |request: &http::Request, stream: &mut std::net::TcpStream| {
            record.write(format_args!("{id} runs {}", request.id()));
            io::Write::write_all(stream, &http::answer(200, &signature(request), &[b'r'; 800]))?;
            Ok(true)
        });
        start_plain(&deployment, id, zone, deployment.listener(host)?, handler)?;
    }
    engines.iter().for_each(|engine| engine.report_to(&deployment));
    deployment.start_all(&manifest(1, Some(origin), PIECES, PIECE_BYTES))?;
    sleep(Duration::from_secs(8));

    let counts: Arc<[Count; 2]> = Arc::default();
    let last_served: Arc<Mutex<Option<Duration>>> = Arc::default();
    let start = record.now();
    let mut clients = Vec::new();
    for client in 0..2 * CLIENTS {
        let edge = &deployment.edges[client % deployment.edges.len()];
        let caller = Caller {
            number: client / 2,
            is_stream: client % 4 >= 2,
            front: edge.front(),
            record: record.clone(),
        };
        let (counts, last_served) = (counts.clone(), last_served.clone());
        clients.push(thread::spawn(move || {
            let offset = PERIOD * u32::try_from(caller.number).unwrap_or(0) / CLIENTS as u32;
            for number in 0_u32.. {
                let at = start + offset + PERIOD * number;
                if at > start + TRAFFIC {
                    return;
                }
                sleep(at.saturating_sub(caller.record.now()));
                let count = &counts[usize::from(caller.is_stream)];
                count.sent.fetch_add(1, Ordering::Relaxed);
                if caller.call(number) {
                    count.served.fetch_add(1, Ordering::Relaxed);
                    if caller.is_stream
                        && let Ok(mut last) = last_served.lock()
                    {
                        *last = Some(caller.record.now() - start);
                    }
                }
            }
        }));
    }
    sleep(NAMED_AT);
    deployment.order("/v1/version-put", &json!({ "model": MODEL, "version": 2 }).to_string())?;
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client ended"))?;
    }
    for engine in &engines {
        record.write(format_args!(
            "runner {} holds version {:?}",
            engine.address,
            engine.version()
        ));
    }
    let [plain, stream] = [counts[0].share(), counts[1].share()];
    let all = (plain + stream) / 2.0;
    let last = last_served.lock().ok().and_then(|last| *last);
    let text = format!(
        "served {stream:.3} of the streams, {plain:.3} of the plain requests; last stream served \
         {:.1} s after the start of traffic, of {} s; ended by themselves: {:?}",
        last.unwrap_or_default().as_secs_f64(),
        TRAFFIC.as_secs(),
        deployment.ended()
    );
    record.write(&text);
    Ok(if stream < all / 4.0 { Verdict::Broken(format!("Starved, {text}")) } else { Verdict::Held })
}

//! A model runner that loads staged pieces, and the origin of its weights.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    ops::Range,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use egret_weights::PieceDigest;
use serde_json::{Value, json};

use crate::{
    deploy::Deployment,
    http::{self, Request, answer},
    record::Record,
};

pub(crate) const MODEL: &str = "daka510000";
pub(crate) const PIECES: u32 = 96;
pub(crate) const PIECE_BYTES: usize = 24_576;
const LAYERS: u32 = 16;
/// What the link of the origin carries in a second.
const ORIGIN_BITS: f64 = 7_300_000.0;
/// Time to read a staged piece back.
const READ_TIME: Duration = Duration::from_millis(50);
/// Time between two status reports, and before the next try of one that no daemon acknowledged.
const REPORT_PERIOD: Duration = Duration::from_millis(1_200);
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time to load all layers.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Time for which a piece may be bad when it is taken.
const EXCUSED: Duration = Duration::from_secs(3);
pub(crate) const EVENTS: u64 = 6;
const EVENT_PERIOD: Duration = Duration::from_millis(40);

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or_default()
}

/// The headers that every answer of a runner to a request has.
fn signature(request: &Request) -> String {
    format!("X-Request-Id: {}\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", request.id())
}

/// The content of a piece.
pub(crate) fn content(version: u64, index: u32) -> Vec<u8> {
    let text = format!("piece {index} of version {version}\n");
    text.bytes().cycle().take(PIECE_BYTES).collect()
}

struct State {
    born: u64,
    orders: u64,
    held: Option<Held>,
    loading: Option<(Instant, Held)>,
    pieces: BTreeMap<u32, Staged>,
}

/// The layers that are loaded.
#[derive(Debug, Clone)]
struct Held {
    layers: Range<u32>,
    version: u64,
    /// Layers that were taken while one of their pieces had been missing or bad for longer than is
    /// excused.
    spoilt: Vec<u32>,
}

/// A piece that lies at the runner.
struct Staged {
    content: Vec<u8>,
    since: Instant,
}

impl Staged {
    fn new(content: Vec<u8>) -> Self {
        Self { content, since: Instant::now() }
    }
}

impl State {
    fn finish_loading(&mut self) {
        if let Some((_, held)) = self.loading.take_if(|(done, _)| Instant::now() >= *done) {
            self.held = Some(held);
        }
    }

    fn version(&mut self) -> Option<u64> {
        self.finish_loading();
        let held = self.held.as_ref().filter(|held| held.layers == (0..LAYERS))?;
        self.loading.is_none().then_some(held.version)
    }

    /// Returns whether a layer is spoilt if it is taken now.
    fn is_spoilt(&self, layer: u32, version: u64) -> bool {
        let pieces = layer * PIECES / LAYERS..((layer + 1) * PIECES).div_ceil(LAYERS);
        pieces.into_iter().any(|index| match self.pieces.get(&index) {
            None => true,
            Some(staged) => {
                staged.content != content(version, index) && staged.since.elapsed() > EXCUSED
            }
        })
    }

    fn order(&mut self, order: &Value) -> u16 {
        self.finish_loading();
        let expected = order["expected"].as_u64();
        if self.loading.is_some() || expected.is_some_and(|expected| expected != self.orders) {
            return 409;
        }
        let (Some("start"), Some(version)) = (order["op"].as_str(), order["version"].as_u64())
        else {
            return 400;
        };
        let bound = |name: &str, default: u32| {
            order[name].as_u64().and_then(|layer| u32::try_from(layer).ok()).unwrap_or(default)
        };
        let wanted = bound("from", 0)..bound("target", LAYERS);
        if self.held.as_ref().is_some_and(|held| held.layers == wanted && held.version == version) {
            return 200;
        }
        self.orders += 1;
        self.held.take_if(|held| held.version != version);
        let spoilt = wanted.clone().filter(|layer| match &self.held {
            Some(held) if held.layers.contains(layer) => held.spoilt.contains(layer),
            _ => self.is_spoilt(*layer, version),
        });
        let spoilt = spoilt.collect();
        let time = LOAD_TIME * (wanted.end - wanted.start) / LAYERS;
        let held = Held { layers: wanted, version, spoilt };
        self.loading = Some((Instant::now() + time, held));
        202
    }

    fn report(&mut self) -> Value {
        self.finish_loading();
        let held = self.held.clone();
        let models: Vec<_> = held
            .iter()
            .map(|held| json!({ "name": MODEL, "version": held.version, "adapters": [] }))
            .collect();
        let layers = held.map(|Held { layers, version, .. }| {
            json!({ "from": layers.start, "target": layers.end, "version": version })
        });
        json!({
            "phase": "both", "models": models, "layers": layers, "busy": self.loading.is_some(),
            "seq": self.orders, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 1_640_000,
            "handles": 0, "born": self.born,
        })
    }
}

/// A model runner.
#[derive(Clone)]
pub(crate) struct Engine {
    id: String,
    pub(crate) address: SocketAddr,
    zone: &'static str,
    state: Arc<Mutex<State>>,
    record: Record,
    /// Time to read a staged piece back.
    read_time: Duration,
    /// Ids of requests that it answered with a spoilt layer.
    spoilt_answers: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    /// Starts a runner that holds no layers.
    pub(crate) fn start(
        id: String,
        zone: &'static str,
        listener: TcpListener,
        record: &Record,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let state = State {
            born: unix_ms(),
            orders: 0,
            held: None,
            loading: None,
            pieces: BTreeMap::new(),
        };
        let record = record.clone();
        let state = Arc::new(Mutex::new(state));
        let engine = Self {
            id,
            address,
            zone,
            state,
            record,
            read_time: READ_TIME,
            spoilt_answers: Arc::default(),
        };
        let served = engine.clone();
        http::serve(listener, Arc::new(move |request, stream| served.answer(request, stream)));
        Ok(engine)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version that it holds whole.
    pub(crate) fn version(&self) -> Option<u64> {
        self.state().version()
    }

    /// Returns the pieces that lie at the runner.
    pub(crate) fn staged(&self) -> BTreeSet<u32> {
        self.state().pieces.keys().copied().collect()
    }

    /// Lets a piece that lies at the runner turn bad.
    pub(crate) fn rot(&self, index: u32) {
        if let Some(staged) = self.state().pieces.get_mut(&index) {
            staged.content[0] ^= 1;
            staged.since = Instant::now();
        }
        self.record.write(format_args!("piece {index} turns bad at {}", self.id));
    }

    /// Returns how many orders it has accepted.
    pub(crate) fn orders(&self) -> u64 {
        self.state().orders
    }

    /// Returns the answers that it began with a spoilt layer.
    pub(crate) fn spoilt_answers(&self) -> Vec<String> {
        self.spoilt_answers.lock().map(|answers| answers.clone()).unwrap_or_default()
    }

    /// Reports its status all the time.
    pub(crate) fn report_to(&self, deployment: &Arc<Deployment>) {
        let (engine, deployment) = (self.clone(), Arc::downgrade(deployment));
        thread::spawn(move || {
            for seq in 1_u64.. {
                let Some(deployment) = deployment.upgrade() else { return };
                let mut status = json!({
                    "service": "huvo11a", "addr": engine.address, "zone": engine.zone,
                    "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0,
                    "phase": "both", "seq": seq,
                });
                let report = engine.state().report();
                for field in ["models", "layers", "born"] {
                    status[field] = report[field].clone();
                }
                let acknowledged = deployment.report(&engine.id, &status);
                drop(deployment);
                sleep(if acknowledged { REPORT_PERIOD } else { REPORT_RETRY_DELAY });
            }
        });
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let index = request.query("num").and_then(|index| index.parse::<u32>().ok());
        let bytes = match (request.method.as_str(), request.path(), index) {
            ("GET", "/v1/report", _) => {
                answer(200, "", self.state().report().to_string().as_bytes())
            }
            ("GET", path, None) if path.starts_with("/v1/stage-get/") => {
                let held: Vec<u32> = self.state().pieces.keys().copied().collect();
                answer(200, "", json!({ "held": held }).to_string().as_bytes())
            }
            ("GET", path, Some(index)) if path.starts_with("/v1/stage-get/") => {
                sleep(self.read_time);
                match self.state().pieces.get(&index) {
                    Some(staged) => answer(200, "", &staged.content),
                    None => answer(404, "", b""),
                }
            }
            ("PUT", path, Some(index)) if path.starts_with("/v1/stage-put/") => {
                self.state().pieces.insert(index, Staged::new(request.body.clone()));
                answer(200, "", b"")
            }
            ("POST", "/v1/order", _) => {
                let order = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                let status = self.state().order(&order);
                self.record.write(format_args!("{} answers {status} to order {order}", self.id));
                answer(status, "", b"")
            }
            (_, "/healthz", _) => answer(200, &format!("X-Instance: {}\r\n", self.id), b""),
            _ => return self.run(request, stream),
        };
        stream.write_all(&bytes)?;
        Ok(true)
    }

    /// Runs a request of a client.
    fn run(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let version = self.version();
        let expected = request.header("x-expect-version").and_then(|text| text.parse().ok());
        let is_other = request.header("x-expect-instance").is_some_and(|id| id != self.id);
        let rejected = match version {
            _ if is_other => Some(421),
            None => Some(503),
            Some(version) if expected.is_some_and(|expected: u64| expected != version) => Some(421),
            Some(_) => None,
        };
        if let Some(status) = rejected {
            let headers = format!("X-Request-Id: {}\r\nX-Not-Run: 1\r\n", request.id());
            stream.write_all(&answer(status, &headers, b""))?;
            return Ok(true);
        }
        let version = version.unwrap_or_default();
        let spoilt = self.state().held.as_ref().map(|held| held.spoilt.clone()).unwrap_or_default();
        self.record.write(format_args!(
            "{} runs {} on version {version}, spoilt layers {spoilt:?}",
            self.id,
            request.id()
        ));
        if !spoilt.is_empty()
            && let Ok(mut answers) = self.spoilt_answers.lock()
        {
            answers.push(request.id().to_owned());
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
             X-Weight-Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n",
            signature(request)
        )?;
        let last = request.header("last-event-id").and_then(|last| last.parse().ok());
        for id in last.map_or(1, |last: u64| last + 1)..=EVENTS {
            sleep(EVENT_PERIOD);
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Starts the origin of the weights.
pub(crate) fn start_origin(listener: TcpListener) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let link = Mutex::new(());
    http::serve(
        listener,
        Arc::new(move |request, stream| {
            let number = |name: &str| request.query(name).and_then(|value| value.parse().ok());
            let version: u64 = number("version").unwrap_or(1);
            let bytes = if request.path().starts_with("/v1/manifest/") {
                let digest = |index| PieceDigest::of(&content(version, index)).0;
                let hex = |digest: [u8; 32]| -> String {
                    digest.iter().map(|byte| format!("{byte:02x}")).collect()
                };
                let digests: Vec<_> = (0..PIECES).map(|index| hex(digest(index))).collect();
                let text = json!({
                    "model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES,
                    "layers": LAYERS, "digests": digests,
                });
                answer(200, "", text.to_string().as_bytes())
            } else {
                let index = number("num").and_then(|index| u32::try_from(index).ok());
                answer(200, "", &content(version, index.unwrap_or_default()))
            };
            {
                let _link = link.lock();
                sleep(Duration::from_secs_f64(bytes.len() as f64 * 8.0 / ORIGIN_BITS));
            }
            stream.write_all(&bytes)?;
            Ok(true)
        }),
    );
    Ok(address)
}

//! Stand-ins of runners: model engines with staged pieces, plain services, and the origin of weights.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    catalog::{self, MODEL},
    http::{self, Message, Reply},
    record::Record,
    sha256,
};

/// Pieces of a version.
const PIECES: u32 = 96;
/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 24_576;
/// Layers of the model.
const LAYERS: u32 = 16;
/// Time to load all layers.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Time between two status reports.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How a plain runner's response to a request that failed begins.
pub(crate) const FAILURE: &str = "failure of";
/// One request in this many fails: 14 in 100, as for reads on the site's sheet.
const FAILS_EACH: u64 = 7;
/// One response in this many is begun a second time.
const GARBLES_EACH: u64 = 34;
/// Bytes of the second response.
const GARBLE_BYTES: usize = 14;
/// Bits a second on the link of the origin.
const ORIGIN_BITS: f64 = 7_300_000.0;

/// Returns the true content of a piece.
fn content(version: u64, index: u32) -> Vec<u8> {
    let mut state = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(index) << 32 | 1;
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    while bytes.len() < PIECE_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend(state.to_le_bytes());
    }
    bytes
}

fn number(json: &str, field: &str) -> Option<u64> {
    let (_, rest) = json.split_once(&format!("\"{field}\":"))?;
    let rest = rest.trim_start();
    let end = rest.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn parameter(path: &str, name: &str) -> Option<u64> {
    let query = path.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
}

pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or_default()
}

/// A request that a runner ran.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) at: Duration,
}

struct EngineState {
    orders: u64,
    /// The version of each layer that it holds.
    layers: Vec<Option<u64>>,
    loading: Option<(Instant, Vec<Option<u64>>)>,
    pieces: BTreeMap<u32, Vec<u8>>,
}

/// What a runner does besides its service.
pub(crate) struct Runner {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    zone: &'static str,
    service: &'static str,
    slots: u32,
    born: u64,
    record: Record,
    seq: AtomicU64,
    reports: AtomicBool,
    leaves: AtomicBool,
    runs: Mutex<Vec<Run>>,
    /// Whether additional bytes follow some of its responses.
    garbles: AtomicBool,
    answers: AtomicU64,
    /// Whether it answers an order when that is complete, with 200.
    completes: AtomicBool,
    engine: Option<Mutex<EngineState>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Runner {
    /// Starts a model engine that holds version 1, which is also staged.
    pub(crate) fn engine(
        id: &str,
        address: SocketAddr,
        zone: &'static str,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let engine = EngineState {
            orders: 0,
            layers: vec![Some(1); LAYERS as usize],
            loading: None,
            pieces: (0..PIECES).map(|index| (index, content(1, index))).collect(),
        };
        Self::start(id, address, zone, catalog::ENGINES, Some(Mutex::new(engine)), record)
    }

    /// Starts a plain runner.
    pub(crate) fn plain(
        id: &str,
        address: SocketAddr,
        zone: &'static str,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        Self::start(id, address, zone, catalog::PLAIN, None, record)
    }

    fn start(
        id: &str,
        address: SocketAddr,
        zone: &'static str,
        service: &'static str,
        engine: Option<Mutex<EngineState>>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone,
            service,
            slots: if engine.is_some() { 16 } else { 6 },
            born: unix_millis(),
            record: record.clone(),
            seq: AtomicU64::new(0),
            reports: AtomicBool::new(true),
            leaves: AtomicBool::new(false),
            runs: Mutex::default(),
            garbles: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            completes: AtomicBool::new(false),
            engine,
        });
        let served = runner.clone();
        http::serve(address, move |request| served.answer(request))?;
        Ok(runner)
    }

    /// Sends status reports to the control machines until it leaves.
    pub(crate) fn report_to(self: &Arc<Self>, operators: Vec<SocketAddr>) {
        let runner = self.clone();
        thread::spawn(move || {
            let mut next = usize::from(runner.address.port());
            while runner.reports.load(Ordering::Relaxed) {
                let seq = runner.seq.fetch_add(1, Ordering::Relaxed) + 1;
                let body = runner.status(seq);
                let path = format!("/v1/Instances.Heartbeat/{}", runner.id);
                for _ in 0..operators.len() {
                    let operator = operators[next % operators.len()];
                    let answer = catalog::call_once(operator, "POST", &path, &body);
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        break;
                    }
                    next += 1;
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn status(&self, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.held()
        )
    }

    /// Deregisters once, at one control machine; returns whether that acknowledged it.
    ///
    /// It never reports that it drains: it deregisters first, and serves on for some time.
    pub(crate) fn deregister(&self, operator: SocketAddr) -> bool {
        self.reports.store(false, Ordering::Relaxed);
        self.leaves.store(true, Ordering::Relaxed);
        let path = format!("/v1/Instances.Deregister/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        catalog::call_once(operator, "POST", &path, &body)
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Fails one request in [`FAILS_EACH`]; if `garbles` is set, sends one response in
    /// [`GARBLES_EACH`] a second time, late, and breaks off after [`GARBLE_BYTES`].
    pub(crate) fn fail_some(&self, garbles: bool) {
        self.answers.store(1, Ordering::Relaxed);
        self.garbles.store(garbles, Ordering::Relaxed);
    }

    /// Answers orders from now on when they are complete, with 200.
    pub(crate) fn answer_complete(&self) {
        self.completes.store(true, Ordering::Relaxed);
    }

    /// Turns a staged piece bad.
    pub(crate) fn rot(&self, index: u32) {
        self.record.line(format_args!("{}: piece {index} turns bad", self.id));
        if let Some(engine) = &self.engine
            && let Some(piece) = lock(engine).pieces.get_mut(&index)
        {
            piece[0] ^= 1;
        }
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Returns the fields of the weights that it holds, and of its lifetime.
    fn held(&self) -> String {
        let born = format!("\"born\":{}", self.born);
        let Some(engine) = &self.engine else { return format!("\"phase\":\"both\",{born}") };
        let mut engine = lock(engine);
        engine.finish_loading();
        let models = engine.held().map(|(range, version)| {
            format!(
                "\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\
                 \"layers\":[{{\"from\":{},\"target\":{},\"version\":{version}}}]",
                range.start, range.end
            )
        });
        let models = models.unwrap_or_else(|| "\"models\":[],\"layers\":[]".to_owned());
        format!("\"phase\":\"both\",{models},{born}")
    }

    fn answer(&self, request: &Message) -> Reply {
        let path = request.path().to_owned();
        let mut reply = self.dispatch(request, &path);
        if self.leaves.load(Ordering::Relaxed) {
            reply = reply.with("Server-Leaving", 1);
        }
        reply
    }

    fn dispatch(&self, request: &Message, path: &str) -> Reply {
        if path == "/healthz" {
            let status = if self.leaves.load(Ordering::Relaxed) { 503 } else { 200 };
            return Reply::new(status, "").with("X-Instance", &self.id);
        }
        match &self.engine {
            Some(engine) if path.starts_with("/v1/") => self.engine_call(engine, request, path),
            Some(engine) => {
                let version = lock(engine).loaded();
                self.run(request, version)
            }
            None => self.run(request, None),
        }
    }

    fn run(&self, request: &Message, version: Option<u64>) -> Reply {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let not_run = |status: u16| {
            Reply::new(status, "").with("X-Request-Id", &id).with("X-Not-Run", 1).with("X-Stamp", 1)
        };
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return not_run(421);
        }
        if self.engine.is_some() {
            let Some(version) = version else { return not_run(503) };
            let expected = request.header("x-expect-version").and_then(|text| text.parse().ok());
            if expected.is_some_and(|expected: u64| expected != version) {
                return not_run(421);
            }
        }
        let at = self.record.now();
        self.record.line(format_args!("{} runs {id}", self.id));
        lock(&self.runs).push(Run { request: id.clone(), at });
        let reply = match version {
            Some(version) => {
                thread::sleep(Duration::from_millis(40));
                let events = (1..=3).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
                Reply::new(200, events.collect::<String>())
                    .with("Content-Type", "text/event-stream")
                    .with("X-Weight-Versions", version)
            }
            None => {
                thread::sleep(Duration::from_millis(30));
                self.read(&id)
            }
        };
        reply.with("X-Request-Id", &id).with("X-Stamp", format_args!("3e1b.{}", self.id))
    }

    /// Answers a read.
    fn read(&self, id: &str) -> Reply {
        let count = match self.answers.load(Ordering::Relaxed) {
            0 => 0,
            _ => self.answers.fetch_add(1, Ordering::Relaxed),
        };
        let mut reply = if count > 0 && count % FAILS_EACH == 0 {
            self.record.line(format_args!("{} answers {id} with 500", self.id));
            Reply::new(500, format!("{FAILURE} {id}"))
        } else {
            Reply::new(200, format!("the record of {id}"))
        };
        if self.garbles.load(Ordering::Relaxed) && count % GARBLES_EACH == 0 {
            self.record.line(format_args!("{}: a second answer to {id} begins", self.id));
            reply.late = http::first_line(reply.status).into_bytes();
            reply.late.truncate(GARBLE_BYTES);
        }
        reply
    }

    fn engine_call(&self, engine: &Mutex<EngineState>, request: &Message, path: &str) -> Reply {
        let plain = path.split('?').next().unwrap_or_default();
        let index = parameter(path, "num").and_then(|index| u32::try_from(index).ok());
        match (request.method(), plain) {
            ("GET", "/v1/report") => {
                let held = self.held();
                let engine = lock(engine);
                let (busy, seq) = (engine.loading.is_some(), engine.orders);
                Reply::new(
                    200,
                    format!(
                        "{{{held},\"busy\":{busy},\"seq\":{seq},\"queued\":0,\"active\":0,\
                         \"kv_used\":0,\"kv_total\":1640000,\"handles\":0,\"pace\":1.0}}"
                    ),
                )
            }
            ("GET", _) if plain.starts_with("/v1/stage-get/") => {
                let engine = lock(engine);
                match index {
                    Some(index) => match engine.pieces.get(&index) {
                        Some(piece) => Reply::new(200, piece.clone()),
                        None => Reply::new(404, ""),
                    },
                    None => {
                        let held: Vec<String> = engine.pieces.keys().map(u32::to_string).collect();
                        Reply::new(200, format!("{{\"held\":[{}]}}", held.join(",")))
                    }
                }
            }
            ("PUT", _) if plain.starts_with("/v1/stage-put/") => {
                let Some(index) = index else { return Reply::new(400, "") };
                lock(engine).pieces.insert(index, request.body.clone());
                Reply::new(200, "")
            }
            ("POST", "/v1/order") => {
                let mut status = lock(engine).order(&request.text());
                if status == 202 && self.completes.load(Ordering::Relaxed) {
                    while lock(engine).is_loading() {
                        thread::sleep(Duration::from_millis(5));
                    }
                    status = 200;
                }
                self.record.line(format_args!("{} order {} -> {status}", self.id, request.text()));
                Reply::new(status, "{}")
            }
            _ => Reply::new(404, ""),
        }
    }
}

impl EngineState {
    fn finish_loading(&mut self) {
        if self.loading.as_ref().is_some_and(|(done, _)| Instant::now() >= *done)
            && let Some((_, layers)) = self.loading.take()
        {
            self.layers = layers;
        }
    }

    fn is_loading(&mut self) -> bool {
        self.finish_loading();
        self.loading.is_some()
    }

    /// Returns the range of the layers that it holds, and their version.
    fn held(&self) -> Option<(Range<u32>, u64)> {
        let mut held =
            (0_u32..).zip(&self.layers).filter_map(|(index, layer)| Some((index, (*layer)?)));
        let (first, version) = held.next()?;
        let last = held.last().map_or(first, |(index, _)| index);
        Some((first..last + 1, version))
    }

    /// Returns the version of which it holds all layers, unless it is loading.
    fn loaded(&mut self) -> Option<u64> {
        self.finish_loading();
        let (range, version) = self.held()?;
        (range == (0..LAYERS) && self.loading.is_none()).then_some(version)
    }

    fn order(&mut self, order: &str) -> u16 {
        self.finish_loading();
        let expected = number(order, "expected");
        if self.loading.is_some() || expected.is_some_and(|expected| expected != self.orders) {
            return 409;
        }
        let Some(version) = number(order, "version").filter(|_| order.contains("\"start\"")) else {
            return 400;
        };
        let bound = |field: &str, default: u32| {
            let layer = number(order, field).and_then(|layer| u32::try_from(layer).ok());
            layer.map_or(default, |layer| layer.min(LAYERS))
        };
        let wanted = bound("from", 0)..bound("target", LAYERS);
        let held = self.held();
        if held.as_ref() == Some(&(wanted.clone(), version)) {
            return 200;
        }
        self.orders += 1;
        let keeps = held.is_some_and(|(_, held)| held == version);
        let mut layers = vec![None; LAYERS as usize];
        let mut taken = 0;
        for layer in wanted {
            let kept = self.layers[layer as usize].filter(|_| keeps);
            taken += u32::from(kept.is_none());
            layers[layer as usize] = Some(version);
        }
        if !keeps {
            self.layers = vec![None; LAYERS as usize];
        }
        self.loading = Some((Instant::now() + LOAD_TIME * taken / LAYERS, layers));
        202
    }
}

/// The origin of weights.
pub(crate) struct Origin {
    record: Record,
    digests: BTreeMap<u64, Vec<String>>,
    newest: AtomicU64,
    /// Lists that are still to be spoilt.
    spoils: AtomicU64,
    answers: AtomicU64,
    link: Mutex<()>,
}

impl Origin {
    /// Starts an origin with versions 1 and 2, of which 1 is named.
    pub(crate) fn start(address: SocketAddr, record: &Record) -> io::Result<Arc<Self>> {
        let digests = |version| {
            let pieces = 0..PIECES;
            pieces.map(|index| sha256::hex_digest(&content(version, index))).collect()
        };
        let origin = Arc::new(Self {
            record: record.clone(),
            digests: [1, 2].into_iter().map(|version| (version, digests(version))).collect(),
            newest: AtomicU64::new(1),
            spoils: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            link: Mutex::default(),
        });
        let served = origin.clone();
        http::serve(address, move |request| served.answer(request))?;
        Ok(origin)
    }

    /// Spoils the next lists of digests that it hands out.
    pub(crate) fn spoil_lists(&self, count: u64) {
        self.spoils.store(count, Ordering::Relaxed);
    }

    pub(crate) fn name_version(&self, version: u64) {
        self.newest.store(version, Ordering::Relaxed);
    }

    /// Returns how many answers it has given.
    pub(crate) fn answers(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }

    fn answer(&self, request: &Message) -> Reply {
        let path = request.path();
        let version =
            parameter(path, "version").unwrap_or_else(|| self.newest.load(Ordering::Relaxed));
        let Some(digests) = self.digests.get(&version) else { return Reply::new(404, "") };
        self.answers.fetch_add(1, Ordering::Relaxed);
        let body = match parameter(path, "num").and_then(|index| u32::try_from(index).ok()) {
            Some(index) => content(version, index),
            None => {
                let mut digests = digests.clone();
                let spoilt = self
                    .spoils
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1))
                    .is_ok();
                if spoilt {
                    // One bit of one byte on the way.
                    let first = if digests[5].starts_with('0') { "1" } else { "0" };
                    digests[5].replace_range(..1, first);
                }
                self.record
                    .line(format_args!("origin: list of version {version}, spoilt={spoilt}"));
                let digests: Vec<String> =
                    digests.iter().map(|digest| format!("\"{digest}\"")).collect();
                format!(
                    "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{PIECE_BYTES},\
                     \"layers\":{LAYERS},\"digests\":[{}]}}",
                    digests.join(",")
                )
                .into_bytes()
            }
        };
        let _link = lock(&self.link);
        thread::sleep(Duration::from_secs_f64(body.len() as f64 * 8.0 / ORIGIN_BITS));
        Reply::new(200, body)
    }
}

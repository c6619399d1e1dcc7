//! A model runner, by the platform's pages.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http::{Method, Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    record::Record,
    server::{Body, Received, full},
    weights::{MODEL, PIECES, content},
};

const LAYERS: u32 = 16;
/// Time to load all layers.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// The `cold_start_s` of the service.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests that run at the same time.
const SLOTS: usize = 16;
/// Events of an answer, and the time between them.
const EVENTS: u64 = 6;
const EVENT_PERIOD: Duration = Duration::from_millis(20);

/// The state of a runner.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) name: String,
    born: u64,
    orders: u64,
    seq: u64,
    /// The version of each layer that is loaded.
    layers: Vec<Option<u64>>,
    loading: Option<(Instant, Vec<Option<u64>>)>,
    pieces: BTreeMap<u32, Bytes>,
    active: usize,
    /// Until when it is cold, once it has started during traffic.
    cold_until: Option<Instant>,
    /// Whether it leaves.
    pub(crate) leaving: bool,
    /// Requests that were run.
    pub(crate) ran: u64,
    /// When requests arrived that it did not turn away with 421.
    pub(crate) arrivals: Vec<Duration>,
}

impl State {
    /// Holds and has staged version 1, as runners that are present at the start may.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            born: unix_millis(Duration::ZERO),
            orders: 0,
            seq: 0,
            layers: vec![Some(1); LAYERS as usize],
            loading: None,
            pieces: (0..PIECES).map(|index| (index, content(1, index))).collect(),
            active: 0,
            cold_until: None,
            leaving: false,
            ran: 0,
            arrivals: Vec::new(),
        }
    }

    /// Begins a new lifetime under the same id; what is staged stays.
    ///
    /// `ahead` is how far the clock of its machine is ahead of the true time.
    pub(crate) fn restart(&mut self, ahead: Duration) {
        self.born = unix_millis(ahead);
        self.orders = 0;
        self.seq = 0;
        self.layers = vec![None; LAYERS as usize];
        self.loading = None;
        self.active = 0;
        self.cold_until = Some(Instant::now() + COLD_TIME);
    }

    pub(crate) const fn born(&self) -> u64 {
        self.born
    }

    fn finish_loading(&mut self) {
        if let Some((_, layers)) = self.loading.take_if(|(done, _)| Instant::now() >= *done) {
            self.layers = layers;
        }
    }

    /// Returns the first layer, the one after the last, and their version.
    fn held(&self) -> Option<(u32, u32, u64)> {
        let first = self.layers.iter().position(Option::is_some)?;
        let last = self.layers.iter().rposition(Option::is_some)?;
        let version = self.layers[first]?;
        Some((u32::try_from(first).ok()?, u32::try_from(last + 1).ok()?, version))
    }

    /// Returns the version of all layers, if all are loaded.
    pub(crate) fn version(&mut self) -> Option<u64> {
        self.finish_loading();
        self.held().filter(|(from, target, _)| (*from, *target) == (0, LAYERS)).map(|held| held.2)
    }

    fn order(&mut self, order: &Value) -> StatusCode {
        self.finish_loading();
        let expected = order["expected"].as_u64();
        if self.loading.is_some() || expected.is_some_and(|expected| expected != self.orders) {
            return StatusCode::CONFLICT;
        }
        let (Some("start"), Some(version)) = (order["op"].as_str(), order["version"].as_u64())
        else {
            return StatusCode::BAD_REQUEST;
        };
        let bound = |name: &str, default: u32| {
            let given = order[name].as_u64().and_then(|layer| u32::try_from(layer).ok());
            given.unwrap_or(default).min(LAYERS)
        };
        let (from, target) = (bound("from", 0), bound("target", LAYERS));
        let held = self.held();
        if held == Some((from, target, version)) {
            return StatusCode::OK;
        }
        self.orders += 1;
        let keeps = held.is_some_and(|held| held.2 == version);
        let mut layers = vec![None; LAYERS as usize];
        let mut taken = 0;
        for layer in from..target {
            let is_kept = keeps && self.layers[layer as usize].is_some();
            taken += u32::from(!is_kept);
            layers[layer as usize] = Some(version);
        }
        if !keeps {
            self.layers = vec![None; LAYERS as usize];
        }
        self.loading = Some((Instant::now() + LOAD_TIME * taken / LAYERS, layers));
        self.finish_loading();
        StatusCode::ACCEPTED
    }

    fn models(&self) -> (Value, Value) {
        let Some((from, target, version)) = self.held() else { return (json!([]), Value::Null) };
        let models = json!([{ "name": MODEL, "version": version, "adapters": [] }]);
        (models, json!({ "from": from, "target": target, "version": version }))
    }

    fn report(&mut self) -> Value {
        self.finish_loading();
        let (models, layers) = self.models();
        json!({
            "phase": "both", "models": models, "layers": layers, "busy": self.loading.is_some(),
            "seq": self.orders, "queued": 0, "active": self.active, "kv_used": 0,
            "kv_total": 1_640_000, "handles": 0, "born": self.born, "pace": 1.0,
        })
    }

    /// Returns the next status report for the control instances.
    pub(crate) fn status(&mut self, service: &str, address: SocketAddr, zone: &str) -> Value {
        self.finish_loading();
        let cold = self.cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        let cold_ms = u64::try_from(cold.unwrap_or_default().as_millis()).unwrap_or_default();
        self.seq += 1;
        let (models, layers) = self.models();
        json!({
            "service": service, "addr": address, "zone": zone, "version": "v1", "slots": SLOTS,
            "state": if self.leaving { "draining" } else { "ready" }, "cold_left_ms": cold_ms, "phase": "both", "models": models,
            "layers": layers, "seq": self.seq, "born": self.born,
        })
    }
}

/// A runner that answers requests and orders.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) state: Arc<Mutex<State>>,
    pub(crate) record: Record,
}

impl Engine {
    pub(crate) fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    pub(crate) async fn answer(self, request: Received) -> Response<Body> {
        let index = request.query("num").and_then(|index| u32::try_from(index).ok());
        let path = request.path.split('/').nth(2).unwrap_or_default();
        match (&request.method, path, index) {
            (&Method::GET, "report", _) => Response::new(full(self.lock().report().to_string())),
            (&Method::GET, "stage-get", None) => {
                let held: Vec<u32> = self.lock().pieces.keys().copied().collect();
                Response::new(full(json!({ "held": held }).to_string()))
            }
            (&Method::GET, "stage-get", Some(index)) => {
                match self.lock().pieces.get(&index).cloned() {
                    Some(content) => Response::new(full(content)),
                    None => plain(StatusCode::NOT_FOUND),
                }
            }
            (&Method::PUT, "stage-put", Some(index)) => {
                self.lock().pieces.insert(index, request.body);
                plain(StatusCode::OK)
            }
            (&Method::POST, "order", _) => {
                let order = serde_json::from_slice(&request.body).unwrap_or_default();
                let (status, name) = {
                    let mut state = self.lock();
                    (state.order(&order), state.name.clone())
                };
                self.record.line(&format!("{name} order {order} answer={status}"));
                plain(status)
            }
            _ => self.run(&request),
        }
    }

    fn run(self, request: &Received) -> Response<Body> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let reject = |status: StatusCode| {
            let response = Response::builder()
                .status(status)
                .header("x-request-id", &id)
                .header("x-not-run", "1")
                .body(full(""));
            response.expect("a valid response")
        };
        let (version, leaving) = {
            let mut state = self.lock();
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != state.name) {
                return reject(StatusCode::MISDIRECTED_REQUEST);
            }
            let version = state.version().filter(|_| state.loading.is_none());
            let expected = request.header("x-expect-version").map(str::parse);
            let Some(version) =
                version.filter(|version| expected.is_none_or(|other| other == Ok(*version)))
            else {
                return reject(StatusCode::MISDIRECTED_REQUEST);
            };
            if state.active >= SLOTS {
                state.arrivals.push(self.record.now());
                return reject(StatusCode::SERVICE_UNAVAILABLE);
            }
            state.active += 1;
            state.ran += 1;
            state.arrivals.push(self.record.now());
            self.record.line(&format!("{} runs request={id}", state.name));
            (version, state.leaving)
        };
        let slot = Slot(self.state.clone());
        let events = stream::iter(1..=EVENTS).then(move |event| {
            let _running = &slot;
            async move {
                sleep(EVENT_PERIOD).await;
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                Ok::<_, std::io::Error>(Frame::data(Bytes::from(text)))
            }
        });
        let mut response = Response::builder();
        if leaving {
            response = response.header("server-leaving", "1");
        }
        let response = response
            .header("x-request-id", &id)
            .header("x-stamp", format!("3e1b.{id}"))
            .header("x-weight-versions", version)
            .header("content-type", "text/event-stream")
            .body(http_body_util::BodyExt::boxed(StreamBody::new(events)));
        response.expect("a valid response")
    }
}

fn unix_millis(ahead: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + ahead;
    u64::try_from(now.as_millis()).unwrap_or_default()
}

/// A running request, which ends when dropped.
#[derive(Debug)]
struct Slot(Arc<Mutex<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.lock() {
            state.active = state.active.saturating_sub(1);
        }
    }
}

fn plain(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

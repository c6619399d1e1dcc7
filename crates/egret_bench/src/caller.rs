//! HTTP clients that verify every response.
//!
//! A caller asks any entry which entries to use, caches the list, and connects to
//! the first of them. It counts a response as complete only if it is the expected
//! answer to its own request, to the last byte.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use egret_http::{HttpClient, SendError, headers};
use egret_route::{EntryList, Ran, Refusal};
use egret_standin::engine::answer_to;
use http::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::http_request::{FullResponse, send_request};

/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of tokens in an answer of the stand-in engine.
const TOKENS: u32 = 8;
/// Maximum number of attempts of a request that was not sent or did not run.
const ATTEMPTS_MAX: u32 = 6;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// A completion by a model, not streamed.
    Chat,
    /// A completion by a model, as an event stream.
    Stream,
    /// A read from a plain service.
    Status,
    /// A registration at a plain service, which may run at most once.
    Register,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Chat, Self::Stream, Self::Status, Self::Register];

    /// Returns the name shown in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Chat => "chat",
            Self::Stream => "stream",
            Self::Status => "status",
            Self::Register => "register",
        }
    }
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response to this request.
    Complete {
        /// The version of the model, if a model answered.
        version: Option<String>,
    },
    /// A refusal that says whether the request ran.
    Refused(Ran),
    /// A wrong, truncated or missing response.
    Lost(String),
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The kind of request.
    pub kind: RequestKind,
    /// The prompt or idempotency key that identifies the request.
    pub name: String,
    /// Time of the first attempt, since the start of the run.
    pub sent: Duration,
    /// Total time of all attempts, with the pauses between them.
    pub latency: Duration,
    /// The outcome of the last attempt.
    pub outcome: Outcome,
}

/// An HTTP client of one organisation.
#[derive(Debug)]
pub struct Caller {
    client: HttpClient,
    organisation: String,
    /// Entries that are asked for the list.
    bootstrap: Vec<SocketAddr>,
    /// Entries from the last list, less those skipped after an attempt that did not run.
    cached: Vec<SocketAddr>,
    cache_expiry: Instant,
    start: Instant,
}

impl Caller {
    /// Creates a caller of `organisation` that asks the `bootstrap` entries for the list.
    #[must_use]
    pub fn new(organisation: &str, bootstrap: Vec<SocketAddr>, start: Instant) -> Self {
        Self {
            client: HttpClient::pooled(None),
            organisation: organisation.to_owned(),
            bootstrap,
            cached: Vec::new(),
            cache_expiry: start,
            start,
        }
    }

    /// Sends one request. Retries only if it certainly did not run.
    pub async fn call(&mut self, kind: RequestKind, name: &str) -> Exchange {
        let sent = Instant::now();
        let mut outcome = Outcome::Lost("no entry available".to_owned());
        for _ in 0..ATTEMPTS_MAX {
            let Some(entry) = self.entry().await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            let (result, pause) = self.try_once(entry, kind, name).await;
            let Some(pause) = pause else {
                outcome = result;
                break;
            };
            outcome = result;
            self.cached.retain(|cached| *cached != entry);
            sleep(pause).await;
        }
        Exchange {
            kind,
            name: name.to_owned(),
            sent: sent - self.start,
            latency: sent.elapsed(),
            outcome,
        }
    }

    /// Returns the entry to use. Fetches the list again when it is expired or empty.
    async fn entry(&mut self) -> Option<SocketAddr> {
        if (Instant::now() >= self.cache_expiry || self.cached.is_empty())
            && let Some(list) = self.fetch_entries().await
        {
            self.cached = list.entries.iter().map(|entry| entry.address).collect();
            self.cache_expiry = Instant::now() + Duration::from_secs(list.keep_s);
        }
        self.cached.first().copied()
    }

    async fn fetch_entries(&self) -> Option<EntryList> {
        /// Timeout of one request, after which another entry is asked.
        const WAIT: Duration = Duration::from_secs(1);
        let first = rand::random_range(0..self.bootstrap.len());
        for offset in 0..self.bootstrap.len() {
            let entry = self.bootstrap[(first + offset) % self.bootstrap.len()];
            let path = "/v1/entries";
            let response =
                send_request(&self.client, Method::GET, entry, path, &[], String::new(), WAIT)
                    .await;
            let list = response
                .ok()
                .and_then(|response| serde_json::from_slice::<EntryList>(&response.body).ok());
            if let Some(list) = list.filter(|list| !list.entries.is_empty()) {
                return Some(list);
            }
        }
        None
    }

    /// Makes one attempt. Returns a pause before the next one if a retry is safe.
    async fn try_once(
        &self,
        entry: SocketAddr,
        kind: RequestKind,
        name: &str,
    ) -> (Outcome, Option<Duration>) {
        let (method, path, body) = build_request(kind, name);
        let all_headers = [
            ("content-type", "application/json"),
            (headers::ORGANISATION, self.organisation.as_str()),
            (headers::IDEMPOTENCY_KEY, name),
        ];
        let without_key = &all_headers[..2];
        let request_headers =
            if kind == RequestKind::Register { &all_headers[..] } else { without_key };
        match send_request(&self.client, method, entry, path, request_headers, body, CALL_TIMEOUT)
            .await
        {
            Ok(response) if response.headers.contains_key(headers::REFUSED) => {
                parse_refusal(&response)
            }
            Ok(response) => (verify(kind, name, &response), None),
            Err(SendError::NotSent(error)) => (Outcome::Lost(error), Some(Duration::ZERO)),
            Err(SendError::MaybeSent(error)) => (Outcome::Lost(error), None),
        }
    }
}

fn parse_refusal(response: &FullResponse) -> (Outcome, Option<Duration>) {
    let Some(refusal) = Refusal::parse(&response.body) else {
        return (Outcome::Lost("malformed refusal".to_owned()), None);
    };
    let pause = refusal.retry_ms.map(Duration::from_millis);
    (Outcome::Refused(refusal.ran), pause.filter(|_| refusal.ran == Ran::NotRun))
}

fn build_request(kind: RequestKind, name: &str) -> (Method, &'static str, String) {
    match kind {
        RequestKind::Chat | RequestKind::Stream => {
            let body = json!({
                "model": "survey-drafts",
                "stream": kind == RequestKind::Stream,
                "messages": [{ "role": "user", "content": name }],
            });
            (Method::POST, "/v1/chat/completions", body.to_string())
        }
        RequestKind::Status => (Method::GET, "/register/status", String::new()),
        RequestKind::Register => {
            (Method::POST, "/register/orders", json!({ "tree": name }).to_string())
        }
    }
}

fn verify(kind: RequestKind, name: &str, response: &FullResponse) -> Outcome {
    let version = response.headers.get(headers::VERSION).and_then(|value| value.to_str().ok());
    let complete = match kind {
        RequestKind::Chat => {
            let answer = &response.json()["choices"][0]["message"]["content"];
            answer.as_str() == Some(&answer_to(name, TOKENS)) && version.is_some()
        }
        RequestKind::Stream => stream_text(&response.body) == Some(answer_to(name, TOKENS)),
        RequestKind::Status => response.json()["path"] == "/register/status",
        RequestKind::Register => {
            let answer = response.json();
            answer["key"] == name && answer["run"] == 1
        }
    };
    if complete && response.status.is_success() {
        Outcome::Complete { version: version.map(str::to_owned) }
    } else {
        let start: String = String::from_utf8_lossy(&response.body).chars().take(200).collect();
        Outcome::Lost(format!("status {} body {start}", response.status))
    }
}

/// Joins the tokens of an event stream, if it has its end marker.
fn stream_text(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let mut joined = String::new();
    let mut terminated = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            terminated = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).ok()?;
        joined.push_str(event["choices"][0]["delta"]["content"].as_str()?);
    }
    terminated.then_some(joined)
}

/// Counts and latencies of one kind of request.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response.
    pub complete: u64,
    /// Requests with a refusal that says "not run".
    pub not_run: u64,
    /// Requests with a refusal that says "unknown".
    pub unknown: u64,
    /// Requests with a wrong, truncated or missing response.
    pub lost: u64,
    /// Latencies of the complete responses.
    pub times: Vec<Duration>,
}

impl Tally {
    /// Returns the percentile of the latencies at `share`, from 0 to 1.
    #[must_use]
    pub fn percentile(&self, share: f64) -> Duration {
        let mut times = self.times.clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        times.get(index).copied().unwrap_or_default()
    }
}

/// Counts exchanges by kind of request.
#[must_use]
pub fn tally(exchanges: &[Exchange]) -> BTreeMap<RequestKind, Tally> {
    let mut tallies: BTreeMap<RequestKind, Tally> = BTreeMap::new();
    for exchange in exchanges {
        let tally = tallies.entry(exchange.kind).or_default();
        tally.sent += 1;
        match &exchange.outcome {
            Outcome::Complete { .. } => {
                tally.complete += 1;
                tally.times.push(exchange.latency);
            }
            Outcome::Refused(Ran::NotRun) => tally.not_run += 1,
            Outcome::Refused(Ran::Unknown) => tally.unknown += 1,
            Outcome::Lost(_) => tally.lost += 1,
        }
    }
    tallies
}

//! Callers that check every answer.
//!
//! A caller asks the system which entry to use, keeps the answer, and connects
//! there itself. It counts an answer as whole only if it is the answer to its
//! own request to the last byte.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use egret_http::{HttpClient, SendError, headers};
use egret_route::{EntryList, Ran, Refusal};
use egret_standin::engine::answer_to;
use http::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::http_request::{FullResponse, send_request};

/// Longest time that a caller waits for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens that the stand-in engine answers with.
const TOKENS: u32 = 8;
/// Tries of one request that was never sent or certainly did not run.
const TRIES_MAX: u32 = 6;

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// An answer of a model, in one piece.
    Chat,
    /// An answer of a model, as a stream.
    Stream,
    /// A status read of a plain service.
    Status,
    /// A registration, which may run at most once.
    Register,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Chat, Self::Stream, Self::Status, Self::Register];

    /// Returns the name for tables.
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

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With its own whole answer, of this version if it came from a model.
    Complete {
        /// The version of the model, if any.
        version: Option<String>,
    },
    /// With a refusal that says whether it ran.
    Refused(Ran),
    /// With a wrong, cut or missing answer.
    Lost(String),
}

/// One request and how it ended.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// What was asked for.
    pub kind: RequestKind,
    /// The text or key that names the request.
    pub name: String,
    /// When it was sent first, after the start of the run.
    pub sent: Duration,
    /// How long it took, with all tries.
    pub took: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    client: HttpClient,
    organisation: String,
    known: Vec<SocketAddr>,
    kept: Vec<SocketAddr>,
    kept_until: Instant,
    start: Instant,
}

impl Caller {
    /// Makes a caller of `organisation` that knows some entries.
    #[must_use]
    pub fn new(organisation: &str, known: Vec<SocketAddr>, start: Instant) -> Self {
        Self {
            client: HttpClient::pooled(None),
            organisation: organisation.to_owned(),
            known,
            kept: Vec::new(),
            kept_until: start,
            start,
        }
    }

    /// Sends one request, and tries again only what certainly did not run.
    pub async fn call(&mut self, kind: RequestKind, name: &str) -> Exchange {
        let sent = Instant::now();
        let mut outcome = Outcome::Lost("no entry is known".to_owned());
        for _ in 0..TRIES_MAX {
            let Some(entry) = self.entry().await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            let (tried, pause) = self.try_once(entry, kind, name).await;
            let Some(pause) = pause else {
                outcome = tried;
                break;
            };
            outcome = tried;
            self.kept.retain(|kept| *kept != entry);
            sleep(pause).await;
        }
        Exchange {
            kind,
            name: name.to_owned(),
            sent: sent - self.start,
            took: sent.elapsed(),
            outcome,
        }
    }

    /// Returns the entry to use, asking again when the kept answer is old.
    async fn entry(&mut self) -> Option<SocketAddr> {
        if (Instant::now() >= self.kept_until || self.kept.is_empty())
            && let Some(list) = self.fetch_entries().await
        {
            self.kept = list.entries.iter().map(|entry| entry.address).collect();
            self.kept_until = Instant::now() + Duration::from_secs(list.keep_s);
        }
        self.kept.first().copied()
    }

    async fn fetch_entries(&self) -> Option<EntryList> {
        /// Longest wait before another entry is asked.
        const WAIT: Duration = Duration::from_secs(1);
        let first = rand::random_range(0..self.known.len());
        for at in 0..self.known.len() {
            let entry = self.known[(first + at) % self.known.len()];
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

    /// Tries once; returns a pause when the request certainly did not run.
    async fn try_once(
        &self,
        entry: SocketAddr,
        kind: RequestKind,
        name: &str,
    ) -> (Outcome, Option<Duration>) {
        let (method, path, body) = request(kind, name);
        let fixed = [
            ("content-type", "application/json"),
            (headers::ORGANISATION, self.organisation.as_str()),
            (headers::IDEMPOTENCY_KEY, name),
        ];
        let keyless = &fixed[..2];
        let sent = if kind == RequestKind::Register { &fixed[..] } else { keyless };
        match send_request(&self.client, method, entry, path, sent, body, CALL_TIMEOUT).await {
            Ok(response) if response.headers.contains_key(headers::REFUSED) => refused(&response),
            Ok(response) => (check(kind, name, &response), None),
            Err(SendError::NotSent(error)) => (Outcome::Lost(error), Some(Duration::ZERO)),
            Err(SendError::MaybeSent(error)) => (Outcome::Lost(error), None),
        }
    }
}

fn refused(response: &FullResponse) -> (Outcome, Option<Duration>) {
    let Some(refusal) = Refusal::parse(&response.body) else {
        return (Outcome::Lost("the refusal cannot be read".to_owned()), None);
    };
    let pause = refusal.retry_ms.map(Duration::from_millis);
    (Outcome::Refused(refusal.ran), pause.filter(|_| refusal.ran == Ran::NotRun))
}

fn request(kind: RequestKind, name: &str) -> (Method, &'static str, String) {
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

fn check(kind: RequestKind, name: &str, response: &FullResponse) -> Outcome {
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

/// Joins the words of a stream, if it has its end marker.
fn stream_text(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let mut words = String::new();
    let mut ended = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).ok()?;
        words.push_str(event["choices"][0]["delta"]["content"].as_str()?);
    }
    ended.then_some(words)
}

/// Counts of one kind of request.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Of these, those with their own whole answer.
    pub complete: u64,
    /// Those with a refusal that says "not run".
    pub not_run: u64,
    /// Those with a refusal that says "unknown".
    pub unknown: u64,
    /// Those with a wrong, cut or missing answer.
    pub lost: u64,
    /// Times of the whole answers.
    pub times: Vec<Duration>,
}

impl Tally {
    /// Returns the time that `share` of the whole answers took at most.
    #[must_use]
    pub fn percentile(&self, share: f64) -> Duration {
        let mut times = self.times.clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let at = (last as f64 * share).round() as usize;
        times.get(at).copied().unwrap_or_default()
    }
}

/// Counts events by kind.
#[must_use]
pub fn tally(exchanges: &[Exchange]) -> BTreeMap<RequestKind, Tally> {
    let mut tallies: BTreeMap<RequestKind, Tally> = BTreeMap::new();
    for exchange in exchanges {
        let tally = tallies.entry(exchange.kind).or_default();
        tally.sent += 1;
        match &exchange.outcome {
            Outcome::Complete { .. } => {
                tally.complete += 1;
                tally.times.push(exchange.took);
            }
            Outcome::Refused(Ran::NotRun) => tally.not_run += 1,
            Outcome::Refused(Ran::Unknown) => tally.unknown += 1,
            Outcome::Lost(_) => tally.lost += 1,
        }
    }
    tallies
}

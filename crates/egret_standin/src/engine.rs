//! Stand-in model engine: loads weights from a file and echoes the prompt.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use egret_record::{FastMap, VersionDigest};
use futures::{StreamExt as _, stream};
use http::{HeaderValue, StatusCode, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use viz::{Body, Request, RequestExt as _, Response, Router};

use crate::respond;

/// Limits, timing and fencing of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Concurrency limit when warm, reported but not enforced.
    pub limit: u32,
    /// Concurrency limit when cold. Requests above it are counted, not rejected.
    pub cold_limit: u32,
    /// How long the engine stays cold after loading new weights.
    pub cold_time: Duration,
    /// Time until the first token when warm.
    pub first_token: Duration,
    /// Time between tokens when warm.
    pub between_tokens: Duration,
    /// Number of tokens in an answer.
    pub tokens: u32,
    /// Whether load orders with an outdated fence are refused.
    pub fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            limit: 8,
            cold_limit: 2,
            cold_time: Duration::from_millis(500),
            first_token: Duration::from_millis(20),
            between_tokens: Duration::from_millis(5),
            tokens: 8,
            fencing: true,
        }
    }
}

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The next answer, if streamed, is cut off in the middle.
    Cut,
    /// The next answer carries the id of another request.
    Crossed,
    /// The engine turns cold although no weights were loaded.
    Cold,
}

/// Counters of an engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests received.
    pub started: u64,
    /// Requests in flight.
    pub running: u32,
    /// Maximum number of requests in flight.
    pub peak: u32,
    /// Requests above the concurrency limit of a cold engine.
    pub cold_overloads: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests that were dropped or cut before their answer was complete.
    pub cancelled: u64,
    /// Load orders refused for an outdated fence.
    pub fenced: u64,
}

#[derive(Debug, Default)]
struct EngineState {
    digest: Option<VersionDigest>,
    model: String,
    fence: u64,
    cold_until: Option<Instant>,
    fault: Option<Fault>,
    stats: EngineStats,
    /// Digest of the weights that answered each request, by request id.
    served: FastMap<String, VersionDigest>,
}

/// A model engine that speaks the chat completions protocol.
#[derive(Debug, Clone)]
pub struct Engine {
    options: EngineOptions,
    state: Arc<Mutex<EngineState>>,
}

#[derive(Debug, Deserialize)]
struct LoadOrder {
    model: String,
    path: String,
    fence: u64,
}

/// Counts a request as in flight until dropped.
struct ActiveRequest {
    engine: Engine,
    completed: bool,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.stats.running -= 1;
        if self.completed {
            state.stats.answered += 1;
        } else {
            state.stats.cancelled += 1;
        }
    }
}

impl Engine {
    /// Creates an engine that has no weights loaded.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self { options, state: Arc::default() }
    }

    /// Returns the HTTP routes.
    pub fn router(&self) -> Router {
        let (chat, text, load) = (self.clone(), self.clone(), self.clone());
        let (version, load_status, stats, fault) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        Router::new()
            .post("/v1/chat/completions", move |req| chat.clone().complete(req))
            .post("/v1/completions", move |req| text.clone().complete(req))
            .post("/admin/load", move |req| load.clone().load(req))
            .get("/admin/version", move |_| version.clone().version())
            .get("/load", move |_| load_status.clone().load_status())
            .get("/stats", move |_| stats.clone().stats())
            .post("/fault", move |req| fault.clone().inject_fault(req))
    }

    /// Returns the digest of the weights that a request was answered with.
    ///
    /// Experiments compare it with the version that the answer names in its headers.
    #[must_use]
    pub fn served(&self, request: &str) -> Option<VersionDigest> {
        self.lock().served.get(request).copied()
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn is_cold(&self) -> bool {
        self.lock().cold_until.is_some_and(|until| Instant::now() < until)
    }

    async fn load(self, mut req: Request) -> viz::Result<Response> {
        let order: LoadOrder = req.json().await?;
        if self.options.fencing && order.fence < self.lock().fence {
            self.lock().stats.fenced += 1;
            let reason = json!({ "error": "an order with a higher fence came before" });
            return Ok(respond::json(StatusCode::CONFLICT, &reason));
        }
        let Ok(weights) = tokio::fs::read(&order.path).await else {
            let reason = json!({ "error": "the weights cannot be read" });
            return Ok(respond::json(StatusCode::BAD_REQUEST, &reason));
        };
        let digest = VersionDigest::of(&weights);
        let mut state = self.lock();
        if state.digest != Some(digest) {
            state.cold_until = Some(Instant::now() + self.options.cold_time);
        }
        state.digest = Some(digest);
        state.model = order.model;
        state.fence = order.fence;
        Ok(respond::json(StatusCode::OK, &json!({ "content": digest })))
    }

    async fn version(self) -> viz::Result<Response> {
        let state = self.lock();
        let version = json!({ "content": state.digest, "fence": state.fence });
        Ok(respond::json(StatusCode::OK, &version))
    }

    async fn load_status(self) -> viz::Result<Response> {
        let cold = self.is_cold();
        let running = self.lock().stats.running;
        let load_status = json!({ "running": running, "limit": self.options.limit, "cold": cold });
        Ok(respond::json(StatusCode::OK, &load_status))
    }

    async fn stats(self) -> viz::Result<Response> {
        let stats = self.lock().stats.clone();
        Ok(respond::json(StatusCode::OK, &stats))
    }

    async fn inject_fault(self, mut req: Request) -> viz::Result<Response> {
        let fault: Fault = req.json().await?;
        let mut state = self.lock();
        if fault == Fault::Cold {
            state.cold_until = Some(Instant::now() + self.options.cold_time);
        } else {
            state.fault = Some(fault);
        }
        Ok(respond::json(StatusCode::OK, &json!({})))
    }

    fn begin_request(&self, cold: bool) -> ActiveRequest {
        let mut state = self.lock();
        state.stats.started += 1;
        state.stats.running += 1;
        state.stats.peak = state.stats.peak.max(state.stats.running);
        if cold && state.stats.running > self.options.cold_limit {
            state.stats.cold_overloads += 1;
        }
        ActiveRequest { engine: self.clone(), completed: false }
    }

    async fn complete(self, mut req: Request) -> viz::Result<Response> {
        let id: String = req.header("x-request-id").unwrap_or_default();
        let body: Value = req.json().await?;
        let (digest, model, fault) = {
            let mut state = self.lock();
            (state.digest, state.model.clone(), state.fault.take())
        };
        let Some(digest) = digest else {
            let reason = json!({ "error": "no model is loaded" });
            return Ok(respond::json(StatusCode::SERVICE_UNAVAILABLE, &reason));
        };
        self.lock().served.insert(id.clone(), digest);
        let cold = self.is_cold();
        let running = self.begin_request(cold);
        // A cold engine slows down in proportion to its requests in flight.
        let slowdown = if cold { 1 + self.lock().stats.running } else { 1 };
        let id = if fault == Some(Fault::Crossed) { "another-request".to_owned() } else { id };
        sleep(self.options.first_token * slowdown).await;
        let prompt = last_prompt(&body);
        let mut response = if body["stream"] == json!(true) {
            self.stream_answer(running, slowdown, &prompt, &model, fault)
        } else {
            self.full_answer(running, slowdown, &prompt, &model, &id).await
        };
        let headers = response.headers_mut();
        let value = |text: &str| HeaderValue::from_str(text).expect("ids are visible ASCII");
        headers.insert("x-request-id", value(&id));
        headers.insert("x-model-version", value(&digest.to_string()));
        Ok(response)
    }

    async fn full_answer(
        &self,
        mut running: ActiveRequest,
        slowdown: u32,
        prompt: &str,
        model: &str,
        id: &str,
    ) -> Response {
        sleep(self.options.between_tokens * slowdown * self.options.tokens).await;
        running.completed = true;
        let answer = json!({
            "id": id,
            "object": "chat.completion",
            "model": model,
            "choices": [{
                "index": 0,
                "finish_reason": "stop",
                "message": { "role": "assistant", "content": answer_to(prompt, self.options.tokens) },
            }],
        });
        respond::json(StatusCode::OK, &answer)
    }

    fn stream_answer(
        &self,
        running: ActiveRequest,
        slowdown: u32,
        prompt: &str,
        model: &str,
        fault: Option<Fault>,
    ) -> Response {
        let pause = self.options.between_tokens * slowdown;
        let texts: Vec<_> = token_texts(prompt, self.options.tokens).collect();
        let cut_index = (fault == Some(Fault::Cut)).then_some(texts.len() / 2);
        let model = model.to_owned();
        let events = stream::unfold((0, running), move |(index, mut running)| {
            let event = match texts.get(index) {
                _ if cut_index == Some(index) => None,
                Some(text) => Some(stream_event(&model, text)),
                None if index == texts.len() => Some("data: [DONE]\n\n".to_owned()),
                None => None,
            };
            async move {
                let event = match event {
                    Some(event) => event,
                    // A cut answer fails the body, which aborts the connection. A
                    // complete one ends the stream normally.
                    None if cut_index == Some(index) => {
                        let error = std::io::Error::other("the answer is cut");
                        return Some((Err(error), (usize::MAX, running)));
                    }
                    None => return None,
                };
                if index > 0 {
                    sleep(pause).await;
                }
                running.completed = event.contains("[DONE]");
                Some((Ok(Bytes::from(event)), (index + 1, running)))
            }
        });
        Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .body(Body::from_stream(events.boxed()))
            .expect("fixed headers are valid")
    }
}

/// Returns the answer to a prompt, which callers can compute to check a response.
#[must_use]
pub fn answer_to(prompt: &str, tokens: u32) -> String {
    token_texts(prompt, tokens).collect()
}

fn token_texts(prompt: &str, tokens: u32) -> impl Iterator<Item = String> + '_ {
    (0..tokens).map(move |index| format!("{prompt}#{index} "))
}

fn stream_event(model: &str, text: &str) -> String {
    let choice = json!({ "index": 0, "delta": { "content": text } });
    let event = json!({ "object": "chat.completion.chunk", "model": model, "choices": [choice] });
    format!("data: {event}\n\n")
}

fn last_prompt(body: &Value) -> String {
    let chat = body["messages"].as_array().and_then(|all| all.last()).map(|last| &last["content"]);
    chat.unwrap_or(&body["prompt"]).as_str().unwrap_or_default().to_owned()
}

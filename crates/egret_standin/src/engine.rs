//! A model engine: loads weights from a file and answers with echoes.

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

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Requests that it bears at once when warm.
    pub limit: u32,
    /// Requests that it bears at once when cold.
    pub cold_limit: u32,
    /// How long it is cold after a load.
    pub cold_time: Duration,
    /// Time until the first token when warm.
    pub first_token: Duration,
    /// Time between tokens when warm.
    pub between_tokens: Duration,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Whether it refuses orders with an old fencing number.
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

/// A fault that the next answers show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The answer stops in the middle.
    Cut,
    /// The answer carries the id of another request.
    Crossed,
    /// The engine turns cold without a word.
    Cold,
}

/// What an engine counted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests that came.
    pub started: u64,
    /// Requests that run.
    pub running: u32,
    /// Most requests that ran at once.
    pub peak: u32,
    /// Requests that came while cold beyond what it bears.
    pub cold_overloads: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
    /// Orders refused for an old fencing number.
    pub fenced: u64,
}

#[derive(Debug, Default)]
struct EngineState {
    content: Option<VersionDigest>,
    model: String,
    fence: u64,
    cold_until: Option<Instant>,
    fault: Option<Fault>,
    stats: EngineStats,
    /// Which weights each request was answered with.
    served: FastMap<String, VersionDigest>,
}

/// A model engine.
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

/// Counts a request as running until dropped.
struct Running {
    engine: Engine,
    done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.stats.running -= 1;
        if self.done {
            state.stats.answered += 1;
        } else {
            state.stats.cancelled += 1;
        }
    }
}

impl Engine {
    /// Makes an engine without weights.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self { options, state: Arc::default() }
    }

    /// Returns the HTTP interface.
    pub fn router(&self) -> Router {
        let (chat, text, load) = (self.clone(), self.clone(), self.clone());
        let (version, report, stats, fault) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        Router::new()
            .post("/v1/chat/completions", move |req| chat.clone().complete(req))
            .post("/v1/completions", move |req| text.clone().complete(req))
            .post("/admin/load", move |req| load.clone().load(req))
            .get("/admin/version", move |_| version.clone().version())
            .get("/load", move |_| report.clone().report())
            .get("/stats", move |_| stats.clone().stats())
            .post("/fault", move |req| fault.clone().set_fault(req))
    }

    /// Returns which weights a request was answered with, as the engine itself knows.
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
        let content = VersionDigest::of(&weights);
        let mut state = self.lock();
        if state.content != Some(content) {
            state.cold_until = Some(Instant::now() + self.options.cold_time);
        }
        state.content = Some(content);
        state.model = order.model;
        state.fence = order.fence;
        Ok(respond::json(StatusCode::OK, &json!({ "content": content })))
    }

    async fn version(self) -> viz::Result<Response> {
        let state = self.lock();
        let version = json!({ "content": state.content, "fence": state.fence });
        Ok(respond::json(StatusCode::OK, &version))
    }

    async fn report(self) -> viz::Result<Response> {
        let cold = self.is_cold();
        let running = self.lock().stats.running;
        let report = json!({ "running": running, "limit": self.options.limit, "cold": cold });
        Ok(respond::json(StatusCode::OK, &report))
    }

    async fn stats(self) -> viz::Result<Response> {
        let stats = self.lock().stats.clone();
        Ok(respond::json(StatusCode::OK, &stats))
    }

    async fn set_fault(self, mut req: Request) -> viz::Result<Response> {
        let fault: Fault = req.json().await?;
        let mut state = self.lock();
        if fault == Fault::Cold {
            state.cold_until = Some(Instant::now() + self.options.cold_time);
        } else {
            state.fault = Some(fault);
        }
        Ok(respond::json(StatusCode::OK, &json!({})))
    }

    fn start(&self, cold: bool) -> Running {
        let mut state = self.lock();
        state.stats.started += 1;
        state.stats.running += 1;
        state.stats.peak = state.stats.peak.max(state.stats.running);
        if cold && state.stats.running > self.options.cold_limit {
            state.stats.cold_overloads += 1;
        }
        Running { engine: self.clone(), done: false }
    }

    async fn complete(self, mut req: Request) -> viz::Result<Response> {
        let id: String = req.header("x-request-id").unwrap_or_default();
        let body: Value = req.json().await?;
        let (content, model, fault) = {
            let mut state = self.lock();
            (state.content, state.model.clone(), state.fault.take())
        };
        let Some(content) = content else {
            let reason = json!({ "error": "no model is loaded" });
            return Ok(respond::json(StatusCode::SERVICE_UNAVAILABLE, &reason));
        };
        self.lock().served.insert(id.clone(), content);
        let cold = self.is_cold();
        let running = self.start(cold);
        // A cold engine is slow, the slower the more it is given.
        let slowdown = if cold { 1 + self.lock().stats.running } else { 1 };
        let id = if fault == Some(Fault::Crossed) { "another-request".to_owned() } else { id };
        sleep(self.options.first_token * slowdown).await;
        let prompt = prompt_of(&body);
        let mut response = if body["stream"] == json!(true) {
            self.stream(running, slowdown, &prompt, &model, fault)
        } else {
            self.whole(running, slowdown, &prompt, &model, &id).await
        };
        let headers = response.headers_mut();
        let value = |text: &str| HeaderValue::from_str(text).expect("ids are visible ASCII");
        headers.insert("x-request-id", value(&id));
        headers.insert("x-model-version", value(&content.to_string()));
        Ok(response)
    }

    async fn whole(
        &self,
        mut running: Running,
        slowdown: u32,
        prompt: &str,
        model: &str,
        id: &str,
    ) -> Response {
        sleep(self.options.between_tokens * slowdown * self.options.tokens).await;
        running.done = true;
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

    fn stream(
        &self,
        running: Running,
        slowdown: u32,
        prompt: &str,
        model: &str,
        fault: Option<Fault>,
    ) -> Response {
        let pause = self.options.between_tokens * slowdown;
        let words: Vec<_> = words_of(prompt, self.options.tokens).collect();
        let cut_at = (fault == Some(Fault::Cut)).then_some(words.len() / 2);
        let model = model.to_owned();
        let events = stream::unfold((0, running), move |(at, mut running)| {
            let event = match words.get(at) {
                _ if cut_at == Some(at) => None,
                Some(word) => Some(event_of(&model, word)),
                None if at == words.len() => Some("data: [DONE]\n\n".to_owned()),
                None => None,
            };
            async move {
                let event = match event {
                    Some(event) => event,
                    // A cut answer ends the connection, a whole one the stream.
                    None if cut_at == Some(at) => {
                        let error = std::io::Error::other("the answer is cut");
                        return Some((Err(error), (usize::MAX, running)));
                    }
                    None => return None,
                };
                if at > 0 {
                    sleep(pause).await;
                }
                running.done = event.contains("[DONE]");
                Some((Ok(Bytes::from(event)), (at + 1, running)))
            }
        });
        Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .body(Body::from_stream(events.boxed()))
            .expect("fixed headers are valid")
    }
}

/// Returns the answer to a prompt, which callers can work out themselves.
#[must_use]
pub fn answer_to(prompt: &str, tokens: u32) -> String {
    words_of(prompt, tokens).collect()
}

fn words_of(prompt: &str, tokens: u32) -> impl Iterator<Item = String> + '_ {
    (0..tokens).map(move |at| format!("{prompt}#{at} "))
}

fn event_of(model: &str, word: &str) -> String {
    let choice = json!({ "index": 0, "delta": { "content": word } });
    let event = json!({ "object": "chat.completion.chunk", "model": model, "choices": [choice] });
    format!("data: {event}\n\n")
}

fn prompt_of(body: &Value) -> String {
    let chat = body["messages"].as_array().and_then(|all| all.last()).map(|last| &last["content"]);
    chat.unwrap_or(&body["prompt"]).as_str().unwrap_or_default().to_owned()
}

//! The HTTP interface for callers.

use std::sync::Arc;

use egret_http::{headers, json, read_whole, refuse, response};
use egret_record::{DataCentre, Target};
use egret_route::{Code, Refusal, list_entries};
use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::time::Instant;
use viz::{Body, Request, RequestExt as _, Response, Router};

use crate::{
    call::{Call, RequestParts, RetryPolicy},
    claim,
    dispatch::{Dispatch, InFlight},
    forward::{Answer, AnswerBody, stream_body},
};

/// The HTTP interface for callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerApi {
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) keep_s: u64,
    pub(crate) body_bytes: usize,
}

impl CallerApi {
    /// Adds the callers' routes to a router; all other paths go to backend servers.
    pub(crate) fn routes(self, router: Router) -> Router {
        let (entries, models, any) = (self.clone(), self.clone(), self);
        router
            .get("/v1/entries", move |req| entries.clone().entries(req))
            .get("/v1/models", move |_| models.clone().models())
            .get("/healthz", |_: Request| async {
                Ok::<_, viz::Error>(response(StatusCode::OK, "text/plain", "ok\n"))
            })
            .any("/*", move |req| any.clone().handle(req))
    }

    async fn entries(self, req: Request) -> viz::Result<Response> {
        let hint: Option<String> = req.header(headers::DATA_CENTRE);
        let near = hint.and_then(|name| DataCentre::new(&name).ok());
        let view = self.dispatch.view.get();
        let list = list_entries(&view, near.as_ref(), self.keep_s, &mut rand::rng());
        let body = serde_json::to_vec(&list).expect("plain data always encodes");
        let mut response = json(StatusCode::OK, body);
        if let Ok(keep) = HeaderValue::from_str(&format!("max-age={}", self.keep_s)) {
            response.headers_mut().insert(http::header::CACHE_CONTROL, keep);
        }
        Ok(response)
    }

    async fn models(self) -> viz::Result<Response> {
        let view = self.dispatch.view.get();
        let models: Vec<_> = view
            .records
            .values()
            .filter_map(|stored| match &stored.record.target {
                Target::Model(model) => Some(json!({
                    "id": model.model,
                    "object": "model",
                    "owned_by": "egretgap",
                    "version": model.version,
                    "live_replicas": view.live_replicas(&stored.record),
                })),
                Target::Service(_) => None,
            })
            .collect();
        let list = json!({ "object": "list", "data": models });
        Ok(json(StatusCode::OK, list.to_string()))
    }

    async fn handle(self, req: Request) -> viz::Result<Response> {
        // Counted before the admission check, so that a shutdown waits for every admitted request.
        let running = self.dispatch.start_request();
        let response = match self.serve(req).await {
            Ok((response, stream)) => match stream {
                Some((body, in_flight)) => {
                    let (head, _) = response.into_parts();
                    Response::from_parts(head, stream_body(body, (running, in_flight)))
                }
                None => response,
            },
            Err(refusal) => refuse(&refusal),
        };
        Ok(response)
    }

    async fn serve(
        &self,
        mut req: Request,
    ) -> Result<(Response, Option<(hyper::body::Incoming, Option<InFlight>)>), Refusal> {
        let started = Instant::now();
        let deadline = started + self.dispatch.deadline;
        let view = self.dispatch.view.get();
        self.dispatch.admit(&view)?;
        let bad = |message: String| Refusal::not_run(Code::BadRequest, message);
        let body = req.incoming().map_err(|_| bad("the request has no body".to_owned()))?;
        let body =
            read_whole(body, self.body_bytes).await.map_err(|error| bad(error.to_string()))?;
        let parts = RequestParts {
            method: req.method().clone(),
            path: req.uri().path_and_query().map_or_else(String::new, ToString::to_string),
            headers: req.headers().clone(),
            body,
        };
        let call = Call::new(parts, &view)?;
        let result = self.answer(&call, deadline).await;
        self.count(&call, result.is_ok(), started);
        let (answer, in_flight) = result?;
        let (body, stream) = match answer.body {
            AnswerBody::Whole(body) => (Body::Full(body.into()), None),
            AnswerBody::Stream(body) => (Body::Empty, Some((body, in_flight))),
        };
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        let headers = response.headers_mut();
        headers.insert(http::header::CONTENT_TYPE, answer.content_type);
        if let Ok(id) = HeaderValue::from_str(&call.id) {
            headers.insert(headers::REQUEST_ID, id);
        }
        if let Some(version) = answer.version {
            headers.insert(headers::VERSION, version);
        }
        Ok((response, stream))
    }

    /// Runs a request; one that may run at most once is claimed first.
    async fn answer(
        &self,
        call: &Call,
        deadline: Instant,
    ) -> Result<(Answer, Option<InFlight>), Refusal> {
        match &call.retry {
            RetryPolicy::Once(key) => {
                let answer = claim::run_once(&self.dispatch, call, key, deadline).await?;
                Ok((answer, None))
            }
            RetryPolicy::Idempotent | RetryPolicy::NonIdempotent => {
                let (answer, in_flight) = self.dispatch.run(call, deadline).await?;
                Ok((answer, Some(in_flight)))
            }
        }
    }

    fn count(&self, call: &Call, answered: bool, started: Instant) {
        let took = started.elapsed();
        let record = &call.record;
        self.dispatch.burn.count(
            &record.name,
            &call.organisation,
            record.objective,
            answered,
            took,
        );
        let outcome = if answered { "answered" } else { "refused" };
        metrics::counter!("egret_entry_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("egret_entry_seconds").record(took.as_secs_f64());
    }
}

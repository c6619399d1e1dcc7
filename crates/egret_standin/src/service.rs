//! Stand-in plain service: echoes requests and counts how often each one ran.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use egret_record::FastMap;
use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::time::sleep;
use viz::{Request, RequestExt as _, Response, Router};

use crate::respond;

/// Echoes each request and counts its runs by idempotency key.
#[derive(Debug, Clone)]
pub struct EchoService {
    delay: Duration,
    /// Runs of requests other than GET, by idempotency key.
    run_counts: Arc<Mutex<FastMap<String, u64>>>,
}

impl EchoService {
    /// Creates a service that takes `delay` for each request.
    #[must_use]
    pub fn new(delay: Duration) -> Self {
        Self { delay, run_counts: Arc::default() }
    }

    /// Returns the HTTP routes.
    pub fn router(&self) -> Router {
        let (service, stats) = (self.clone(), self.clone());
        Router::new()
            .get("/stats", move |_| stats.clone().stats())
            .any("/*", move |req| service.clone().handle(req))
    }

    async fn stats(self) -> viz::Result<Response> {
        let run_counts = self.run_counts.lock().expect("no holder of the lock panics").clone();
        Ok(respond::json(StatusCode::OK, &run_counts))
    }

    async fn handle(self, mut req: Request) -> viz::Result<Response> {
        let id: String = req.header("x-request-id").unwrap_or_default();
        let key: String = req.header("idempotency-key").unwrap_or_default();
        let method = req.method().to_string();
        let path = req.path().to_owned();
        let body = req.text().await?;
        let run = {
            let mut run_counts = self.run_counts.lock().expect("no holder of the lock panics");
            let count = run_counts.entry(key.clone()).or_default();
            *count += u64::from(method != "GET");
            *count
        };
        sleep(self.delay).await;
        let answer =
            json!({ "method": method, "path": path, "key": key, "run": run, "body": body });
        let mut response = respond::json(StatusCode::OK, &answer);
        let value = HeaderValue::from_str(&id).expect("ids are visible ASCII");
        response.headers_mut().insert("x-request-id", value);
        Ok(response)
    }
}

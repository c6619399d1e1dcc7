//! A plain service that counts how often each call ran.

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

/// A plain service.
#[derive(Debug, Clone)]
pub struct EchoService {
    delay: Duration,
    runs: Arc<Mutex<FastMap<String, u64>>>,
}

impl EchoService {
    /// Makes a service that takes `delay` for each call.
    #[must_use]
    pub fn new(delay: Duration) -> Self {
        Self { delay, runs: Arc::default() }
    }

    /// Returns the HTTP interface.
    pub fn router(&self) -> Router {
        let (call, stats) = (self.clone(), self.clone());
        Router::new()
            .get("/stats", move |_| stats.clone().stats())
            .any("/*", move |req| call.clone().call(req))
    }

    async fn stats(self) -> viz::Result<Response> {
        let runs = self.runs.lock().expect("no holder of the lock panics").clone();
        Ok(respond::json(StatusCode::OK, &runs))
    }

    async fn call(self, mut req: Request) -> viz::Result<Response> {
        let id: String = req.header("x-request-id").unwrap_or_default();
        let key: String = req.header("idempotency-key").unwrap_or_default();
        let method = req.method().to_string();
        let path = req.path().to_owned();
        let body = req.text().await?;
        let run = {
            let mut runs = self.runs.lock().expect("no holder of the lock panics");
            let count = runs.entry(key.clone()).or_default();
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

//! An origin of weights: files with ranges and entity tags.

use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use egret_record::{FastMap, VersionDigest};
use http::{
    HeaderValue, StatusCode,
    header::{ACCEPT_RANGES, CONTENT_RANGE, ETAG},
};
use serde_json::json;
use tokio::time::{Instant, sleep};
use viz::{Request, RequestExt as _, Response, Router};

use crate::respond;

/// An origin of weights.
#[derive(Debug, Clone)]
pub struct Origin {
    folder: PathBuf,
    /// Bytes a second of its link; unbounded without.
    rate: Option<u64>,
    free_at: Arc<Mutex<Option<Instant>>>,
    sent: Arc<AtomicU64>,
    files: Arc<Mutex<FastMap<PathBuf, Cached>>>,
}

/// A file as it was when it was read last.
#[derive(Debug, Clone)]
struct Cached {
    modified: SystemTime,
    content: Bytes,
    tag: String,
}

impl Origin {
    /// Serves the files below `folder` over a link of `rate` bytes a second.
    #[must_use]
    pub fn new(folder: PathBuf, rate: Option<u64>) -> Self {
        Self { folder, rate, free_at: Arc::default(), sent: Arc::default(), files: Arc::default() }
    }

    /// Returns the HTTP interface.
    pub fn router(&self) -> Router {
        let (get, stats) = (self.clone(), self.clone());
        Router::new()
            .get("/stats", move |_| stats.clone().stats())
            .get("/*", move |req| get.clone().get(req))
    }

    async fn stats(self) -> viz::Result<Response> {
        let sent = self.sent.load(Ordering::Relaxed);
        Ok(respond::json(StatusCode::OK, &json!({ "bytes": sent })))
    }

    async fn get(self, req: Request) -> viz::Result<Response> {
        let path = req.path().trim_start_matches('/').to_owned();
        if path.split('/').any(|part| part == "..") {
            return Ok(respond::full(StatusCode::NOT_FOUND, "text/plain", "no such file"));
        }
        let Some(Cached { content, tag, .. }) = self.file(&path).await else {
            return Ok(respond::full(StatusCode::NOT_FOUND, "text/plain", "no such file"));
        };
        let wanted: Option<String> = req.header("if-match");
        if wanted.is_some_and(|wanted| wanted != tag) {
            let text = "the file has changed";
            return Ok(respond::full(StatusCode::PRECONDITION_FAILED, "text/plain", text));
        }
        let range: Option<String> = req.header("range");
        let range = range.and_then(|range| range_of(&range, content.len()));
        let (status, start, end) = match range {
            Some((start, end)) => (StatusCode::PARTIAL_CONTENT, start, end),
            None => (StatusCode::OK, 0, content.len()),
        };
        self.pay(end - start).await;
        let total = content.len();
        let body = content.slice(start..end);
        let mut response = respond::full(status, "application/octet-stream", body);
        let headers = response.headers_mut();
        headers.insert(ETAG, HeaderValue::from_str(&tag).expect("tags are ASCII"));
        headers.insert(ACCEPT_RANGES, HeaderValue::from_static("bytes"));
        if status == StatusCode::PARTIAL_CONTENT {
            let range = format!("bytes {start}-{}/{total}", end.saturating_sub(1));
            headers.insert(CONTENT_RANGE, HeaderValue::from_str(&range).expect("ASCII"));
        }
        Ok(response)
    }

    /// Reads a file, unless it is as it was when it was read last.
    async fn file(&self, path: &str) -> Option<Cached> {
        let path = self.folder.join(path);
        let modified = tokio::fs::metadata(&path).await.ok()?.modified().ok()?;
        let known = self.files.lock().expect("no holder of the lock panics").get(&path).cloned();
        if let Some(known) = known.filter(|known| known.modified == modified) {
            return Some(known);
        }
        let content = Bytes::from(tokio::fs::read(&path).await.ok()?);
        let tag = format!("\"{}\"", VersionDigest::of(&content).short());
        let cached = Cached { modified, content, tag };
        self.files.lock().expect("no holder of the lock panics").insert(path, cached.clone());
        Some(cached)
    }

    /// Waits until the link has carried `bytes`.
    async fn pay(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        let Some(rate) = self.rate else { return };
        let cost = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let until = {
            let mut free_at = self.free_at.lock().expect("no holder of the lock panics");
            let now = Instant::now();
            let until = free_at.unwrap_or(now).max(now) + cost;
            *free_at = Some(until);
            until
        };
        tokio::time::sleep_until(until).await;
        sleep(Duration::ZERO).await;
    }
}

fn range_of(header: &str, length: usize) -> Option<(usize, usize)> {
    let (start, end) = header.strip_prefix("bytes=")?.split_once('-')?;
    let start: usize = start.parse().ok()?;
    let end: usize = end.parse().ok()?;
    (start <= end && start < length).then(|| (start, (end + 1).min(length)))
}

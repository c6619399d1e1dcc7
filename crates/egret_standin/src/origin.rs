//! Stand-in origin server: files with byte ranges and entity tags.

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

/// Serves weights files over a link of limited bandwidth.
#[derive(Debug, Clone)]
pub struct Origin {
    folder: PathBuf,
    /// Bandwidth in bytes per second, unlimited if absent.
    rate: Option<u64>,
    /// When the link has carried everything that was requested so far.
    free_at: Arc<Mutex<Option<Instant>>>,
    sent_bytes: Arc<AtomicU64>,
    cache: Arc<Mutex<FastMap<PathBuf, CachedFile>>>,
}

/// A file's content when it was last read.
#[derive(Debug, Clone)]
struct CachedFile {
    modified: SystemTime,
    content: Bytes,
    etag: String,
}

impl Origin {
    /// Serves the files below `folder` over a link of `rate` bytes per second.
    #[must_use]
    pub fn new(folder: PathBuf, rate: Option<u64>) -> Self {
        Self {
            folder,
            rate,
            free_at: Arc::default(),
            sent_bytes: Arc::default(),
            cache: Arc::default(),
        }
    }

    /// Returns the HTTP routes.
    pub fn router(&self) -> Router {
        let (files, stats) = (self.clone(), self.clone());
        Router::new()
            .get("/stats", move |_| stats.clone().stats())
            .get("/*", move |req| files.clone().serve_file(req))
    }

    async fn stats(self) -> viz::Result<Response> {
        let sent_bytes = self.sent_bytes.load(Ordering::Relaxed);
        Ok(respond::json(StatusCode::OK, &json!({ "bytes": sent_bytes })))
    }

    async fn serve_file(self, req: Request) -> viz::Result<Response> {
        let path = req.path().trim_start_matches('/').to_owned();
        if path.split('/').any(|segment| segment == "..") {
            return Ok(respond::full(StatusCode::NOT_FOUND, "text/plain", "no such file"));
        }
        let Some(CachedFile { content, etag, .. }) = self.read_cached(&path).await else {
            return Ok(respond::full(StatusCode::NOT_FOUND, "text/plain", "no such file"));
        };
        let if_match: Option<String> = req.header("if-match");
        if if_match.is_some_and(|if_match| if_match != etag) {
            let text = "the file has changed";
            return Ok(respond::full(StatusCode::PRECONDITION_FAILED, "text/plain", text));
        }
        let range: Option<String> = req.header("range");
        let range = range.and_then(|range| parse_range(&range, content.len()));
        let (status, start, end) = match range {
            Some((start, end)) => (StatusCode::PARTIAL_CONTENT, start, end),
            None => (StatusCode::OK, 0, content.len()),
        };
        self.transfer(end - start).await;
        let total = content.len();
        let body = content.slice(start..end);
        let mut response = respond::full(status, "application/octet-stream", body);
        let headers = response.headers_mut();
        headers.insert(ETAG, HeaderValue::from_str(&etag).expect("tags are ASCII"));
        headers.insert(ACCEPT_RANGES, HeaderValue::from_static("bytes"));
        if status == StatusCode::PARTIAL_CONTENT {
            let range = format!("bytes {start}-{}/{total}", end.saturating_sub(1));
            headers.insert(CONTENT_RANGE, HeaderValue::from_str(&range).expect("ASCII"));
        }
        Ok(response)
    }

    /// Returns a file's content, and rereads it only if its modification time has changed.
    async fn read_cached(&self, path: &str) -> Option<CachedFile> {
        let path = self.folder.join(path);
        let modified = tokio::fs::metadata(&path).await.ok()?.modified().ok()?;
        let cached = self.cache.lock().expect("no holder of the lock panics").get(&path).cloned();
        if let Some(cached) = cached.filter(|cached| cached.modified == modified) {
            return Some(cached);
        }
        let content = Bytes::from(tokio::fs::read(&path).await.ok()?);
        let etag = format!("\"{}\"", VersionDigest::of(&content).short());
        let file = CachedFile { modified, content, etag };
        self.cache.lock().expect("no holder of the lock panics").insert(path, file.clone());
        Some(file)
    }

    /// Waits as long as the link takes for `bytes`, after all earlier transfers.
    async fn transfer(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
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

fn parse_range(header: &str, length: usize) -> Option<(usize, usize)> {
    let (start, end) = header.strip_prefix("bytes=")?.split_once('-')?;
    let start: usize = start.parse().ok()?;
    let end: usize = end.parse().ok()?;
    (start <= end && start < length).then(|| (start, (end + 1).min(length)))
}

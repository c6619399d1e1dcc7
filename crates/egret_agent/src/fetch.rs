//! Fetches chunks from other agents and the origin.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use capnp::capability::{Promise, Response};
use egret_http::{HttpClient, read_whole};
use egret_record::{BackendName, ModelTarget, VersionDigest, View};
use egret_rpc::{Connections, SharedView, schema::peer};
use egret_settings::Sharing;
use egret_weights::{Holder, Manifest, Parent, TokenBucket, VersionFolder, chain_parents, parents};
use futures::{StreamExt as _, stream};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use rand::RngExt as _;
use thiserror::Error;
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, sleep, timeout},
};

/// Chunks that are requested concurrently, the lowest missing ones first.
///
/// All agents request chunks in the same order. So the lowest chunk that any agent misses is
/// always being fetched, and agents cannot wait for each other in a cycle.
const WINDOW_CHUNKS: usize = 128;
/// Maximum number of concurrent requests to the origin.
const ORIGIN_REQUESTS_MAX: usize = 4;
/// Timeout of a request to another agent; it answers earlier even if it has no chunk yet.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without progress after which an agent that still answers is skipped.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request to the origin.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest manifest, in bytes.
const MANIFEST_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Why a fetch failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum FetchError {
    /// The origin cannot be reached.
    #[error("the origin cannot be reached: {0}; check `origin` in the record")]
    Origin(String),
    /// The origin changed the weights during the fetch.
    #[error("the origin changed the weights during the fetch; publish them under a new version")]
    Changed,
    /// The origin answered with an unexpected status.
    #[error("the origin answered with status {0}; check `origin` in the record")]
    Status(StatusCode),
    /// The content does not match its digest.
    #[error("the content does not match its digest")]
    Corrupt,
    /// Another agent did not provide the content.
    #[error("the agent did not provide the content")]
    Peer,
}

/// Bandwidth limits of downloads and uploads.
#[derive(Debug)]
pub(crate) struct LinkLimits {
    started: Instant,
    download: RefCell<Option<TokenBucket>>,
    upload: RefCell<Option<TokenBucket>>,
}

impl LinkLimits {
    pub(crate) fn new(download: Option<u64>, upload: Option<u64>) -> Self {
        Self {
            started: Instant::now(),
            download: RefCell::new(download.map(TokenBucket::new)),
            upload: RefCell::new(upload.map(TokenBucket::new)),
        }
    }

    pub(crate) async fn throttle_upload(&self, bytes: usize) {
        throttle(&self.upload, bytes, self.started).await;
    }

    async fn throttle_download(&self, bytes: usize) {
        throttle(&self.download, bytes, self.started).await;
    }
}

async fn throttle(bucket: &RefCell<Option<TokenBucket>>, bytes: usize, started: Instant) {
    let wait = bucket.borrow_mut().as_mut().map(|b| b.take(bytes as u64, started.elapsed()));
    if let Some(wait) = wait {
        sleep(wait).await;
    }
}

/// Fetches versions for one agent.
#[derive(Debug)]
pub(crate) struct Fetcher {
    own: BackendName,
    sharing: Sharing,
    view: SharedView,
    limits: Rc<LinkLimits>,
    client: HttpClient,
    origin_requests: Semaphore,
    connections: Connections<peer::Client>,
    /// The entity tag of the weights that are being fetched.
    tag: RefCell<Option<(VersionDigest, String)>>,
    pub(crate) origin_bytes: Cell<u64>,
    pub(crate) peer_bytes: Cell<u64>,
}

impl Fetcher {
    pub(crate) fn new(
        own: BackendName,
        from: IpAddr,
        view: SharedView,
        limits: Rc<LinkLimits>,
        sharing: Sharing,
    ) -> Self {
        Self {
            own,
            sharing,
            view,
            limits,
            client: HttpClient::pooled(Some(from)),
            origin_requests: Semaphore::new(ORIGIN_REQUESTS_MAX),
            connections: Connections::new(from),
            tag: RefCell::default(),
            origin_bytes: Cell::default(),
            peer_bytes: Cell::default(),
        }
    }

    /// Fetches the manifest of a version, from other agents if they have it.
    pub(crate) async fn manifest(&self, model: &ModelTarget) -> Result<Manifest, FetchError> {
        let mut last_error = FetchError::Peer;
        let holders = holders(&self.view.get(), model.digest);
        for parent in self.sources(0, &holders) {
            let fetched = match &parent {
                Parent::Agent(_, address) => self.request_manifest(*address, model.digest).await,
                Parent::Origin => self.request_origin_manifest(model).await,
            };
            match fetched.and_then(|json| parse(model, &json)) {
                Ok(manifest) => return Ok(manifest),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn request_manifest(
        &self,
        address: SocketAddr,
        version: VersionDigest,
    ) -> Result<Bytes, FetchError> {
        let deadline = Instant::now() + PROGRESS_TIMEOUT;
        while Instant::now() < deadline {
            let connection = self.connections.get(address).await.map_err(|_| FetchError::Peer)?;
            let mut call = connection.client().manifest_request();
            call.get().set_version(&version.0);
            let answer = self.answer(address, call.send().promise).await?;
            let answer = answer.get().map_err(|_| FetchError::Peer)?;
            if answer.get_found() {
                let content = answer.get_content().map_err(|_| FetchError::Peer)?;
                return Ok(Bytes::copy_from_slice(content));
            }
        }
        Err(FetchError::Peer)
    }

    async fn request_origin_manifest(&self, model: &ModelTarget) -> Result<Bytes, FetchError> {
        let request = get(&format!("{}/manifest.json", model.origin))?;
        let (status, _, body) = self.request_origin(request, MANIFEST_BYTES_MAX).await?;
        if status == StatusCode::OK { Ok(body) } else { Err(FetchError::Status(status)) }
    }

    /// Fetches all missing chunks of a version.
    ///
    /// Retries without limit; the caller drops the future when the order changes.
    pub(crate) async fn fetch_all(
        &self,
        model: &ModelTarget,
        folder: &RefCell<VersionFolder>,
        progress: &watch::Sender<usize>,
    ) {
        let missing: BTreeSet<u32> = {
            let folder = folder.borrow();
            folder.manifest().indexes().filter(|index| !folder.held().contains(index)).collect()
        };
        stream::iter(missing)
            .for_each_concurrent(WINDOW_CHUNKS, |index| async move {
                self.fetch_chunk(model, folder, index).await;
                progress.send_replace(folder.borrow().held().len());
            })
            .await;
    }

    async fn fetch_chunk(&self, model: &ModelTarget, folder: &RefCell<VersionFolder>, index: u32) {
        /// Longest delay before all sources are asked again.
        const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
        let manifest = folder.borrow().manifest().clone();
        loop {
            let holders = holders(&self.view.get(), model.digest);
            for parent in self.sources(index, &holders) {
                let fetched = match &parent {
                    Parent::Agent(_, address) => {
                        self.request_chunk(*address, model.digest, index).await
                    }
                    Parent::Origin => self.request_weights(model, &manifest, index).await,
                };
                let stored = fetched.and_then(|content| {
                    let mut folder = folder.borrow_mut();
                    folder.insert(index, &content).map_err(|error| {
                        log::warn!(
                            "event=chunk_refused chunk={index} source={parent:?} error=\"{error}\""
                        );
                        FetchError::Corrupt
                    })
                });
                match stored {
                    Ok(()) => return,
                    Err(error) => {
                        log::debug!(
                            "event=chunk_failed chunk={index} source={parent:?} error=\"{error}\""
                        );
                    }
                }
            }
            sleep(rand::rng().random_range(RETRY_DELAY_MAX / 10..RETRY_DELAY_MAX)).await;
        }
    }

    fn sources(&self, index: u32, holders: &[Holder]) -> Vec<Parent> {
        match self.sharing {
            Sharing::Trees => parents(index, &self.own, holders),
            Sharing::Chain => chain_parents(&self.own, holders),
            Sharing::Origin => vec![Parent::Origin],
        }
    }

    async fn request_chunk(
        &self,
        address: SocketAddr,
        version: VersionDigest,
        index: u32,
    ) -> Result<Bytes, FetchError> {
        let mut progress = 0;
        let mut deadline = Instant::now() + PROGRESS_TIMEOUT;
        while Instant::now() < deadline {
            let connection = self.connections.get(address).await.map_err(|_| FetchError::Peer)?;
            let mut call = connection.client().chunk_request();
            call.get().set_version(&version.0);
            call.get().set_index(index);
            let answer = self.answer(address, call.send().promise).await?;
            let answer = answer.get().map_err(|_| FetchError::Peer)?;
            if answer.get_found() {
                let content = answer.get_content().map_err(|_| FetchError::Peer)?;
                let content = Bytes::copy_from_slice(content);
                self.peer_bytes.set(self.peer_bytes.get() + content.len() as u64);
                self.limits.throttle_download(content.len()).await;
                return Ok(content);
            }
            if answer.get_progress() > progress {
                progress = answer.get_progress();
                deadline = Instant::now() + PROGRESS_TIMEOUT;
            }
        }
        Err(FetchError::Peer)
    }

    /// Waits for an agent's answer, and closes the connection if none arrives in time.
    async fn answer<T: capnp::traits::Owned>(
        &self,
        address: SocketAddr,
        promise: Promise<Response<T>, capnp::Error>,
    ) -> Result<Response<T>, FetchError> {
        if let Ok(Ok(answer)) = timeout(PEER_TIMEOUT, promise).await {
            return Ok(answer);
        }
        self.connections.remove(address);
        Err(FetchError::Peer)
    }

    async fn request_weights(
        &self,
        model: &ModelTarget,
        manifest: &Manifest,
        index: u32,
    ) -> Result<Bytes, FetchError> {
        let _permit = self.origin_requests.acquire().await.map_err(|_| FetchError::Peer)?;
        let start = manifest.offset(index);
        let end = start + manifest.length(index) - 1;
        let mut request = get(&format!("{}/weights", model.origin))?;
        let headers = request.headers_mut();
        if let Ok(range) = format!("bytes={start}-{end}").parse() {
            headers.insert(header::RANGE, range);
        }
        let tag = self.tag.borrow().clone().filter(|(version, _)| *version == model.digest);
        if let Some(tag) = tag.and_then(|(_, tag)| tag.parse().ok()) {
            headers.insert(header::IF_MATCH, tag);
        }
        let limit = manifest.chunk_bytes as usize;
        let (status, tag, body) = self.request_origin(request, limit).await?;
        match status {
            StatusCode::PARTIAL_CONTENT => {}
            StatusCode::OK if body.len() as u64 == manifest.size => {}
            StatusCode::PRECONDITION_FAILED => {
                log::error!("event=origin_changed model={} version={}", model.model, model.version);
                self.tag.replace(None);
                return Err(FetchError::Changed);
            }
            other => return Err(FetchError::Status(other)),
        }
        if manifest.accepts(index, &body) {
            self.tag.replace(tag.map(|tag| (model.digest, tag)));
        }
        self.origin_bytes.set(self.origin_bytes.get() + body.len() as u64);
        self.limits.throttle_download(body.len()).await;
        Ok(body)
    }

    async fn request_origin(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<(StatusCode, Option<String>, Bytes), FetchError> {
        let answer = timeout(ORIGIN_TIMEOUT, async {
            let response = self
                .client
                .send(request)
                .await
                .map_err(|error| FetchError::Origin(error.to_string()))?;
            let status = response.status();
            let tag = response.headers().get(header::ETAG).and_then(|tag| tag.to_str().ok());
            let tag = tag.map(str::to_owned);
            let body = read_whole(response.into_body(), limit)
                .await
                .map_err(|error| FetchError::Origin(error.to_string()))?;
            Ok((status, tag, body))
        });
        answer.await.map_err(|_| FetchError::Origin("no answer in time".to_owned()))?
    }
}

/// Returns the backend servers that hold or fetch a version.
fn holders(view: &View, version: VersionDigest) -> Vec<Holder> {
    let takes_part = |backend: &&egret_record::Backend| {
        backend.assignment.as_ref().is_some_and(|order| order.digest == version)
            || backend.holds(version)
    };
    view.backends
        .values()
        .filter(takes_part)
        .map(|backend| Holder {
            name: backend.name.clone(),
            data_centre: backend.data_centre.clone(),
            address: backend.peer_address,
        })
        .collect()
}

fn parse(model: &ModelTarget, json: &[u8]) -> Result<Manifest, FetchError> {
    Manifest::parse(json, model.digest).map_err(|error| {
        log::error!("event=manifest_refused model={} error=\"{error}\"", model.model);
        FetchError::Corrupt
    })
}

fn get(uri: &str) -> Result<Request<Full<Bytes>>, FetchError> {
    Request::get(uri).body(Full::default()).map_err(|error| FetchError::Origin(error.to_string()))
}

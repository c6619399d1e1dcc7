//! True weights, and the origin that serves them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use serde_json::json;
use sha2::{Digest as _, Sha256};
use tokio::{sync::Mutex, time::sleep};

use crate::server::{Body, Received, full};

/// The model whose weights the engines load.
pub(crate) const MODEL: &str = "m0";
/// Pieces of a version.
pub(crate) const PIECES: u32 = 96;
/// Bytes of a piece.
const PIECE_BYTES: usize = 24_576;
/// Time for which a piece takes up the origin's link of 7.3 Mbit/s.
const PIECE_TIME: Duration = Duration::from_millis(27);

/// Returns the true content of a piece.
pub(crate) fn content(version: u64, index: u32) -> Bytes {
    let text = format!("piece {index} of version {version};");
    Bytes::from(text.bytes().cycle().take(PIECE_BYTES).collect::<Vec<_>>())
}

fn digest(version: u64, index: u32) -> String {
    Sha256::digest(content(version, index)).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The origin of the weights, by `GET /v1/manifest/ID` and `GET /v1/piece/ID`.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    /// The newest named version, from 1 on.
    pub(crate) newest: u64,
    pub(crate) link: Arc<Mutex<()>>,
}

impl Origin {
    pub(crate) async fn answer(self, request: Received) -> Response<Body> {
        let response = self.respond(&request);
        if request.path.starts_with("/v1/piece/") {
            let _link = self.link.lock().await;
            sleep(PIECE_TIME).await;
        }
        response
    }

    fn respond(&self, request: &Received) -> Response<Body> {
        let version = request.query("version").unwrap_or(self.newest);
        if version == 0 || version > self.newest {
            return status(StatusCode::NOT_FOUND);
        }
        if version + 2 <= self.newest {
            return status(StatusCode::GONE);
        }
        if request.path.starts_with("/v1/manifest/") {
            let digests: Vec<String> = (0..PIECES).map(|index| digest(version, index)).collect();
            let body = json!({
                "model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES, "layers": 16,
                "digests": digests,
            });
            return Response::new(full(body.to_string()));
        }
        let Some(index) = request.query("num").and_then(|index| u32::try_from(index).ok()) else {
            return status(StatusCode::NOT_FOUND);
        };
        Response::new(full(content(version, index)))
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

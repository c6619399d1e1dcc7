//! True weights, and the origin that serves them.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
use serde_json::json;
use sha2::{Digest as _, Sha256};
use tokio::time::sleep;

use crate::{
    record::Record,
    server::{Body, Received, full},
};

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

/// How often the origin was asked, and what it spoils.
#[derive(Debug, Default)]
pub(crate) struct OriginState {
    /// The newest named version, from 1 on.
    pub(crate) newest: u64,
    /// The version whose next lists are spoilt, and the piece whose digest is wrong in them.
    pub(crate) spoil_list: Option<(u64, u32)>,
    /// How many lists are to be spoilt.
    pub(crate) spoils: u32,
    pub(crate) lists: u32,
    pub(crate) lists_spoilt: u32,
    /// Number of times that each piece was sent.
    pub(crate) sent: std::collections::BTreeMap<(u64, u32), u32>,
}

/// The origin of the weights, by `GET /v1/manifest/ID` and `GET /v1/piece/ID`.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    pub(crate) state: Arc<Mutex<OriginState>>,
    pub(crate) link: Arc<tokio::sync::Mutex<()>>,
    pub(crate) record: Record,
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
        let mut state = self.state.lock().expect("no panic");
        let version = request.query("version").unwrap_or(state.newest);
        if version == 0 || version > state.newest {
            return status(StatusCode::NOT_FOUND);
        }
        if version + 2 <= state.newest {
            return status(StatusCode::GONE);
        }
        if request.path.starts_with("/v1/manifest/") {
            let mut digests: Vec<String> =
                (0..PIECES).map(|index| digest(version, index)).collect();
            state.lists += 1;
            let is_spoilt = state.lists_spoilt < state.spoils;
            let spoilt = state.spoil_list.filter(|(spoilt, _)| is_spoilt && *spoilt == version);
            if let Some((_, index)) = spoilt {
                state.lists_spoilt += 1;
                let wrong = if digests[index as usize].starts_with('0') { "1" } else { "0" };
                digests[index as usize].replace_range(0..1, wrong);
            }
            self.record.line(&format!(
                "origin list version={version} spoilt_piece={:?}",
                spoilt.map(|(_, index)| index)
            ));
            let body = json!({
                "model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES, "layers": 16,
                "digests": digests,
            });
            return Response::new(full(body.to_string()));
        }
        let Some(index) = request.query("num").and_then(|index| u32::try_from(index).ok()) else {
            return status(StatusCode::NOT_FOUND);
        };
        *state.sent.entry((version, index)).or_default() += 1;
        Response::new(full(content(version, index)))
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

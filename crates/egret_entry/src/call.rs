//! What a caller's request asks for.

use bytes::Bytes;
use egret_http::headers;
use egret_record::{IdempotencyKey, Organisation, Record, VersionDigest, View};
use egret_route::{Code, Refusal};
use http::{HeaderMap, Method};
use serde::Deserialize;

/// The organisation of requests that name none.
const ANONYMOUS: &str = "anonymous";

/// A caller's request, as far as routing needs it.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Names the request in every process that it passes.
    pub(crate) id: String,
    pub(crate) record: Record,
    pub(crate) organisation: Organisation,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) kind: Kind,
}

/// How often a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Kind {
    /// As often as needed.
    Idempotent,
    /// Again only if it certainly did not run.
    Careful,
    /// At most once, whoever sends it again.
    Once(IdempotencyKey),
}

#[derive(Debug, Deserialize)]
struct ModelBody {
    model: String,
}

/// Parts of a request that has been read whole.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// Finds the record of a request and how often it may run.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when no record takes it, or a key is missing.
    pub(crate) fn new(parts: Parts, view: &View) -> Result<Self, Refusal> {
        let path = parts.path.split('?').next().unwrap_or_default();
        let record = if path.starts_with("/v1/") {
            record_of_model(&parts.body, view)?
        } else {
            let stored = view.record_of_path(path).ok_or_else(|| {
                Refusal::not_run(Code::NoRecord, "no record takes this path; check the address")
            })?;
            stored.record.clone()
        };
        let kind = kind(&record, &parts, path)?;
        let organisation = organisation(&parts.headers)?;
        Ok(Self {
            id: format!("{:016x}", rand::random::<u64>()),
            record,
            organisation,
            method: parts.method,
            path: parts.path,
            headers: parts.headers,
            body: parts.body,
            kind,
        })
    }

    /// Returns the digest by which a resend of this request is known.
    pub(crate) fn digest(&self) -> VersionDigest {
        let mut text = format!("{} {}\n", self.method, self.path).into_bytes();
        text.extend(&self.body);
        VersionDigest::of(&text)
    }
}

fn record_of_model(body: &[u8], view: &View) -> Result<Record, Refusal> {
    let body: ModelBody = serde_json::from_slice(body).map_err(|_| {
        let message = "the body is no JSON object with a `model`; name one that /v1/models lists";
        Refusal::not_run(Code::BadRequest, message)
    })?;
    let stored = view.record_of_model(&body.model).ok_or_else(|| {
        let message = format!("no record runs model {:?}; /v1/models lists them", body.model);
        Refusal::not_run(Code::NoRecord, message)
    })?;
    Ok(stored.record.clone())
}

fn kind(record: &Record, parts: &Parts, path: &str) -> Result<Kind, Refusal> {
    let method = parts.method.as_str();
    if record.is_once(method, path) {
        let text =
            parts.headers.get(headers::IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
        return text.and_then(|text| IdempotencyKey::new(text).ok()).map(Kind::Once).ok_or_else(|| {
            let message = "this call runs at most once; send an Idempotency-Key header with 1 to \
                           200 visible characters, the same one with each resend";
            Refusal::not_run(Code::KeyMissing, message)
        });
    }
    let idempotent = record.is_idempotent(method, path);
    Ok(if idempotent { Kind::Idempotent } else { Kind::Careful })
}

fn organisation(headers: &HeaderMap) -> Result<Organisation, Refusal> {
    let text = headers.get(headers::ORGANISATION).and_then(|value| value.to_str().ok());
    Organisation::new(text.unwrap_or(ANONYMOUS))
        .map_err(|error| Refusal::not_run(Code::BadRequest, error.to_string()))
}

//! A caller's request with its record and retry policy.

use bytes::Bytes;
use egret_http::headers;
use egret_record::{IdempotencyKey, Organisation, Record, VersionDigest, View};
use egret_route::{Code, Refusal};
use http::{HeaderMap, Method};
use serde::Deserialize;

/// The organisation of requests without an organisation header.
const ANONYMOUS: &str = "anonymous";

/// A caller's request, with what routing needs.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Identifies the request in every process that handles it.
    pub(crate) id: String,
    pub(crate) record: Record,
    pub(crate) organisation: Organisation,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) retry: RetryPolicy,
}

/// How often a request may run, which decides whether it may be retried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It may be retried only if it certainly did not run.
    NonIdempotent,
    /// It may run at most once, even when the caller sends it again.
    Once(IdempotencyKey),
}

#[derive(Debug, Deserialize)]
struct ModelBody {
    model: String,
}

/// A request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct RequestParts {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// Determines the record of a request and its retry policy.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when no record matches, or a required header is missing or invalid.
    pub(crate) fn new(parts: RequestParts, view: &View) -> Result<Self, Refusal> {
        let path = parts.path.split('?').next().unwrap_or_default();
        let record = if path.starts_with("/v1/") {
            record_of_model(&parts.body, view)?
        } else {
            let stored = view.record_of_path(path).ok_or_else(|| {
                Refusal::not_run(Code::NoRecord, "no record takes this path; check the address")
            })?;
            stored.record.clone()
        };
        let retry = retry_policy(&record, &parts, path)?;
        let organisation = organisation(&parts.headers)?;
        Ok(Self {
            id: format!("{:016x}", rand::random::<u64>()),
            record,
            organisation,
            method: parts.method,
            path: parts.path,
            headers: parts.headers,
            body: parts.body,
            retry,
        })
    }

    /// Returns the digest that identifies a resend of this request.
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

fn retry_policy(record: &Record, parts: &RequestParts, path: &str) -> Result<RetryPolicy, Refusal> {
    let method = parts.method.as_str();
    if record.is_once(method, path) {
        let text =
            parts.headers.get(headers::IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
        return text.and_then(|text| IdempotencyKey::new(text).ok()).map(RetryPolicy::Once).ok_or_else(|| {
            let message = "this call runs at most once; send an Idempotency-Key header with 1 to \
                           200 visible characters, the same one with each resend";
            Refusal::not_run(Code::KeyMissing, message)
        });
    }
    let idempotent = record.is_idempotent(method, path);
    Ok(if idempotent { RetryPolicy::Idempotent } else { RetryPolicy::NonIdempotent })
}

fn organisation(headers: &HeaderMap) -> Result<Organisation, Refusal> {
    let text = headers.get(headers::ORGANISATION).and_then(|value| value.to_str().ok());
    Organisation::new(text.unwrap_or(ANONYMOUS))
        .map_err(|error| Refusal::not_run(Code::BadRequest, error.to_string()))
}

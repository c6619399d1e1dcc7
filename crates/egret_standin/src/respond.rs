//! HTTP responses of the stand-ins.

use bytes::Bytes;
use http::{StatusCode, header::CONTENT_TYPE};
use serde::Serialize;
use viz::{Body, Response};

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("plain data always encodes");
    full(status, "application/json", body)
}

/// Builds a response with a complete body.
pub(crate) fn full(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Body::Full(body.into().into()))
        .expect("fixed headers are valid")
}

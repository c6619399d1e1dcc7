//! Answers and refusals.

use bytes::Bytes;
use egret_route::Refusal;
use http::{
    HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use viz::{Body, Response};

use crate::headers;

/// Answers with a body.
///
/// # Panics
///
/// Panics when `content_type` is no header value, which a constant always is.
pub fn response(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Body::Full(body.into().into()))
        .expect("the content type is a header value")
}

/// Answers with JSON.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response {
    response(status, "application/json", body)
}

/// Answers with a refusal, and with when to come back.
#[must_use]
pub fn refuse(refusal: &Refusal) -> Response {
    let mut response = json(refusal.code.status(), refusal.body());
    let headers = response.headers_mut();
    headers.insert(headers::REFUSED, HeaderValue::from_static("1"));
    if let Some(seconds) = refusal.retry_seconds() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

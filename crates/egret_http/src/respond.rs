//! Responses, among them those to refused requests.

use bytes::Bytes;
use egret_route::Refusal;
use http::{
    HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use viz::{Body, Response};

use crate::headers;

/// Returns a response with a body.
///
/// # Panics
///
/// Panics if `content_type` is not a valid header value.
pub fn response(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Body::Full(body.into().into()))
        .expect("the content type is a valid header value")
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response {
    response(status, "application/json", body)
}

/// Returns the response for a refusal, with `Retry-After` if it has a retry time.
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

//! Which statuses end a request.

use http::StatusCode;

/// Returns whether a status is a final one of the protocol (RFC 9110, section 15): 200 to 599.
///
/// A response with any other status answers no request. An interim one is followed by the response
/// itself, and no switch of protocols is ever asked for.
///
/// ```
/// use http::StatusCode;
///
/// assert!(egret_http::is_final(StatusCode::SERVICE_UNAVAILABLE));
/// assert!(!egret_http::is_final(StatusCode::SWITCHING_PROTOCOLS));
/// assert!(!egret_http::is_final(StatusCode::from_u16(700).unwrap()));
/// ```
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

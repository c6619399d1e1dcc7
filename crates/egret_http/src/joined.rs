//! Response heads that two responses make up together.
//!
//! A faulty server may begin a response that nobody asked for and break it off within its head. The
//! next response on the connection then continues that head: its status line becomes the end of a
//! reason phrase or of a header's value, and the status is that of the first one.

use http::Response;
use hyper::ext::ReasonPhrase;

/// Returns whether a line of a response head contains the status line of another response.
///
/// Such a head says nothing of the request, whatever request it names.
///
/// ```
/// let mut response = http::Response::new(());
/// assert!(!egret_http::is_joined(&response));
/// let joined = "3e1bHTTP/1.1 500 Internal Server Error".parse().unwrap();
/// response.headers_mut().insert("x-note", joined);
/// assert!(egret_http::is_joined(&response));
/// ```
#[must_use]
pub fn is_joined<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(http::HeaderValue::as_bytes);
    reason.into_iter().chain(values).any(contains_status_line)
}

/// Returns whether a line contains the version and status that begin a response.
fn contains_status_line(line: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    const STATUS_LINE: usize = b"HTTP/1.1 200".len();
    line.windows(STATUS_LINE).any(|start| {
        let Some([minor, b' ', status @ ..]) = start.strip_prefix(VERSION) else { return false };
        minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
    })
}

//! The framing of event streams.
//!
//! A backend server may fail in the middle of an event, and another one resumes
//! after the last complete event. So only complete events are forwarded, and the
//! id of the last one is kept.

use bytes::{Buf as _, Bytes, BytesMut};

/// Maximum size of one event, in bytes; a stream with a larger one counts as broken.
pub const EVENT_BYTES_MAX: usize = 256 * 1024;

/// The fields of an event that the standard defines.
const FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];

/// One complete event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has exactly one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
    /// How the lines of its stream end.
    line_end: &'static [u8],
}

impl Event {
    /// Returns whether it consists of comments only, which are not part of the response.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n' || *byte == b'\r');
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }

    /// Returns whether it consists of fields or comments, with the line ends of its stream.
    ///
    /// Another text, as the head of an error response, may follow the last event of a server or
    /// stand in the middle of it. `is_extension` tells which other fields an event may have.
    ///
    /// ```
    /// use egret_http::EventReader;
    ///
    /// let mut reader = EventReader::default();
    /// reader.push(b"id: 7\ndata: a\n\nid: 8\nda");
    /// reader.push(b"HTTP/1.1 500 Internal Server Error\r\n\r\n");
    /// assert!(reader.next().unwrap().is_well_formed(|_| false));
    /// assert!(!reader.next().unwrap().is_well_formed(|_| false));
    /// ```
    #[must_use]
    pub fn is_well_formed(&self, is_extension: impl Fn(&[u8]) -> bool) -> bool {
        if self.is_comment() {
            return true;
        }
        for line in self.bytes.split_inclusive(|byte| *byte == b'\n') {
            let Some(line) = line.strip_suffix(self.line_end) else { return false };
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            // A line that begins with a colon is a comment.
            if !name.is_empty() && !FIELDS.contains(&name) && !is_extension(name) {
                return false;
            }
        }
        true
    }
}

/// Splits a byte stream into complete events.
///
/// ```
/// use egret_http::EventReader;
///
/// let mut reader = EventReader::default();
/// reader.push(b"id: 7\ndata: a\n\nid: 8\nda");
/// assert_eq!(reader.next().unwrap().id, Some(7));
/// assert!(reader.next().is_none(), "the second event is incomplete");
/// assert!(reader.is_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Number of bytes at the start in which no end of an event was found.
    searched: usize,
    /// The end of the lines of the first event that is more than comments.
    line_end: Option<&'static [u8]>,
}

impl EventReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether bytes are left that form no complete event yet.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the bytes that are left exceed the maximum size of an event.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > EVENT_BYTES_MAX
    }

    /// Finds the end of the first event, which is after an empty line.
    fn end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let bytes = &self.buffer[from..];
        let ends = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()];
        let found = ends.iter().filter_map(|end| {
            bytes
                .windows(end.len())
                .position(|window| window == *end)
                .map(|index| index + end.len())
        });
        match found.min() {
            Some(index) => Some(from + index),
            None => {
                self.searched = self.buffer.len();
                None
            }
        }
    }
}

impl Iterator for EventReader {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.buffer.copy_to_bytes(end);
        self.searched = 0;
        let own: &[u8] = if bytes.ends_with(b"\r\n\r\n") { b"\r\n" } else { b"\n" };
        let line_end = self.line_end.unwrap_or(own);
        let event = Event { id: event_id(&bytes), bytes, line_end };
        if !event.is_comment() {
            self.line_end = Some(line_end);
        }
        Some(event)
    }
}

/// Parses the only `id` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next().filter(|_| ids.next().is_none())?;
    let text = std::str::from_utf8(id).ok()?;
    text.trim().parse().ok()
}

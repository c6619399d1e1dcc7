//! The framing of event streams.
//!
//! A backend server may die in the middle of an event, and another goes on
//! after the last whole one. So only whole events are passed on, and the id of
//! the last one is kept.

use bytes::{Buf as _, Bytes, BytesMut};

/// Most bytes that one event may have; more of them without an event are taken for garbage.
pub(crate) const EVENT_BYTES: usize = 256 * 1024;

/// One whole event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

impl Event {
    /// Tells whether it has nothing but comments, which say nothing of the answer.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n' || *byte == b'\r');
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }
}

/// Cuts bytes into whole events.
///
/// ```
/// use egret_gateway::EventReader;
///
/// let mut reader = EventReader::default();
/// reader.push(b"id: 7\ndata: a\n\nid: 8\nda");
/// assert_eq!(reader.next().unwrap().id, Some(7));
/// assert!(reader.next().is_none(), "the second event is torn");
/// assert!(reader.is_torn());
/// ```
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Bytes at the start in which no end of an event was found.
    searched: usize,
}

impl EventReader {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Tells whether part of an event is there.
    #[must_use]
    pub fn is_torn(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Tells whether what is there cannot be an event.
    #[must_use]
    pub fn is_garbage(&self) -> bool {
        self.buffer.len() > EVENT_BYTES
    }

    /// Finds the end of the first event: after an empty line.
    fn end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let bytes = &self.buffer[from..];
        let ends = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()];
        let found = ends.iter().filter_map(|end| {
            bytes.windows(end.len()).position(|window| window == *end).map(|at| at + end.len())
        });
        match found.min() {
            Some(at) => Some(from + at),
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
        Some(Event { id: event_id(&bytes), bytes })
    }
}

/// Reads the last `id` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}

//! One attempt of a request at one backend server, through its agent.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use egret_http::{Event, EventReader, HttpClient, SendError, headers, read_whole};
use egret_route::{Code, Refusal};
use futures::{StreamExt as _, stream};
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{ACCEPT, CONTENT_TYPE},
};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use viz::Body;

use crate::call::{Call, RetryPolicy};

/// Maximum size of an answer that is not a stream, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
/// A line of the last event of a complete stream.
const END_MARKER: &[u8] = b"data: [DONE]";

/// The agent's load and limit, from the headers of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) limit: u32,
}

/// A complete answer, or a stream that has begun.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) content_type: HeaderValue,
    pub(crate) version: Option<HeaderValue>,
    pub(crate) body: AnswerBody,
}

/// The body of an [`Answer`].
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Bytes),
    Stream(Incoming),
}

/// The result of one attempt, with the agent's load if it was reported.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) result: Result<Answer, Refusal>,
    pub(crate) load: Option<Load>,
}

/// Sends a request to an agent and reads its answer.
pub(crate) async fn forward(
    client: &HttpClient,
    call: &Call,
    agent: SocketAddr,
    deadline: Instant,
) -> Attempt {
    let request = match request(call, agent, deadline) {
        Ok(request) => request,
        Err(refusal) => return Attempt { result: Err(refusal), load: None },
    };
    let response = match timeout_at(deadline, client.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(SendError::NotSent(error))) => {
            let message = format!("the backend server's agent is not there: {error}");
            return failed(Refusal::not_run(Code::NoBackend, message));
        }
        Ok(Err(SendError::MaybeSent(error))) => {
            return failed(Refusal::unknown(Code::BrokenAnswer, error));
        }
        Err(_) => return failed(deadline_passed()),
    };
    let load = load_of(response.headers());
    Attempt { result: read_answer(response, call, deadline).await, load }
}

async fn read_answer(
    response: Response<Incoming>,
    call: &Call,
    deadline: Instant,
) -> Result<Answer, Refusal> {
    let (head, body) = response.into_parts();
    let refused = head.headers.contains_key(headers::REFUSED);
    let same_request =
        head.headers.get(headers::REQUEST_ID).is_some_and(|id| id.as_bytes() == call.id.as_bytes());
    // A refusal is proof only for the request that it names: another may be a late copy.
    if !same_request {
        log::error!("event=answer_crossed request={}", call.id);
        let message = "the answer belongs to another request";
        return Err(Refusal::unknown(Code::BrokenAnswer, message));
    }
    let content_type = head
        .headers
        .get(CONTENT_TYPE)
        .cloned()
        .unwrap_or(HeaderValue::from_static("application/octet-stream"));
    let version = head.headers.get(headers::VERSION).cloned();
    if !refused && content_type.as_bytes().starts_with(b"text/event-stream") {
        let body = AnswerBody::Stream(body);
        return Ok(Answer { status: head.status, content_type, version, body });
    }
    let body = match timeout_at(deadline, read_whole(body, ANSWER_BYTES_MAX)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(Refusal::unknown(Code::BrokenAnswer, error.to_string())),
        Err(_) => return Err(deadline_passed()),
    };
    if refused {
        let unreadable = || Refusal::unknown(Code::BrokenAnswer, "the refusal cannot be read");
        return Err(Refusal::parse(&body).unwrap_or_else(unreadable));
    }
    let body = AnswerBody::Whole(body);
    Ok(Answer { status: head.status, content_type, version, body })
}

/// Forwards an agent's event stream up to its end marker; without one, it ends with an `error`
/// event.
///
/// `guard` is dropped when the stream ends.
pub(crate) fn stream_body(body: Incoming, guard: impl Send + 'static) -> Body {
    let relay = EventRelay {
        body: BodyDataStream::new(body),
        reader: EventReader::default(),
        complete: false,
        broken: false,
    };
    let events = stream::unfold(Some((relay, guard)), |state| async move {
        let (mut relay, guard) = state?;
        match relay.next().await? {
            Ok(events) => Some((Ok::<_, std::io::Error>(events), Some((relay, guard)))),
            Err(StreamCut) => {
                let message = "the stream was cut; ask again";
                let refusal = Refusal::unknown(Code::BrokenAnswer, message);
                let mut event = b"event: error\ndata: ".to_vec();
                event.extend(refusal.body());
                event.extend(b"\n\n");
                Some((Ok(Bytes::from(event)), None))
            }
        }
    });
    Body::from_stream(events.boxed())
}

/// A stream that ended before its end marker, or holds something else than events.
struct StreamCut;

/// The whole events of a stream, up to its end marker.
struct EventRelay {
    body: BodyDataStream<Incoming>,
    reader: EventReader,
    /// Whether the end marker was forwarded.
    complete: bool,
    /// Whether something else than an event came.
    broken: bool,
}

impl EventRelay {
    /// Returns the next events, or none at the end of a complete stream.
    async fn next(&mut self) -> Option<Result<Bytes, StreamCut>> {
        loop {
            let events = self.whole_events();
            if !events.is_empty() {
                return Some(Ok(events));
            }
            if self.broken {
                return Some(Err(StreamCut));
            }
            match self.body.next().await {
                // What follows the end marker is no part of the stream.
                Some(Ok(_)) if self.complete => {}
                Some(Ok(data)) => self.reader.push(&data),
                _ if self.complete => return None,
                _ => return Some(Err(StreamCut)),
            }
        }
    }

    /// Takes the whole events out of the reader.
    fn whole_events(&mut self) -> Bytes {
        let mut events = BytesMut::new();
        while !self.complete && !self.broken {
            let Some(event) = self.reader.next() else { break };
            self.broken = !event.is_well_formed(|_| false);
            if !self.broken {
                self.complete = is_end_marker(&event);
                events.extend_from_slice(&event.bytes);
            }
        }
        self.broken |= !self.complete && self.reader.is_oversized();
        events.freeze()
    }
}

fn is_end_marker(event: &Event) -> bool {
    event.bytes.split(|byte| *byte == b'\n').any(|line| line.trim_ascii_end() == END_MARKER)
}

fn request(
    call: &Call,
    agent: SocketAddr,
    deadline: Instant,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{agent}{}", call.path))
        .header(headers::REQUEST_ID, &call.id)
        .header(headers::RECORD, call.record.name.as_str())
        .header(headers::ORGANISATION, call.organisation.as_str())
        .header(headers::DEADLINE, u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
    if matches!(call.retry, RetryPolicy::Once(_)) {
        request = request.header(headers::ONCE, "1");
    }
    for name in [CONTENT_TYPE.as_str(), ACCEPT.as_str(), headers::IDEMPOTENCY_KEY] {
        if let Some(value) = call.headers.get(name) {
            request = request.header(name, value);
        }
    }
    request.body(Full::new(call.body.clone())).map_err(|error| {
        Refusal::not_run(Code::BadRequest, format!("the request cannot be passed on: {error}"))
    })
}

fn load_of(headers: &HeaderMap) -> Option<Load> {
    let (running, limit) = headers.get(headers::LOAD)?.to_str().ok()?.split_once('/')?;
    Some(Load { running: running.parse().ok()?, limit: limit.parse().ok()? })
}

fn deadline_passed() -> Refusal {
    Refusal::unknown(Code::DeadlinePassed, "the answer did not come in time")
}

const fn failed(refusal: Refusal) -> Attempt {
    Attempt { result: Err(refusal), load: None }
}

//! Event streams, with failover to another backend server.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use egret_http::{EVENT_BYTES_MAX, EventReader};
use egret_quarantine::SURVIVAL_TIME;
use egret_record::{PartList, RouteKind};
use egret_route::Failure;
use futures::{Stream, stream};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    ResponseAborted,
    attempt::{Outcome, attempt, is_event_stream, is_framed},
    backend::Connection,
    exchange::Job,
    gateway::Gateway,
    slot::Slot,
};

/// A backend server counts as silent after this many times the gap objective of the route.
const SILENCE_FACTOR: u32 = 3;
/// Shortest time after which a backend server counts as silent.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(900);

/// Forwards an event stream to a caller; the request is cancelled when dropped.
#[derive(Debug)]
pub(crate) struct Relay {
    gateway: Rc<Gateway>,
    job: Job,
    slot: Slot,
    connection: Option<Connection>,
    body: Incoming,
    keep_alive: Option<Duration>,
    reader: EventReader,
    /// When events other than comments were last forwarded.
    last_forwarded: Option<Duration>,
    /// Time from the caller's first attempt to the first event.
    first_delay: Duration,
    /// Longest pause between two events.
    longest_pause: Duration,
    /// When events other than comments were last forwarded, or the backend server started.
    last_active: Duration,
    /// Bytes that were read since then.
    idle_bytes: usize,
    /// Whether the events to be forwarded next are more than comments.
    has_content: bool,
    /// Whether to wait for a silent backend server, because no other one can continue.
    keep_waiting: bool,
    /// When the backend server began to write, once its first event was forwarded.
    began: Option<Duration>,
    /// Whether its answer was recorded as one that crashes no server.
    answer_recorded: bool,
    /// Whether the body has a length or chunks, so that its end shows that it is complete.
    is_framed: bool,
    /// Whether the next event, comments aside, is the first of a backend server that resumes the
    /// stream.
    resumed: bool,
    /// Set while complete events before the break are still to be forwarded.
    pending_break: Option<Break>,
    ended: bool,
}

/// Why a backend server does not continue a stream; logged as `how` under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    /// The stream ended early.
    Cut,
    /// It sent no events for too long.
    Silent,
    /// Its events do not follow the last one.
    Gap,
    /// It sent something else than events.
    Foreign,
}

impl Relay {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        job: Job,
        slot: Slot,
        connection: Connection,
        body: Incoming,
        keep_alive: Option<Duration>,
        is_framed: bool,
    ) -> Self {
        let last_active = gateway.now();
        Self {
            gateway,
            job,
            slot,
            connection: Some(connection),
            body,
            keep_alive,
            reader: EventReader::default(),
            last_forwarded: None,
            first_delay: Duration::ZERO,
            longest_pause: Duration::ZERO,
            last_active,
            idle_bytes: 0,
            has_content: false,
            keep_waiting: false,
            began: None,
            answer_recorded: false,
            is_framed,
            resumed: false,
            pending_break: None,
            ended: false,
        }
    }

    /// Returns the events as a stream of bytes, several in one piece if available.
    pub(crate) fn into_stream(
        self,
    ) -> impl Stream<Item = Result<Bytes, ResponseAborted>> + 'static {
        stream::unfold(self, |mut relay| async {
            let piece = relay.next().await?;
            Some((piece, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        while !self.ended {
            let broken = match self.complete_events() {
                Ok(Some(events)) => {
                    self.record_progress();
                    return Some(Ok(events));
                }
                Ok(None) => match self.read().await {
                    Ok(true) => continue,
                    Ok(false) => break,
                    Err(broken) => broken,
                },
                Err(broken) => broken,
            };
            if !self.recover(broken).await {
                self.ended = true;
                return Some(Err(ResponseAborted));
            }
        }
        None
    }

    /// Records when events are forwarded, for the log of late streams and the silence timeout.
    fn record_progress(&mut self) {
        if !std::mem::take(&mut self.has_content) {
            return;
        }
        let now = self.gateway.now();
        self.last_active = now;
        self.idle_bytes = 0;
        let began = *self.began.get_or_insert(now);
        if now >= began + SURVIVAL_TIME {
            self.record_answer(began);
        }
        match self.last_forwarded.replace(now) {
            Some(last) => self.longest_pause = self.longest_pause.max(now - last),
            None => self.first_delay = now - self.job.first_attempt,
        }
    }

    fn record_answer(&mut self, began: Duration) {
        if !std::mem::replace(&mut self.answer_recorded, true) {
            self.gateway.record_answer(&self.job.parts, began);
        }
    }

    /// Takes the complete events out of the reader; the next call returns a break after them.
    fn complete_events(&mut self) -> Result<Option<Bytes>, Break> {
        if let Some(broken) = self.pending_break.take() {
            return Err(broken);
        }
        let mut events = BytesMut::new();
        // The caller has the events up to the one after which it resumes.
        let resumable = self.job.route.kind == RouteKind::Stream { resumable: true };
        let start = self.job.call.resume_after.filter(|_| resumable);
        for event in self.reader.by_ref() {
            let is_field = |name: &[u8]| self.gateway.protocol.is_event_field(name);
            let has_id = event.id.is_some() || event.is_comment();
            if !has_id || !event.is_well_formed(is_field) {
                self.pending_break = Some(Break::Foreign);
                break;
            }
            if let (Some(id), Some(last)) = (event.id, self.job.last_event.or(start)) {
                if self.resumed && id <= last {
                    continue;
                }
                if id != last + 1 {
                    self.pending_break = Some(Break::Gap);
                    break;
                }
            }
            let is_comment = event.is_comment();
            self.has_content |= !is_comment;
            self.resumed &= is_comment;
            self.job.last_event = event.id.or(self.job.last_event);
            events.extend_from_slice(&event.bytes);
        }
        if self.reader.is_oversized() {
            self.pending_break = Some(Break::Cut);
        }
        if events.is_empty() {
            return self.pending_break.take().map_or(Ok(None), Err);
        }
        Ok(Some(events.freeze()))
    }

    /// Reads the next frame; returns whether the stream continues.
    async fn read(&mut self) -> Result<bool, Break> {
        let now = self.gateway.now();
        let left = self.job.deadline.saturating_sub(now);
        // `timeout` polls the body first, so it does not expire while data is always ready.
        if left.is_zero() {
            return Err(Break::Silent);
        }
        if self.idle_bytes > EVENT_BYTES_MAX {
            return Err(Break::Cut);
        }
        let silence = (self.job.route.gap_objective * SILENCE_FACTOR).max(SILENCE_TIMEOUT_MIN);
        // Bytes that form no complete event do not extend the timeout.
        let wait =
            if self.keep_waiting { left } else { (self.last_active + silence).saturating_sub(now) };
        match timeout(wait.min(left), self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    self.idle_bytes += bytes.len();
                    self.reader.push(&bytes);
                }
                Ok(true)
            }
            Ok(Some(Err(_))) => Err(Break::Cut),
            Ok(None) if self.reader.is_partial() => Err(Break::Cut),
            // Without an event, nothing shows that it is more than the end of the server.
            Ok(None) if !self.is_framed && self.began.is_none() => Err(Break::Cut),
            // Only the events before the break came; nothing shows that they were all.
            Ok(None) if self.resumed => Err(Break::Gap),
            Ok(None) => {
                self.ended = true;
                match self.began {
                    Some(_) if self.is_framed => self.record_answer(now),
                    Some(began) if !self.answer_recorded => {
                        self.gateway.record_close(&self.slot.backend, &self.job, began);
                    }
                    _ => {}
                }
                if let Some(connection) = self.connection.take() {
                    self.slot.backend.recycle(connection, self.keep_alive, now);
                }
                self.log_end(now);
                Ok(false)
            }
            Err(_) => Err(Break::Silent),
        }
    }

    /// Logs the end of a stream; if it was late, at the info level, which is always recorded.
    fn log_end(&self, now: Duration) {
        let route = &self.job.route;
        let late = self.first_delay > route.objective || self.longest_pause > route.gap_objective;
        let level = if late { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=stream_ended request={} backend={} late={late} first_ms={} pause_ms={} \
             age_ms={} runs={} last_event={:?} took_ms={}",
            self.job.call.id,
            self.slot.backend.status.borrow().id,
            self.first_delay.as_millis(),
            self.longest_pause.as_millis(),
            (self.job.arrived - self.job.first_attempt).as_millis(),
            self.job.runs,
            self.job.last_event,
            (now - self.job.arrived).as_millis()
        );
    }

    /// Fails over to another backend server; returns whether the stream continues.
    async fn recover(&mut self, broken: Break) -> bool {
        let id = self.slot.backend.status.borrow().id.clone();
        log::info!(
            "event=stream_broken request={} backend={id} how={broken:?} last_event={:?} left_ms={} \
             parts={}",
            self.job.call.id,
            self.job.last_event,
            self.job.deadline.saturating_sub(self.gateway.now()).as_millis(),
            PartList(&self.job.parts)
        );
        if broken != Break::Silent {
            self.connection = None;
        }
        let failure =
            if broken == Break::Silent { Failure::Unreachable } else { Failure::BadResponse };
        // An engine that changes its weights stops running requests, which is not a failure.
        let address = self.slot.backend.status.borrow().address;
        let planned = broken == Break::Cut && self.gateway.is_switching(&address);
        if !planned && self.gateway.now() < self.job.deadline {
            self.slot.backend.breaker.borrow_mut().record_failure(failure, self.gateway.now());
        }
        if !planned && broken == Break::Cut {
            self.gateway.record_break(&self.slot.backend, &self.job, self.began);
        }
        self.job.avoid.insert(id);
        self.job.runs += 1;
        if self.fail_over().await {
            return true;
        }
        // It may only be slow; ending the stream would not help.
        self.keep_waiting = broken == Break::Silent && self.gateway.now() < self.job.deadline;
        self.keep_waiting
    }

    /// Tries other backend servers; returns whether one resumes the stream.
    async fn fail_over(&mut self) -> bool {
        if self.job.route.kind != (RouteKind::Stream { resumable: true }) {
            return false;
        }
        while self.gateway.retry(&self.job, "stream").await.is_ok() {
            match self.resume_elsewhere().await {
                Some(true) => return true,
                Some(false) => {}
                None => return false,
            }
        }
        false
    }

    /// Tries one more backend server; returns none when there is no other.
    async fn resume_elsewhere(&mut self) -> Option<bool> {
        let gateway = self.gateway.clone();
        let slot = gateway.acquire_slot(&self.job).await.ok()?;
        let id = slot.backend.status.borrow().id.clone();
        let head_timeout = gateway.head_timeout(&self.job);
        let response = match attempt(&gateway, &self.job, &slot, head_timeout).await {
            Outcome::Response(response) if is_event_stream(&response.head) => response,
            Outcome::Response(_) | Outcome::Broken => {
                self.job.avoid.insert(id);
                self.job.runs += 1;
                return Some(false);
            }
            Outcome::NotSent | Outcome::NotRun => {
                self.job.avoid.insert(id);
                return Some(false);
            }
        };
        slot.backend.breaker.borrow_mut().record_success();
        self.slot = slot;
        self.connection = Some(response.connection);
        self.body = response.body;
        self.keep_alive = response.meta.keep_alive;
        self.reader = EventReader::default();
        self.pending_break = None;
        self.last_active = gateway.now();
        self.idle_bytes = 0;
        self.keep_waiting = false;
        self.began = None;
        self.answer_recorded = false;
        self.is_framed = is_framed(&response.head.headers);
        self.resumed = true;
        Some(true)
    }
}

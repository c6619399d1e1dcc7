//! A stream of events that goes on at another backend server.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use egret_record::RouteKind;
use egret_route::Failure;
use futures::{Stream, stream};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    ResponseAborted,
    attempt::{Outcome, attempt},
    backend::Connection,
    events::{EVENT_BYTES, EventReader},
    exchange::Job,
    gateway::Gateway,
    slots::Slot,
};

/// Pauses on time after which a silent backend server is left.
const PAUSES: u32 = 3;
/// Shortest silence after which a backend server is left.
const SILENCE_MIN: Duration = Duration::from_millis(900);

/// A stream on its way to a caller; dropping it cancels the request.
#[derive(Debug)]
pub(crate) struct Relay {
    gateway: Rc<Gateway>,
    job: Job,
    slot: Slot,
    connection: Option<Connection>,
    body: Incoming,
    keep: Option<Duration>,
    reader: EventReader,
    /// When the last events were passed on.
    passed: Option<Duration>,
    /// Time from the caller's first try to the first event.
    first: Duration,
    /// Longest pause between two events.
    pause: Duration,
    /// When the last event of the answer was passed on, or the backend server began.
    quiet: Duration,
    /// Bytes that were read since then.
    idle: usize,
    /// Whether the events that are passed on next say something of the answer.
    lively: bool,
    /// Whether a silent backend server is waited for, since no other one can go on.
    patient: bool,
    /// Whether the next event is the first of a backend server that goes on.
    joined: bool,
    /// Set while whole events before the break still wait to be passed on.
    broken: Option<Break>,
    ended: bool,
}

/// Why a backend server does not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    /// It broke off.
    Cut,
    /// It said nothing for too long.
    Silent,
    /// Its events do not follow the last one.
    Gap,
}

impl Relay {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        job: Job,
        slot: Slot,
        connection: Connection,
        body: Incoming,
        keep: Option<Duration>,
    ) -> Self {
        let quiet = gateway.now();
        Self {
            gateway,
            job,
            slot,
            connection: Some(connection),
            body,
            keep,
            reader: EventReader::default(),
            passed: None,
            first: Duration::ZERO,
            pause: Duration::ZERO,
            quiet,
            idle: 0,
            lively: false,
            patient: false,
            joined: false,
            broken: None,
            ended: false,
        }
    }

    /// Returns the events, several at once where several are there.
    pub(crate) fn pieces(self) -> impl Stream<Item = Result<Bytes, ResponseAborted>> + 'static {
        stream::unfold(self, |mut relay| async {
            let piece = relay.next().await?;
            Some((piece, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        while !self.ended {
            let broken = match self.whole_events() {
                Ok(Some(events)) => {
                    self.note_pass();
                    return Some(Ok(events));
                }
                Ok(None) => match self.read().await {
                    Ok(true) => continue,
                    Ok(false) => break,
                    Err(broken) => broken,
                },
                Err(broken) => broken,
            };
            if !self.go_on(broken).await {
                self.ended = true;
                return Some(Err(ResponseAborted));
            }
        }
        None
    }

    /// Notes when events are passed on, for whoever asks why a stream was late.
    fn note_pass(&mut self) {
        if !std::mem::take(&mut self.lively) {
            return;
        }
        let now = self.gateway.now();
        self.quiet = now;
        self.idle = 0;
        match self.passed.replace(now) {
            Some(last) => self.pause = self.pause.max(now - last),
            None => self.first = now - self.job.since,
        }
    }

    /// Takes out the whole events that are there.
    fn whole_events(&mut self) -> Result<Option<Bytes>, Break> {
        if let Some(broken) = self.broken.take() {
            return Err(broken);
        }
        let mut events = BytesMut::new();
        for event in self.reader.by_ref() {
            if let (Some(id), Some(last)) = (event.id, self.job.last_event) {
                if self.joined && id <= last {
                    continue;
                }
                if id != last + 1 {
                    self.broken = Some(Break::Gap);
                    break;
                }
            }
            self.lively |= event.id.is_some() || !event.is_comment();
            self.joined = false;
            self.job.last_event = event.id.or(self.job.last_event);
            events.extend_from_slice(&event.bytes);
        }
        if self.reader.is_garbage() {
            self.broken = Some(Break::Cut);
        }
        if events.is_empty() {
            return self.broken.take().map_or(Ok(None), Err);
        }
        Ok(Some(events.freeze()))
    }

    /// Reads more; tells whether the stream goes on.
    async fn read(&mut self) -> Result<bool, Break> {
        let now = self.gateway.now();
        let left = self.job.deadline.saturating_sub(now);
        // Bytes that are always there would never let the time run out.
        if left.is_zero() {
            return Err(Break::Silent);
        }
        if self.idle > EVENT_BYTES {
            return Err(Break::Cut);
        }
        let silence = (self.job.route.gap_objective * PAUSES).max(SILENCE_MIN);
        // Bytes that make no whole event are no sign of life.
        let wait = if self.patient { left } else { (self.quiet + silence).saturating_sub(now) };
        match timeout(wait.min(left), self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    self.idle += bytes.len();
                    self.reader.push(&bytes);
                }
                Ok(true)
            }
            Ok(Some(Err(_))) => Err(Break::Cut),
            Ok(None) if self.reader.is_torn() => Err(Break::Cut),
            Ok(None) => {
                self.ended = true;
                if let Some(connection) = self.connection.take() {
                    self.slot.backend.keep(connection, self.keep, now);
                }
                self.log_end(now);
                Ok(false)
            }
            Err(_) => Err(Break::Silent),
        }
    }

    /// Logs the end of a stream; one that was late as an event that is always kept.
    fn log_end(&self, now: Duration) {
        let route = &self.job.route;
        let late = self.first > route.objective || self.pause > route.gap_objective;
        let level = if late { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=stream_ended request={} backend={} late={late} first_ms={} pause_ms={} \
             age_ms={} runs={} last_event={:?} took_ms={}",
            self.job.call.id,
            self.slot.backend.status.borrow().id,
            self.first.as_millis(),
            self.pause.as_millis(),
            (self.job.arrived - self.job.since).as_millis(),
            self.job.runs,
            self.job.last_event,
            (now - self.job.arrived).as_millis()
        );
    }

    /// Goes on at another backend server; tells whether that was possible.
    async fn go_on(&mut self, broken: Break) -> bool {
        let id = self.slot.backend.status.borrow().id.clone();
        log::info!(
            "event=stream_broken request={} backend={id} how={broken:?} last_event={:?} left_ms={}",
            self.job.call.id,
            self.job.last_event,
            self.job.deadline.saturating_sub(self.gateway.now()).as_millis()
        );
        if broken != Break::Silent {
            self.connection = None;
        }
        let failure =
            if broken == Break::Silent { Failure::Unreachable } else { Failure::BadResponse };
        // An engine that changes its weights cuts off what runs there, and is well.
        let address = self.slot.backend.status.borrow().address;
        let planned = broken == Break::Cut && self.gateway.is_switching(&address);
        if !planned && self.gateway.now() < self.job.deadline {
            self.slot.backend.health.borrow_mut().record_failure(failure, self.gateway.now());
        }
        self.job.avoid.insert(id);
        self.job.runs += 1;
        if self.move_on().await {
            return true;
        }
        // It may only be slow; cutting it off would help nobody.
        self.patient = broken == Break::Silent && self.gateway.now() < self.job.deadline;
        self.patient
    }

    /// Tries other backend servers; tells whether one goes on.
    async fn move_on(&mut self) -> bool {
        if self.job.route.kind != (RouteKind::Stream { resumable: true }) {
            return false;
        }
        while self.gateway.repeat(&self.job, "stream").is_ok() {
            match self.rejoin().await {
                Some(true) => return true,
                Some(false) => {}
                None => return false,
            }
        }
        false
    }

    /// Tries one more backend server; none when there is no other.
    async fn rejoin(&mut self) -> Option<bool> {
        let gateway = self.gateway.clone();
        let slot = gateway.place_for(&self.job).await.ok()?;
        let id = slot.backend.status.borrow().id.clone();
        let patience = gateway.head_patience(&self.job);
        let answer = match attempt(&gateway, &self.job, &slot, patience).await {
            Outcome::Answer(answer) if answer.head.status.is_success() => answer,
            Outcome::Answer(_) | Outcome::Broken => {
                self.job.avoid.insert(id);
                self.job.runs += 1;
                return Some(false);
            }
            Outcome::NotSent | Outcome::NotRun => {
                self.job.avoid.insert(id);
                return Some(false);
            }
        };
        slot.backend.health.borrow_mut().record_success();
        self.slot = slot;
        self.connection = Some(answer.connection);
        self.body = answer.body;
        self.keep = answer.said.keep_alive;
        self.reader = EventReader::default();
        self.broken = None;
        self.quiet = gateway.now();
        self.idle = 0;
        self.patient = false;
        self.joined = true;
        Some(true)
    }
}

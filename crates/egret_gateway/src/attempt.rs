//! One try at one backend server.

use std::time::Duration;

use egret_fleet::START_DELAY_MAX;
use egret_route::Failure;
use http::response;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    BackendHead, backend::Connection, exchange::Job, gateway::Gateway, protocol::AttemptHead,
    slots::Slot,
};

/// How long a backend server that refused for lack of room gets nothing.
const FULL_TIME: Duration = Duration::from_millis(60);

/// Longest time to connect over a link that is well.
const SHORT_WAY: Duration = Duration::from_millis(80);

/// Time that a cancelled request takes to be gone at an engine, and by which namings are dated late.
const CANCEL_TIME: Duration = Duration::from_millis(300);

/// What came of a try.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The head of an answer, with the connection on which its body follows.
    Answer(Box<Answer>),
    /// The request was certainly not sent.
    NotSent,
    /// The backend server says that it did not run the request.
    NotRun,
    /// The request may have run; nothing of an answer can be used.
    Broken,
}

/// The beginning of an answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) said: BackendHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// Sends a request to the backend server of `slot` and waits for the head of its answer.
pub(crate) async fn attempt(
    gateway: &Gateway,
    job: &Job,
    slot: &Slot,
    patience: Duration,
) -> Outcome {
    let started = gateway.now();
    let left = job.deadline.saturating_sub(started);
    let backend = &slot.backend;
    let id = backend.status.borrow().id.clone();
    let outcome = |what: &str, detail: &dyn std::fmt::Display| {
        log::info!(
            "event=attempt request={} backend={id} outcome={what} after_ms={} left_ms={} {detail}",
            job.call.id,
            (gateway.now() - started).as_millis(),
            left.as_millis()
        );
    };
    let fresh = !job.route.kind.is_repeatable() || slot.expires.is_some();
    let mut connection = match backend.connect(fresh, started).await {
        Ok(connection) => connection,
        Err(error) => {
            outcome("not_sent", &format_args!("error=\"{error}\""));
            backend.health.borrow_mut().record_failure(Failure::Unreachable, gateway.now());
            return Outcome::NotSent;
        }
    };
    let connected = gateway.now() - started;
    if slot.expires.is_some() && connected > SHORT_WAY {
        outcome("not_sent", &format_args!("connected_ms={}", connected.as_millis()));
        backend.health.borrow_mut().record_failure(Failure::Unreachable, gateway.now());
        return Outcome::NotSent;
    }
    let told = AttemptHead {
        instance: &id,
        timeout: job.deadline.saturating_sub(gateway.now()),
        organisation: job.organisation.as_ref().map(|one| one.name.as_str()),
        version: slot.version,
        urgent: slot.expires.is_some_and(|due| due < gateway.now() + START_DELAY_MAX),
        resume_after: job.last_event.or(job.call.resume_after),
    };
    let request = gateway.wire.backend_request(&job.head, &job.body, &told);
    let last = slot.expires.map(|due| due.saturating_sub(gateway.now() + CANCEL_TIME));
    let wait = last.unwrap_or(Duration::MAX).min(patience).min(left);
    let response = timeout(wait, connection.sender.send_request(request)).await;
    let response = match response {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            outcome("broken", &format_args!("reused={} error=\"{error}\"", connection.reused));
            // A kept connection may just have been closed by the other side.
            let failure =
                if connection.reused { Failure::BadResponse } else { Failure::Unreachable };
            backend.forget_idle();
            backend.health.borrow_mut().record_failure(failure, gateway.now());
            return Outcome::Broken;
        }
        Err(_) if Some(wait) == last => {
            // It waits at the engine; begun later, it would be answered by the old weights.
            outcome("expired", &format_args!("reused={}", connection.reused));
            return Outcome::Broken;
        }
        Err(_) => {
            outcome("silent", &format_args!("reused={}", connection.reused));
            backend.forget_idle();
            backend.health.borrow_mut().record_failure(Failure::Unreachable, gateway.now());
            return Outcome::Broken;
        }
    };
    let (head, body) = response.into_parts();
    let said = gateway.wire.backend_head(&head);
    gateway.note_hold(backend, &said);
    if said.request.as_deref().is_some_and(|request| request != job.call.id) {
        outcome("crossed", &format_args!("other={:?}", said.request));
        backend.health.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
        return Outcome::Broken;
    }
    if let Some(cold) = said.cold_for {
        let now = gateway.now();
        gateway.chill(backend, now + cold, now);
    }
    if said.not_run {
        outcome("not_run", &format_args!("status={} mismatch={}", head.status, said.mismatch));
        if !said.mismatch {
            backend.full_until.set(gateway.now() + FULL_TIME);
            backend.was_full(gateway.now());
        }
        return Outcome::NotRun;
    }
    let usable = said.signed && said.request.is_some();
    if !usable || is_promise(head.status) {
        outcome("unusable", &format_args!("status={} signed={}", head.status, said.signed));
        backend.health.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
        return Outcome::Broken;
    }
    let now = gateway.now();
    backend.answered(now - started, job.route.objective, now);
    gateway.places.answered(&job.service, now - started);
    Outcome::Answer(Box::new(Answer { head, said, body, connection }))
}

/// Tells whether callers take a status for a promise that the request did not run.
fn is_promise(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

//! One attempt at one backend server.

use std::time::Duration;

use egret_fleet::START_DELAY_MAX;
use egret_http::{is_final, is_joined};
use egret_record::PartList;
use egret_route::Failure;
use http::{
    HeaderMap, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
    response,
};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    BackendHead, backend::Connection, exchange::Job, gateway::Gateway, protocol::AttemptHead,
    slot::Slot,
};

/// Time for which a backend server gets no requests after it refused one because it was full.
const FULL_DELAY: Duration = Duration::from_millis(60);

/// Longest time to connect over a link that works well.
const CONNECT_TIME_MAX: Duration = Duration::from_millis(80);

/// Time before the weights of an engine are due at which a request to it is cancelled.
///
/// Covers the time until the engine drops the request, and the time that version announcements take
/// to arrive, by which they are dated late.
const CANCEL_MARGIN: Duration = Duration::from_millis(300);

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The backend server responded.
    Response(Box<BackendResponse>),
    /// The request was certainly not sent.
    NotSent,
    /// The backend server stated that it did not run the request.
    NotRun,
    /// The request may have run, but there is no usable response.
    Broken,
}

/// The head of a response, with the connection on which its body follows.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    pub(crate) head: response::Parts,
    pub(crate) meta: BackendHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// Sends a request to the backend server of `slot` and waits for the head of its response.
pub(crate) async fn attempt(
    gateway: &Gateway,
    job: &Job,
    slot: &Slot,
    head_timeout: Duration,
) -> Outcome {
    let started = gateway.now();
    let left = job.deadline.saturating_sub(started);
    let backend = &slot.backend;
    let id = backend.status.borrow().id.clone();
    let outcome = |what: &str, detail: &dyn std::fmt::Display| {
        log::info!(
            "event=attempt request={} backend={id} outcome={what} after_ms={} left_ms={} \
             parts={} {detail}",
            job.call.id,
            (gateway.now() - started).as_millis(),
            left.as_millis(),
            PartList(&job.parts)
        );
    };
    let fresh = !job.route.kind.is_repeatable() || slot.expires.is_some();
    let mut connection = match backend.connect(fresh, started).await {
        Ok(connection) => connection,
        Err(error) => {
            outcome("not_sent", &format_args!("error=\"{error}\""));
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                gateway.record_end(backend);
            }
            backend.breaker.borrow_mut().record_failure(Failure::Unreachable, gateway.now());
            return Outcome::NotSent;
        }
    };
    let connected = gateway.now() - started;
    if slot.expires.is_some() && connected > CONNECT_TIME_MAX {
        outcome("not_sent", &format_args!("connected_ms={}", connected.as_millis()));
        backend.breaker.borrow_mut().record_failure(Failure::Unreachable, gateway.now());
        return Outcome::NotSent;
    }
    let attempt_head = AttemptHead {
        instance: &id,
        timeout: job.deadline.saturating_sub(gateway.now()),
        organisation: job.organisation.as_ref().map(|organisation| organisation.name.as_str()),
        version: slot.version,
        urgent: slot.expires.is_some_and(|due| due < gateway.now() + START_DELAY_MAX),
        resume_after: job.last_event.or(job.call.resume_after),
    };
    if !gateway.use_admission(job) {
        outcome("not_sent", &"part=blocked");
        return Outcome::NotSent;
    }
    if !slot.use_permit(gateway.now()) {
        outcome("not_sent", &"permit=expired");
        return Outcome::NotSent;
    }
    let request = gateway.protocol.backend_request(&job.head, &job.body, &attempt_head);
    let until_due = slot.expires.map(|due| due.saturating_sub(gateway.now() + CANCEL_MARGIN));
    let wait = until_due.unwrap_or(Duration::MAX).min(head_timeout).min(left);
    let response = timeout(wait, connection.sender.send_request(request)).await;
    let response = match response {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            outcome("broken", &format_args!("reused={} error=\"{error}\"", connection.reused));
            // A reused connection may just have been closed by the other side.
            let failure =
                if connection.reused { Failure::BadResponse } else { Failure::Unreachable };
            backend.close_idle();
            backend.breaker.borrow_mut().record_failure(failure, gateway.now());
            gateway.record_break(backend, job, None);
            return Outcome::Broken;
        }
        Err(_) if Some(wait) == until_due => {
            // It is queued at the engine; started later, it would be answered by stale weights.
            outcome("expired", &format_args!("reused={}", connection.reused));
            return Outcome::Broken;
        }
        Err(_) => {
            outcome("silent", &format_args!("reused={}", connection.reused));
            backend.close_idle();
            backend.breaker.borrow_mut().record_failure(Failure::Unreachable, gateway.now());
            return Outcome::Broken;
        }
    };
    if is_joined(&response) {
        // Neither its status nor its headers are those of one response.
        outcome("joined", &format_args!("reused={}", connection.reused));
        backend.close_idle();
        backend.breaker.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
        return Outcome::Broken;
    }
    if !is_final(response.status()) {
        // Whatever else its head states, it is no proof of what became of the request.
        outcome("no_status", &format_args!("status={}", response.status().as_str()));
        backend.close_idle();
        backend.breaker.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
        return Outcome::Broken;
    }
    let (head, body) = response.into_parts();
    let meta = gateway.protocol.backend_head(&head);
    gateway.record_back_off(backend, &meta);
    // Only a response that names the request is proof of what became of it: any other may be a late
    // copy of a response to an earlier one.
    if meta.request.as_deref() != Some(&job.call.id) {
        outcome("crossed", &format_args!("other={:?}", meta.request));
        backend.breaker.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
        return Outcome::Broken;
    }
    if !meta.mismatch {
        gateway.record_limit(backend, &meta, started);
    }
    if let Some(cold) = meta.cold_for {
        let now = gateway.now();
        gateway.mark_cold(backend, now + cold, now);
    }
    if meta.not_run {
        outcome("not_run", &format_args!("status={} mismatch={}", head.status, meta.mismatch));
        if !meta.mismatch {
            backend.full_until.set(gateway.now() + FULL_DELAY);
            backend.record_full(gateway.now());
        }
        return Outcome::NotRun;
    }
    // Callers ask for no encoding, so an encoded body is not the one that was signed.
    let encoded = head.status.is_success() && head.headers.contains_key(CONTENT_ENCODING);
    let usable = meta.signed && !encoded;
    if !usable || implies_not_run(head.status) {
        outcome(
            "unusable",
            &format_args!("status={} signed={} encoded={encoded}", head.status, meta.signed),
        );
        backend.breaker.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
        return Outcome::Broken;
    }
    let now = gateway.now();
    backend.record_response(now - started, job.route.objective, now);
    gateway.slots.record_response(&job.service, now - started);
    Outcome::Response(Box::new(BackendResponse { head, meta, body, connection }))
}

/// Returns whether a body has a length or chunks, and does not just end with its connection.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a response is a stream of events, which may continue that of another server.
pub(crate) fn is_event_stream(head: &response::Parts) -> bool {
    const EVENT_STREAM: &[u8] = b"text/event-stream";
    // Without a type, its bytes tell.
    let is_events = head.headers.get(CONTENT_TYPE).is_none_or(|kind| {
        let kind = kind.as_bytes().get(..EVENT_STREAM.len());
        kind.is_some_and(|kind| kind.eq_ignore_ascii_case(EVENT_STREAM))
    });
    head.status == StatusCode::OK && is_events
}

/// Returns whether callers take the status as a guarantee that the request did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

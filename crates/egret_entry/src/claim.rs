//! Requests that may run at most once.
//!
//! The claim is written to the replicated state before the request is sent, and
//! its outcome afterwards. A resend of the same key, at any entry, gets that
//! outcome or an error that says it is unknown, but never causes a second run.

use std::{sync::Arc, time::Duration};

use egret_http::is_final;
use egret_record::IdempotencyKey;
use egret_route::{Code, Ran, Refusal};
use egret_rpc::{
    CallerRequest, ClaimKey, ClaimOutcome, ClaimState, Command, Reply, Request, StoredAnswer,
    UnixMillis,
};
use http::{HeaderValue, StatusCode};
use tokio::time::Instant;

use crate::{
    call::Call,
    dispatch::Dispatch,
    forward::{Answer, AnswerBody},
};

/// Timeout for settling a claim; the caller's answer waits for it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` for a request that is still in flight or could not be claimed.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum size of an answer that is stored for resends, in bytes.
const STORED_BYTES_MAX: usize = 256 * 1024;

/// Runs a request unless its key was claimed before; then returns the earlier outcome.
pub(crate) async fn run_once(
    dispatch: &Arc<Dispatch>,
    call: &Call,
    key: &IdempotencyKey,
    deadline: Instant,
) -> Result<Answer, Refusal> {
    let key = ClaimKey { record: call.record.name.clone(), key: key.clone() };
    let attempt = rand::random();
    match claim(dispatch, call, &key, attempt, deadline).await? {
        ClaimState::Granted => {}
        ClaimState::Answered(answer) => return from_stored(answer),
        ClaimState::InProgress => {
            let message = "the same request is under way; send it again for its answer";
            return Err(Refusal::unknown(Code::InProgress, message).retry_after(RETRY_AFTER));
        }
        ClaimState::Unknown => {
            let message =
                "an earlier try broke off; find out whether it ran before using a new key";
            return Err(Refusal::unknown(Code::BrokenAnswer, message));
        }
        ClaimState::KeyReused => {
            let message = "the key was used for another request; use a new one";
            return Err(Refusal::not_run(Code::KeyReused, message));
        }
        ClaimState::Expired => {
            let message = "the key is older than outcomes are kept; use a new one";
            return Err(Refusal::unknown(Code::KeyExpired, message));
        }
    }
    // A separate task, so that the outcome is stored even if the caller disconnects.
    let (dispatch, call) = (dispatch.clone(), call.clone());
    let run = tokio::spawn(async move {
        let _running = dispatch.start_request();
        let result = run_claimed(&dispatch, &call, deadline).await;
        settle(&dispatch, key, attempt, &result).await;
        result.and_then(from_stored)
    });
    run.await.unwrap_or_else(|_| {
        Err(Refusal::unknown(Code::BrokenAnswer, "the request broke off; send it again"))
    })
}

async fn claim(
    dispatch: &Dispatch,
    call: &Call,
    key: &ClaimKey,
    attempt: u64,
    deadline: Instant,
) -> Result<ClaimState, Refusal> {
    let no_control = || {
        let message = "the claim cannot be made now; send the request again with the same key";
        Refusal::not_run(Code::NoControl, message).retry_after(RETRY_AFTER)
    };
    let session = (*dispatch.session.borrow()).ok_or_else(no_control)?;
    let command = Command::Claim {
        key: key.clone(),
        session,
        request: CallerRequest { digest: call.digest(), attempt },
        claimed_at: UnixMillis(0),
    };
    match dispatch.control.call(command.into(), deadline).await {
        Ok(Reply::Claim(state)) => Ok(state),
        // Nothing was sent to a backend server, although the claim may exist; the caller may retry.
        Ok(_) | Err(_) => Err(no_control()),
    }
}

async fn run_claimed(
    dispatch: &Arc<Dispatch>,
    call: &Call,
    deadline: Instant,
) -> Result<StoredAnswer, Refusal> {
    let (answer, _in_flight) = dispatch.run(call, deadline).await?;
    match answer.body {
        AnswerBody::Whole(body) => Ok(StoredAnswer {
            status: answer.status.as_u16(),
            content_type: answer.content_type.to_str().unwrap_or_default().to_owned(),
            body: body.to_vec(),
        }),
        AnswerBody::Stream(_) => {
            let message = "calls that run at most once cannot be streamed; ask without `stream`";
            Err(Refusal::unknown(Code::BadRequest, message))
        }
    }
}

async fn settle(
    dispatch: &Dispatch,
    key: ClaimKey,
    attempt: u64,
    result: &Result<StoredAnswer, Refusal>,
) {
    let outcome = match result {
        Ok(answer) if answer.body.len() <= STORED_BYTES_MAX => {
            ClaimOutcome::Answered(answer.clone())
        }
        Ok(_) => ClaimOutcome::Unknown,
        Err(refusal) if refusal.ran == Ran::NotRun => ClaimOutcome::NotRun,
        Err(_) => ClaimOutcome::Unknown,
    };
    let request = Request::from(Command::Settle { key, attempt, outcome });
    if let Err(error) = dispatch.control.call(request, Instant::now() + SETTLE_TIMEOUT).await {
        log::error!("event=claim_not_settled error=\"{error}\"");
    }
}

/// Restores a stored answer.
///
/// # Errors
///
/// Returns a [`Refusal`] if its status is no final one: an earlier program stored any.
fn from_stored(answer: StoredAnswer) -> Result<Answer, Refusal> {
    let status = StatusCode::from_u16(answer.status).ok().filter(|status| is_final(*status));
    let status = status.ok_or_else(|| {
        let message = "the stored answer has no valid status; find out whether the request ran";
        Refusal::unknown(Code::BrokenAnswer, message)
    })?;
    let content_type = HeaderValue::from_str(&answer.content_type);
    Ok(Answer {
        status,
        content_type: content_type.unwrap_or(HeaderValue::from_static("application/octet-stream")),
        version: None,
        body: AnswerBody::Whole(answer.body.into()),
    })
}

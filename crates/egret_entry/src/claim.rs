//! Requests that may run at most once.
//!
//! The claim is in the replicated state before the request is sent, and the
//! outcome after. Whoever sends the key again, at any entry, gets the outcome
//! or hears that it is not known, never a second run.

use std::{sync::Arc, time::Duration};

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

/// Longest time for settling a claim, in the background of the caller's answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// When to ask again for the outcome of a request that runs.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Largest answer that is kept for resends, in bytes.
const KEPT_BYTES: usize = 256 * 1024;

/// Runs a request unless it ran before, or tells what became of it.
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
        ClaimState::Answered(answer) => return Ok(stored(answer)),
        ClaimState::InProgress => {
            let message = "the same request is under way; send it again for its answer";
            return Err(Refusal::unknown(Code::InProgress, message).retry_after(ASK_AGAIN));
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
    // The run goes on when the caller leaves, so that its outcome is kept.
    let (dispatch, call) = (dispatch.clone(), call.clone());
    let run = tokio::spawn(async move {
        let _running = dispatch.start();
        let result = run_claimed(&dispatch, &call, deadline).await;
        settle(&dispatch, key, attempt, &result).await;
        result.map(stored)
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
        Refusal::not_run(Code::NoControl, message).retry_after(ASK_AGAIN)
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
        // Nothing was sent, though the claim may stand; the caller may send it again.
        Ok(_) | Err(_) => Err(no_control()),
    }
}

async fn run_claimed(
    dispatch: &Arc<Dispatch>,
    call: &Call,
    deadline: Instant,
) -> Result<StoredAnswer, Refusal> {
    let (answer, _sent) = dispatch.run(call, deadline).await?;
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
        Ok(answer) if answer.body.len() <= KEPT_BYTES => ClaimOutcome::Answered(answer.clone()),
        Ok(_) => ClaimOutcome::Unknown,
        Err(refusal) if refusal.ran == Ran::NotRun => ClaimOutcome::NotRun,
        Err(_) => ClaimOutcome::Unknown,
    };
    let request = Request::from(Command::Settle { key, attempt, outcome });
    if let Err(error) = dispatch.control.call(request, Instant::now() + SETTLE_TIMEOUT).await {
        log::error!("event=claim_not_settled error=\"{error}\"");
    }
}

fn stored(answer: StoredAnswer) -> Answer {
    let content_type = HeaderValue::from_str(&answer.content_type);
    Answer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type: content_type.unwrap_or(HeaderValue::from_static("application/octet-stream")),
        version: None,
        body: AnswerBody::Whole(answer.body.into()),
    }
}

//! Requests that may run at most once.
//!
//! A claim stands in the replicated state before the request is dispatched, so
//! whoever claims the same key later, at any entry, learns of the first try.

use std::collections::{BTreeMap, VecDeque};

use egret_record::{SessionId, VersionDigest};
use egret_rpc::{CallerRequest, ClaimKey, ClaimOutcome, ClaimState, StoredAnswer, UnixMillis};
use serde::{Deserialize, Serialize};

/// How long an outcome is kept, in milliseconds.
const RETENTION_MILLIS: u64 = 24 * 60 * 60 * 1_000;
/// Most claims that are kept with their outcome.
const CLAIMS_KEPT: usize = 100_000;
/// Most keys that are kept without their outcome, only to be refused.
const EXPIRED_KEPT: usize = 1_000_000;

#[derive(Debug, Clone, Serialize, Deserialize)]
enum Progress {
    Running { owner: SessionId, attempt: u64 },
    Answered(StoredAnswer),
    Unknown,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Claim {
    digest: VersionDigest,
    at: UnixMillis,
    progress: Progress,
}

/// The claims, the oldest first.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
    order: VecDeque<(UnixMillis, ClaimKey)>,
    /// Digests of keys whose outcome is gone.
    expired: BTreeMap<u64, ()>,
    expired_order: VecDeque<u64>,
}

impl Claims {
    /// Claims a request for `owner`, or tells what became of an earlier try.
    ///
    /// `alive` tells whether a session is open; the try of one that is not can
    /// neither be continued nor be told to have run.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        owner: SessionId,
        request: &CallerRequest,
        at: UnixMillis,
        alive: impl Fn(&SessionId) -> bool,
    ) -> ClaimState {
        self.expire(at);
        if !alive(&owner) {
            // The entry's lease is over; it must not run anything new.
            return ClaimState::InProgress;
        }
        if self.expired.contains_key(&short_digest(&key)) {
            return ClaimState::Expired;
        }
        let Some(claim) = self.claims.get_mut(&key) else {
            let progress = Progress::Running { owner, attempt: request.attempt };
            self.order.push_back((at, key.clone()));
            self.claims.insert(key, Claim { digest: request.digest, at, progress });
            return ClaimState::Granted;
        };
        if claim.digest != request.digest {
            return ClaimState::KeyReused;
        }
        match &claim.progress {
            Progress::Running { owner: first, attempt }
                if *first == owner && *attempt == request.attempt =>
            {
                ClaimState::Granted
            }
            Progress::Running { owner: first, .. } if alive(first) => ClaimState::InProgress,
            Progress::Running { .. } => {
                claim.progress = Progress::Unknown;
                ClaimState::Unknown
            }
            Progress::Answered(answer) => ClaimState::Answered(answer.clone()),
            Progress::Unknown => ClaimState::Unknown,
        }
    }

    /// Ends the try `attempt` of a claim.
    pub fn settle(&mut self, key: &ClaimKey, attempt: u64, outcome: ClaimOutcome) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let own = matches!(&claim.progress, Progress::Running { attempt: running, .. } if *running == attempt);
        match outcome {
            // An answer is the truth, even after the try was given up as unknown.
            ClaimOutcome::Answered(answer)
                if own || matches!(claim.progress, Progress::Unknown) =>
            {
                claim.progress = Progress::Answered(answer);
            }
            ClaimOutcome::Unknown if own => claim.progress = Progress::Unknown,
            ClaimOutcome::NotRun if own => {
                self.claims.remove(key);
                self.order.retain(|(_, other)| other != key);
            }
            _ => {}
        }
    }

    /// Returns the number of claims that are kept with their outcome.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn expire(&mut self, now: UnixMillis) {
        while let Some((at, _)) = self.order.front() {
            let old = at.0 + RETENTION_MILLIS <= now.0;
            if !old && self.claims.len() < CLAIMS_KEPT {
                return;
            }
            if let Some((_, key)) = self.order.pop_front() {
                self.claims.remove(&key);
                self.refuse_from_now(&key);
            }
        }
    }

    fn refuse_from_now(&mut self, key: &ClaimKey) {
        if self.expired_order.len() == EXPIRED_KEPT
            && let Some(oldest) = self.expired_order.pop_front()
        {
            self.expired.remove(&oldest);
        }
        let digest = short_digest(key);
        self.expired.insert(digest, ());
        self.expired_order.push_back(digest);
    }
}

fn short_digest(key: &ClaimKey) -> u64 {
    let whole = VersionDigest::of(format!("{}\n{}", key.record, key.key).as_bytes());
    whole.0.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
}

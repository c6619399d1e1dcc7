//! Requests that may run at most once.
//!
//! A claim is replicated before its request is dispatched, so a later claim of
//! the same key, at any entry, finds the first attempt.

use std::collections::{BTreeMap, VecDeque};

use egret_record::{SessionId, VersionDigest};
use egret_rpc::{CallerRequest, ClaimKey, ClaimOutcome, ClaimState, StoredAnswer, UnixMillis};
use serde::{Deserialize, Serialize};

/// Time for which an outcome is kept, in milliseconds.
const RETENTION_MILLIS: u64 = 24 * 60 * 60 * 1_000;
/// Limit of claims that are kept with their outcome.
const CLAIMS_KEPT: usize = 100_000;
/// Size of the bodies of all answers that are kept, in bytes; the oldest claims expire first.
const ANSWER_BYTES_KEPT: usize = 32 * 1024 * 1024;
/// Limit of expired keys that are kept without their outcome, to reject later claims of them.
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

impl Claim {
    fn answer_bytes(&self) -> usize {
        match &self.progress {
            Progress::Answered(answer) => answer.body.len(),
            Progress::Running { .. } | Progress::Unknown => 0,
        }
    }
}

/// All claims; the oldest expire first.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "StoredClaims")]
pub struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
    order: VecDeque<(UnixMillis, ClaimKey)>,
    /// Digests of keys whose outcome is no longer kept.
    expired: BTreeMap<u64, ()>,
    expired_order: VecDeque<u64>,
    /// The size of the bodies of all answers in `claims`.
    #[serde(skip)]
    answer_bytes: usize,
}

/// [`Claims`] as snapshots hold them.
#[derive(Deserialize)]
struct StoredClaims {
    claims: BTreeMap<ClaimKey, Claim>,
    order: VecDeque<(UnixMillis, ClaimKey)>,
    expired: BTreeMap<u64, ()>,
    expired_order: VecDeque<u64>,
}

impl From<StoredClaims> for Claims {
    fn from(stored: StoredClaims) -> Self {
        let StoredClaims { claims, order, expired, expired_order } = stored;
        let answer_bytes = claims.values().map(Claim::answer_bytes).sum();
        Self { claims, order, expired, expired_order, answer_bytes }
    }
}

impl Claims {
    /// Claims a request for `owner`, or returns the state of an earlier attempt.
    ///
    /// `alive` returns whether a session is open. The attempt of a session that is
    /// not open cannot be continued, and whether it ran is unknown.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        owner: SessionId,
        request: &CallerRequest,
        claimed_at: UnixMillis,
        alive: impl Fn(&SessionId) -> bool,
    ) -> ClaimState {
        self.expire(claimed_at);
        if !alive(&owner) {
            // The entry's session has ended, so it must not start a new request.
            return ClaimState::InProgress;
        }
        if self.expired.contains_key(&short_digest(&key)) {
            return ClaimState::Expired;
        }
        let Some(claim) = self.claims.get_mut(&key) else {
            let progress = Progress::Running { owner, attempt: request.attempt };
            self.order.push_back((claimed_at, key.clone()));
            self.claims.insert(key, Claim { digest: request.digest, at: claimed_at, progress });
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

    /// Records the outcome of the running attempt.
    ///
    /// An answer is also accepted after the outcome was set to unknown.
    pub fn settle(&mut self, key: &ClaimKey, attempt: u64, outcome: ClaimOutcome) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let is_current = matches!(&claim.progress, Progress::Running { attempt: current, .. } if *current == attempt);
        match outcome {
            // An answer is definitive, even after the outcome was set to unknown.
            ClaimOutcome::Answered(answer)
                if is_current || matches!(claim.progress, Progress::Unknown) =>
            {
                self.answer_bytes += answer.body.len();
                claim.progress = Progress::Answered(answer);
                while self.answer_bytes > ANSWER_BYTES_KEPT && self.expire_oldest() {}
            }
            ClaimOutcome::Unknown if is_current => claim.progress = Progress::Unknown,
            ClaimOutcome::NotRun if is_current => {
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

    /// Returns whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn expire(&mut self, now: UnixMillis) {
        while let Some((claimed_at, _)) = self.order.front() {
            let old = claimed_at.0 + RETENTION_MILLIS <= now.0;
            if !old && self.claims.len() < CLAIMS_KEPT {
                return;
            }
            self.expire_oldest();
        }
    }

    /// Expires the oldest claim. Returns whether there was one.
    fn expire_oldest(&mut self) -> bool {
        let Some((_, key)) = self.order.pop_front() else { return false };
        if let Some(claim) = self.claims.remove(&key) {
            self.answer_bytes -= claim.answer_bytes();
        }
        self.mark_expired(&key);
        true
    }

    fn mark_expired(&mut self, key: &ClaimKey) {
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

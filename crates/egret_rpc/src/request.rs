//! Requests to the control state, and its replies.
//!
//! The same encoding is used on the wire, in the replicated log and in
//! snapshots. Its first byte is the version of the encoding.

use std::{
    fmt,
    io::{Read as _, Write as _},
    net::SocketAddr,
    time::Duration,
};

use egret_consensus::Membership;
use egret_fleet::{FeedCursor, FeedDelta, ProcessStatus, StatusUpdate};
use egret_permits::{PermitGrant, PermitWant};
use egret_quarantine::PartsReport;
use egret_record::{
    BackendName, BackendRole, CatalogVersion, DataCentre, Delta, EntryName, Fence, IdempotencyKey,
    MemberId, OperationId, PartId, Phase, Record, RecordName, Revision, SessionId, StoredRecord,
    VersionDigest, View, WeightVersion,
};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The encoding version that this program writes.
const ENCODING: u8 = 1;

/// Error for bytes that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes have another encoding version, as a newer program writes.
    #[error("unknown encoding version {0}; upgrade this program")]
    Encoding(u8),
    /// The bytes are damaged or encode another type.
    #[error("the bytes do not decode as this type; check that both programs have the same version")]
    Content,
}

/// Encodes a value, with the encoding version as its first byte.
///
/// # Panics
///
/// Panics if a value cannot be serialized, which never happens for the types of this crate.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    encode_after(Vec::new(), value)
}

/// Appends to `prefix` what [`encode`] returns.
///
/// # Panics
///
/// As [`encode`].
pub fn encode_after<T: Serialize>(mut prefix: Vec<u8>, value: &T) -> Vec<u8> {
    prefix.push(ENCODING);
    postcard::to_extend(value, prefix).expect("plain data always encodes")
}

/// Decodes a value that [`encode`] wrote.
///
/// # Errors
///
/// Returns a [`DecodeError`] for another encoding version or damaged bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&ENCODING, content)) => {
            postcard::from_bytes(content).map_err(|_| DecodeError::Content)
        }
        Some((&other, _)) => Err(DecodeError::Encoding(other)),
        None => Err(DecodeError::Content),
    }
}

/// Wall-clock time in milliseconds since 1970, used for retention only.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

/// A request to the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Changes the control state.
    Command(Box<Command>),
    /// Reads the control state.
    Query(Query),
    /// Adds the control instance with this name, which waits to join the cluster.
    AddMember(String),
    /// Removes the control instance with this identity.
    RemoveMember(MemberId),
    /// Long-polls for changes of the view and the fleet; every control instance serves it.
    Watch(Watch),
    /// Acquires permits for requests to limited backend servers.
    AcquirePermits(Vec<PermitWant>),
    /// Tells the leader under which requests backend servers crashed, and under which they did not.
    ReportParts(PartsReport),
    /// Removes the control instance with this identity, which shuts down, if enough voters remain.
    LeaveCluster(MemberId),
}

/// A follower's request for changes, with the state that it already has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The revision of the follower's view.
    pub revision: Revision,
    /// The position up to which it has read the feed of the instance.
    pub cursor: FeedCursor,
    /// The status of the sending process; none when another control instance asks.
    pub process: Option<ProcessStatus>,
    /// Whether to reply at once even if nothing has changed, unless there is no leader.
    #[serde(rename = "hasty")]
    pub immediate: bool,
}

/// The changes that a follower does not have yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Changes to the view.
    pub delta: Option<Delta>,
    /// The announced versions of weights, if the view changed.
    #[serde(rename = "namings")]
    pub announcements: Vec<VersionAnnouncement>,
    /// Changes to the fleet.
    pub feed: FeedDelta,
    /// Whether the instance was recently up to date with a leader of the cluster.
    #[serde(rename = "fresh")]
    pub has_leader: bool,
    /// The addresses of the control instances.
    pub members: Vec<SocketAddr>,
}

/// Announced versions of a model that are kept and sent; engines that load weights are a few behind.
pub const ANNOUNCEMENTS_KEPT: usize = 64;

/// A version of a model's weights that was announced, and how long ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnnouncement {
    /// The name of the model.
    pub model: String,
    /// The announced version.
    pub version: WeightVersion,
    /// The time since the announcement.
    pub age: Duration,
}

/// Bytes that are stored and sent compressed (DEFLATE).
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Compressed(Vec<u8>);

impl fmt::Debug for Compressed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Compressed({} bytes)", self.0.len())
    }
}

impl Compressed {
    /// Compresses bytes.
    ///
    /// # Panics
    ///
    /// Never panics: compressing into memory cannot fail.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(bytes).expect("writing to memory cannot fail");
        Self(encoder.finish().expect("writing to memory cannot fail"))
    }

    /// Returns the decompressed bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when the compressed bytes are damaged.
    pub fn decompress(&self) -> Result<Vec<u8>, DecodeError> {
        let mut bytes = Vec::new();
        let mut decoder = DeflateDecoder::new(self.0.as_slice());
        decoder.read_to_end(&mut bytes).map_err(|_| DecodeError::Content)?;
        Ok(bytes)
    }
}

impl From<Command> for Request {
    fn from(command: Command) -> Self {
        Self::Command(Box::new(command))
    }
}

/// The process that opens a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holder {
    /// An entry.
    Entry {
        /// Its name.
        name: EntryName,
        /// Its data centre.
        data_centre: DataCentre,
        /// Its address for callers.
        address: SocketAddr,
    },
    /// An agent with its backend server.
    Backend {
        /// Its name.
        name: BackendName,
        /// Its data centre.
        data_centre: DataCentre,
        /// The agent's address for requests.
        address: SocketAddr,
        /// The agent's address for weights.
        peer_address: SocketAddr,
        /// What the backend server runs.
        role: BackendRole,
        /// Maximum number of concurrent requests once it is warm.
        limit: u32,
    },
}

/// A change made by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Creates or replaces a record.
    Put(Record),
    /// Removes a record.
    Remove(RecordName),
    /// Takes a data centre out of service or puts it back in.
    SetDataCentre {
        /// The data centre.
        name: DataCentre,
        /// Whether the data centre is to be out of service.
        out: bool,
    },
}

/// Why a session ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveReason {
    /// The holder shut down gracefully.
    Shutdown,
    /// The holder did not renew its lease in time.
    LeaseExpired,
}

/// The identity of a claim; idempotency keys are scoped to one record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The record that the request is for.
    pub record: RecordName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
}

/// The caller's request, as a claim identifies it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Digest of method, path and body, which detects a key reused for another request.
    pub digest: VersionDigest,
    /// Identifies the attempt, so that a claim whose reply was lost can be sent again.
    pub attempt: u64,
}

/// A complete answer that is stored for resends of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// It was answered completely.
    Answered(StoredAnswer),
    /// It certainly did not run, so the claim is released.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// The result of claiming a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The claimant may run the request, once.
    Granted,
    /// Another attempt of the same request is in flight.
    InProgress,
    /// The request was answered.
    Answered(StoredAnswer),
    /// The request may or may not have run.
    Unknown,
    /// The key was already used for another request.
    KeyReused,
    /// The key was used, but its outcome is no longer stored.
    Expired,
}

/// A change of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Applies an operator's change.
    Amend {
        /// Identifies the change, so that a resend gets the outcome of the first.
        id: OperationId,
        /// The revision that the record must have; zero if it must not exist.
        expected: Option<Revision>,
        /// The change.
        operation: Operation,
    },
    /// Opens a session.
    Join(Holder),
    /// Reports the phase of a backend server.
    Report {
        /// The session of its agent.
        session: SessionId,
        /// The fencing token of the order that the report is about.
        fence: Fence,
        /// The phase that it has reached.
        phase: Phase,
    },
    /// Marks the holder of a session as draining: it accepts no new work.
    Drain(SessionId),
    /// Ends a session.
    Leave {
        /// The session.
        session: SessionId,
        /// Why it ends.
        reason: LeaveReason,
    },
    /// Recomputes the assignments for the current sessions.
    ///
    /// The leader proposes it. Joins and departures only mark it as due, so that
    /// a thousand of them at once need a single plan.
    Plan,
    /// Claims a request that may run at most once.
    Claim {
        /// The claim.
        key: ClaimKey,
        /// The session of the entry that would run it.
        session: SessionId,
        /// The request.
        request: CallerRequest,
        /// When it is claimed; the leader sets it from its own clock.
        #[serde(rename = "at")]
        claimed_at: UnixMillis,
    },
    /// Ends a claim.
    Settle {
        /// The claim.
        key: ClaimKey,
        /// The attempt that ends.
        attempt: u64,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// Puts a catalog in force, unless one of the same or a later version already is.
    PutCatalog {
        /// The version.
        version: CatalogVersion,
        /// The catalog, as encoded by [`encode`].
        catalog: Compressed,
        /// The document that the operator sent, returned when the catalog is read.
        source: Compressed,
    },
    /// Announces the target version of a model's engines, unless a later one is announced.
    NameWeights {
        /// The model.
        model: String,
        /// The version.
        version: WeightVersion,
    },
    /// Blocks a part of prompts, unless it is blocked already.
    BlockPart {
        /// The part.
        part: PartId,
        /// Whether other parts were almost as suspect.
        doubtful: bool,
    },
    /// Lets one more request with a blocked part through, to the first entry that claims it.
    OpenTrial {
        /// The part.
        part: PartId,
        /// The number of trials so far; otherwise nothing changes.
        trials: u32,
    },
    /// Claims the open trial of a blocked part.
    ///
    /// Refused if there is none: one entry at most may claim it.
    ClaimTrial(PartId),
    /// Releases a blocked part.
    ReleasePart(PartId),
    /// Records that a backend server drains or has departed, before that is acknowledged, or which
    /// weights of an engine are whole; the leader replicates the latter as [`Self::RecordWeights`].
    RecordStatus {
        /// What it reported.
        update: StatusUpdate,
        /// When it is recorded; the leader sets it from its own clock.
        #[serde(rename = "at")]
        recorded_at: UnixMillis,
    },
    /// Records which weights of some engines are whole.
    RecordWeights {
        /// The updates of the engines.
        updates: Vec<StatusUpdate>,
        /// When they are recorded, by the leader's clock.
        #[serde(rename = "at")]
        recorded_at: UnixMillis,
    },
}

/// A read of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The complete view.
    View,
    /// The earlier revisions of a record, latest last.
    History(RecordName),
    /// The status of the control instances.
    Status,
}

/// A control instance, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its identity.
    pub identity: MemberId,
    /// Its name.
    pub name: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
}

/// The status of the control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The members.
    pub members: Vec<MemberStatus>,
    /// Names and identities of the instances that wait to join.
    pub waiting: Vec<(String, MemberId)>,
    /// The membership in force.
    pub membership: Membership,
    /// The revision of the view.
    pub revision: Revision,
    /// The index of the last committed log entry.
    pub commit: u64,
    /// The current term.
    pub term: u64,
}

/// A reply of the control state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change was applied.
    Accepted {
        /// The revision after the change.
        revision: Revision,
    },
    /// The record no longer has the expected revision.
    Conflict {
        /// The revision that the record has.
        revision: Revision,
        /// The operation that wrote that revision, if known.
        winner: Option<OperationId>,
    },
    /// The change is not valid in the current state.
    Refused {
        /// The reason, with the remedy.
        message: String,
    },
    /// The session was opened.
    Joined {
        /// The session.
        session: SessionId,
    },
    /// The session no longer exists.
    SessionGone,
    /// The result of a claim.
    Claim(ClaimState),
    /// The complete view.
    View(Box<View>),
    /// The changes for a follower.
    Watched(Box<WatchReply>),
    /// The earlier revisions of a record.
    History(Vec<StoredRecord>),
    /// The status of the control instances.
    Status(StatusReply),
    /// The leader cannot serve the request at the moment.
    Unavailable {
        /// The reason, with the remedy.
        message: String,
    },
    /// The permits that the leader grants.
    Permits {
        /// The leader's term.
        term: u64,
        /// A grant for each backend server that was asked about.
        grants: Vec<PermitGrant>,
    },
    /// The leader has recorded a report about parts of prompts.
    PartsRecorded {
        /// The leader's term.
        term: u64,
    },
}

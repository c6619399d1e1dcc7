//! What the control state is asked, and what it replies.
//!
//! These values stand in the replicated log and in snapshots as well, so they
//! are encoded once, with a leading byte that names the encoding.

use std::{
    fmt,
    io::{Read as _, Write as _},
    net::SocketAddr,
    time::Duration,
};

use egret_consensus::Membership;
use egret_fleet::{FeedCursor, FeedDelta, ProcessStatus};
use egret_record::{
    BackendName, BackendRole, CatalogVersion, DataCentre, Delta, EntryName, Fence, IdempotencyKey,
    MemberId, OperationId, Phase, Record, RecordName, Revision, SessionId, StoredRecord,
    VersionDigest, View, WeightVersion,
};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The encoding that this version writes.
const ENCODING: u8 = 1;

/// Bytes that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// A newer program wrote them.
    #[error("encoding {0} is not known; upgrade this program")]
    Encoding(u8),
    /// They are damaged.
    #[error("the bytes are no value of this kind; check that both programs have one version")]
    Content,
}

/// Encodes a value.
///
/// # Panics
///
/// Panics never for the plain data of this crate, which always encodes.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![ENCODING]).expect("plain data always encodes")
}

/// Decodes a value.
///
/// # Errors
///
/// Returns a [`DecodeError`] for another encoding or damaged bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&ENCODING, content)) => {
            postcard::from_bytes(content).map_err(|_| DecodeError::Content)
        }
        Some((&other, _)) => Err(DecodeError::Encoding(other)),
        None => Err(DecodeError::Content),
    }
}

/// A wall-clock time, in milliseconds since 1970; used for retention only.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

/// A request to the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Changes the state.
    Command(Box<Command>),
    /// Reads the state.
    Query(Query),
    /// Adds the waiting control instance of this name.
    AddMember(String),
    /// Removes the control instance of this identity.
    RemoveMember(MemberId),
    /// Follows the view and the fleet; every control instance answers it.
    Watch(Watch),
}

/// What a process that follows a control instance knows already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The revision of its view.
    pub revision: Revision,
    /// The place up to which it has read the feed of this instance.
    pub cursor: FeedCursor,
    /// What it says of itself; control instances say nothing.
    pub process: Option<ProcessStatus>,
    /// Whether an answer without news is wanted at once.
    #[serde(rename = "hasty")]
    pub immediate: bool,
}

/// What a process that follows a control instance learns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// What its view lacks.
    pub delta: Option<Delta>,
    /// When versions of weights were named, if the view changed.
    #[serde(rename = "namings")]
    pub announcements: Vec<VersionAnnouncement>,
    /// What its fleet lacks.
    pub feed: FeedDelta,
    /// Whether the instance has heard a leader of the cluster lately.
    #[serde(rename = "fresh")]
    pub has_leader: bool,
    /// The addresses of the control instances.
    pub members: Vec<SocketAddr>,
}

/// A version of a model's weights that was named, and how long ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnnouncement {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightVersion,
    /// The time since it was named.
    pub age: Duration,
}

/// Bytes that are kept and sent compressed.
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
    /// Panics never: compressing into memory cannot fail.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(bytes).expect("memory takes every write");
        Self(encoder.finish().expect("memory takes every write"))
    }

    /// Returns the bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when they are damaged.
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

/// Who opens a session.
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
        /// What the backend server is.
        role: BackendRole,
        /// Requests that it bears at once when warm.
        limit: u32,
    },
}

/// An operator's amendment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Writes a record.
    Put(Record),
    /// Removes a record.
    Remove(RecordName),
    /// Takes a data centre out or brings it back.
    SetDataCentre {
        /// The data centre.
        name: DataCentre,
        /// Whether it shall be out.
        out: bool,
    },
}

/// Why a session ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveReason {
    /// The holder shut down gracefully.
    Shutdown,
    /// The holder was silent for longer than its lease.
    LeaseExpired,
}

/// The identity of a claim: a key belongs to one record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The record that the request is for.
    pub record: RecordName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// What is known of the caller's request when it is claimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Digest of method, path and body, so that a key is not used for two requests.
    pub digest: VersionDigest,
    /// Names the try, so that a claim whose reply was lost can be asked again.
    pub attempt: u64,
}

/// A whole answer that is kept for resends.
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
    /// It was answered whole.
    Answered(StoredAnswer),
    /// It certainly did not run, so the claim is given up.
    NotRun,
    /// Nobody knows whether it ran.
    Unknown,
}

/// What a claim finds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The asker may run the request, once.
    Granted,
    /// Another try of the same request is under way.
    InProgress,
    /// The request was answered.
    Answered(StoredAnswer),
    /// Nobody knows whether the request ran.
    Unknown,
    /// The key was used for another request.
    KeyReused,
    /// The key is older than claims are kept.
    Expired,
}

/// A change of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Amends what operators decide.
    Amend {
        /// Names the amendment, so that a resend gets the first outcome.
        id: OperationId,
        /// The revision that the amended record must have; zero for a new one.
        expected: Option<Revision>,
        /// The amendment.
        operation: Operation,
    },
    /// Opens a session.
    Join(Holder),
    /// Says how far a backend server has come.
    Report {
        /// The session of its agent.
        session: SessionId,
        /// The order that the report is about.
        fence: Fence,
        /// How far it has come.
        phase: Phase,
    },
    /// Says that a holder takes no new work.
    Drain(SessionId),
    /// Ends a session.
    Leave {
        /// The session.
        session: SessionId,
        /// Why it ends.
        reason: LeaveReason,
    },
    /// Brings the assignments in line with who is there.
    ///
    /// Joins and departures only note that this is due, so that a thousand of
    /// them at once are planned for together; the leader proposes it.
    Plan,
    /// Claims a request that may run at most once.
    Claim {
        /// The claim.
        key: ClaimKey,
        /// The session of the entry that would run it.
        session: SessionId,
        /// The request.
        request: CallerRequest,
        /// When it is claimed, by the clock of the leader.
        #[serde(rename = "at")]
        claimed_at: UnixMillis,
    },
    /// Ends a claim.
    Settle {
        /// The claim.
        key: ClaimKey,
        /// The try that ends.
        attempt: u64,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// Puts a catalog in force, unless it holds one of this version or a later one.
    PutCatalog {
        /// The version.
        version: CatalogVersion,
        /// The catalog, as encoded by [`encode`].
        catalog: Compressed,
        /// The document that the operator sent, for reading it back.
        source: Compressed,
    },
    /// Names the version that a model's engines shall serve, unless a later one is named.
    NameWeights {
        /// The model.
        model: String,
        /// The version.
        version: WeightVersion,
    },
}

/// A question to the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The whole view.
    View,
    /// The earlier forms of a record, latest last.
    History(RecordName),
    /// The control instances.
    Status,
}

/// A control instance, as the leader sees it.
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

/// The state of the control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The members.
    pub members: Vec<MemberStatus>,
    /// Names and identities that ask to be added.
    pub waiting: Vec<(String, MemberId)>,
    /// The membership in force.
    pub membership: Membership,
    /// The revision of the view.
    pub revision: Revision,
    /// The last committed index of the log.
    pub commit: u64,
    /// The term.
    pub term: u64,
}

/// What the control state replies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is accepted.
    Accepted {
        /// The revision after it.
        revision: Revision,
    },
    /// Another amendment was first.
    Conflict {
        /// The revision that the record has.
        revision: Revision,
        /// The amendment that wrote it.
        winner: Option<OperationId>,
    },
    /// The change makes no sense in this state.
    Refused {
        /// Why, with the remedy.
        message: String,
    },
    /// A session is open.
    Joined {
        /// The session.
        session: SessionId,
    },
    /// The session does not exist any more.
    SessionGone,
    /// What a claim found.
    Claim(ClaimState),
    /// The whole view.
    View(Box<View>),
    /// What a process that follows learns.
    Watched(Box<WatchReply>),
    /// The earlier forms of a record.
    History(Vec<StoredRecord>),
    /// The control instances.
    Status(StatusReply),
    /// The leader cannot answer at the moment.
    Unavailable {
        /// Why, with the remedy.
        message: String,
    },
}

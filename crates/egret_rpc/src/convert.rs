//! Conversions between Cap'n Proto messages and Rust types.

use std::time::Duration;

use bytes::Bytes;
use egret_consensus::{
    Append, Body, ClusterId, Envelope, Index, LogEntry, Member, Membership, Payload, Snapshot, Term,
};
use egret_record::{MemberId, VersionDigest};

use crate::schema;

/// Reads the digest that identifies a version of weights between agents.
///
/// # Errors
///
/// Returns an error when it is not 32 bytes long.
pub fn read_version_digest(bytes: &[u8]) -> capnp::Result<VersionDigest> {
    let digest = bytes.try_into().map(VersionDigest);
    digest.map_err(|_| capnp::Error::failed("a version digest must be 32 bytes long".to_owned()))
}

/// Writes a message of the consensus protocol.
pub fn write_envelope(envelope: &Envelope, mut out: schema::envelope::Builder<'_>) {
    out.set_cluster(envelope.cluster.0);
    out.set_from(envelope.from.0);
    out.set_to(envelope.to.0);
    out.set_term(envelope.term.0);
    match &envelope.body {
        Body::PreVote { last, last_term, unanimous } => {
            write_ballot(out.init_pre_vote(), *last, *last_term, *unanimous);
        }
        Body::PreVoteReply { granted } => out.set_pre_vote_reply(*granted),
        Body::Vote { last, last_term, unanimous } => {
            write_ballot(out.init_vote(), *last, *last_term, *unanimous);
        }
        Body::VoteReply { granted } => out.set_vote_reply(*granted),
        Body::Append(append) => write_append(append, out.init_append()),
        Body::AppendReply { accepted, index, sent } => {
            let mut reply = out.init_append_reply();
            reply.set_accepted(*accepted);
            reply.set_index(index.0);
            reply.set_sent_micros(micros(*sent));
        }
        Body::Install { snapshot, sent } => {
            let mut install = out.init_install();
            install.set_index(snapshot.index.0);
            install.set_term(snapshot.term.0);
            install.set_data(&snapshot.data);
            install.set_sent_micros(micros(*sent));
            write_membership(&snapshot.membership, install.init_membership());
        }
    }
}

/// Reads a message of the consensus protocol.
///
/// # Errors
///
/// Returns the Cap'n Proto error when the message is malformed or of an unknown kind.
pub fn read_envelope(envelope: schema::envelope::Reader<'_>) -> capnp::Result<Envelope> {
    use schema::envelope::Which;
    let body = match envelope.which()? {
        Which::PreVote(ballot) => {
            let ballot = ballot?;
            Body::PreVote {
                last: Index(ballot.get_last()),
                last_term: Term(ballot.get_last_term()),
                unanimous: ballot.get_unanimous(),
            }
        }
        Which::PreVoteReply(granted) => Body::PreVoteReply { granted },
        Which::Vote(ballot) => {
            let ballot = ballot?;
            Body::Vote {
                last: Index(ballot.get_last()),
                last_term: Term(ballot.get_last_term()),
                unanimous: ballot.get_unanimous(),
            }
        }
        Which::VoteReply(granted) => Body::VoteReply { granted },
        Which::Append(append) => Body::Append(read_append(append?)?),
        Which::AppendReply(reply) => {
            let reply = reply?;
            Body::AppendReply {
                accepted: reply.get_accepted(),
                index: Index(reply.get_index()),
                sent: Duration::from_micros(reply.get_sent_micros()),
            }
        }
        Which::Install(install) => {
            let install = install?;
            Body::Install {
                snapshot: Snapshot {
                    index: Index(install.get_index()),
                    term: Term(install.get_term()),
                    membership: read_membership(install.get_membership()?)?,
                    data: Bytes::copy_from_slice(install.get_data()?),
                },
                sent: Duration::from_micros(install.get_sent_micros()),
            }
        }
    };
    Ok(Envelope {
        cluster: ClusterId(envelope.get_cluster()),
        from: MemberId(envelope.get_from()),
        to: MemberId(envelope.get_to()),
        term: Term(envelope.get_term()),
        body,
    })
}

/// Writes a member of the control cluster.
pub fn write_member(id: MemberId, member: &Member, mut out: schema::member::Builder<'_>) {
    out.set_identity(id.0);
    out.set_name(&member.name);
    out.set_address(&member.address);
}

/// Reads a member of the control cluster.
///
/// # Errors
///
/// Returns the Cap'n Proto error when the message is malformed.
pub fn read_member(member: schema::member::Reader<'_>) -> capnp::Result<(MemberId, Member)> {
    let name = member.get_name()?.to_str()?;
    let address = member.get_address()?.to_str()?;
    Ok((MemberId(member.get_identity()), Member::new(name, address)))
}

fn write_ballot(
    mut out: schema::ballot::Builder<'_>,
    last: Index,
    last_term: Term,
    unanimous: bool,
) {
    out.set_last(last.0);
    out.set_last_term(last_term.0);
    out.set_unanimous(unanimous);
}

fn write_append(append: &Append, mut out: schema::append::Builder<'_>) {
    out.set_previous(append.previous.0);
    out.set_previous_term(append.previous_term.0);
    out.set_commit(append.commit.0);
    out.set_sent_micros(micros(append.sent));
    let mut entries = out.init_entries(length(append.entries.len()));
    for (index, entry) in (0..).zip(&append.entries) {
        write_entry(entry, entries.reborrow().get(index));
    }
}

fn write_entry(entry: &LogEntry, mut out: schema::log_entry::Builder<'_>) {
    out.set_term(entry.term.0);
    out.set_index(entry.index.0);
    match &entry.payload {
        Payload::Empty => out.set_empty(()),
        Payload::Membership(membership) => write_membership(membership, out.init_membership()),
        Payload::Command(command) => out.set_command(command),
    }
}

fn write_membership(membership: &Membership, mut out: schema::membership::Builder<'_>) {
    out.set_cluster(membership.cluster.0);
    let mut voters = out.reborrow().init_voters(length(membership.voters.len()));
    for (index, id) in (0..).zip(&membership.voters) {
        voters.set(index, id.0);
    }
    let mut learners = out.reborrow().init_learners(length(membership.learners.len()));
    for (index, id) in (0..).zip(&membership.learners) {
        learners.set(index, id.0);
    }
    let mut members = out.init_members(length(membership.members.len()));
    for (index, (id, member)) in (0..).zip(&membership.members) {
        write_member(*id, member, members.reborrow().get(index));
    }
}

fn read_append(append: schema::append::Reader<'_>) -> capnp::Result<Append> {
    let entries = append.get_entries()?.iter().map(read_entry).collect::<capnp::Result<_>>()?;
    Ok(Append {
        previous: Index(append.get_previous()),
        previous_term: Term(append.get_previous_term()),
        entries,
        commit: Index(append.get_commit()),
        sent: Duration::from_micros(append.get_sent_micros()),
    })
}

fn read_entry(entry: schema::log_entry::Reader<'_>) -> capnp::Result<LogEntry> {
    use schema::log_entry::Which;
    let payload = match entry.which()? {
        Which::Empty(()) => Payload::Empty,
        Which::Membership(membership) => Payload::Membership(read_membership(membership?)?),
        Which::Command(command) => Payload::Command(Bytes::copy_from_slice(command?)),
    };
    Ok(LogEntry { term: Term(entry.get_term()), index: Index(entry.get_index()), payload })
}

fn read_membership(membership: schema::membership::Reader<'_>) -> capnp::Result<Membership> {
    let members =
        membership.get_members()?.iter().map(read_member).collect::<capnp::Result<_>>()?;
    Ok(Membership {
        cluster: ClusterId(membership.get_cluster()),
        voters: membership.get_voters()?.iter().map(MemberId).collect(),
        learners: membership.get_learners()?.iter().map(MemberId).collect(),
        members,
    })
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

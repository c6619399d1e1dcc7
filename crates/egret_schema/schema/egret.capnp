@0xd2a7c1f09b3e6584;

struct Member {
  identity @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
}

struct Membership {
  cluster @0 :UInt64;
  voters @1 :List(UInt64);
  learners @2 :List(UInt64);
  members @3 :List(Member);
}

struct LogEntry {
  term @0 :UInt64;
  index @1 :UInt64;
  union {
    empty @2 :Void;
    membership @3 :Membership;
    command @4 :Data;
  }
}

struct Ballot {
  last @0 :UInt64;
  lastTerm @1 :UInt64;
  # Whether the candidate needs every voter instead of a quorum.
  unanimous @2 :Bool;
}

struct Append {
  previous @0 :UInt64;
  previousTerm @1 :UInt64;
  entries @2 :List(LogEntry);
  commit @3 :UInt64;
  sentMicros @4 :UInt64;
}

struct AppendReply {
  accepted @0 :Bool;
  index @1 :UInt64;
  sentMicros @2 :UInt64;
}

struct Install {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :Membership;
  data @3 :Data;
  sentMicros @4 :UInt64;
}

struct Envelope {
  cluster @0 :UInt64;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  union {
    preVote @4 :Ballot;
    preVoteReply @5 :Bool;
    vote @6 :Ballot;
    voteReply @7 :Bool;
    append @8 :Append;
    appendReply @9 :AppendReply;
    install @10 :Install;
  }
}

struct CallResult {
  union {
    # The reply of the control state: an encoded egret_rpc::Reply.
    reply @0 :Data;
    # The address of the leader; empty if it is not known.
    notLeader @1 :Text;
  }
}

struct PollResult {
  union {
    # Changes to the view: an encoded egret_record::Delta.
    delta @0 :Data;
    notLeader @1 :Text;
    sessionGone @2 :Void;
  }
  leaseMillis @3 :UInt64;
}

struct InForceResult {
  union {
    inForce @0 :Bool;
    notLeader @1 :Text;
  }
}

interface Control {
  # Exchanges identities with another control instance; `formed` is whether the one that replies
  # belongs to a cluster.
  hello @0 (member :Member) -> (member :Member, formed :Bool, cluster :UInt64);
  # Carries one message of the replicated log.
  consensus @1 (envelope :Envelope) -> ();
  # Changes or reads the control state; the request is an encoded egret_rpc::Request.
  call @2 (request :Data) -> (result :CallResult);
  # Renews the lease of a session and long-polls for changes after the confirmed revision.
  poll @3 (session :UInt64, confirmed :UInt64) -> (result :PollResult);
  # Waits until no holder of a session can act on a view older than the revision.
  inForce @4 (revision :UInt64, waitMillis :UInt64) -> (result :InForceResult);
}

interface Peer {
  # Returns which chunks of a version this peer holds.
  held @0 (version :Data) -> (chunks :List(UInt32));
  # Fetches one chunk of a version. `progress` is the number of chunks that this peer holds so far,
  # or the largest UInt32 if it does not fetch the version; `failedMillis` is the time since the last
  # known failure of the origin, or the largest UInt32 if none is known.
  chunk @1 (version :Data, index :UInt32)
      -> (found :Bool, content :Data, progress :UInt32, failedMillis :UInt32);
  # Fetches the manifest of a version: egret_agent sends it as JSON, egret_loader sends an encoded
  # egret_weights::PieceList.
  manifest @2 (version :Data) -> (found :Bool, content :Data);
}

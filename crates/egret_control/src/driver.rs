//! The loop around node, disk and state.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use egret_consensus::{
    Envelope, Index, LogEntry, Member, Membership, Node, Payload, Role, Snapshot, Term,
};
use egret_record::{FastMap, MemberId, Revision, WeightVersion};
use egret_rpc::{Command, LeaveReason, Reply, SharedFleet, VersionAnnouncement, decode, encode};
use egret_store::{Journal, StoreError};
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    time::{Instant, sleep_until},
};

use crate::{leases::Leases, membership_policy::MembershipPolicy, peers::Peers, state::State};

/// Inputs that are handled before the disk is synced once for all of them.
const BATCH_INPUTS: usize = 512;

/// What the loop is told.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message of another member.
    Message(Envelope),
    /// A command to replicate.
    Propose(Command, oneshot::Sender<Option<Reply>>),
    /// The node may have something to send.
    Wake,
    /// A change of membership to replicate.
    ChangeMembership(MembershipChange, oneshot::Sender<Option<Reply>>),
}

/// A change of membership.
#[derive(Debug)]
pub(crate) enum MembershipChange {
    Add(MemberId, Member),
    Remove(MemberId),
}

struct Waiter {
    term: Term,
    reply: oneshot::Sender<Option<Reply>>,
}

/// Everything that the control thread knows.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) state: State,
    /// The leases given, while this member leads.
    pub(crate) holders: Option<Leases>,
    /// Instances that ask to be added, by name.
    pub(crate) waiting: BTreeMap<String, (MemberId, Member)>,
    /// Members that introduced themselves before the membership named them.
    pub(crate) introduced: FastMap<MemberId, Member>,
    /// What backend servers and processes say of themselves.
    pub(crate) fleet: SharedFleet,
    membership_policy: MembershipPolicy,
    /// When this process saw versions of weights being named.
    namings: Vec<(String, WeightVersion, Option<Duration>)>,
    journal: Journal,
    waiters: BTreeMap<Index, Waiter>,
    /// When a plan was proposed last.
    planned_at: Duration,
    /// Whether this member had all that its leader has committed when it looked last.
    was_fresh: bool,
    start: Instant,
    lease: Duration,
    snapshot_entries: u64,
    revision: watch::Sender<Revision>,
    confirmed: Rc<Notify>,
    urgent: Rc<Notify>,
}

/// What a core is built from.
pub(crate) struct CoreParts {
    pub(crate) node: Node,
    pub(crate) state: State,
    pub(crate) journal: Journal,
    pub(crate) start: Instant,
    pub(crate) lease: Duration,
    pub(crate) snapshot_entries: u64,
    pub(crate) membership_policy: MembershipPolicy,
}

impl Core {
    pub(crate) fn new(parts: CoreParts) -> Self {
        let revision = parts.state.view().revision;
        Self {
            node: parts.node,
            state: parts.state,
            holders: None,
            waiting: BTreeMap::new(),
            introduced: FastMap::default(),
            fleet: SharedFleet::default(),
            membership_policy: parts.membership_policy,
            namings: Vec::new(),
            journal: parts.journal,
            waiters: BTreeMap::new(),
            planned_at: Duration::ZERO,
            was_fresh: false,
            start: parts.start,
            lease: parts.lease,
            snapshot_entries: parts.snapshot_entries,
            revision: watch::Sender::new(revision),
            confirmed: Rc::default(),
            urgent: Rc::default(),
        }
    }

    /// Returns the time on the node's clock.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Tells whether this member may answer for the whole cluster.
    pub(crate) fn leads(&self) -> bool {
        self.node.holds_lease(self.now())
    }

    /// Returns the address of the leader, or nothing when it is not known.
    pub(crate) fn leader_address(&self) -> String {
        let leader = self.node.leader().filter(|id| *id != self.node.id());
        let member = leader.and_then(|id| self.node.membership().members.get(&id));
        member.map(|member| member.address.clone()).unwrap_or_default()
    }

    /// Returns the revision of the state, as it changes.
    pub(crate) fn revision(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns what is notified when a holder confirms a revision.
    pub(crate) fn confirmed(&self) -> Rc<Notify> {
        self.confirmed.clone()
    }

    /// Returns what is notified when followers must learn something at once.
    pub(crate) fn urgent(&self) -> Rc<Notify> {
        self.urgent.clone()
    }

    /// Returns for how long no leader was heard, if one is known.
    pub(crate) fn leader_silence(&self) -> Option<Duration> {
        let now = self.now();
        self.node.last_leader_contact(now).map(|heard| now.saturating_sub(heard))
    }

    /// Tells whether this member lately had all that its leader has committed.
    pub(crate) fn is_fresh(&self) -> bool {
        /// Time without word of a leader in which changes may be missed.
        const STALE_TIME: Duration = Duration::from_millis(1_200);
        let now = self.now();
        self.node.last_caught_up(now).is_some_and(|since| now < since + STALE_TIME)
    }

    /// Tells those that wait when a leader is heard, or no longer.
    fn note_freshness(&mut self) {
        let fresh = self.is_fresh();
        if std::mem::replace(&mut self.was_fresh, fresh) != fresh {
            log::info!("event=leader_heard fresh={fresh} term={}", self.node.term().0);
            self.urgent.notify_waiters();
        }
    }

    /// Returns how long ago versions of weights were named.
    pub(crate) fn namings(&self) -> Vec<VersionAnnouncement> {
        /// Said of versions that were named before this process could see it.
        const LONG_AGO: Duration = Duration::from_secs(3_600);
        let now = self.now();
        let naming = |(model, version, at): &(String, WeightVersion, Option<Duration>)| {
            VersionAnnouncement {
                model: model.clone(),
                version: *version,
                age: at.map_or(LONG_AGO, |at| now.saturating_sub(at)),
            }
        };
        self.namings.iter().map(naming).collect()
    }

    /// Notes when versions of weights are named.
    fn note_namings(&mut self) {
        /// Time after the start in which this process learns what happened before.
        const CATCH_UP: Duration = Duration::from_secs(3);
        let now = self.now();
        for (model, version) in &self.state.view().weights {
            let known =
                |(one, named, _): &(String, WeightVersion, _)| one == model && *named >= *version;
            if !self.namings.iter().any(known) {
                let at = (now > CATCH_UP).then_some(now);
                self.namings.push((model.clone(), *version, at));
            }
        }
    }

    /// Takes in what was heard of a backend server or process.
    pub(crate) fn observe(&mut self, sighting: &egret_fleet::StatusUpdate) {
        let now = self.now();
        if self.fleet.observe(sighting, now) {
            self.urgent.notify_waiters();
        }
    }

    /// Takes for gone whoever was silent for too long.
    fn expire_silent(&mut self) {
        /// A few lost reports of a backend server do not end it, since requests show its death.
        const BACKEND_SILENCE: Duration = Duration::from_secs(15);
        /// Five polls of an entry or agent.
        const PROCESS_SILENCE: Duration = Duration::from_secs(4);
        let now = self.now();
        if !self.is_fresh() {
            // Others may hear what this instance does not.
            self.fleet.fleet.restart_expiry(now);
            return;
        }
        if self.fleet.expire(BACKEND_SILENCE, PROCESS_SILENCE, now) {
            self.urgent.notify_waiters();
        }
    }

    /// Adds instances that ask, and removes those whose disk or instance is lost.
    fn admit_waiting(&mut self, now: Duration) {
        /// Silence after which a voter beyond the wanted number is removed.
        const SILENCE: Duration = Duration::from_secs(6);
        let silent = self.node.unresponsive_voters(SILENCE, now);
        let Some(next) =
            self.membership_policy.next_membership(self.node.membership(), &self.waiting, &silent)
        else {
            return;
        };
        let members: Vec<_> = next.members.values().map(|one| one.name.clone()).collect();
        if self.node.propose(Payload::Membership(next), now).is_ok() {
            log::info!("event=membership_proposed members={members:?} silent={silent:?}");
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Message(envelope) => self.node.receive(envelope, now),
            Input::Wake => {}
            Input::Propose(command, reply) => {
                self.propose(Payload::Command(encode(&command)), reply);
            }
            Input::ChangeMembership(change, reply) => {
                let membership = self.node.membership();
                let next = match change {
                    MembershipChange::Add(id, member) => membership.with_learner(id, member),
                    MembershipChange::Remove(id) => membership.without(id),
                };
                self.propose(Payload::Membership(next), reply);
            }
        }
    }

    fn propose(&mut self, payload: Payload, reply: oneshot::Sender<Option<Reply>>) {
        let now = self.now();
        match self.node.propose(payload, now) {
            Ok(index) => {
                self.waiters.insert(index, Waiter { term: self.node.term(), reply });
            }
            Err(error) => {
                log::debug!("event=proposal_refused error=\"{error}\"");
                let _ = reply.send(None);
            }
        }
    }

    /// Does what a leader owes without being asked.
    fn do_leader_duties(&mut self) {
        let now = self.now();
        if self.node.role() != Role::Leader {
            if self.holders.take().is_some() {
                log::warn!("event=leadership_lost term={}", self.node.term().0);
            }
            for (_, waiter) in std::mem::take(&mut self.waiters) {
                let _ = waiter.reply.send(None);
            }
            return;
        }
        if self.holders.is_none() {
            log::info!("event=leadership_won term={}", self.node.term().0);
            self.holders = Some(Leases::new(self.lease, now));
        }
        if !self.node.holds_lease(now) {
            return;
        }
        self.end_expired_sessions(now);
        self.plan_if_due(now);
        self.promote_learners(now);
        self.admit_waiting(now);
    }

    /// Proposes one plan for all that came or went in a while.
    fn plan_if_due(&mut self, now: Duration) {
        /// Time between two plans; short beside the time that an agent takes to start.
        const PLAN_PERIOD: Duration = Duration::from_millis(100);
        if self.state.is_plan_due() && now >= self.planned_at + PLAN_PERIOD {
            self.planned_at = now;
            let _ = self.node.propose(Payload::Command(encode(&Command::Plan)), now);
        }
    }

    fn end_expired_sessions(&mut self, now: Duration) {
        let Some(holders) = &mut self.holders else { return };
        let sessions = &self.state.sessions;
        holders.remove_ended(|session| sessions.contains_key(&session), now);
        for session in holders.expired(self.state.sessions(), now) {
            log::warn!("event=session_expired session={session}");
            let command = Command::Leave { session, reason: LeaveReason::LeaseExpired };
            let _ = self.node.propose(Payload::Command(encode(&command)), now);
            // One proposal is enough, even if it takes a while to commit.
            holders.renew(session, Revision(0), now);
        }
    }

    fn promote_learners(&mut self, now: Duration) {
        if let Some(id) = self.node.promotable().first().copied() {
            let next = self.node.membership().with_promoted(id);
            if self.node.propose(Payload::Membership(next), now).is_ok() {
                log::info!("event=member_promoted member={:016x}", id.0);
            }
        }
    }

    /// Keeps on disk what must be kept, then returns what may be sent.
    fn flush(&mut self) -> Result<Vec<Envelope>, StoreError> {
        let ready = self.node.ready();
        if let Some(snapshot) = &ready.snapshot {
            self.journal.compact(snapshot, self.node.hard_state(), &[])?;
            self.load(snapshot);
        }
        if ready.hard_state.is_some() || !ready.entries.is_empty() {
            self.journal.append(ready.hard_state, ready.entries)?;
        }
        for entry in ready.committed {
            self.apply(&entry);
        }
        self.note_namings();
        self.revision.send_if_modified(|known| {
            let revision = self.state.view().revision;
            std::mem::replace(known, revision) != revision
        });
        self.compact()?;
        Ok(ready.messages)
    }

    fn apply(&mut self, entry: &LogEntry) {
        let reply = match &entry.payload {
            Payload::Empty => None,
            Payload::Membership(membership) => {
                self.waiting.retain(|_, (id, _)| !membership.members.contains_key(id));
                Some(Reply::Accepted { revision: self.state.view().revision })
            }
            Payload::Command(bytes) => self.apply_command(bytes),
        };
        if let Some(waiter) = self.waiters.remove(&entry.index) {
            let own = waiter.term == entry.term;
            let _ = waiter.reply.send(reply.filter(|_| own));
        }
    }

    fn apply_command(&mut self, bytes: &[u8]) -> Option<Reply> {
        let command: Command = match decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                log::error!("event=command_not_decoded error=\"{error}\"");
                return None;
            }
        };
        if let Command::Leave { session, reason: LeaveReason::Shutdown } = &command
            && let Some(holders) = &mut self.holders
        {
            holders.release(*session);
        }
        Some(self.state.apply(command))
    }

    fn load(&mut self, snapshot: &Snapshot) {
        match State::restore(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => log::error!("event=snapshot_not_decoded error=\"{error}\""),
        }
    }

    fn compact(&mut self) -> Result<(), StoreError> {
        let commit = self.node.commit();
        let old = self.node.log().snapshot().index;
        if commit.0 - old.0 < self.snapshot_entries {
            return Ok(());
        }
        let data = self.state.snapshot();
        if let Some(snapshot) = self.node.compact(commit, data) {
            let entries: Vec<_> = self.node.log().after(snapshot.index).cloned().collect();
            self.journal.compact(&snapshot, self.node.hard_state(), &entries)?;
            log::info!("event=snapshot index={} bytes={}", snapshot.index.0, snapshot.data.len());
        }
        Ok(())
    }

    fn next_tick(&self) -> Instant {
        /// Longest time between two looks at the leader's duties.
        const DUTIES_PERIOD: Duration = Duration::from_millis(100);
        (self.start + self.node.next_tick()).min(Instant::now() + DUTIES_PERIOD)
    }

    pub(crate) fn membership(&self) -> &Membership {
        self.node.membership()
    }

    /// Returns where a member is reached, if anyone has said so.
    pub(crate) fn address_of(&self, id: MemberId) -> Option<&str> {
        let member = self.membership().members.get(&id).or_else(|| self.introduced.get(&id));
        member.map(|member| member.address.as_str())
    }
}

/// Runs the loop until the disk fails.
///
/// # Errors
///
/// Returns a [`StoreError`] when something could not be kept; the member must
/// not go on, since it cannot keep its promises.
pub(crate) async fn drive(
    core: Rc<RefCell<Core>>,
    mut inbox: mpsc::Receiver<Input>,
    peers: Peers,
) -> Result<(), StoreError> {
    let mut batch = Vec::with_capacity(BATCH_INPUTS);
    loop {
        let next_tick = core.borrow().next_tick();
        tokio::select! {
            count = inbox.recv_many(&mut batch, BATCH_INPUTS) => {
                if count == 0 {
                    return Ok(());
                }
            }
            () = sleep_until(next_tick) => {}
        }
        let messages = {
            let mut core = core.borrow_mut();
            for input in batch.drain(..) {
                core.handle(input);
            }
            let now = core.now();
            core.node.tick(now);
            core.do_leader_duties();
            core.expire_silent();
            let messages = core.flush()?;
            core.note_freshness();
            messages
        };
        peers.send(messages, |id| core.borrow().address_of(id).map(str::to_owned));
    }
}

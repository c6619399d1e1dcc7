//! The control loop, which connects the Raft node, the disk and the replicated state.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use egret_consensus::{
    Envelope, Index, LogEntry, Member, Membership, Node, Payload, Ready, Role, Snapshot, Term,
};
use egret_fleet::{BACKEND_TIMEOUT, StatusUpdate};
use egret_permits::PermitWant;
use egret_quarantine::PartsReport;
use egret_record::{FastMap, MemberId, Revision, WeightVersion};
use egret_rpc::{
    ANNOUNCEMENTS_KEPT, Command, LeaveReason, Reply, SharedFleet, VersionAnnouncement, decode,
    encode,
};
use egret_store::{Journal, StoreError};
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    time::{Instant, sleep_until},
};

use crate::{
    leases::Leases, membership_policy::MembershipPolicy, peers::Peers, permits::Permits,
    quarantine::Quarantine, server::unix_time, state::State,
};

/// Limit of inputs that are handled before one sync of the disk for all of them.
const BATCH_INPUTS_MAX: usize = 512;

/// Delay between attempts to write to a full disk.
pub(crate) const FULL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An input of the control loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// A Raft message from another member.
    Message(Envelope),
    /// A command to replicate.
    Propose(Command, oneshot::Sender<Option<Reply>>),
    /// The node may have queued messages to send.
    Wake,
    /// A membership change to replicate.
    ChangeMembership(MembershipChange, oneshot::Sender<Option<Reply>>),
}

/// A membership change.
#[derive(Debug)]
pub(crate) enum MembershipChange {
    Add(MemberId, Member),
    Remove(MemberId),
}

/// A proposed entry whose submitter waits for the reply.
struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<Option<Reply>>,
}

/// The state of the control thread: Raft node, replicated state, journal and fleet.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) state: State,
    /// The leases of entries and agents, while this member is the leader.
    pub(crate) leases: Option<Leases>,
    /// The permits for limited backend servers, while this member is the leader.
    permits: Option<Permits>,
    /// Finds the parts of prompts that crash backend servers, while this member is the leader.
    quarantine: Option<Quarantine>,
    /// Instances that request to join the cluster, by name.
    pub(crate) join_requests: BTreeMap<String, (MemberId, Member)>,
    /// Instances that replied to a hello call, which may not be in the membership yet.
    pub(crate) introduced: FastMap<MemberId, Member>,
    /// The reported status of backend servers and processes.
    pub(crate) fleet: SharedFleet,
    membership_policy: MembershipPolicy,
    /// When this process saw each version of weights announced.
    announcements: Vec<(String, WeightVersion, Option<Duration>)>,
    journal: Journal,
    /// What is not persisted yet because the disk has no room.
    unsaved: Option<Ready>,
    pending: BTreeMap<Index, PendingProposal>,
    /// When a plan was last proposed.
    planned_at: Duration,
    /// Proven weights that are not proposed yet, while this member is the leader.
    unrecorded: Vec<StatusUpdate>,
    /// When proven weights were last proposed.
    recorded_at: Duration,
    /// Whether this member was fresh at the last check.
    was_fresh: bool,
    start: Instant,
    lease_duration: Duration,
    snapshot_entries: u64,
    revision: watch::Sender<Revision>,
    confirmed: Rc<Notify>,
    urgent: Rc<Notify>,
}

/// The parts from which a [`Core`] is built.
pub(crate) struct CoreParts {
    pub(crate) node: Node,
    pub(crate) state: State,
    pub(crate) journal: Journal,
    pub(crate) start: Instant,
    pub(crate) lease_duration: Duration,
    pub(crate) snapshot_entries: u64,
    pub(crate) membership_policy: MembershipPolicy,
}

impl Core {
    pub(crate) fn new(parts: CoreParts) -> Self {
        let revision = parts.state.view().revision;
        let mut core = Self {
            node: parts.node,
            state: parts.state,
            leases: None,
            permits: None,
            quarantine: None,
            join_requests: BTreeMap::new(),
            introduced: FastMap::default(),
            fleet: SharedFleet::default(),
            membership_policy: parts.membership_policy,
            announcements: Vec::new(),
            journal: parts.journal,
            unsaved: None,
            pending: BTreeMap::new(),
            planned_at: Duration::ZERO,
            unrecorded: Vec::new(),
            recorded_at: Duration::ZERO,
            was_fresh: false,
            start: parts.start,
            lease_duration: parts.lease_duration,
            snapshot_entries: parts.snapshot_entries,
            revision: watch::Sender::new(revision),
            confirmed: Rc::default(),
            urgent: Rc::default(),
        };
        core.observe_recorded();
        core
    }

    /// Returns the time on the node's clock.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns whether this member is the leader and holds its lease.
    pub(crate) fn leads(&self) -> bool {
        self.node.holds_lease(self.now())
    }

    /// Returns the address of another member that is the leader, or an empty string.
    pub(crate) fn leader_address(&self) -> String {
        let leader = self.node.leader().filter(|id| *id != self.node.id());
        let member = leader.and_then(|id| self.node.membership().members.get(&id));
        member.map(|member| member.address.clone()).unwrap_or_default()
    }

    /// Returns a receiver of the state's revision.
    pub(crate) fn revision(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the notifier that is triggered when a session confirms a revision.
    pub(crate) fn confirmed(&self) -> Rc<Notify> {
        self.confirmed.clone()
    }

    /// Returns the notifier that is triggered when followers need an update at once.
    pub(crate) fn urgent(&self) -> Rc<Notify> {
        self.urgent.clone()
    }

    /// Returns the time since the last contact to a leader, if one is known.
    pub(crate) fn since_leader_contact(&self) -> Option<Duration> {
        let now = self.now();
        self.node.last_leader_contact(now).map(|contact| now.saturating_sub(contact))
    }

    /// Returns whether this member recently had all entries that its leader had committed.
    pub(crate) fn is_fresh(&self) -> bool {
        /// Time after which a member that has not caught up again is stale.
        const STALE_AFTER: Duration = Duration::from_millis(1_200);
        let now = self.now();
        self.node.last_caught_up(now).is_some_and(|caught_up| now < caught_up + STALE_AFTER)
    }

    /// Notifies waiting calls when this member becomes fresh or stale.
    fn update_freshness(&mut self) {
        let fresh = self.is_fresh();
        if std::mem::replace(&mut self.was_fresh, fresh) != fresh {
            log::info!("event=freshness_changed fresh={fresh} term={}", self.node.term().0);
            self.urgent.notify_waiters();
        }
    }

    /// Returns the announced versions of weights and how long ago that was.
    pub(crate) fn announcements(&self) -> Vec<VersionAnnouncement> {
        /// Age of versions that were announced before this process could see it.
        const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);
        let now = self.now();
        let announcement = |(model, version, at): &(String, WeightVersion, Option<Duration>)| {
            VersionAnnouncement {
                model: model.clone(),
                version: *version,
                age: at.map_or(UNKNOWN_AGE, |at| now.saturating_sub(at)),
            }
        };
        self.announcements.iter().map(announcement).collect()
    }

    /// Records when versions of weights are announced.
    fn update_announcements(&mut self) {
        /// Period after the start in which this process catches up with earlier announcements.
        const CATCH_UP_PERIOD: Duration = Duration::from_secs(3);
        let now = self.now();
        for (model, version) in &self.state.view().weights {
            let known = |(name, announced, _): &(String, WeightVersion, _)| {
                name == model && *announced >= *version
            };
            if !self.announcements.iter().any(known) {
                let at = (now > CATCH_UP_PERIOD).then_some(now);
                self.announcements.push((model.clone(), *version, at));
                let of_model = |known: &(String, WeightVersion, _)| known.0 == *model;
                let mut positions =
                    (0..).zip(&self.announcements).filter(|(_, known)| of_model(known));
                if let Some((oldest, _)) = positions.next()
                    && positions.count() >= ANNOUNCEMENTS_KEPT
                {
                    self.announcements.remove(oldest);
                }
            }
        }
    }

    /// Records a status update of a backend server or process.
    pub(crate) fn observe(&mut self, update: &StatusUpdate) {
        let now = self.now();
        if self.fleet.observe(update, now) {
            self.urgent.notify_waiters();
        }
    }

    /// Makes known which backend servers drain or have departed by the replicated state.
    fn observe_recorded(&mut self) {
        let updates: Vec<_> = self.state.recorded_status().cloned().collect();
        updates.iter().for_each(|update| self.observe(update));
    }

    /// Marks backend servers and processes as gone that have not reported in time.
    fn expire_fleet(&mut self) {
        /// About five long polls of an entry or agent.
        const PROCESS_TIMEOUT: Duration = Duration::from_secs(4);
        let now = self.now();
        if !self.is_fresh() {
            // Other instances may still receive reports that do not reach this one.
            self.fleet.fleet.restart_expiry(now);
            return;
        }
        if self.fleet.expire(BACKEND_TIMEOUT, PROCESS_TIMEOUT, now) {
            self.urgent.notify_waiters();
        }
    }

    /// Adds instances that request to join, and removes members whose disk or instance was lost.
    fn apply_membership_policy(&mut self, now: Duration) {
        /// Time without a reply after which a voter beyond the configured number is removed. It
        /// rejoins by itself, while a voter that is gone is missing from every quorum.
        const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(2);
        let unresponsive = self.node.unresponsive_voters(UNRESPONSIVE_TIMEOUT, now);
        let Some(next) = self.membership_policy.next_membership(
            self.node.membership(),
            &self.join_requests,
            &unresponsive,
        ) else {
            return;
        };
        let members: Vec<_> = next.members.values().map(|member| member.name.clone()).collect();
        if self.node.propose(Payload::Membership(next), now).is_ok() {
            log::info!("event=membership_proposed members={members:?} silent={unresponsive:?}");
        }
    }

    /// Returns whether a member may leave the cluster without being replaced.
    pub(crate) fn may_leave(&self, id: MemberId) -> bool {
        self.membership_policy.may_leave(self.membership(), id)
    }

    /// Returns the address of each other member.
    pub(crate) fn other_members(&self) -> Vec<(MemberId, SocketAddr)> {
        let members = self.membership().members.iter().filter(|(id, _)| **id != self.node.id());
        members.filter_map(|(id, member)| Some((*id, member.address.parse().ok()?))).collect()
    }

    /// Records that a member's identity is lost, since its address has another one.
    pub(crate) fn mark_lost(&mut self, id: MemberId) {
        let now = self.now();
        if self.node.mark_lost(id, now) {
            log::warn!("event=member_lost member={:016x}", id.0);
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Message(envelope) => self.node.receive(envelope, now),
            Input::Wake => {}
            Input::Propose(command, reply) => {
                self.propose(Payload::Command(encode(&command).into()), reply);
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
                self.pending.insert(index, PendingProposal { term: self.node.term(), reply });
            }
            Err(error) => {
                log::debug!("event=proposal_refused error=\"{error}\"");
                let _ = reply.send(None);
            }
        }
    }

    /// Runs the periodic tasks of the leader, or cleans up after leadership was lost.
    fn run_leader_tasks(&mut self) {
        let now = self.now();
        if self.node.role() != Role::Leader {
            if self.leases.take().is_some() {
                log::warn!("event=leadership_lost term={}", self.node.term().0);
            }
            self.permits = None;
            self.quarantine = None;
            self.unrecorded.clear();
            for (_, proposal) in std::mem::take(&mut self.pending) {
                let _ = proposal.reply.send(None);
            }
            return;
        }
        if self.leases.is_none() {
            log::info!("event=leadership_won term={}", self.node.term().0);
            self.leases = Some(Leases::new(self.lease_duration, now));
            self.permits = Some(Permits::restore(&self.fleet.fleet, now));
            self.quarantine = Some(Quarantine::new());
        }
        if !self.node.holds_lease(now) {
            return;
        }
        self.end_expired_sessions(now);
        self.review_parts(now);
        self.plan_if_due(now);
        self.record_if_due(now);
        self.promote_learners(now);
        self.apply_membership_policy(now);
    }

    /// Grants permits to an entry, and announces the limits that it shows to have changed.
    ///
    /// Returns none if this member is not the leader.
    pub(crate) fn acquire_permits(&mut self, wants: &[PermitWant]) -> Option<Reply> {
        let (now, term) = (self.now(), self.node.term());
        let (grants, limits) = self.permits.as_mut()?.acquire(wants, term, now);
        for limit in limits {
            self.observe(&StatusUpdate::Limit(limit));
        }
        Some(Reply::Permits { term: term.0, grants })
    }

    /// Records what an entry has seen of the parts of prompts.
    ///
    /// Returns none if this member is not the leader.
    pub(crate) fn record_parts(&mut self, report: &PartsReport) -> Option<Reply> {
        let (now, term) = (self.now(), self.node.term());
        self.quarantine.as_mut()?.observe(report, now);
        Some(Reply::PartsRecorded { term: term.0 })
    }

    /// Blocks and releases parts of prompts by the reports of entries.
    fn review_parts(&mut self, now: Duration) {
        let term = self.node.term();
        let Some(quarantine) = &mut self.quarantine else { return };
        let actions = quarantine.decide(&self.state.view().blocked, term, now);
        for command in actions.commands {
            let _ = self.node.propose(Payload::Command(encode(&command).into()), now);
        }
        if let Some(suspects) = actions.suspects {
            self.observe(&StatusUpdate::Suspects(suspects));
        }
    }

    /// Proposes one plan for all backend servers that joined or left recently.
    fn plan_if_due(&mut self, now: Duration) {
        /// Shortest time between two plans; short compared with the start of an agent.
        const PLAN_PERIOD: Duration = Duration::from_millis(100);
        if self.state.is_plan_due() && now >= self.planned_at + PLAN_PERIOD {
            self.planned_at = now;
            let _ = self.node.propose(Payload::Command(encode(&Command::Plan).into()), now);
        }
    }

    /// Records proven weights of an engine with the next entry of the log that does so.
    pub(crate) fn queue_weights(&mut self, update: StatusUpdate) {
        self.unrecorded.push(update);
    }

    /// Proposes one entry for all weights that were proven recently.
    fn record_if_due(&mut self, now: Duration) {
        /// Shortest time between two entries. Each entry brings the next snapshot closer, and a
        /// rollout to hundreds of engines should cost none.
        const RECORD_PERIOD: Duration = Duration::from_millis(300);
        if self.unrecorded.is_empty() || now < self.recorded_at + RECORD_PERIOD {
            return;
        }
        self.recorded_at = now;
        let updates = std::mem::take(&mut self.unrecorded);
        let command = Command::RecordWeights { updates, recorded_at: unix_time() };
        let _ = self.node.propose(Payload::Command(encode(&command).into()), now);
    }

    fn end_expired_sessions(&mut self, now: Duration) {
        let Some(leases) = &mut self.leases else { return };
        let sessions = &self.state.sessions;
        leases.remove_ended(|session| sessions.contains_key(&session), now);
        for session in leases.expired(self.state.sessions(), now) {
            log::warn!("event=session_expired session={session}");
            let command = Command::Leave { session, reason: LeaveReason::LeaseExpired };
            let _ = self.node.propose(Payload::Command(encode(&command).into()), now);
            // Renewing the lease avoids a second proposal while this one is not committed yet.
            leases.renew(session, Revision(0), now);
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

    /// Rejects an input, since nothing can be persisted; members send their messages again.
    fn reject(input: Input) {
        match input {
            Input::Message(_) | Input::Wake => {}
            Input::Propose(_, reply) | Input::ChangeMembership(_, reply) => {
                let _ = reply.send(None);
            }
        }
    }

    /// Persists and applies the node's pending work, then returns the messages to send.
    ///
    /// The node must not change before a flush that failed for want of room has succeeded.
    fn flush(&mut self) -> Result<Vec<Envelope>, StoreError> {
        let ready = self.unsaved.take().unwrap_or_else(|| self.node.ready());
        if let Err(error) = self.persist(&ready) {
            self.unsaved = Some(ready);
            return Err(error);
        }
        for entry in ready.committed {
            self.apply(&entry);
        }
        self.update_announcements();
        self.revision.send_if_modified(|known| {
            let revision = self.state.view().revision;
            std::mem::replace(known, revision) != revision
        });
        self.compact()?;
        Ok(ready.messages)
    }

    fn persist(&mut self, ready: &Ready) -> Result<(), StoreError> {
        if let Some(snapshot) = &ready.snapshot {
            self.journal.compact(snapshot, self.node.hard_state(), &[])?;
            self.load(snapshot);
        }
        if ready.hard_state.is_some() || !ready.entries.is_empty() {
            self.journal.append(ready.hard_state, &ready.entries)?;
        }
        Ok(())
    }

    fn apply(&mut self, entry: &LogEntry) {
        let reply = match &entry.payload {
            Payload::Empty => None,
            Payload::Membership(membership) => {
                self.join_requests.retain(|_, (id, _)| !membership.members.contains_key(id));
                Some(Reply::Accepted { revision: self.state.view().revision })
            }
            Payload::Command(bytes) => self.apply_command(bytes),
        };
        if let Some(proposal) = self.pending.remove(&entry.index) {
            let same_term = proposal.term == entry.term;
            let _ = proposal.reply.send(reply.filter(|_| same_term));
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
        match &command {
            Command::Leave { session, reason: LeaveReason::Shutdown } => {
                if let Some(leases) = &mut self.leases {
                    leases.release(*session);
                }
            }
            Command::RecordStatus { update, .. } => self.observe(update),
            Command::RecordWeights { updates, .. } => {
                updates.iter().for_each(|update| self.observe(update));
            }
            _ => {}
        }
        Some(self.state.apply(command))
    }

    fn load(&mut self, snapshot: &Snapshot) {
        match State::restore(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.observe_recorded();
            }
            Err(error) => log::error!("event=snapshot_not_decoded error=\"{error}\""),
        }
    }

    fn compact(&mut self) -> Result<(), StoreError> {
        let commit = self.node.commit();
        let old = self.node.log().snapshot().index;
        // After a restart, only the snapshot shows that a membership change is committed; until
        // then the former members are needed as well, which may be gone.
        let (changed, _) = self.node.log().membership();
        let has_new_members = old < changed && changed <= commit;
        if commit.0 - old.0 < self.snapshot_entries && !has_new_members && !self.is_log_large() {
            return Ok(());
        }
        let started = Instant::now();
        let data = self.state.snapshot();
        if let Some(snapshot) = self.node.compact(commit, data.into()) {
            let entries: Vec<_> = self.node.log().after(snapshot.index).cloned().collect();
            match self.journal.compact(&snapshot, self.node.hard_state(), &entries) {
                // The log on the disk still has all that the snapshot covers.
                Err(error) if error.is_full() => {
                    log::warn!(
                        "event=snapshot_not_saved index={} error=\"{error}\"",
                        snapshot.index.0
                    );
                    return Ok(());
                }
                saved => saved?,
            }
            log::info!(
                "event=snapshot index={} bytes={} ms={}",
                snapshot.index.0,
                snapshot.data.len(),
                started.elapsed().as_millis()
            );
        }
        Ok(())
    }

    /// Returns whether the log is to be compacted for its size, whatever its number of entries.
    fn is_log_large(&self) -> bool {
        /// Size of the commands in the log that calls for a snapshot, in bytes.
        const LOG_BYTES_MAX: usize = 8 * 1024 * 1024;
        let log = self.node.log();
        // Writing snapshots should cost no more than writing the log.
        let limit = LOG_BYTES_MAX.max(log.snapshot().data.len());
        log.bytes() >= limit && log.bytes_up_to(self.node.commit()) >= limit
    }

    fn next_tick(&self) -> Instant {
        /// Longest time between two runs of the leader's tasks.
        const LEADER_TASK_PERIOD: Duration = Duration::from_millis(100);
        (self.start + self.node.next_tick()).min(Instant::now() + LEADER_TASK_PERIOD)
    }

    pub(crate) fn membership(&self) -> &Membership {
        self.node.membership()
    }

    /// Returns the address of a member, if it is known.
    pub(crate) fn address_of(&self, id: MemberId) -> Option<&str> {
        let member = self.membership().members.get(&id).or_else(|| self.introduced.get(&id));
        member.map(|member| member.address.as_str())
    }
}

/// Runs the control loop until the disk fails.
///
/// While the disk has no room the member takes no part: it neither acknowledges nor votes, and its
/// leases end, so that others go on without it. It goes on itself once there is room.
///
/// # Errors
///
/// Returns a [`StoreError`] when a write failed otherwise; the member must then stop,
/// since it could break votes and acknowledgements that it has given.
pub(crate) async fn drive(
    core: Rc<RefCell<Core>>,
    mut inbox: mpsc::Receiver<Input>,
    peers: Peers,
) -> Result<(), StoreError> {
    let mut batch = Vec::with_capacity(BATCH_INPUTS_MAX);
    let mut retry_at = None;
    loop {
        let next_tick = retry_at.unwrap_or_else(|| core.borrow().next_tick());
        tokio::select! {
            count = inbox.recv_many(&mut batch, BATCH_INPUTS_MAX) => {
                if count == 0 {
                    return Ok(());
                }
            }
            () = sleep_until(next_tick) => {}
        }
        if let Some(at) = retry_at {
            batch.drain(..).for_each(Core::reject);
            core.borrow_mut().update_freshness();
            if Instant::now() < at {
                continue;
            }
        }
        let flushed = {
            let mut core = core.borrow_mut();
            if retry_at.is_none() {
                for input in batch.drain(..) {
                    core.handle(input);
                }
                let now = core.now();
                core.node.tick(now);
                core.run_leader_tasks();
                core.expire_fleet();
            }
            let flushed = core.flush();
            core.update_freshness();
            flushed
        };
        let messages = match flushed {
            Ok(messages) => messages,
            Err(error) if error.is_full() => {
                if retry_at.is_none() {
                    log::error!("event=disk_full error=\"{error}\"");
                }
                retry_at = Some(Instant::now() + FULL_RETRY_DELAY);
                continue;
            }
            Err(error) => return Err(error),
        };
        if retry_at.take().is_some() {
            log::info!("event=disk_has_room");
        }
        peers.send(messages, |id| core.borrow().address_of(id).map(str::to_owned));
    }
}

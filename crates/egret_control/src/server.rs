//! The RPC interface to other processes.

use std::{
    cell::RefCell,
    net::IpAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use egret_consensus::Member;
use egret_fleet::{FeedCursor, Interest, ProcessKind, StatusUpdate};
use egret_record::{MemberId, Revision, SessionId};
use egret_rpc::{
    CallError, Command, ControlClient, LONG_POLL_TIMEOUT, MemberStatus, NO_LEADER_POLL_TIMEOUT,
    Query, Reply, Request, StatusReply, UnixMillis, Watch, WatchReply, decode, encode,
    read_envelope, read_member, schema::control, write_member,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use crate::driver::{Core, Input, MembershipChange};

/// Number of long polls that fit into one lease, which limits the wait of each.
const POLLS_PER_LEASE: u32 = 3;

/// Time for which updates are collected before the reply to a follower. Without it, after a
/// restart of all processes, each one would get a separate reply for each of the others.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// The RPC server, before and after this instance belongs to a cluster.
#[derive(Clone)]
pub(crate) struct Server {
    own: MemberId,
    member: Member,
    /// The local address of connections to the other instances.
    local_ip: IpAddr,
    running: Rc<RefCell<Option<Running>>>,
}

/// The RPC server's access to the control loop, once this instance belongs to a cluster.
#[derive(Clone)]
pub(crate) struct Running {
    pub(crate) core: Rc<RefCell<Core>>,
    local_ip: IpAddr,
    inbox: mpsc::Sender<Input>,
}

/// The result of a call, or the address of the leader to call instead.
pub(crate) enum Answer<T> {
    Done(T),
    NotLeader(String),
}

impl Server {
    pub(crate) fn new(own: MemberId, member: Member, local_ip: IpAddr) -> Self {
        Self { own, member, local_ip, running: Rc::default() }
    }

    /// Connects the server to the control loop; it serves the cluster from then on.
    pub(crate) fn start(&self, core: Rc<RefCell<Core>>, inbox: mpsc::Sender<Input>) {
        self.running.replace(Some(Running { core, local_ip: self.local_ip, inbox }));
    }

    pub(crate) fn running(&self) -> Option<Running> {
        self.running.borrow().clone()
    }
}

impl Running {
    fn not_leader<T>(&self) -> Answer<T> {
        Answer::NotLeader(self.core.borrow().leader_address())
    }

    pub(crate) async fn call(&self, request: Request) -> Answer<Reply> {
        match request {
            Request::Command(command) => match *command {
                Command::RecordStatus { update: update @ StatusUpdate::Weights(_), .. } => {
                    self.record_weights(update).await
                }
                command => {
                    self.submit(|reply| Input::Propose(with_leader_time(command), reply)).await
                }
            },
            Request::Query(query) => self.query(query).await,
            Request::Watch(watch) => {
                Answer::Done(Reply::Watched(Box::new(self.watch(watch).await)))
            }
            Request::AcquirePermits(wants) => {
                let leads = self.core.borrow().leads();
                let reply = leads.then(|| self.core.borrow_mut().acquire_permits(&wants));
                reply.flatten().map_or_else(|| self.not_leader(), Answer::Done)
            }
            Request::ReportParts(report) => {
                let leads = self.core.borrow().leads();
                let reply = leads.then(|| self.core.borrow_mut().record_parts(&report));
                reply.flatten().map_or_else(|| self.not_leader(), Answer::Done)
            }
            Request::AddMember(name) => {
                let found = self.core.borrow().join_requests.get(&name).cloned();
                let Some((id, member)) = found else {
                    return self.refuse(format!(
                        "no control instance {name:?} asks to be added; start it with an empty \
                         data folder and the others in its `peers`"
                    ));
                };
                let change = MembershipChange::Add(id, member);
                self.submit(|reply| Input::ChangeMembership(change, reply)).await
            }
            Request::RemoveMember(id) => {
                if !self.core.borrow().membership().members.contains_key(&id) {
                    return self.refuse(format!(
                        "no member has identity {:016x}; `egretctl status` lists them",
                        id.0
                    ));
                }
                let change = MembershipChange::Remove(id);
                self.submit(|reply| Input::ChangeMembership(change, reply)).await
            }
            Request::LeaveCluster(id) => {
                if !self.core.borrow().may_leave(id) {
                    return self.refuse(format!(
                        "control instance {:016x} cannot leave; start another one first",
                        id.0
                    ));
                }
                let change = MembershipChange::Remove(id);
                self.submit(|reply| Input::ChangeMembership(change, reply)).await
            }
        }
    }

    /// Replies once proven weights of an engine, or later ones, are replicated.
    async fn record_weights(&self, update: StatusUpdate) -> Answer<Reply> {
        /// Interval at which the leadership is checked, which ends without a notification.
        const CHECK_PERIOD: Duration = Duration::from_millis(250);
        let urgent = self.core.borrow().urgent();
        let mut is_queued = false;
        loop {
            let notified = urgent.notified();
            {
                let mut core = self.core.borrow_mut();
                if !core.leads() {
                    return self.not_leader_of(&core);
                }
                if core.state.recorded.covers(&update) {
                    let revision = core.state.view().revision;
                    return Answer::Done(Reply::Accepted { revision });
                }
                if !is_queued {
                    core.queue_weights(update.clone());
                    is_queued = true;
                }
            }
            let _ = timeout(CHECK_PERIOD, notified).await;
        }
    }

    /// Sends a request to the leader, which may be this instance, until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no leader replied in time.
    pub(crate) async fn call_leader(
        &self,
        request: Request,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        let local = timeout_at(deadline, self.call(request.clone())).await;
        if let Ok(Answer::Done(reply)) = local {
            return Ok(reply);
        }
        let others = self.core.borrow().other_members();
        let addresses = others.into_iter().map(|(_, address)| address).collect();
        ControlClient::new(self.local_ip, addresses).call(&request, deadline).await
    }

    /// Makes the control loop send the messages that the node has queued.
    pub(crate) async fn wake(&self) {
        let _ = self.inbox.send(Input::Wake).await;
    }

    fn refuse(&self, message: String) -> Answer<Reply> {
        if self.core.borrow().leads() {
            Answer::Done(Reply::Refused { message })
        } else {
            self.not_leader()
        }
    }

    async fn submit(
        &self,
        input: impl FnOnce(oneshot::Sender<Option<Reply>>) -> Input,
    ) -> Answer<Reply> {
        if !self.core.borrow().leads() {
            return self.not_leader();
        }
        let (sender, reply) = oneshot::channel();
        if self.inbox.send(input(sender)).await.is_err() {
            return self.not_leader();
        }
        match reply.await {
            Ok(Some(reply)) => Answer::Done(reply),
            Ok(None) | Err(_) => self.not_leader(),
        }
    }

    /// Replies to a watch soon after a change, otherwise when its long poll times out.
    async fn watch(&self, watch: Watch) -> WatchReply {
        let Watch { revision: seen, cursor, process, immediate } = watch;
        let is_agent = process.as_ref().is_some_and(|process| process.kind == ProcessKind::Agent);
        let interest = if is_agent { Interest::Agents } else { Interest::All };
        // Another control instance passes the updates on, so they are not delayed for it.
        let delay = if process.is_some() { BATCH_DELAY } else { Duration::ZERO };
        // Only these wait while there is no leader: a process that searches for an instance would
        // find no better one, and the other control instances need the updates that this one
        // receives as soon as there is a leader.
        let waits_for_leader = immediate || process.is_none();
        if let Some(process) = process {
            self.core.borrow_mut().observe(&StatusUpdate::Process(process));
        }
        let started = Instant::now();
        let (mut revision, urgent) = {
            let core = self.core.borrow();
            (core.revision(), core.urgent())
        };
        loop {
            let notified = urgent.notified();
            let waited = started.elapsed();
            let (is_fresh, has_updates) = {
                let core = self.core.borrow();
                let has_changes = core.state.view().revision > seen;
                (core.is_fresh(), has_changes || core.fleet.feed.is_urgent_after(cursor, interest))
            };
            let limit = match (is_fresh, waits_for_leader) {
                (true, _) if !immediate => LONG_POLL_TIMEOUT,
                (false, true) => NO_LEADER_POLL_TIMEOUT,
                _ => Duration::ZERO,
            };
            if waited >= limit {
                break;
            }
            if is_fresh && has_updates {
                sleep(delay).await;
                break;
            }
            tokio::select! {
                () = notified => {}
                _ = revision.wait_for(|known| *known > seen), if is_fresh => {}
                () = sleep_until(started + limit) => {}
            }
        }
        watch_reply(&self.core.borrow(), seen, cursor, interest)
    }

    async fn query(&self, query: Query) -> Answer<Reply> {
        if !self.core.borrow().leads() {
            return self.not_leader();
        }
        let core = self.core.borrow();
        Answer::Done(match query {
            Query::View => Reply::View(Box::new(core.state.view().clone())),
            Query::History(name) => Reply::History(core.state.history(&name)),
            Query::Status => Reply::Status(status(&core)),
        })
    }

    async fn poll(&self, session: SessionId, confirmed: Revision) -> Answer<Option<Vec<u8>>> {
        let (mut revision, wait) = {
            let mut core = self.core.borrow_mut();
            if !core.leads() {
                return self.not_leader_of(&core);
            }
            if !core.state.sessions.contains_key(&session) {
                return Answer::Done(None);
            }
            let now = core.now();
            let Some(leases) = &mut core.leases else {
                return self.not_leader_of(&core);
            };
            leases.renew(session, confirmed, now);
            let wait = leases.duration() / POLLS_PER_LEASE;
            core.confirmed().notify_waiters();
            (core.revision(), wait)
        };
        let _ = timeout(wait, revision.wait_for(|known| *known > confirmed)).await;
        self.collect_changes(&mut revision, confirmed).await;
        let mut core = self.core.borrow_mut();
        if !core.leads() {
            return self.not_leader_of(&core);
        }
        if !core.state.sessions.contains_key(&session) {
            return Answer::Done(None);
        }
        let now = core.now();
        if let Some(leases) = &mut core.leases {
            leases.renew(session, confirmed, now);
        }
        Answer::Done(Some(encode(&core.state.delta(confirmed))))
    }

    /// Waits briefly for more changes, unless one is urgent.
    async fn collect_changes(&self, revision: &mut watch::Receiver<Revision>, confirmed: Revision) {
        /// Limit of the delay for progress of backend servers.
        const DELAY_MAX: Duration = Duration::from_millis(150);
        let urgent = || self.core.borrow().state.is_urgent_after(confirmed);
        if *revision.borrow() > confirmed {
            let _ = timeout(DELAY_MAX, revision.wait_for(|_| urgent())).await;
        }
    }

    async fn in_force(&self, revision: Revision, wait: Duration) -> Answer<bool> {
        /// Interval at which leases are checked, since they end without a notification.
        const CHECK_PERIOD: Duration = Duration::from_millis(20);
        let deadline = Instant::now() + wait;
        let confirmed = self.core.borrow().confirmed();
        loop {
            {
                let core = self.core.borrow();
                if !core.leads() {
                    return self.not_leader_of(&core);
                }
                let now = core.now();
                let known = core.state.view().revision >= revision;
                if known
                    && core.leases.as_ref().is_some_and(|leases| leases.in_force(revision, now))
                {
                    return Answer::Done(true);
                }
            }
            if Instant::now() >= deadline {
                return Answer::Done(false);
            }
            tokio::select! {
                () = confirmed.notified() => {}
                () = sleep(CHECK_PERIOD) => {}
            }
        }
    }

    #[expect(clippy::unused_self, reason = "reads like not_leader, with the core borrowed already")]
    fn not_leader_of<T>(&self, core: &Core) -> Answer<T> {
        Answer::NotLeader(core.leader_address())
    }
}

fn watch_reply(
    core: &Core,
    revision: Revision,
    cursor: FeedCursor,
    interest: Interest,
) -> WatchReply {
    let members = core.membership().members.values();
    let changed = core.state.view().revision > revision;
    WatchReply {
        delta: changed.then(|| core.state.delta(revision)),
        announcements: if changed { core.announcements() } else { Vec::new() },
        feed: core.fleet.feed.delta_since(cursor, &core.fleet.fleet, interest),
        has_leader: core.is_fresh(),
        members: members.filter_map(|member| member.address.parse().ok()).collect(),
    }
}

/// Sets the time of a command to the leader's clock, whatever the sender wrote.
fn with_leader_time(command: Command) -> Command {
    match command {
        Command::Claim { key, session, request, .. } => {
            Command::Claim { key, session, request, claimed_at: unix_time() }
        }
        Command::RecordStatus { update, .. } => {
            Command::RecordStatus { update, recorded_at: unix_time() }
        }
        other => other,
    }
}

/// Returns the time of day.
pub(crate) fn unix_time() -> UnixMillis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

fn status(core: &Core) -> StatusReply {
    let membership = core.membership().clone();
    let members = membership
        .members
        .iter()
        .map(|(id, member)| MemberStatus {
            identity: *id,
            name: member.name.clone(),
            voter: membership.voters.contains(id),
            leader: core.node.leader() == Some(*id),
        })
        .collect();
    let waiting = core.join_requests.iter().map(|(name, (id, _))| (name.clone(), *id)).collect();
    StatusReply {
        members,
        waiting,
        membership,
        revision: core.state.view().revision,
        commit: core.node.commit().0,
        term: core.node.term().0,
    }
}

impl control::Server for Server {
    async fn hello(
        self: Rc<Self>,
        params: control::HelloParams,
        mut results: control::HelloResults,
    ) -> capnp::Result<()> {
        let (id, member) = read_member(params.get()?.get_member()?)?;
        let mut reply = results.get();
        write_member(self.own, &self.member, reply.reborrow().init_member());
        if let Some(running) = self.running() {
            let mut core = running.core.borrow_mut();
            reply.set_formed(true);
            reply.set_cluster(core.membership().cluster.0);
            if !core.membership().members.contains_key(&id) {
                core.join_requests.insert(member.name.clone(), (id, member));
            }
        }
        Ok(())
    }

    async fn consensus(
        self: Rc<Self>,
        params: control::ConsensusParams,
        _: control::ConsensusResults,
    ) -> capnp::Result<()> {
        let envelope = read_envelope(params.get()?.get_envelope()?)?;
        if let Some(running) = self.running() {
            let _ = running.inbox.send(Input::Message(envelope)).await;
        }
        Ok(())
    }

    async fn call(
        self: Rc<Self>,
        params: control::CallParams,
        mut results: control::CallResults,
    ) -> capnp::Result<()> {
        let request = decode(params.get()?.get_request()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let answer = match self.running() {
            Some(running) => running.call(request).await,
            None => Answer::NotLeader(String::new()),
        };
        let mut result = results.get().init_result();
        match answer {
            Answer::Done(reply) => result.set_reply(&encode(&reply)),
            Answer::NotLeader(address) => result.set_not_leader(address),
        }
        Ok(())
    }

    async fn poll(
        self: Rc<Self>,
        params: control::PollParams,
        mut results: control::PollResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let session = SessionId(params.get_session());
        let confirmed = Revision(params.get_confirmed());
        let (answer, lease) = match self.running() {
            Some(running) => {
                let answer = running.poll(session, confirmed).await;
                let lease = running.core.borrow().leases.as_ref().map(crate::Leases::duration);
                (answer, lease.unwrap_or_default())
            }
            None => (Answer::NotLeader(String::new()), Duration::ZERO),
        };
        let mut result = results.get().init_result();
        result.set_lease_millis(u64::try_from(lease.as_millis()).unwrap_or(0));
        match answer {
            Answer::Done(Some(delta)) => result.set_delta(&delta),
            Answer::Done(None) => result.set_session_gone(()),
            Answer::NotLeader(address) => result.set_not_leader(address),
        }
        Ok(())
    }

    async fn in_force(
        self: Rc<Self>,
        params: control::InForceParams,
        mut results: control::InForceResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let revision = Revision(params.get_revision());
        let wait = Duration::from_millis(params.get_wait_millis());
        let answer = match self.running() {
            Some(running) => running.in_force(revision, wait).await,
            None => Answer::NotLeader(String::new()),
        };
        let mut result = results.get().init_result();
        match answer {
            Answer::Done(in_force) => result.set_in_force(in_force),
            Answer::NotLeader(address) => result.set_not_leader(address),
        }
        Ok(())
    }
}

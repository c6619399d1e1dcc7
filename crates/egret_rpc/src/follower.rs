//! Read-only copy of the view and the fleet, from any healthy control instance.
//!
//! A follower long-polls one control instance for changes. It has no session
//! and no lease, and takes no part in consensus: it uses the last state it
//! received, also while it is disconnected. To find an instance it asks all
//! known ones, chooses the first that replies and has a leader, and leaves it
//! when a reply times out or reports that there is no leader.

use std::{
    cell::{Cell, Ref, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use egret_fleet::{
    Feed, FeedCursor, Fleet, ProcessStatus, StatusKey, StatusStamp, StatusUpdate, Unconfirmed,
    UpdateKind,
};
use egret_record::{FastMap, PartList, RateLimit, View, WeightVersion};
use futures::{StreamExt as _, stream::FuturesUnordered};
use rand::{RngExt as _, seq::SliceRandom as _};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

use crate::{
    Connections,
    request::{ANNOUNCEMENTS_KEPT, Reply, Request, Watch, WatchReply, decode, encode},
    schema::{self, control},
};

/// Longest time for which a control instance delays a reply while nothing changes.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time allowed beyond [`LONG_POLL_TIMEOUT`] before a reply counts as lost.
pub const REPLY_GRACE: Duration = Duration::from_millis(600);
/// Timeout of the first reply of an instance, which has the whole fleet: about 30 kB, possibly
/// over a shared link at a tenth of its usual bandwidth.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after which the next instance is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Time on the follower's clock when it starts, so that earlier events have a time as well.
const CLOCK_START: Duration = Duration::from_secs(24 * 3_600);
/// Longest time for which an instance without a leader delays a reply: a few election attempts, so
/// that its followers learn of the new leader at once.
pub const NO_LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest delay between an unhealthy instance and the next one.
const NEXT_DELAY_MAX: Duration = Duration::from_millis(40);
/// Longest delay before a new round over all instances.
const ROUND_DELAY_MAX: Duration = Duration::from_millis(150);

/// Addresses with which a follower reaches the control instances.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// The local address to connect from.
    pub local_ip: IpAddr,
    /// The control instances listed in the settings.
    pub seeds: Vec<SocketAddr>,
}

/// Counts of the replies received and of what they changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpdateCounts {
    /// Replies so far.
    pub replies: u64,
    /// Replies so far that changed the view.
    pub views: u64,
    /// Replies so far that changed the fleet.
    pub fleets: u64,
}

/// The latest view and fleet received from a control instance.
#[derive(Debug)]
pub struct Follower {
    settings: RefCell<FollowerSettings>,
    connections: Connections<control::Client>,
    members: RefCell<Vec<SocketAddr>>,
    view: RefCell<View>,
    fleet: RefCell<Fleet>,
    /// The members of the fleet that an instance which has started anew does not list.
    unconfirmed: RefCell<Unconfirmed>,
    cursors: RefCell<FastMap<SocketAddr, FeedCursor>>,
    /// Versions of each model's weights, with when they were announced, sorted by version.
    announcements: RefCell<FastMap<String, Vec<(WeightVersion, Duration)>>>,
    own_status: RefCell<Option<ProcessStatus>>,
    status_changed: Notify,
    counts: watch::Sender<UpdateCounts>,
    start: Instant,
    last_contact: Cell<Option<Duration>>,
    /// Connections for requests to the leader.
    leader_connections: Connections<control::Client>,
    /// The instance that is asked next in search of the leader.
    leader: Cell<Option<SocketAddr>>,
}

impl Follower {
    /// Creates a follower that sends `status`, if given, with each of its requests.
    #[must_use]
    pub fn new(settings: FollowerSettings, status: Option<ProcessStatus>) -> Rc<Self> {
        Rc::new(Self {
            connections: Connections::new(settings.local_ip),
            leader_connections: Connections::new(settings.local_ip),
            leader: Cell::new(None),
            settings: RefCell::new(settings),
            members: RefCell::default(),
            view: RefCell::default(),
            fleet: RefCell::default(),
            unconfirmed: RefCell::default(),
            cursors: RefCell::default(),
            announcements: RefCell::default(),
            own_status: RefCell::new(status),
            status_changed: Notify::new(),
            counts: watch::Sender::new(UpdateCounts::default()),
            start: Instant::now(),
            last_contact: Cell::new(None),
        })
    }

    /// Returns the latest view.
    pub fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// Returns the announced versions of a model's weights, with when, sorted by version.
    pub fn announcements(&self, model: &str) -> Vec<(WeightVersion, Duration)> {
        self.announcements.borrow().get(model).cloned().unwrap_or_default()
    }

    /// Returns the latest fleet.
    pub fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    /// Returns the status that this process reports about itself.
    pub fn own_status(&self) -> Option<ProcessStatus> {
        self.own_status.borrow().clone()
    }

    /// Subscribes to the counts, which change with each reply.
    pub fn updates(&self) -> watch::Receiver<UpdateCounts> {
        self.counts.subscribe()
    }

    /// Returns the time on the clock that dates the entries of the fleet.
    #[must_use]
    pub fn now(&self) -> Duration {
        CLOCK_START + self.start.elapsed()
    }

    /// Returns the time since an instance with a leader replied, if one ever did.
    #[must_use]
    pub fn since_contact(&self) -> Option<Duration> {
        self.last_contact.get().map(|time| self.now().saturating_sub(time))
    }

    /// Changes the status of this process and sends it at once.
    pub fn update_status(&self, change: impl FnOnce(&mut ProcessStatus)) {
        if let Some(status) = self.own_status.borrow_mut().as_mut() {
            change(status);
        }
        self.status_changed.notify_waiters();
    }

    /// Replaces the control instances listed in the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.settings.borrow_mut().seeds = seeds;
    }

    /// Sends a request to the leader once; returns its reply, or none within `limit`.
    ///
    /// Must be awaited within a `LocalSet`. The next call starts at another instance if this one
    /// finds no leader.
    pub async fn call_leader(&self, request: &Request, limit: Duration) -> Option<Reply> {
        /// Instances that are asked in turn, if each names another one as the leader.
        const HOPS_MAX: usize = 3;
        let bytes = encode(request);
        let reply = timeout(limit, async {
            for _ in 0..HOPS_MAX {
                let address = self.leader.get().or_else(|| self.random_instance())?;
                match call_once(&self.leader_connections, address, &bytes).await {
                    Ok(Ok(reply)) => {
                        self.leader.set(Some(address));
                        return Some(reply);
                    }
                    Ok(Err(leader)) => {
                        self.leader.set(leader);
                        leader?;
                    }
                    Err(error) => {
                        log::debug!("event=leader_unreachable address={address} error=\"{error}\"");
                        self.leader_connections.remove(address);
                        self.leader.set(None);
                        return None;
                    }
                }
            }
            None
        });
        let reply = reply.await;
        if reply.is_err()
            && let Some(address) = self.leader.take()
        {
            self.leader_connections.remove(address);
        }
        reply.ok().flatten()
    }

    /// Closes the connections of [`call_leader`](Self::call_leader).
    ///
    /// An instance has too few descriptors for a connection to each agent, so those that call the
    /// leader rarely close theirs.
    pub fn disconnect_leader(&self) {
        self.leader_connections.clear();
    }

    fn random_instance(&self) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let settings = self.settings.borrow();
        let known = if members.is_empty() { &settings.seeds } else { &*members };
        let index = rand::rng().random_range(0..known.len().max(1));
        known.get(index).copied()
    }

    /// Receives changes for as long as it is awaited; must be awaited within a `LocalSet`.
    pub async fn run(&self) {
        loop {
            match self.find().await {
                Some(address) => {
                    log::info!("event=control_connected address={address}");
                    self.poll(address).await;
                    log::warn!("event=control_disconnected address={address}");
                }
                None => sleep(rand::rng().random_range(ROUND_DELAY_MAX / 2..ROUND_DELAY_MAX)).await,
            }
        }
    }

    /// Asks the known instances in random order and returns the first healthy one.
    ///
    /// Moves on to the next instance when one is unhealthy, and asks it in
    /// parallel when one has not replied within [`HEDGE_DELAY`].
    async fn find(&self) -> Option<SocketAddr> {
        let mut known = self.settings.borrow().seeds.clone();
        known.extend(self.members.borrow().iter());
        known.sort_unstable();
        known.dedup();
        known.shuffle(&mut rand::rng());
        let mut remaining = known.into_iter();
        let mut in_flight = FuturesUnordered::new();
        loop {
            // Each reply has the whole fleet; all of them at once would congest a slow link.
            match remaining.next() {
                Some(address) => {
                    in_flight.push(async move {
                        let reply = self.ask(address, true, FIRST_REPLY_TIMEOUT).await?;
                        self.apply(address, reply).then_some(address)
                    });
                }
                None if in_flight.is_empty() => return None,
                None => {}
            }
            match timeout(HEDGE_DELAY, in_flight.next()).await {
                Ok(Some(Some(address))) => return Some(address),
                // Random, because many followers search at the same time after a restart.
                Ok(_) => sleep(rand::rng().random_range(NEXT_DELAY_MAX / 4..NEXT_DELAY_MAX)).await,
                Err(_) => {}
            }
        }
    }

    /// Makes the reports of this process later than an update about an earlier process of its name.
    ///
    /// The clock may have stepped back since that process started, so that its incarnation is the
    /// later one. Only a process that has just started overtakes another: of two that run under one
    /// name, the one that started first must not.
    fn overtake(&self, update: &StatusUpdate) {
        /// Time after the start in which a process hears of its predecessor; several of the times
        /// after which silent processes are forgotten.
        const START_PERIOD: Duration = Duration::from_secs(30);
        let name = match update {
            StatusUpdate::Process(process) => &process.name,
            StatusUpdate::Gone(StatusKey::Process(name), _) => name,
            _ => return,
        };
        let incarnation = update.stamp().incarnation;
        let mut own = self.own_status.borrow_mut();
        if let Some(own) = own.as_mut()
            && own.name == *name
            && own.stamp.incarnation < incarnation
            && self.start.elapsed() < START_PERIOD
        {
            log::warn!("event=clock_behind born={} earlier={incarnation}", own.stamp.incarnation);
            own.stamp = StatusStamp { incarnation: incarnation + 1, seq: 0 };
            self.status_changed.notify_one();
        }
    }

    /// Long-polls an instance until it is unhealthy.
    async fn poll(&self, address: SocketAddr) {
        loop {
            let reply = tokio::select! {
                reply = self.ask(address, false, LONG_POLL_TIMEOUT + REPLY_GRACE) => reply,
                () = self.status_changed.notified() => self.ask(address, true, FIRST_REPLY_TIMEOUT).await,
            };
            let healthy = reply.is_some_and(|reply| self.apply(address, reply));
            if !healthy {
                return;
            }
        }
    }

    async fn ask(
        &self,
        address: SocketAddr,
        immediate: bool,
        limit: Duration,
    ) -> Option<WatchReply> {
        let request = {
            if let Some(status) = self.own_status.borrow_mut().as_mut() {
                status.stamp.seq += 1;
            }
            Watch {
                revision: self.view.borrow().revision,
                cursor: self.cursors.borrow().get(&address).copied().unwrap_or_default(),
                process: self.own_status.borrow().clone(),
                immediate,
            }
        };
        let reply = timeout(limit, watch_once(&self.connections, address, request)).await;
        match reply {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(error)) => {
                log::debug!("event=control_unreachable address={address} error=\"{error}\"");
            }
            Err(_) => log::debug!("event=control_timeout address={address}"),
        }
        self.connections.remove(address);
        self.unconfirmed.borrow_mut().set_contact(false, self.now());
        None
    }

    /// Applies a reply. Returns whether the instance that sent it has a leader.
    fn apply(&self, address: SocketAddr, reply: WatchReply) -> bool {
        let now = self.now();
        let mut counts = *self.counts.borrow();
        counts.replies += 1;
        if let Some(delta) = reply.delta {
            let mut view = self.view.borrow_mut();
            let before = view.revision;
            if let Err(error) = view.apply(delta) {
                log::warn!("event=view_update_failed error=\"{error}\"");
            }
            if view.revision != before {
                counts.views += 1;
                log::info!("event=view_changed revision={} from={address}", view.revision);
            }
        }
        for announcement in reply.announcements {
            let announced = now.saturating_sub(announcement.age);
            let mut announcements = self.announcements.borrow_mut();
            let known = announcements.entry(announcement.model).or_default();
            match known.iter_mut().find(|(version, _)| *version == announcement.version) {
                Some((_, earlier)) => *earlier = announced.min(*earlier),
                None => known.push((announcement.version, announced)),
            }
            known.sort_unstable();
            let older = known.len().saturating_sub(ANNOUNCEMENTS_KEPT);
            known.drain(..older);
        }
        let mut changed = false;
        let mut fleet = self.fleet.borrow_mut();
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let known = self.cursors.borrow().get(&address).map(|cursor| cursor.epoch);
        if known != Some(reply.feed.cursor.epoch) {
            unconfirmed.restart(&fleet);
        }
        unconfirmed.set_contact(reply.has_leader, now);
        reply.feed.updates.iter().for_each(|update| unconfirmed.confirm(update));
        for update in reply.feed.updates.into_iter().chain(unconfirmed.departures(&fleet, now)) {
            self.overtake(&update);
            if fleet.observe(&update, now) == UpdateKind::Change {
                changed = true;
                log_update(&update);
            }
        }
        drop((fleet, unconfirmed));
        counts.fleets += u64::from(changed);
        self.cursors.borrow_mut().insert(address, reply.feed.cursor);
        if !reply.members.is_empty() {
            self.members.replace(reply.members);
        }
        if reply.has_leader {
            self.last_contact.set(Some(now));
        }
        self.counts.send_replace(counts);
        reply.has_leader
    }
}

/// Sends an encoded request to a control instance; returns its reply, or the leader that it names.
async fn call_once(
    connections: &Connections<control::Client>,
    address: SocketAddr,
    request: &[u8],
) -> capnp::Result<Result<Reply, Option<SocketAddr>>> {
    let connection =
        connections.get(address).await.map_err(|error| capnp::Error::failed(error.to_string()))?;
    let mut call = connection.client().call_request();
    call.get().set_request(request);
    let response = call.send().promise.await?;
    match response.get()?.get_result()?.which()? {
        schema::call_result::Reply(reply) => match decode(reply?) {
            Ok(reply) => Ok(Ok(reply)),
            Err(error) => Err(capnp::Error::failed(error.to_string())),
        },
        schema::call_result::NotLeader(leader) => Ok(Err(leader?.to_str()?.parse().ok())),
    }
}

/// Sends one watch request to a control instance and returns its reply.
///
/// # Errors
///
/// Returns an error when the connection breaks or the reply cannot be decoded.
pub async fn watch_once(
    connections: &Connections<control::Client>,
    address: SocketAddr,
    request: Watch,
) -> capnp::Result<WatchReply> {
    match call_once(connections, address, &encode(&Request::Watch(request))).await? {
        Ok(Reply::Watched(reply)) => Ok(*reply),
        Ok(_) => {
            Err(capnp::Error::failed("unexpected kind of reply to a watch request".to_owned()))
        }
        Err(_) => Err(capnp::Error::failed("the instance is not part of a cluster yet".to_owned())),
    }
}

/// Logs a change of a backend server or process.
fn log_update(update: &StatusUpdate) {
    match update {
        StatusUpdate::Backend(backend) => log::info!(
            "event=backend_seen backend={} service={} address={} data_centre={} draining={} \
             cold_ms={} models={:?} born={} seq={}",
            backend.id,
            backend.service,
            backend.address,
            backend.data_centre,
            backend.draining,
            backend.cold_ms,
            backend.models,
            backend.stamp.incarnation,
            backend.stamp.seq
        ),
        StatusUpdate::Process(process) => log::info!(
            "event=process_seen process={} kind={:?} address={} leaving={}",
            process.name,
            process.kind,
            process.address,
            process.leaving
        ),
        StatusUpdate::Gone(key, stamp) => {
            log::info!(
                "event=fleet_departed what={key:?} born={} seq={}",
                stamp.incarnation,
                stamp.seq
            );
        }
        StatusUpdate::Limit(limit) => log::info!(
            "event=limit_announced backend={} per_s={:?} born={} seq={}",
            limit.backend,
            limit.limit.map(RateLimit::per_second),
            limit.stamp.incarnation,
            limit.stamp.seq
        ),
        StatusUpdate::Weights(weights) => log::info!(
            "event=weights_recorded engine={} born={} orders={:?} models={:?}",
            weights.engine,
            weights.proven.incarnation,
            weights.proven.orders,
            weights.proven.models
        ),
        StatusUpdate::Suspects(suspects) => {
            log::info!(
                "event=parts_suspected parts={} term={} seq={}",
                PartList(&suspects.parts),
                suspects.stamp.incarnation,
                suspects.stamp.seq
            );
        }
    }
}

/// A fleet together with the feed through which others follow it.
#[derive(Debug, Default)]
pub struct SharedFleet {
    /// The last known status of each backend server and process.
    pub fleet: Fleet,
    /// The updates to send to followers.
    pub feed: Feed,
    last_pushed: FastMap<egret_fleet::StatusKey, Duration>,
}

impl SharedFleet {
    /// Records a status update and adds it to the feed if needed. Returns whether it is urgent.
    pub fn observe(&mut self, update: &StatusUpdate, now: Duration) -> bool {
        /// Shortest time between two updates of the same subject that reach the feed without a
        /// change.
        const REFRESH_PERIOD: Duration = Duration::from_millis(2_000);
        let departure = self.fleet.implied_departure(update, now);
        let departs = departure.as_ref().is_some_and(|departure| {
            let known = self.fleet.get(&departure.key()).map(|known| &known.status);
            !matches!(known, Some(StatusUpdate::Gone(..)))
        });
        if let Some(departure) = departure.as_ref().filter(|_| departs) {
            log_update(departure);
        }
        let kind = self.fleet.observe(update, now);
        if let Some(departure) = departure {
            // A follower may never be sent the reports from which it follows.
            self.feed.push(departure, departs);
        }
        let urgent = match kind {
            UpdateKind::Stale => return departs,
            UpdateKind::Change => {
                log_update(update);
                true
            }
            UpdateKind::Refresh => false,
        };
        let key = update.key();
        let due = self.last_pushed.get(&key).is_none_or(|pushed| now >= *pushed + REFRESH_PERIOD);
        if urgent || due {
            self.last_pushed.insert(key, now);
            self.feed.push(update.clone(), urgent);
        }
        urgent
    }

    /// Marks as gone whatever has not reported within its limit, and adds that to the feed.
    ///
    /// Returns whether anything was marked.
    pub fn expire(&mut self, backends: Duration, processes: Duration, now: Duration) -> bool {
        let gone = self.fleet.expire(backends, processes, now);
        for update in &gone {
            log::warn!("event=fleet_expired what={:?}", update.key());
            self.feed.push(update.clone(), true);
        }
        !gone.is_empty()
    }
}

//! Follows the view and the fleet at whichever control instance is well.
//!
//! A follower keeps no session and no lease: it acts on the latest it has
//! heard, and goes on with that while it is cut off. It asks all instances it
//! knows, stays with the first that answers and has a leader, and leaves it
//! when it falls silent or loses its leader.

use std::{
    cell::{Cell, Ref, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use egret_fleet::{Feed, FeedCursor, Fleet, ProcessStatus, StatusUpdate, UpdateKind};
use egret_record::{FastMap, View, WeightVersion};
use futures::{StreamExt as _, stream::FuturesUnordered};
use rand::{RngExt as _, seq::SliceRandom as _};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

use crate::{
    Connections,
    request::{Reply, Request, Watch, WatchReply, decode, encode},
    schema::{self, control},
};

/// Longest time that an instance holds back an answer without news.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time beyond that until an answer is taken for lost.
pub const REPLY_GRACE: Duration = Duration::from_millis(600);
/// Longest wait for the first answer of an instance: some thirty kilobytes of fleet, on a link
/// that carries a tenth of the usual megabits beside other bytes.
const FIRST_TIME: Duration = Duration::from_millis(1_500);
/// Time after which the next instance is asked as well.
const NEXT_TIME: Duration = Duration::from_millis(200);
/// What the clock shows when a follower starts, so that earlier moments have a time too.
const CLOCK_START: Duration = Duration::from_secs(24 * 3_600);
/// Longest time for which an instance that hears no leader holds back an answer: a few tries of an
/// election, so that its followers learn of the new leader at once.
pub const NO_LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest pause after an instance that is not well, before the next one is asked.
const FAILED_PAUSE: Duration = Duration::from_millis(40);
/// Pause before all instances are asked again.
const PAUSE: Duration = Duration::from_millis(150);

/// How a follower reaches the control instances.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// The address of this instance from which it connects.
    pub local_ip: IpAddr,
    /// The control instances that the settings name.
    pub seeds: Vec<SocketAddr>,
}

/// What changed with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpdateCounts {
    /// Replies so far.
    pub replies: u64,
    /// Answers so far that changed the view.
    pub views: u64,
    /// Answers so far that changed the fleet.
    pub fleets: u64,
}

/// The latest view and fleet, as a control instance told them.
#[derive(Debug)]
pub struct Follower {
    settings: RefCell<FollowerSettings>,
    connections: Connections<control::Client>,
    members: RefCell<Vec<SocketAddr>>,
    view: RefCell<View>,
    fleet: RefCell<Fleet>,
    cursors: RefCell<FastMap<SocketAddr, FeedCursor>>,
    /// When versions of each model's weights were named, the oldest first.
    announcements: RefCell<FastMap<String, Vec<(WeightVersion, Duration)>>>,
    process: RefCell<Option<ProcessStatus>>,
    announce: Notify,
    news: watch::Sender<UpdateCounts>,
    start: Instant,
    heard: Cell<Option<Duration>>,
}

impl Follower {
    /// Makes a follower that announces `process`, if it is given.
    #[must_use]
    pub fn new(settings: FollowerSettings, process: Option<ProcessStatus>) -> Rc<Self> {
        Rc::new(Self {
            connections: Connections::new(settings.local_ip),
            settings: RefCell::new(settings),
            members: RefCell::default(),
            view: RefCell::default(),
            fleet: RefCell::default(),
            cursors: RefCell::default(),
            announcements: RefCell::default(),
            process: RefCell::new(process),
            announce: Notify::new(),
            news: watch::Sender::new(UpdateCounts::default()),
            start: Instant::now(),
            heard: Cell::new(None),
        })
    }

    /// Returns the latest view.
    pub fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// Returns when versions of a model's weights were named, the oldest first.
    pub fn announcements(&self, model: &str) -> Vec<(WeightVersion, Duration)> {
        self.announcements.borrow().get(model).cloned().unwrap_or_default()
    }

    /// Returns the latest fleet.
    pub fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    /// Returns what this process says of itself.
    pub fn own_status(&self) -> Option<ProcessStatus> {
        self.process.borrow().clone()
    }

    /// Returns what changes with each answer.
    pub fn updates(&self) -> watch::Receiver<UpdateCounts> {
        self.news.subscribe()
    }

    /// Returns the time on the clock by which the fleet's words are dated.
    #[must_use]
    pub fn now(&self) -> Duration {
        CLOCK_START + self.start.elapsed()
    }

    /// Returns how long ago an instance with a leader answered, if one ever did.
    #[must_use]
    pub fn since_contact(&self) -> Option<Duration> {
        self.heard.get().map(|heard| self.now().saturating_sub(heard))
    }

    /// Changes what this process says of itself, and says it at once.
    pub fn update_status(&self, change: impl FnOnce(&mut ProcessStatus)) {
        if let Some(process) = self.process.borrow_mut().as_mut() {
            change(process);
        }
        self.announce.notify_waiters();
    }

    /// Replaces the control instances that the settings name.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.settings.borrow_mut().seeds = seeds;
    }

    /// Follows for as long as it is awaited; must be awaited within a `LocalSet`.
    pub async fn run(&self) {
        loop {
            match self.find().await {
                Some(address) => {
                    log::info!("event=control_followed address={address}");
                    self.stay_with(address).await;
                    log::warn!("event=control_left address={address}");
                }
                None => sleep(rand::rng().random_range(PAUSE / 2..PAUSE)).await,
            }
        }
    }

    /// Asks the known instances one after the other, and returns the first that is well.
    ///
    /// The next one is asked when one is not well, or says nothing for a while.
    async fn find(&self) -> Option<SocketAddr> {
        let mut known = self.settings.borrow().seeds.clone();
        known.extend(self.members.borrow().iter());
        known.sort_unstable();
        known.dedup();
        known.shuffle(&mut rand::rng());
        let mut waiting = known.into_iter();
        let mut asked = FuturesUnordered::new();
        loop {
            // Each answer holds the whole fleet; all at once would fill a narrow link.
            match waiting.next() {
                Some(address) => {
                    asked.push(async move {
                        let answer = self.ask(address, true, FIRST_TIME).await?;
                        self.take(address, answer).then_some(address)
                    });
                }
                None if asked.is_empty() => return None,
                None => {}
            }
            match timeout(NEXT_TIME, asked.next()).await {
                Ok(Some(Some(address))) => return Some(address),
                // Many followers look at the same time after a restart.
                Ok(_) => sleep(rand::rng().random_range(FAILED_PAUSE / 4..FAILED_PAUSE)).await,
                Err(_) => {}
            }
        }
    }

    async fn stay_with(&self, address: SocketAddr) {
        loop {
            let answer = tokio::select! {
                answer = self.ask(address, false, LONG_POLL_TIMEOUT + REPLY_GRACE) => answer,
                () = self.announce.notified() => self.ask(address, true, FIRST_TIME).await,
            };
            let well = answer.is_some_and(|answer| self.take(address, answer));
            if !well {
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
            if let Some(process) = self.process.borrow_mut().as_mut() {
                process.stamp.seq += 1;
            }
            Watch {
                revision: self.view.borrow().revision,
                cursor: self.cursors.borrow().get(&address).copied().unwrap_or_default(),
                process: self.process.borrow().clone(),
                immediate,
            }
        };
        let answer = timeout(limit, watch_once(&self.connections, address, request)).await;
        match answer {
            Ok(Ok(watched)) => Some(watched),
            Ok(Err(error)) => {
                log::debug!("event=control_unreachable address={address} error=\"{error}\"");
                self.connections.remove(address);
                None
            }
            Err(_) => {
                log::debug!("event=control_silent address={address}");
                self.connections.remove(address);
                None
            }
        }
    }

    /// Takes an answer in; tells whether the instance that gave it is well.
    fn take(&self, address: SocketAddr, answer: WatchReply) -> bool {
        let now = self.now();
        let mut news = *self.news.borrow();
        news.replies += 1;
        if let Some(delta) = answer.delta {
            let mut view = self.view.borrow_mut();
            let before = view.revision;
            if let Err(error) = view.apply(delta) {
                log::warn!("event=view_not_followed error=\"{error}\"");
            }
            if view.revision != before {
                news.views += 1;
                log::info!("event=view_changed revision={} from={address}", view.revision);
            }
        }
        for naming in answer.announcements {
            let since = now.saturating_sub(naming.age);
            let mut announcements = self.announcements.borrow_mut();
            let known = announcements.entry(naming.model).or_default();
            match known.iter_mut().find(|(version, _)| *version == naming.version) {
                Some((_, heard)) => *heard = since.min(*heard),
                None => known.push((naming.version, since)),
            }
            known.sort_unstable();
        }
        let mut changed = false;
        let mut fleet = self.fleet.borrow_mut();
        for sighting in &answer.feed.updates {
            if fleet.observe(sighting, now) == UpdateKind::Change {
                changed = true;
                log_sighting(sighting);
            }
        }
        drop(fleet);
        news.fleets += u64::from(changed);
        self.cursors.borrow_mut().insert(address, answer.feed.cursor);
        if !answer.members.is_empty() {
            self.members.replace(answer.members);
        }
        if answer.has_leader {
            self.heard.set(Some(now));
        }
        self.news.send_replace(news);
        answer.has_leader
    }
}

/// Asks one instance for what `request` lacks.
///
/// # Errors
///
/// Returns an error when the connection breaks or the answer cannot be read.
pub async fn watch_once(
    connections: &Connections<control::Client>,
    address: SocketAddr,
    request: Watch,
) -> capnp::Result<WatchReply> {
    let connection =
        connections.get(address).await.map_err(|error| capnp::Error::failed(error.to_string()))?;
    let mut call = connection.client().call_request();
    call.get().set_request(&encode(&Request::Watch(request)));
    let response = call.send().promise.await?;
    let result = response.get()?.get_result()?;
    let schema::call_result::Reply(reply) = result.which()? else {
        return Err(capnp::Error::failed("the instance has joined no cluster yet".to_owned()));
    };
    match decode(reply?) {
        Ok(Reply::Watched(watched)) => Ok(*watched),
        Ok(_) => Err(capnp::Error::failed("the reply is no answer to a watch".to_owned())),
        Err(error) => Err(capnp::Error::failed(error.to_string())),
    }
}

/// Logs what was learnt of a backend server or process.
fn log_sighting(sighting: &StatusUpdate) {
    match sighting {
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
            log::info!("event=gone what={key:?} born={} seq={}", stamp.incarnation, stamp.seq);
        }
    }
}

/// A fleet with the feed by which others follow it.
#[derive(Debug, Default)]
pub struct SharedFleet {
    /// The latest word of each.
    pub fleet: Fleet,
    /// News for followers.
    pub feed: Feed,
    passed: FastMap<egret_fleet::StatusKey, Duration>,
}

impl SharedFleet {
    /// Takes a sighting in and passes it on; tells whether followers must learn it at once.
    pub fn observe(&mut self, sighting: &StatusUpdate, now: Duration) -> bool {
        /// Shortest time between two words of one that change nothing and are passed on.
        const REFRESH_PERIOD: Duration = Duration::from_millis(2_000);
        let urgent = match self.fleet.observe(sighting, now) {
            UpdateKind::Stale => return false,
            UpdateKind::Change => {
                log_sighting(sighting);
                true
            }
            UpdateKind::Refresh => false,
        };
        let key = sighting.key();
        let due = self.passed.get(&key).is_none_or(|passed| now >= *passed + REFRESH_PERIOD);
        if urgent || due {
            self.passed.insert(key, now);
            self.feed.push(sighting.clone(), urgent);
        }
        urgent
    }

    /// Marks as gone what was not heard of for too long, and passes that on.
    pub fn expire(&mut self, backends: Duration, processes: Duration, now: Duration) -> bool {
        let gone = self.fleet.expire(backends, processes, now);
        for sighting in &gone {
            log::warn!("event=silent what={:?}", sighting.key());
            self.feed.push(sighting.clone(), true);
        }
        !gone.is_empty()
    }
}

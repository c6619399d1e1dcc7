//! The session of an entry or agent, with its lease and view.
//!
//! A holder may act on its view while its lease lasts. The lease is counted
//! from when the answered try was sent, the leader counts it from when it replied, so
//! the holder's ends first.

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use egret_record::{Revision, SessionId, View};
use tokio::{sync::watch, time::Instant};

use crate::{
    client::{ControlClient, Poll},
    request::{Command, Holder, Reply, Request},
};

/// Longest time that one join or poll may take with all its tries.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// The time until which a holder may act on its view.
#[derive(Debug, Clone)]
pub struct Lease {
    start: Instant,
    until: Arc<AtomicU64>,
}

impl Lease {
    fn new() -> Self {
        Self { start: Instant::now(), until: Arc::default() }
    }

    /// Tells whether the lease lasts at the moment.
    #[must_use]
    pub fn is_held(&self) -> bool {
        let until = Duration::from_micros(self.until.load(Ordering::Acquire));
        self.start.elapsed() < until
    }

    fn extend(&self, until: Instant) {
        let micros = until.duration_since(self.start).as_micros();
        self.until.fetch_max(u64::try_from(micros).unwrap_or(0), Ordering::AcqRel);
    }

    fn end(&self) {
        self.until.store(0, Ordering::Release);
    }
}

/// The latest view, for any thread.
#[derive(Debug, Clone)]
pub struct SharedView(Arc<ArcSwap<View>>);

impl SharedView {
    /// Makes a view without content.
    #[must_use]
    pub fn empty() -> Self {
        Self(Arc::new(ArcSwap::from_pointee(View::default())))
    }

    /// Returns the latest view.
    #[must_use]
    pub fn get(&self) -> Arc<View> {
        self.0.load_full()
    }

    fn set(&self, view: Arc<View>) {
        self.0.store(view);
    }
}

/// The session of an entry or agent.
#[derive(Debug)]
pub struct Session {
    client: Rc<ControlClient>,
    holder: Holder,
    /// The latest view.
    pub view: SharedView,
    /// The lease on it.
    pub lease: Lease,
    id: watch::Sender<Option<SessionId>>,
    revision: watch::Sender<Revision>,
}

impl Session {
    /// Makes a session that is not open yet.
    #[must_use]
    pub fn new(client: Rc<ControlClient>, holder: Holder) -> Self {
        Self {
            client,
            holder,
            view: SharedView::empty(),
            lease: Lease::new(),
            id: watch::Sender::new(None),
            revision: watch::Sender::new(Revision(0)),
        }
    }

    /// Returns the session's id, while it is open, as it changes.
    #[must_use]
    pub fn id(&self) -> watch::Receiver<Option<SessionId>> {
        self.id.subscribe()
    }

    /// Returns the revision of the view, as it changes.
    #[must_use]
    pub fn revision(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Keeps the session open, as long as it is awaited.
    pub async fn run(&self) {
        loop {
            let Some(id) = self.join().await else { continue };
            log::info!("event=session_open session={id}");
            self.id.send_replace(Some(id));
            self.follow(id).await;
            self.lease.end();
            self.id.send_replace(None);
            log::warn!("event=session_gone session={id}");
            // Two holders of one name must not replace each other at full speed.
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    async fn join(&self) -> Option<SessionId> {
        let request = Request::from(Command::Join(self.holder.clone()));
        match self.client.call(&request, Instant::now() + POLL_TIMEOUT).await {
            Ok(Reply::Joined { session }) => Some(session),
            Ok(reply) => {
                log::warn!("event=join_refused reply={reply:?}");
                tokio::time::sleep(Duration::from_secs(1)).await;
                None
            }
            Err(_) => None,
        }
    }

    /// Polls until the session is gone.
    async fn follow(&self, id: SessionId) {
        let mut confirmed = Revision(0);
        loop {
            match self.client.poll(id, confirmed, Instant::now() + POLL_TIMEOUT).await {
                Ok(Poll::Delta { delta, until }) => {
                    let before = self.view.get();
                    let mut view = (*before).clone();
                    if let Err(error) = view.apply(delta) {
                        log::warn!("event=view_gap error={error}");
                        confirmed = Revision(0);
                        continue;
                    }
                    confirmed = view.revision;
                    if view.revision != before.revision {
                        self.view.set(Arc::new(view));
                        self.revision.send_replace(confirmed);
                    }
                    // A view that was just read is in force here before the lease on it is.
                    self.lease.extend(until);
                }
                Ok(Poll::SessionGone) => return,
                Err(_) => log::warn!("event=control_unreachable session={id}"),
            }
        }
    }
}

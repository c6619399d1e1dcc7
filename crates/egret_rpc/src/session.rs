//! The session of an entry or agent, with its lease and view.
//!
//! A holder may act on its view while its lease lasts. The holder counts the
//! lease from when it sent the poll attempt that got the reply, the leader from
//! when it replied, so the lease always ends at the holder first.

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

/// Timeout of one join or poll, retries included.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Lease on the view: until it ends, the holder may act on the view.
#[derive(Debug, Clone)]
pub struct Lease {
    start: Instant,
    /// The end of the lease, in microseconds after `start`.
    end_micros: Arc<AtomicU64>,
}

impl Lease {
    fn new() -> Self {
        Self { start: Instant::now(), end_micros: Arc::default() }
    }

    /// Returns whether the lease is valid now.
    #[must_use]
    pub fn is_held(&self) -> bool {
        let end = Duration::from_micros(self.end_micros.load(Ordering::Acquire));
        self.start.elapsed() < end
    }

    fn extend(&self, end: Instant) {
        let micros = end.duration_since(self.start).as_micros();
        self.end_micros.fetch_max(u64::try_from(micros).unwrap_or(0), Ordering::AcqRel);
    }

    fn end(&self) {
        self.end_micros.store(0, Ordering::Release);
    }
}

/// The latest view, shared between threads.
#[derive(Debug, Clone)]
pub struct SharedView(Arc<ArcSwap<View>>);

impl SharedView {
    /// Creates an empty view.
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

/// Session of an entry or agent with the control state.
#[derive(Debug)]
pub struct Session {
    client: Rc<ControlClient>,
    holder: Holder,
    /// The latest view that the holder received.
    pub view: SharedView,
    /// The lease on the view.
    pub lease: Lease,
    id: watch::Sender<Option<SessionId>>,
    revision: watch::Sender<Revision>,
}

impl Session {
    /// Creates a session that is not open yet.
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

    /// Subscribes to the session's id, which is `None` while the session is not open.
    #[must_use]
    pub fn id(&self) -> watch::Receiver<Option<SessionId>> {
        self.id.subscribe()
    }

    /// Subscribes to the revision of the view.
    #[must_use]
    pub fn revision(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Opens the session and keeps it open for as long as it is awaited.
    pub async fn run(&self) {
        loop {
            let Some(id) = self.join().await else { continue };
            log::info!("event=session_open session={id}");
            self.id.send_replace(Some(id));
            self.poll(id).await;
            self.lease.end();
            self.id.send_replace(None);
            log::warn!("event=session_gone session={id}");
            // Slows down two holders with the same name that keep replacing each other.
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

    /// Polls for changes and renews the lease until the session is gone.
    async fn poll(&self, id: SessionId) {
        let mut confirmed = Revision(0);
        loop {
            match self.client.poll(id, confirmed, Instant::now() + POLL_TIMEOUT).await {
                Ok(Poll::Delta { delta, lease_end }) => {
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
                    // Applies the new view before the lease is extended for it.
                    self.lease.extend(lease_end);
                }
                Ok(Poll::SessionGone) => return,
                Err(_) => log::warn!("event=control_unreachable session={id}"),
            }
        }
    }
}

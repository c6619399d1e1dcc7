//! Access to the control state from within the process.
//!
//! A program may serve another protocol for operators or backend servers in the
//! same process, besides the system's own RPC. That code reads and changes the
//! control state through a [`LocalControl`].

use std::{net::SocketAddr, time::Duration};

use egret_fleet::{BackendStatus, StatusKey, StatusStamp, StatusUpdate};
use egret_record::CatalogVersion;
use egret_rpc::{Command, Reply, Request};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::{
    recorded_status::RecordedStatus,
    server::{Answer, Server, unix_time},
};

/// Why this instance cannot serve a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Another instance is the leader.
    #[error("another control instance leads; ask {0}")]
    NotLeader(SocketAddr),
    /// No leader is known, or no quorum replied in time.
    #[error("no quorum of control instances can be reached; ask another or come back later")]
    NoQuorum,
    /// The stored document cannot be read.
    #[error("the kept document is damaged; write the catalog again")]
    Damaged,
}

/// A handle to the control state of this process, used on the control thread.
#[derive(Clone)]
#[expect(missing_debug_implementations, reason = "the server holds the whole control state")]
pub struct LocalControl {
    server: Server,
}

impl LocalControl {
    pub(crate) const fn new(server: Server) -> Self {
        Self { server }
    }

    /// Replicates a command and returns its reply once it is durable on a quorum.
    ///
    /// The command may take effect even if this fails.
    ///
    /// # Errors
    ///
    /// Returns a [`RequestError`] when this instance is not the leader or no quorum
    /// confirms within `limit`.
    pub async fn submit(&self, command: Command, limit: Duration) -> Result<Reply, RequestError> {
        let deadline = Instant::now() + limit;
        self.wait_for_leader(deadline).await?;
        let running = self.server.running().ok_or(RequestError::NoQuorum)?;
        let left = deadline.saturating_duration_since(Instant::now());
        match timeout(left, running.call(Request::from(command))).await {
            Ok(Answer::Done(reply)) => Ok(reply),
            Ok(Answer::NotLeader(address)) => Err(not_leader(&address)),
            Err(_) => Err(RequestError::NoQuorum),
        }
    }

    /// Returns the latest catalog as the operator sent it, by a linearizable read.
    ///
    /// # Errors
    ///
    /// Returns a [`RequestError`] when this instance is not the leader, no quorum
    /// confirms within `limit`, or the document is damaged.
    pub async fn read_catalog(&self, limit: Duration) -> Result<Option<Vec<u8>>, RequestError> {
        /// Interval at which the confirmation is checked.
        const CHECK_PERIOD: Duration = Duration::from_millis(2);
        let deadline = Instant::now() + limit;
        self.wait_for_leader(deadline).await?;
        let running = self.server.running().ok_or(RequestError::NoQuorum)?;
        let started = {
            let mut core = running.core.borrow_mut();
            let now = core.now();
            core.node.confirm_leadership(now);
            now
        };
        running.wake().await;
        while Instant::now() < deadline {
            {
                let core = running.core.borrow();
                if core.node.confirmed_since(started, core.now()) {
                    return core.state.catalog_source().map_err(|_| RequestError::Damaged);
                }
            }
            sleep(CHECK_PERIOD).await;
        }
        Err(RequestError::NoQuorum)
    }

    /// Returns the version of the last catalog that this instance knows to be committed.
    #[must_use]
    pub fn catalog_version(&self) -> Option<CatalogVersion> {
        self.server.running()?.core.borrow().state.catalog_version()
    }

    /// Records a status update of a backend server or process.
    ///
    /// That a backend server drains or has departed is durable on a quorum when this returns: its
    /// sender relies on it and may send nothing more.
    ///
    /// Waits up to `limit` while this instance has no contact to a leader: a sender that is
    /// rejected at once would try all other instances in turn, which have no leader either.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::NoQuorum`] when this instance belongs to no cluster
    /// or finds no leader in time, since the update would then reach few processes or be lost.
    pub async fn observe(
        &self,
        update: &StatusUpdate,
        limit: Duration,
    ) -> Result<(), RequestError> {
        let deadline = Instant::now() + limit;
        let running = self.server.running().ok_or(RequestError::NoQuorum)?;
        running.core.borrow_mut().observe(update);
        let urgent = running.core.borrow().urgent();
        loop {
            let notified = urgent.notified();
            if running.core.borrow().is_fresh() {
                break;
            }
            tokio::select! {
                () = notified => {}
                () = sleep_until(deadline) => return Err(RequestError::NoQuorum),
            }
        }
        let is_recorded = !RecordedStatus::must_hold(update)
            || running.core.borrow().state.recorded.covers(update);
        if is_recorded {
            return Ok(());
        }
        let command = Command::RecordStatus { update: update.clone(), recorded_at: unix_time() };
        match running.call_leader(Request::from(command), deadline).await {
            Ok(Reply::Accepted { .. }) => Ok(()),
            _ => Err(RequestError::NoQuorum),
        }
    }

    /// Returns whether a status would replace a backend server of a declared service by one of a
    /// service that the catalog does not declare.
    ///
    /// The status would take over the id or the address of that backend server.
    #[must_use]
    pub fn replaces_declared(&self, status: &BackendStatus) -> bool {
        let Some(running) = self.server.running() else { return false };
        let core = running.core.borrow();
        let Some(catalog) = &core.state.view.catalog else { return false };
        let is_declared = |backend: &BackendStatus| catalog.services.contains_key(&backend.service);
        !is_declared(status)
            && core.fleet.fleet.backends().any(|(known, _)| {
                (known.id == status.id || known.address == status.address) && is_declared(known)
            })
    }

    /// Records that a backend server has shut down for good.
    ///
    /// # Errors
    ///
    /// As [`observe`](Self::observe).
    pub async fn deregister_backend(
        &self,
        id: &str,
        incarnation: Option<u64>,
        limit: Duration,
    ) -> Result<(), RequestError> {
        let running = self.server.running().ok_or(RequestError::NoQuorum)?;
        let key = StatusKey::Backend(id.to_owned());
        let stamp = running.core.borrow().fleet.fleet.get(&key).map(|known| known.status.stamp());
        // If this instance has just started, others may know the backend server. It started before
        // now, and a later incarnation starts after now.
        let incarnation = incarnation.or(stamp.map(|stamp| stamp.incarnation));
        let incarnation = incarnation.unwrap_or_else(|| unix_time().0);
        self.observe(&StatusUpdate::Gone(key, StatusStamp::end(incarnation)), limit).await
    }

    async fn wait_for_leader(&self, deadline: Instant) -> Result<(), RequestError> {
        /// Interval at which the leader is checked.
        const CHECK_PERIOD: Duration = Duration::from_millis(20);
        loop {
            if let Some(running) = self.server.running() {
                let core = running.core.borrow();
                if core.leads() {
                    return Ok(());
                }
                let address = core.leader_address();
                if core.is_fresh() && !address.is_empty() {
                    return Err(not_leader(&address));
                }
            }
            if Instant::now() >= deadline {
                return Err(RequestError::NoQuorum);
            }
            sleep(CHECK_PERIOD).await;
        }
    }
}

fn not_leader(address: &str) -> RequestError {
    address.parse().map_or(RequestError::NoQuorum, RequestError::NotLeader)
}

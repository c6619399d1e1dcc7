//! The interface to this process's own outer interfaces.
//!
//! Another protocol for operators or backend servers is served beside the
//! system's own, in the same process; it acts on the control state through a
//! [`LocalControl`].

use std::{net::SocketAddr, time::Duration};

use egret_fleet::{StatusKey, StatusStamp, StatusUpdate};
use egret_record::CatalogVersion;
use egret_rpc::{Command, Reply, Request};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::server::{Answer, Server};

/// Why this instance has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Another instance leads.
    #[error("another control instance leads; ask {0}")]
    NotLeader(SocketAddr),
    /// Nobody is known to lead, or no quorum answered in time.
    #[error("no quorum of control instances can be reached; ask another or come back later")]
    NoQuorum,
    /// What is kept cannot be read.
    #[error("the kept document is damaged; write the catalog again")]
    Damaged,
}

/// A handle on the control state of this process; lives on its thread.
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
    /// Returns [`RequestError`] when this instance does not lead or no quorum
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

    /// Returns the catalog as the operator sent it, confirmed by a quorum to be the newest.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] when this instance does not lead, no quorum
    /// confirms within `limit`, or the document is damaged.
    pub async fn read_catalog(&self, limit: Duration) -> Result<Option<Vec<u8>>, RequestError> {
        /// Pause between two looks for a confirmation.
        const LOOK_PERIOD: Duration = Duration::from_millis(2);
        let deadline = Instant::now() + limit;
        self.wait_for_leader(deadline).await?;
        let running = self.server.running().ok_or(RequestError::NoQuorum)?;
        let since = {
            let mut core = running.core.borrow_mut();
            let now = core.now();
            core.node.confirm_leadership(now);
            now
        };
        running.wake().await;
        while Instant::now() < deadline {
            {
                let core = running.core.borrow();
                if core.node.confirmed_since(since, core.now()) {
                    return core.state.catalog_source().map_err(|_| RequestError::Damaged);
                }
            }
            sleep(LOOK_PERIOD).await;
        }
        Err(RequestError::NoQuorum)
    }

    /// Returns the version of the catalog that this instance knows to be accepted.
    #[must_use]
    pub fn catalog_version(&self) -> Option<CatalogVersion> {
        self.server.running()?.core.borrow().state.catalog_version()
    }

    /// Takes in what was heard of a backend server or process.
    ///
    /// While no leader is heard it waits for one, up to `limit`: whoever is refused at once would
    /// ask all other instances in turn, which hear none either.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::NoQuorum`] when this instance belongs to no cluster
    /// or hears no leader in time, since few would learn of it.
    pub async fn observe(
        &self,
        sighting: &StatusUpdate,
        limit: Duration,
    ) -> Result<(), RequestError> {
        let deadline = Instant::now() + limit;
        let running = self.server.running().ok_or(RequestError::NoQuorum)?;
        running.core.borrow_mut().observe(sighting);
        let urgent = running.core.borrow().urgent();
        loop {
            let notified = urgent.notified();
            if running.core.borrow().is_fresh() {
                return Ok(());
            }
            tokio::select! {
                () = notified => {}
                () = sleep_until(deadline) => return Err(RequestError::NoQuorum),
            }
        }
    }

    /// Notes that a backend server has left for good.
    ///
    /// # Errors
    ///
    /// As [`observe`](Self::observe).
    pub async fn deregister_backend(
        &self,
        id: &str,
        born: Option<u64>,
        limit: Duration,
    ) -> Result<(), RequestError> {
        let running = self.server.running().ok_or(RequestError::NoQuorum)?;
        let key = StatusKey::Backend(id.to_owned());
        let known = running.core.borrow().fleet.fleet.get(&key).map(|one| one.status.stamp());
        let Some(born) = born.or(known.map(|stamp| stamp.incarnation)) else {
            // Nobody was sent there on this instance's word.
            return Ok(());
        };
        self.observe(
            &StatusUpdate::Gone(key, StatusStamp { incarnation: born, seq: u64::MAX }),
            limit,
        )
        .await
    }

    async fn wait_for_leader(&self, deadline: Instant) -> Result<(), RequestError> {
        /// Pause between two looks for a leader.
        const LOOK_PERIOD: Duration = Duration::from_millis(20);
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
            sleep(LOOK_PERIOD).await;
        }
    }
}

fn not_leader(address: &str) -> RequestError {
    address.parse().map_or(RequestError::NoQuorum, RequestError::NotLeader)
}

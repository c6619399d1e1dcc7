//! The program `egret-control`.

use std::{cell::RefCell, rc::Rc, time::Duration};

use egret_consensus::{Member, Node, Persisted, Timing};
use egret_record::MemberId;
use egret_rpc::{Reply, Request, listen, schema::control};
use egret_settings::ControlSettings;
use egret_store::{DataFolder, Journal, StoreError};
use egret_telemetry::{ListenError, MetricsError, bind, serve_metrics};
use miette::Diagnostic;
use thiserror::Error;
use tokio::{
    sync::mpsc,
    task::LocalSet,
    time::{Instant, sleep},
};

use crate::{
    bootstrap,
    driver::{Core, CoreParts, FULL_RETRY_DELAY, drive},
    fleet_exchange,
    local_control::LocalControl,
    membership_policy::MembershipPolicy,
    peers::Peers,
    server::Server,
    state::State,
};

/// Limit of inputs queued for the control loop.
const QUEUED_INPUTS_MAX: usize = 8_192;

/// Longest time for which a process that is asked to stop tries to leave the cluster.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the program failed.
#[derive(Debug, Error, Diagnostic)]
pub enum ProgramError {
    /// An address cannot be bound.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Listen(#[from] ListenError),
    /// The state on disk is damaged or was written by a newer program.
    #[error("the snapshot in the data folder cannot be read: {0}")]
    #[diagnostic(help("start the version that wrote it, or rejoin with an empty data folder"))]
    Snapshot(#[from] egret_rpc::DecodeError),
    /// The data folder cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Store(#[from] StoreError),
    /// Metrics cannot be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Metrics(#[from] MetricsError),
}

/// Runs the program until `stop` completes or the disk fails.
///
/// # Errors
///
/// Returns a [`ProgramError`] when the program cannot start or continue.
pub async fn run(
    settings: ControlSettings,
    stop: impl Future<Output = ()>,
) -> Result<(), ProgramError> {
    LocalSet::new().run_until(run_with(settings, stop, |_| std::future::ready(Ok(())))).await
}

/// Runs the program within a `LocalSet`, with an additional interface.
///
/// `attach` is called once the program listens, and starts that interface.
///
/// # Errors
///
/// Returns a [`ProgramError`] when the program cannot start or continue.
pub async fn run_with<F: Future<Output = Result<(), ListenError>>>(
    settings: ControlSettings,
    stop: impl Future<Output = ()>,
    attach: impl FnOnce(LocalControl) -> F,
) -> Result<(), ProgramError> {
    let folder = with_room(|| DataFolder::open(&settings.data_folder)).await?;
    serve_metrics(settings.metrics).await?;
    let listener = bind(settings.listen).await?;
    let own = folder.identity();
    log::info!(
        "event=started program=egret-control name={} identity={:016x}",
        settings.name,
        own.0
    );
    let member = Member::new(&settings.name, &settings.address().to_string());
    let server = Server::new(own, member, settings.listen.ip());
    let client: control::Client = capnp_rpc::new_client(server.clone());
    tokio::task::spawn_local(listen(listener, client.client));
    attach(LocalControl::new(server.clone())).await?;
    let stopped = async {
        stop.await;
        leave_cluster(&settings, own, &server).await;
    };
    tokio::select! {
        result = run_member(&settings, &folder, &server) => result,
        () = stopped => {
            log::info!("event=stopped program=egret-control name={}", settings.name);
            Ok(())
        }
    }
}

/// Leaves the cluster before this process ends, if enough voters remain.
///
/// Otherwise this voter would be missing from every quorum until it is removed.
async fn leave_cluster(settings: &ControlSettings, own: MemberId, server: &Server) {
    let Some(running) = server.running() else { return };
    if !running.core.borrow().may_leave(own) {
        return;
    }
    let deadline = Instant::now() + LEAVE_TIMEOUT;
    match running.call_leader(Request::LeaveCluster(own), deadline).await {
        Ok(Reply::Accepted { .. }) => log::info!("event=cluster_left name={}", settings.name),
        Ok(reply) => log::info!("event=cluster_not_left reply=\"{reply:?}\""),
        Err(error) => log::warn!("event=cluster_not_left error=\"{error}\""),
    }
}

async fn run_member(
    settings: &ControlSettings,
    folder: &DataFolder,
    server: &Server,
) -> Result<(), ProgramError> {
    let own = folder.identity();
    let (journal, persisted) = match with_room(|| Journal::open(folder.path())).await? {
        Some(found) => found,
        None => {
            let persisted = bootstrap::find_cluster(settings, own).await;
            (with_room(|| Journal::create(folder.path(), &persisted)).await?, persisted)
        }
    };
    let core = Rc::new(RefCell::new(build_core(settings, folder, journal, persisted)?));
    let (sender, inbox) = mpsc::channel(QUEUED_INPUTS_MAX);
    server.start(core.clone(), sender);
    let exchange = fleet_exchange::run(settings.listen.ip(), core.clone());
    tokio::select! {
        result = drive(core.clone(), inbox, Peers::new(settings.listen.ip())) => Ok(result?),
        () = bootstrap::request_to_join(settings, own, &core) => Ok(()),
        () = exchange => Ok(()),
    }
}

/// Repeats an operation until the disk has room for it.
async fn with_room<T>(operation: impl Fn() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let mut is_first = true;
    loop {
        match operation() {
            Err(error) if error.is_full() => {
                if std::mem::take(&mut is_first) {
                    log::error!("event=disk_full error=\"{error}\"");
                }
                sleep(FULL_RETRY_DELAY).await;
            }
            done => return done,
        }
    }
}

fn build_core(
    settings: &ControlSettings,
    folder: &DataFolder,
    journal: Journal,
    mut persisted: Persisted,
) -> Result<Core, ProgramError> {
    let start = Instant::now();
    let state = State::restore(&persisted.snapshot.data)?;
    if State::is_earlier_snapshot(&persisted.snapshot.data) {
        // It may be many times as large, and would be kept until the next one.
        persisted.snapshot.data = state.snapshot().into();
    }
    let timing = Timing::from_election_timeout(Duration::from_millis(settings.election_ms));
    let node = Node::new(folder.identity(), persisted, timing, rand::random(), Duration::ZERO);
    Ok(Core::new(CoreParts {
        node,
        state,
        journal,
        start,
        lease_duration: Duration::from_millis(settings.lease_ms),
        snapshot_entries: settings.snapshot_entries,
        membership_policy: MembershipPolicy {
            auto: settings.auto_join,
            voters: settings.voters as usize,
        },
    }))
}

//! Starts the threads of `egret-agent` and drains it on shutdown.

use std::{rc::Rc, sync::Arc, time::Duration};

use egret_http::NoDelayListener;
use egret_record::{BackendName, BackendRole, DataCentre, NameError, Revision};
use egret_route::ConcurrencyLimit;
use egret_rpc::{
    Command, ControlClient, ControlHandle, Holder, LeaveReason, Request, Session, listen,
    schema::peer,
};
use egret_settings::{AgentSettings, BackendKind, LinkSettings};
use egret_telemetry::{ListenError, MetricsError, bind, serve_metrics, spawn_local_thread};
use egret_weights::{ChunkStore, StoreError};
use miette::Diagnostic;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
    time::Instant,
};

use crate::{
    engine::Engine,
    fetch::{Fetcher, LinkLimits},
    peer_server::{HeldVersions, PeerServer},
    proxy::Proxy,
    rollout::Rollout,
    shared_state::SharedState,
};

/// Delay before requests are refused, in which entries learn that this backend server leaves.
const LEAVE_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a command to the control state during shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest lease that a previous agent may still hold, for engines without fencing.
const PREVIOUS_LEASE_MAX: Duration = Duration::from_millis(1_500);

/// Why the program cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum ProgramError {
    /// An address cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Listen(#[from] ListenError),
    /// A name in the settings is invalid.
    #[error(transparent)]
    #[diagnostic(help("correct the name in the settings"))]
    Name(#[from] NameError),
    /// The data folder cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Store(#[from] StoreError),
    /// Metrics cannot be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Metrics(#[from] MetricsError),
}

/// What the control thread provides to the other threads.
struct ControlThread {
    shared: Arc<SharedState>,
    control: ControlHandle,
    revision: watch::Receiver<Revision>,
}

/// Runs the program until `stop` completes, then drains requests in flight.
///
/// # Errors
///
/// Returns a [`ProgramError`] when the program cannot start.
pub async fn run(
    settings: AgentSettings,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(), ProgramError> {
    serve_metrics(settings.metrics).await?;
    let traffic = bind(settings.listen).await?;
    let peers = bind(settings.peer_listen).await?;
    let store = ChunkStore::open(&settings.data_folder, settings.disk_bytes)?;
    let holder = holder(&settings)?;
    let name = BackendName::new(&settings.name)?;
    let control_thread = start_control(&settings, name, holder).await;
    log::info!("event=started program=egret-agent name={}", settings.name);
    start_weights(&settings, &control_thread, store, peers);
    let (drained, closing) = oneshot::channel();
    let shared = control_thread.shared.clone();
    let control = control_thread.control.clone();
    tokio::spawn(async move {
        stop.await;
        leave(&shared, &control).await;
        let _ = drained.send(());
    });
    let is_model = settings.backend.kind == BackendKind::Model;
    let router =
        Proxy::new(control_thread.shared.clone(), settings.backend.address, is_model).router();
    let server = viz::serve(NoDelayListener(traffic), router).signal(closing);
    if let Err(error) = server.await {
        log::error!("event=server_failed error=\"{error}\"");
    }
    log::info!("event=stopped program=egret-agent name={}", settings.name);
    Ok(())
}

fn holder(settings: &AgentSettings) -> Result<Holder, ProgramError> {
    let role = match &settings.backend.service {
        Some(service) => BackendRole::Service(service.clone()),
        None => BackendRole::Model,
    };
    Ok(Holder::Backend {
        name: BackendName::new(&settings.name)?,
        data_centre: DataCentre::new(&settings.data_centre)?,
        address: settings.address(),
        peer_address: settings.peer_address(),
        role,
        limit: settings.backend.limit,
    })
}

/// Starts the thread that communicates with the control state.
async fn start_control(
    settings: &AgentSettings,
    name: BackendName,
    holder: Holder,
) -> ControlThread {
    let (sender, started) = oneshot::channel();
    let addresses = settings.control.clone();
    let own = settings.listen.ip();
    let limit = settings.backend.limit;
    spawn_local_thread("control", move || async move {
        let client = Rc::new(ControlClient::new(own, addresses));
        let (control, queue) = ControlHandle::new();
        tokio::task::spawn_local(queue.serve(client.clone()));
        let session = Session::new(client, holder);
        let (view, lease) = (session.view.clone(), session.lease.clone());
        let shared =
            SharedState::new(name, view, lease, session.id(), ConcurrencyLimit::new(limit));
        let shared = Arc::new(shared);
        let _ = sender.send(ControlThread { shared, control, revision: session.revision() });
        session.run().await;
    });
    started.await.expect("the control thread starts")
}

/// Starts the thread that fetches and serves weights and orders the engine.
fn start_weights(
    settings: &AgentSettings,
    control_thread: &ControlThread,
    store: ChunkStore,
    peers: TcpListener,
) {
    let shared = control_thread.shared.clone();
    let control = control_thread.control.clone();
    let revision = control_thread.revision.clone();
    let backend = settings.backend.clone();
    let links = settings.links.clone().unwrap_or_default();
    let own = settings.peer_listen.ip();
    let peers = peers.into_std().expect("the listener belongs to this runtime");
    spawn_local_thread("weights", move || async move {
        let LinkSettings { sharing, download_bytes, upload_bytes } = links;
        let limits = Rc::new(LinkLimits::new(download_bytes, upload_bytes));
        let versions = Rc::new(HeldVersions::new());
        let server = PeerServer { versions: versions.clone(), limits: limits.clone() };
        let client: peer::Client = capnp_rpc::new_client(server);
        let peers = TcpListener::from_std(peers).expect("the listener is non-blocking");
        tokio::task::spawn_local(listen(peers, client.client));
        let fetcher = Fetcher::new(shared.name.clone(), own, shared.view.clone(), limits, sharing);
        let engine = Engine::new(backend.address);
        let previous_lease = (!backend.fencing).then_some(PREVIOUS_LEASE_MAX);
        let rollout = Rollout { shared, control, engine, fetcher, versions, store, previous_lease };
        match backend.kind {
            BackendKind::Model => rollout.run_model(revision).await,
            BackendKind::Service => rollout.run_service().await,
        }
    });
}

/// Drains the backend server, then ends the session.
async fn leave(shared: &SharedState, control: &ControlHandle) {
    log::info!("event=draining name={}", shared.name);
    let session = *shared.session.borrow();
    if let Some(session) = session {
        let drain = Request::from(Command::Drain(session));
        let _ = control.call(drain, Instant::now() + STOP_TIMEOUT).await;
        tokio::time::sleep(LEAVE_DELAY).await;
    }
    shared.drain();
    shared.wait_until_idle().await;
    if let Some(session) = session {
        let leave = Command::Leave { session, reason: LeaveReason::Shutdown };
        let _ = control.call(Request::from(leave), Instant::now() + STOP_TIMEOUT).await;
    }
}

//! The program `egret-agent`.

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
    fetch::{Fetcher, Links},
    peer_server::{Holdings, PeerServer},
    rollout::Rollout,
    shared::Shared,
    traffic::Traffic,
};

/// Time for entries to learn that this backend server leaves, before it stops to listen.
const LEAVE_TIME: Duration = Duration::from_millis(300);
/// Longest time that a word to the control state may take while stopping.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest lease that a former agent may hold, where the engine does not fence.
const FORMER_LEASE: Duration = Duration::from_millis(1_500);

/// Why the program ends.
#[derive(Debug, Error, Diagnostic)]
pub enum ProgramError {
    /// An address cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Listen(#[from] ListenError),
    /// A name in the settings is no name.
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

/// What the control thread hands to the others.
struct Started {
    shared: Arc<Shared>,
    control: ControlHandle,
    revision: watch::Receiver<Revision>,
}

/// Runs the program until `stop` is done, then lets running requests end.
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
    let started = start_control(&settings, name, holder).await;
    log::info!("event=started program=egret-agent name={}", settings.name);
    start_weights(&settings, &started, store, peers);
    let (drained, closing) = oneshot::channel();
    let shared = started.shared.clone();
    let control = started.control.clone();
    tokio::spawn(async move {
        stop.await;
        leave(&shared, &control).await;
        let _ = drained.send(());
    });
    let model = settings.backend.kind == BackendKind::Model;
    let router = Traffic::new(started.shared.clone(), settings.backend.address, model).router();
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

/// Starts the thread that talks to the control state.
async fn start_control(settings: &AgentSettings, name: BackendName, holder: Holder) -> Started {
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
        let shared = Shared::new(name, view, lease, session.id(), ConcurrencyLimit::new(limit));
        let shared = Arc::new(shared);
        let _ = sender.send(Started { shared, control, revision: session.revision() });
        session.run().await;
    });
    started.await.expect("the control thread starts")
}

/// Starts the thread that fetches and serves weights and orders the engine.
fn start_weights(
    settings: &AgentSettings,
    started: &Started,
    store: ChunkStore,
    peers: TcpListener,
) {
    let shared = started.shared.clone();
    let control = started.control.clone();
    let revision = started.revision.clone();
    let backend = settings.backend.clone();
    let links = settings.links.clone().unwrap_or_default();
    let own = settings.peer_listen.ip();
    let peers = peers.into_std().expect("the listener belongs to this runtime");
    spawn_local_thread("weights", move || async move {
        let LinkSettings { sharing, download_bytes, upload_bytes } = links;
        let links = Rc::new(Links::new(download_bytes, upload_bytes));
        let holdings = Rc::new(Holdings::new());
        let server = PeerServer { holdings: holdings.clone(), links: links.clone() };
        let client: peer::Client = capnp_rpc::new_client(server);
        let peers = TcpListener::from_std(peers).expect("the listener is non-blocking");
        tokio::task::spawn_local(listen(peers, client.client));
        let fetcher = Fetcher::new(shared.name.clone(), own, shared.view.clone(), links, sharing);
        let engine = Engine::new(backend.address);
        let former_lease = (!backend.fencing).then_some(FORMER_LEASE);
        let rollout = Rollout { shared, control, engine, fetcher, holdings, store, former_lease };
        match backend.kind {
            BackendKind::Model => rollout.run_model(revision).await,
            BackendKind::Service => rollout.run_service().await,
        }
    });
}

/// Takes no new work, waits for what runs, then ends the session.
async fn leave(shared: &Shared, control: &ControlHandle) {
    log::info!("event=draining name={}", shared.name);
    let session = *shared.session.borrow();
    if let Some(session) = session {
        let drain = Request::from(Command::Drain(session));
        let _ = control.call(drain, Instant::now() + STOP_TIMEOUT).await;
        tokio::time::sleep(LEAVE_TIME).await;
    }
    shared.drain();
    shared.idle().await;
    if let Some(session) = session {
        let leave = Command::Leave { session, reason: LeaveReason::Shutdown };
        let _ = control.call(Request::from(leave), Instant::now() + STOP_TIMEOUT).await;
    }
}

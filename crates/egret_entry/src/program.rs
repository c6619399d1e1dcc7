//! The program `egret-entry`.

use std::{rc::Rc, sync::Arc, time::Duration};

use egret_http::NoDelayListener;
use egret_record::{DataCentre, EntryName, NameError};
use egret_rpc::{Command, ControlClient, ControlHandle, Holder, LeaveReason, Request, Session};
use egret_settings::EntrySettings;
use egret_telemetry::{ListenError, MetricsError, bind, serve_metrics, spawn_local_thread};
use miette::Diagnostic;
use thiserror::Error;
use tokio::{sync::oneshot, time::Instant};
use viz::Router;

use crate::{
    admin_api::AdminApi,
    caller_api::CallerApi,
    dispatch::{Dispatch, DispatchSettings},
};

/// Timeout of one request to the control state during shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that ends the program.
#[derive(Debug, Error, Diagnostic)]
pub enum ProgramError {
    /// An address cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Listen(#[from] ListenError),
    /// A name in the settings is not valid.
    #[error(transparent)]
    #[diagnostic(help("correct the name in the settings"))]
    Name(#[from] NameError),
    /// Metrics cannot be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Metrics(#[from] MetricsError),
}

/// Runs the program until `stop` completes, then waits for requests in flight.
///
/// # Errors
///
/// Returns a [`ProgramError`] when the program cannot start.
pub async fn run(
    settings: EntrySettings,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(), ProgramError> {
    serve_metrics(settings.metrics).await?;
    let listener = bind(settings.listen).await?;
    let dispatch = start_control(&settings).await?;
    log::info!("event=started program=egret-entry name={}", settings.name);
    let keep = Duration::from_secs(settings.keep_s);
    let (drained, closing) = oneshot::channel();
    let draining = dispatch.clone();
    tokio::spawn(async move {
        stop.await;
        drain(&draining, keep).await;
        let _ = drained.send(());
    });
    let body_bytes = usize::try_from(settings.body_bytes).unwrap_or(usize::MAX);
    let callers = CallerApi { dispatch: dispatch.clone(), keep_s: settings.keep_s, body_bytes };
    let operators = AdminApi { dispatch, key: settings.admin_key };
    let router = callers.routes(operators.routes(Router::new()));
    if let Err(error) = viz::serve(NoDelayListener(listener), router).signal(closing).await {
        log::error!("event=server_failed error=\"{error}\"");
    }
    log::info!("event=stopped program=egret-entry name={}", settings.name);
    Ok(())
}

/// Starts the thread that communicates with the control state.
async fn start_control(settings: &EntrySettings) -> Result<Arc<Dispatch>, ProgramError> {
    let data_centre = DataCentre::new(&settings.data_centre)?;
    let holder = Holder::Entry {
        name: EntryName::new(&settings.name)?,
        data_centre: data_centre.clone(),
        address: settings.address(),
    };
    let (sender, started) = oneshot::channel();
    let addresses = settings.control.clone();
    let local_ip = settings.listen.ip();
    let deadline = Duration::from_millis(settings.deadline_ms);
    let retry_percent = settings.retry_percent;
    spawn_local_thread("control", move || async move {
        let client = Rc::new(ControlClient::new(local_ip, addresses));
        let (control, queue) = ControlHandle::new();
        tokio::task::spawn_local(queue.serve(client.clone()));
        let session = Session::new(client, holder);
        let dispatch = Dispatch::new(DispatchSettings {
            local_ip,
            data_centre,
            view: session.view.clone(),
            lease: session.lease.clone(),
            session: session.id(),
            control,
            deadline,
            retry_percent,
        });
        let _ = sender.send(Arc::new(dispatch));
        session.run().await;
    });
    Ok(started.await.expect("the control thread starts"))
}

/// Withdraws the entry from `/v1/entries`, waits for requests in flight, then ends the session.
async fn drain(dispatch: &Dispatch, keep: Duration) {
    log::info!("event=draining");
    let session = *dispatch.session.borrow();
    if let Some(session) = session {
        let drain = Request::from(Command::Drain(session));
        let _ = dispatch.control.call(drain, Instant::now() + STOP_TIMEOUT).await;
        // Callers may use the address of this entry for `keep` longer and are still served.
        tokio::time::sleep(keep).await;
    }
    dispatch.drain();
    dispatch.wait_idle().await;
    if let Some(session) = session {
        let leave = Command::Leave { session, reason: LeaveReason::Shutdown };
        let _ = dispatch.control.call(Request::from(leave), Instant::now() + STOP_TIMEOUT).await;
    }
}

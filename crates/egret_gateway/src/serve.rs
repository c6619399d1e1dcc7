//! Connections of callers.

use std::{convert::Infallible, rc::Rc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch, task::JoinSet, time::sleep};

use crate::ResponseBody;

/// Pause after connections could not be accepted, for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Least space for the head of a request that the library allows, in bytes.
const HEAD_MIN: usize = 8 * 1024;

/// How connections are served.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest time until the next head of a request is there.
    pub idle_time: Duration,
}

/// Serves connections until `close` turns true, then ends them once their requests are answered.
///
/// Each connection is served as `listen` says when it opens. Must be awaited within a `LocalSet`.
pub async fn serve<H, F>(
    listener: TcpListener,
    listen: impl Fn() -> ConnectionLimits,
    mut close: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let handler = Rc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            _ = close.wait_for(|close| *close) => break,
        };
        while connections.try_join_next().is_some() {}
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let (handler, mut close, listen) = (handler.clone(), close.clone(), listen());
        connections.spawn_local(async move {
            let service = service_fn(move |request| {
                // An idle connection must not hold the space of a request.
                let answer = Box::pin(handler(request));
                async { Ok::<_, Infallible>(answer.await) }
            });
            let connection = http1::Builder::new()
                .auto_date_header(false)
                .timer(TokioTimer::new())
                .header_read_timeout(listen.idle_time)
                .max_buf_size(listen.header_bytes.max(HEAD_MIN))
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let closing = async {
                let _ = close.wait_for(|close| *close).await;
            };
            tokio::select! {
                ended = connection.as_mut() => log_end(ended),
                () = closing => {
                    connection.as_mut().graceful_shutdown();
                    log_end(connection.await);
                }
            }
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn log_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
}

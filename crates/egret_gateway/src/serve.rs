//! Connections of callers.

use std::{convert::Infallible, rc::Rc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch, task::JoinSet, time::sleep};

use crate::ResponseBody;

/// Delay after a failure to accept a connection, as when file descriptors are used up.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest buffer for the head of a request that `hyper` allows, in bytes.
const HEAD_BYTES_MIN: usize = 8 * 1024;

/// Limits on a connection of a caller.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest time until the next head of a request has arrived.
    pub idle_timeout: Duration,
}

/// Serves connections until `close` turns true, then drains them.
///
/// Each connection gets the limits that `limits` returns when it opens. When `close` turns true,
/// connections end once their requests are answered. Must be awaited within a `LocalSet`.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
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
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            _ = close.wait_for(|close| *close) => break,
        };
        while connections.try_join_next().is_some() {}
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let (handler, mut close, limits) = (handler.clone(), close.clone(), limits());
        connections.spawn_local(async move {
            let service = service_fn(move |request| {
                // Boxed, so that an idle connection does not take the memory of a request.
                let response = Box::pin(handler(request));
                async { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .auto_date_header(false)
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle_timeout)
                .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let closing = async {
                let _ = close.wait_for(|close| *close).await;
            };
            tokio::select! {
                result = connection.as_mut() => log_end(result),
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

fn log_end(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
}

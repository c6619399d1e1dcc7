//! HTTP servers and clients of the stand-ins.

use std::{collections::HashMap, convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, combinators::BoxBody};
use hyper::{body::Incoming, client, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
    time::timeout,
};

pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// A request as a stand-in received it.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    pub(crate) method: Method,
    pub(crate) path: String,
    query: HashMap<String, String>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns a number in the query.
    pub(crate) fn query(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

pub(crate) fn full(body: impl Into<Bytes>) -> Body {
    Full::new(body.into()).map_err(|never| match never {}).boxed()
}

/// A server that ends, with its connections, when dropped.
#[derive(Debug)]
pub(crate) struct Server(AbortHandle);

impl Drop for Server {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves requests at an address, one task for each connection.
pub(crate) async fn serve<F: Future<Output = Response<Body>> + Send + 'static>(
    address: SocketAddr,
    respond: impl Fn(Received) -> F + Clone + Send + Sync + 'static,
) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let accept = async move {
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let respond = respond.clone();
            connections.spawn(async move {
                let service = service_fn(move |request: Request<Incoming>| {
                    let respond = respond.clone();
                    async move { Ok::<_, Infallible>(respond(receive(request).await).await) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    };
    Ok(Server(tokio::spawn(accept).abort_handle()))
}

async fn receive(request: Request<Incoming>) -> Received {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(http_body_util::Collected::to_bytes);
    let query = head.uri.query().unwrap_or_default().split('&');
    Received {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: query
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        headers: head.headers,
        body: body.unwrap_or_default(),
    }
}

/// An answer as a client received it; `body` is `None` if it broke off.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Option<Bytes>,
}

/// Sends a request on a new connection; returns none if there is no head of an answer in time.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<Answer> {
    let answer = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) =
            client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(connection);
        let response = sender.send_request(request).await.ok();
        let answer = match response {
            Some(response) => {
                let (head, body) = response.into_parts();
                let body = body.collect().await.ok().map(http_body_util::Collected::to_bytes);
                Some(Answer { status: head.status, headers: head.headers, body })
            }
            None => None,
        };
        task.abort();
        answer
    };
    timeout(limit, answer).await.ok().flatten()
}

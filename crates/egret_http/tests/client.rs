//! Pooled connections and size limits of the client.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use egret_http::{HttpClient, ReadError, read_whole};
use http::Request;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// Starts a server. Returns its address and the number of its open connections.
async fn server() -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let open = Arc::new(AtomicUsize::new(0));
    let count = open.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut read = [0_u8; 4_096];
                while stream.read(&mut read).await.is_ok_and(|bytes| bytes > 0) {
                    let _ =
                        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
                }
                count.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, open)
}

#[tokio::test]
async fn short_idle_client_closes_its_connection_soon() {
    // Guards against idle connections that block other clients: 54 agents fetch from an origin that
    // accepts 48 connections.
    let (address, open) = server().await;
    let client = HttpClient::short_idle(None);
    for _ in 0..3 {
        let request = Request::get(format!("http://{address}/")).body(Default::default());
        let response = client.send(request.expect("a request")).await.expect("a response");
        read_whole(response.into_body(), 10).await.expect("a body");
        assert_eq!(open.load(Ordering::SeqCst), 1, "all requests share one connection");
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(open.load(Ordering::SeqCst), 0, "the idle connection is closed");
}

/// Starts a server that sends `start` once, then `rest` without end.
async fn endless(start: &'static str, rest: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut read = [0_u8; 4_096];
        let _ = stream.read(&mut read).await;
        let mut written = stream.write_all(start.as_bytes()).await;
        let rest = rest.repeat(4_096 / rest.len());
        while written.is_ok() {
            written = stream.write_all(rest.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn endless_responses_fail_at_the_limit() {
    // Guards against a faulty origin or engine that sends bytes until its client disconnects.
    const LIMIT: usize = 1024 * 1024;
    let get = |address| Request::get(format!("http://{address}/")).body(Default::default());
    let client = HttpClient::short_idle(None);
    let bodies = [
        ("no length", "HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
        ("a length", "HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n", "x"),
    ];
    for (name, start, rest) in bodies {
        let address = endless(start, rest).await;
        let response = client.send(get(address).expect("a request")).await.expect("a head");
        let read =
            tokio::time::timeout(Duration::from_secs(20), read_whole(response.into_body(), LIMIT));
        assert_eq!(read.await.expect(name), Err(ReadError::TooLarge(LIMIT)), "{name}");
    }
    let address = endless("HTTP/1.1 200 OK\r\n", "x-more: of it\r\n").await;
    let head = client.send(get(address).expect("a request"));
    let head = tokio::time::timeout(Duration::from_secs(20), head).await;
    assert!(head.expect("an endless head fails").is_err());
}

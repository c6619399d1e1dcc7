//! Connections that a client keeps.

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

/// Serves whoever connects; returns its address and how many connections are open.
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
async fn client_of_a_crowded_server_frees_its_connection_soon() {
    // Pattern: 54 agents fetch from an origin that serves 48 connections.
    let (address, open) = server().await;
    let client = HttpClient::short_idle(None);
    for _ in 0..3 {
        let request = Request::get(format!("http://{address}/")).body(Default::default());
        let answer = client.send(request.expect("a request")).await.expect("an answer");
        read_whole(answer.into_body(), 10).await.expect("a body");
        assert_eq!(open.load(Ordering::SeqCst), 1, "one connection serves all of them");
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(open.load(Ordering::SeqCst), 0, "nobody else could use it");
}

/// Sends `opening` to whoever connects, and `rest` for ever.
async fn endless(opening: &'static str, rest: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut read = [0_u8; 4_096];
        let _ = stream.read(&mut read).await;
        let mut written = stream.write_all(opening.as_bytes()).await;
        let rest = rest.repeat(4_096 / rest.len());
        while written.is_ok() {
            written = stream.write_all(rest.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn answers_without_end_are_given_up_at_a_limit() {
    // Pattern: an origin or engine in trouble sends bytes until its caller closes.
    const LIMIT: usize = 1024 * 1024;
    let get = |address| Request::get(format!("http://{address}/")).body(Default::default());
    let client = HttpClient::short_idle(None);
    let bodies = [
        ("no length", "HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
        ("a length", "HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n", "x"),
    ];
    for (what, opening, rest) in bodies {
        let address = endless(opening, rest).await;
        let answer = client.send(get(address).expect("a request")).await.expect("a head");
        let read =
            tokio::time::timeout(Duration::from_secs(20), read_whole(answer.into_body(), LIMIT));
        assert_eq!(read.await.expect(what), Err(ReadError::TooLarge(LIMIT)), "{what}");
    }
    let address = endless("HTTP/1.1 200 OK\r\n", "x-more: of it\r\n").await;
    let head = client.send(get(address).expect("a request"));
    let head = tokio::time::timeout(Duration::from_secs(20), head).await;
    assert!(head.expect("a head without end is given up").is_err());
}

//! Responses whose status line names no final status.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use egret_http::HttpClient;
use http::{Request, StatusCode};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// Answers each request with the status line that is set, on a connection of its own.
async fn serve(line: Arc<Mutex<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = {
                let line = line.lock().expect("no panic");
                format!("{line}\r\ncontent-length: 4\r\nconnection: close\r\n\r\ntrue")
            };
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                if stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            });
        }
    });
    address
}

async fn status_of(address: SocketAddr) -> Option<StatusCode> {
    let request = Request::get(format!("http://{address}/"));
    let request = request.body(http_body_util::Full::default()).expect("a request");
    let response = HttpClient::unpooled(None).send(request).await;
    response.ok().map(|response| response.status())
}

// Guards against responses that are passed on although their status is none that ends a request.
#[tokio::test]
async fn only_final_statuses_are_responses() {
    let line = Arc::new(Mutex::new(String::new()));
    let address = serve(line.clone()).await;
    for code in 0..=999_u16 {
        *line.lock().expect("no panic") = format!("HTTP/1.1 {code:03} Some reason");
        let expected =
            (200..=599).contains(&code).then(|| StatusCode::from_u16(code).expect("a status"));
        assert_eq!(status_of(address).await, expected, "status {code:03}");
    }
}

// Guards against status lines from which a status is read that they do not name.
#[tokio::test]
async fn damaged_status_lines_give_no_other_status() {
    let line = Arc::new(Mutex::new(String::new()));
    let address = serve(line.clone()).await;
    let mut random = SmallRng::seed_from_u64(1);
    let mut accepted = 0;
    for _ in 0..2_000 {
        let mut damaged = format!("HTTP/1.1 {:03} OK", random.random_range(0..1_000)).into_bytes();
        for _ in 0..random.random_range(0..3) {
            let at = random.random_range(0..damaged.len());
            match random.random_range(0..3) {
                0 => damaged[at] = random.random_range(b' '..=b'~'),
                1 => damaged.insert(at, random.random_range(b'0'..=b'9')),
                _ => drop(damaged.remove(at)),
            }
        }
        let text = String::from_utf8(damaged).expect("printable characters");
        line.lock().expect("no panic").clone_from(&text);
        let Some(status) = status_of(address).await else { continue };
        accepted += 1;
        assert!((200..=599).contains(&status.as_u16()), "{status} from {text:?}");
        let named = text.split(' ').nth(1).expect("a status");
        assert_eq!(named, status.as_str(), "{text:?}");
    }
    assert!(accepted > 100, "{accepted} of 2,000 status lines were accepted");
}

//! Responses that begin with the rest of another one, which nobody asked for.

use std::{net::SocketAddr, sync::Arc};

use egret_http::HttpClient;
use http::Request;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::Mutex,
};

/// The end of the heads of the responses, and their bodies.
const FRAMINGS: [&str; 3] = [
    "content-length: 4\r\n\r\ntrue",
    "transfer-encoding: chunked\r\n\r\n4\r\ntrue\r\n0\r\n\r\n",
    "\r\ntrue",
];
const STATUSES: [&str; 4] =
    ["200 OK", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable"];

/// What a server sends before its true response, and that response.
#[derive(Debug, Clone, Default)]
struct Answer {
    rest: String,
    response: String,
}

/// Answers the first request of each connection as a sound server, the second one with `answer`.
async fn serve(answer: Arc<Mutex<Answer>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let sound = "HTTP/1.1 204 No Content\r\n\r\n";
                if read_request(&mut stream).await && write(&mut stream, sound).await {
                    while read_request(&mut stream).await {
                        let Answer { rest, response } = answer.lock().await.clone();
                        write(&mut stream, &(rest + &response)).await;
                        if !response.contains("content-length") && !response.contains("chunked") {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut bytes = [0; 1_024];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => request.extend_from_slice(&bytes[..count]),
            _ => return false,
        }
    }
    true
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Sends two requests on one connection; returns the status and headers of the second response.
async fn second_response(address: SocketAddr) -> Option<http::response::Parts> {
    let client = HttpClient::pooled(None);
    let request = || {
        let request = Request::get(format!("http://{address}/"));
        request.body(http_body_util::Full::default()).expect("a request")
    };
    client.send(request()).await.expect("the first response");
    client.send(request()).await.ok().map(|response| response.into_parts().0)
}

// Guards against a failure that becomes a success, or gets headers of another response, because the
// server began a response before and broke it off at any byte of its head.
#[tokio::test]
async fn head_that_continues_another_one_is_no_response() {
    let answer = Arc::new(Mutex::new(Answer::default()));
    let address = serve(answer.clone()).await;
    let mut joined = 0;
    for (index, framing) in FRAMINGS.into_iter().enumerate() {
        for extra in STATUSES {
            let head = format!("HTTP/1.1 {extra}\r\nx-note: other\r\nx-extra: 1\r\n");
            for cut in 1..head.len() {
                let status = STATUSES[(cut + index) % STATUSES.len()];
                let response = format!("HTTP/1.1 {status}\r\nx-note: own\r\n{framing}");
                let rest = head[..cut].to_owned();
                *answer.lock().await = Answer { rest: rest.clone(), response };
                if let Some(head) = second_response(address).await {
                    panic!("{rest:?} before {status}: passed on as {head:?}");
                }
                joined += 1;
            }
        }
    }
    assert!(joined > 500, "{joined} cuts");
}

// Guards against responses that are taken for joined ones by mistake.
#[tokio::test]
async fn head_that_only_names_a_version_is_a_response() {
    let answer = Arc::new(Mutex::new(Answer::default()));
    let address = serve(answer.clone()).await;
    for line in ["via: HTTP/1.1 proxy", "upgrade: HTTP/1.1", "x-note: HTTP/1.1 is used"] {
        let response =
            format!("HTTP/1.1 200 Fine, thanks\r\n{line}\r\ncontent-length: 4\r\n\r\ntrue");
        *answer.lock().await = Answer { rest: String::new(), response };
        assert!(second_response(address).await.is_some(), "{line}");
    }
}

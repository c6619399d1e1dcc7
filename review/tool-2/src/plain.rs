//! A runner of a plain service.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use crate::{
    deploy::Deployment,
    http::{self, Handler, Request},
};

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or_default()
}

/// The headers that every answer of a runner to a request has.
pub fn signature(request: &Request) -> String {
    format!("X-Request-Id: {}\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", request.id())
}

/// Starts a runner of `wuno96b` that reports its status all the time.
///
/// It answers status checks itself, and turns away requests that name another runner.
pub fn start_plain(
    deployment: &Arc<Deployment>,
    id: &'static str,
    zone: &'static str,
    listener: TcpListener,
    handler: Arc<Handler>,
) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    http::serve(
        listener,
        Arc::new(move |request, stream| {
            use std::io::Write as _;
            if request.path() == "/healthz" {
                stream.write_all(&http::answer(200, &format!("X-Instance: {id}\r\n"), b""))?;
                return Ok(true);
            }
            if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
                let headers = format!("X-Request-Id: {}\r\nX-Not-Run: 1\r\n", request.id());
                stream.write_all(&http::answer(421, &headers, b""))?;
                return Ok(true);
            }
            handler(request, stream)
        }),
    );
    let deployment = Arc::downgrade(deployment);
    let born = unix_ms();
    thread::spawn(move || {
        for seq in 1_u64.. {
            let Some(deployment) = deployment.upgrade() else { return };
            let status = json!({
                "service": "wuno96b", "addr": address, "zone": zone, "version": "v1", "slots": 6,
                "state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
            });
            deployment.report(id, &status);
            drop(deployment);
            sleep(Duration::from_millis(1_200));
        }
    });
    Ok(address)
}

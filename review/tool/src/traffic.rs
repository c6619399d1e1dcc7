//! Clients that send requests at a steady rate, each on a new channel.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    catalog::{HOST, KEY, MODEL},
    http::{self, Message},
    record::Record,
};

/// One attempt of a client.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) sent: Duration,
    /// Whether the answer was a success with the signature of a runner.
    pub(crate) served: bool,
}

/// Sends one request; returns what came back.
pub(crate) fn send(
    record: &Record,
    entry: SocketAddr,
    method: &str,
    prefix: &str,
    id: &str,
    deadline: Duration,
) -> std::io::Result<Message> {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", deadline.as_millis().to_string()),
        ("Authorization", format!("Token {KEY}")),
    ];
    let is_stream = method == "POST";
    if is_stream {
        headers.push(("X-Model", MODEL.to_owned()));
        headers.push(("X-Tokens", "1290,120".to_owned()));
        headers.push(("X-Prefix-Hash", format!("5c1e07a2:40,{}:1290", hex(id))));
    }
    let body: &[u8] = if is_stream { b"{\"prompt\":\"a photo\"}" } else { b"" };
    record.line(format_args!("{id} sent to {entry}"));
    let answer = http::call(entry, method, &format!("{prefix}{id}"), &headers, body, deadline);
    match &answer {
        Ok(answer) => record.line(format_args!("{id} answered {}", answer.first)),
        Err(error) => record.line(format_args!("{id} not answered: {error}")),
    }
    answer
}

pub(crate) fn is_served(answer: &std::io::Result<Message>) -> bool {
    answer.as_ref().is_ok_and(|answer| answer.status() == 200 && answer.header("x-stamp").is_some())
}

fn hex(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}

/// Stream requests at a steady rate, until it is dropped.
pub(crate) struct Traffic {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    stops: Arc<AtomicBool>,
}

impl Traffic {
    pub(crate) fn start(record: &Record, entries: Vec<SocketAddr>, prefix: &'static str) -> Self {
        let traffic = Self { attempts: Arc::default(), stops: Arc::default() };
        let (attempts, stops, record) =
            (traffic.attempts.clone(), traffic.stops.clone(), record.clone());
        thread::spawn(move || {
            for count in 0_usize.. {
                if stops.load(Ordering::Relaxed) {
                    return;
                }
                let (attempts, record) = (attempts.clone(), record.clone());
                let entry = entries[count % entries.len()];
                thread::spawn(move || {
                    let (sent, id) = (record.now(), format!("a{count:015x}"));
                    let deadline = Duration::from_secs(6);
                    let answer = send(&record, entry, "POST", prefix, &id, deadline);
                    let served = is_served(&answer);
                    let mut attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
                    attempts.push(Attempt { sent, served });
                });
                thread::sleep(Duration::from_millis(100));
            }
        });
        traffic
    }

    /// Returns how many requests that were sent in a span were answered and served.
    pub(crate) fn served(&self, from: Duration, to: Duration) -> (usize, usize) {
        let attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let sent: Vec<_> =
            attempts.iter().filter(|attempt| (from..to).contains(&attempt.sent)).collect();
        (sent.iter().filter(|attempt| attempt.served).count(), sent.len())
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::Relaxed);
    }
}

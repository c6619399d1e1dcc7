//! Behaviour of the log queue with a stuck reader and above the rate limit.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use egret_telemetry::LineQueue;

/// An output that blocks until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<State>, Condvar)>);

/// Whether the output is open, and the bytes written to it.
#[derive(Default)]
struct State {
    open: bool,
    bytes: Vec<u8>,
}

impl Gate {
    fn open(&self) {
        self.0.0.lock().expect("no panic").open = true;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.0.lock().expect("no panic").bytes.clone()).expect("text")
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.0.0.lock().expect("no panic");
        let mut state = self.0.1.wait_while(state, |state| !state.open).expect("no panic");
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stuck_reader_does_not_block_and_drops_are_reported() {
    let gate = Gate::default();
    let queue = LineQueue::new(gate.clone());
    let started = Instant::now();
    let accepted = (0..10_000).filter(|n| queue.push(format!("event=n{n}\n"), false)).count();
    assert!(started.elapsed() < Duration::from_secs(1), "pushing never blocks on the reader");
    assert!(accepted < 2_000, "{accepted} lines were accepted in less than a second");
    gate.open();
    queue.close();
    let text = gate.text();
    let lines = text.lines().filter(|line| line.starts_with("event=n")).count();
    assert_eq!(lines, accepted, "accepted lines are written");
    assert!(text.contains("event=log_lines_dropped"), "dropped lines are reported");
}

#[test]
fn warnings_pass_when_the_rate_limit_is_reached() {
    let gate = Gate::default();
    gate.open();
    let queue = LineQueue::new(gate.clone());
    while queue.push("event=ordinary\n".to_owned(), false) {}
    assert!(queue.push("event=warning\n".to_owned(), true));
    queue.close();
    assert!(gate.text().contains("event=warning"));
}

//! Logs whose reader is stuck, and more lines than a process may write.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use egret_telemetry::LineQueue;

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<State>, Condvar)>);

/// Whether the output takes anything, and what it took.
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
fn stuck_reader_delays_nobody_and_drops_are_reported() {
    let gate = Gate::default();
    let queue = LineQueue::new(gate.clone());
    let started = Instant::now();
    let taken = (0..10_000).filter(|n| queue.push(format!("event=n{n}\n"), false)).count();
    assert!(started.elapsed() < Duration::from_secs(1), "pushing never waits for the reader");
    assert!(taken < 2_000, "{taken} lines were taken in less than a second");
    gate.open();
    queue.close();
    let text = gate.text();
    let lines = text.lines().filter(|line| line.starts_with("event=n")).count();
    assert_eq!(lines, taken, "what was taken is written");
    assert!(text.contains("event=log_lines_dropped"), "what was not is reported");
}

#[test]
fn warnings_pass_when_the_rate_is_used_up() {
    let gate = Gate::default();
    gate.open();
    let queue = LineQueue::new(gate.clone());
    while queue.push("event=ordinary\n".to_owned(), false) {}
    assert!(queue.push("event=warning\n".to_owned(), true));
    queue.close();
    assert!(gate.text().contains("event=warning"));
}

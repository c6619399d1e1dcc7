//! Lines on their way to an output that may block.
//!
//! Whoever reads the logs may be slow or stuck, and a request must never wait
//! for that. Lines wait in a bounded queue that one thread empties; what does
//! not fit, or comes faster than a process may write, is counted and reported.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// Lines that wait; a second of a busy process.
const QUEUE_LINES: usize = 2_048;
/// Lines a second that a process may write: each costs about ten microseconds of its processor,
/// so this is half a hundredth of one.
const LINES_PER_S: u32 = 500;
/// Lines a second beyond that for warnings and errors.
const URGENT_PER_S: u32 = 200;
/// Pause in which lines are gathered to be written at once.
const GATHER_TIME: Duration = Duration::from_millis(50);
/// Longest wait for the output when a process ends.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// How many lines were taken in the present second.
#[derive(Debug)]
struct Rate {
    second: Instant,
    lines: u32,
    urgent: u32,
}

/// Lines on their way to an output that may block.
///
/// ```
/// use egret_telemetry::LineQueue;
///
/// let queue = LineQueue::new(std::io::sink());
/// assert!(queue.push("event=started".to_owned(), false));
/// assert_eq!(queue.dropped(), 0);
/// ```
#[derive(Debug)]
pub struct LineQueue {
    queue: Mutex<Option<SyncSender<String>>>,
    rate: Mutex<Rate>,
    dropped: Arc<AtomicU64>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl LineQueue {
    /// Starts the thread that writes to `output`.
    ///
    /// # Panics
    ///
    /// Panics when the system allows no thread, before anything is logged.
    pub fn new(output: impl Write + Send + 'static) -> Self {
        let (sender, lines) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let thread = std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(output, &lines, &counted))
            .expect("the system allows a thread");
        let rate = Rate { second: Instant::now(), lines: 0, urgent: 0 };
        Self {
            queue: Mutex::new(Some(sender)),
            rate: Mutex::new(rate),
            dropped,
            thread: Mutex::new(Some(thread)),
        }
    }

    /// Adds a line without waiting; tells whether it was taken.
    pub fn push(&self, line: String, urgent: bool) -> bool {
        let taken = self.is_allowed(urgent) && self.send(line);
        if !taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }

    /// Returns the lines that were dropped and not reported yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes what waits, unless the output is stuck.
    pub fn close(&self) {
        drop(self.queue.lock().map(|mut queue| queue.take()));
        let thread = self.thread.lock().ok().and_then(|mut thread| thread.take());
        let Some(thread) = thread else { return };
        let deadline = Instant::now() + CLOSE_TIME;
        while !thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn send(&self, line: String) -> bool {
        let queue = self.queue.lock();
        let queue = queue.as_ref().ok().and_then(|queue| queue.as_ref());
        queue.is_some_and(|queue| queue.try_send(line).is_ok())
    }

    fn is_allowed(&self, urgent: bool) -> bool {
        let Ok(mut rate) = self.rate.lock() else { return false };
        if rate.second.elapsed() >= Duration::from_secs(1) {
            *rate = Rate { second: Instant::now(), lines: 0, urgent: 0 };
        }
        if rate.lines < LINES_PER_S {
            rate.lines += 1;
            return true;
        }
        rate.urgent += u32::from(urgent);
        urgent && rate.urgent <= URGENT_PER_S
    }
}

fn write_all(mut output: impl Write, lines: &Receiver<String>, dropped: &AtomicU64) {
    let mut batch = String::new();
    loop {
        match lines.recv_timeout(Duration::from_secs(1)) {
            Ok(line) => batch.push_str(&line),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if !batch.is_empty() {
            std::thread::sleep(GATHER_TIME);
        }
        while let Ok(line) = lines.try_recv() {
            batch.push_str(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&format!("level=warn event=log_lines_dropped count={lost}\n"));
        }
        // Logs that cannot be written have no other place to say so.
        let _ = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
        batch.clear();
    }
}

//! Bounded, rate-limited queue of log lines for an output that may block.
//!
//! The reader of the logs may be slow or stuck, and a request must never wait
//! for it. Lines are queued and written by one thread; lines that exceed the
//! queue or the rate limit are dropped, counted and reported.

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

/// Capacity of the queue, in lines: one second of a busy process.
const QUEUE_CAPACITY: usize = 2_048;
/// Limit on lines per second: each takes about 10 µs of processor time, so this is 0.5 % of one
/// core.
const LINES_PER_S: u32 = 500;
/// Additional lines per second for warnings and errors.
const URGENT_PER_S: u32 = 200;
/// Time for which lines are collected, to write them in one batch.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the output when the queue is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines accepted in the current second.
#[derive(Debug)]
struct Rate {
    second: Instant,
    lines: u32,
    urgent: u32,
}

/// Bounded, rate-limited queue of lines for an output that may block.
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
    /// Panics if the thread cannot be started, before anything is logged.
    pub fn new(output: impl Write + Send + 'static) -> Self {
        let (sender, lines) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let thread = std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(output, &lines, &counted))
            .expect("the log thread starts");
        let rate = Rate { second: Instant::now(), lines: 0, urgent: 0 };
        Self {
            queue: Mutex::new(Some(sender)),
            rate: Mutex::new(rate),
            dropped,
            thread: Mutex::new(Some(thread)),
        }
    }

    /// Queues a line without blocking. Returns whether it was accepted.
    pub fn push(&self, line: String, urgent: bool) -> bool {
        let accepted = self.is_allowed(urgent) && self.send(line);
        if !accepted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        accepted
    }

    /// Returns the number of dropped lines that are not reported yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Closes the queue and writes the remaining lines, unless the output is stuck.
    pub fn close(&self) {
        drop(self.queue.lock().map(|mut queue| queue.take()));
        let thread = self.thread.lock().ok().and_then(|mut thread| thread.take());
        let Some(thread) = thread else { return };
        let deadline = Instant::now() + CLOSE_TIMEOUT;
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
            std::thread::sleep(BATCH_DELAY);
        }
        while let Ok(line) = lines.try_recv() {
            batch.push_str(&line);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.push_str(&format!("level=warn event=log_lines_dropped count={count}\n"));
        }
        // A failure to write the logs cannot be reported anywhere else.
        let _ = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
        batch.clear();
    }
}

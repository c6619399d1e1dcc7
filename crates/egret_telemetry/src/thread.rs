//! Threads with their own Tokio runtime.

use std::future::Future;

use tokio::task::LocalSet;

/// Runs a future, and the local tasks that it spawns, on a new thread.
///
/// # Panics
///
/// Panics if the thread cannot be started. The new thread panics, before any work begins, if its
/// runtime cannot be.
pub fn spawn_local_thread<F, R>(name: &str, run: F)
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = ()>,
{
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        LocalSet::new().block_on(&runtime, run());
    });
    thread.expect("the thread starts");
}

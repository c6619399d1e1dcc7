//! Threads with a runtime of their own.

use std::future::Future;

use tokio::task::LocalSet;

/// Runs a future on a thread of its own, with what it spawns there.
///
/// # Panics
///
/// Panics when the system allows no thread or runtime, before any work begins.
pub fn spawn_local_thread<F, R>(name: &str, run: F)
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = ()>,
{
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the system allows a runtime");
        LocalSet::new().block_on(&runtime, run());
    });
    thread.expect("the system allows a thread");
}

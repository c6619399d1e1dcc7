//! Requests to engines whose weights are due in a moment.

use std::time::Duration;

use egret_route::{BEGIN_LEAST, BEGIN_MOST, begin_time};

/// Time that a request which is cancelled takes to be gone at an engine on a sound link.
const CANCEL_TIME: Duration = Duration::from_millis(300);

/// Load: a version is due, the next one comes seconds later since its origin was down, and
/// engines that are not full begin an answer within 200 ms.
#[test]
fn quick_engine_serves_until_shortly_before_its_weights_are_due() {
    for millis in [1, 20, 100, 200] {
        let margin = begin_time(Duration::from_millis(millis), false);
        assert!(margin <= Duration::from_millis(800), "{millis} ms: {margin:?}");
        assert!(margin >= BEGIN_LEAST);
    }
}

/// Load: the same with engines whose queues are long, or whose links are squeezed.
#[test]
fn request_that_begins_twice_as_late_as_the_last_is_not_cancelled() {
    for millis in (1..650).step_by(7) {
        let delay = Duration::from_millis(millis);
        let margin = begin_time(delay, false);
        assert!(delay * 2 <= margin - CANCEL_TIME, "{millis} ms: {margin:?}");
    }
    assert_eq!(begin_time(Duration::from_millis(200), true), BEGIN_MOST);
    assert!(begin_time(Duration::ZERO, false) > BEGIN_LEAST * 2, "nothing is known of it");
}

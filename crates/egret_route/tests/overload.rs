//! An overload of a fifth more requests than the engines can run.

use std::time::Duration;

use egret_route::{WaitQueue, Waiter};

/// Slots of all engines together.
const SLOTS: usize = 160;
/// Time for which one request occupies a slot.
const RUN: Duration = Duration::from_millis(900);
/// Time within which a request must get a slot to be on time.
const WAIT_MAX: Duration = Duration::from_millis(250);
/// Requests per second; the slots can run 178.
const PER_S: u32 = 214;

/// Simulates 20 s and returns the share of requests that got a slot on time.
fn served_on_time(next: impl Fn(&mut WaitQueue<u32>, Duration) -> Option<(Waiter, u32)>) -> f64 {
    let mut queue = WaitQueue::default();
    let mut busy: Vec<Duration> = Vec::new();
    let (mut timely, mut all) = (0_u32, 0_u32);
    let step = Duration::from_secs(1) / PER_S;
    for number in 0..PER_S * 20 {
        let now = step * number;
        all += 1;
        let waiter =
            Waiter { rank: 1, queued: now, start_by: now + WAIT_MAX, wait_until: now + WAIT_MAX };
        queue.push(waiter, number);
        busy.retain(|end| *end > now);
        while busy.len() < SLOTS {
            let Some((waiter, _)) = next(&mut queue, now) else { break };
            timely += u32::from(now < waiter.start_by);
            busy.push(now + RUN);
        }
    }
    f64::from(timely) / f64::from(all)
}

#[test]
fn most_are_on_time_in_a_slight_overload() {
    let share = served_on_time(|queue, now| {
        queue.remove_expired(now);
        queue.pop(now, |_| true)
    });
    // The slots can run 178 of 214; a twentieth is left for requests that time out in between.
    assert!(share >= 0.95 * 178.0 / 214.0, "{share}");
}

#[test]
fn late_requests_wait_behind_timely_ones() {
    let now = Duration::from_secs(10);
    let waiter = |queued: u64, start_by: u64| Waiter {
        rank: 1,
        queued: Duration::from_secs(queued),
        start_by: Duration::from_secs(start_by),
        wait_until: Duration::from_secs(20),
    };
    let mut queue = WaitQueue::default();
    queue.push(waiter(9, 5), "late");
    queue.push(waiter(8, 12), "timely, older");
    queue.push(waiter(9, 12), "timely, newer");
    let order: Vec<_> =
        std::iter::from_fn(|| queue.pop(now, |_| true)).map(|(_, name)| name).collect();
    assert_eq!(order, ["timely, newer", "timely, older", "late"]);
}

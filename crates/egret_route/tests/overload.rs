//! A fifth more requests than engines can run, for a while.

use std::time::Duration;

use egret_route::{WaitQueue, Waiter};

/// Places of all engines together.
const PLACES: usize = 160;
/// Time that one request takes a place.
const RUN: Duration = Duration::from_millis(900);
/// Time in which a request must get a place to be on time.
const TIMELY: Duration = Duration::from_millis(250);
/// Requests a second; the places bear 178.
const PER_S: u32 = 214;

/// Plays 20 s and returns the share of requests that were placed on time.
fn served_on_time(first: impl Fn(&mut WaitQueue<u32>, Duration) -> Option<(Waiter, u32)>) -> f64 {
    let mut waiting = WaitQueue::default();
    let mut busy: Vec<Duration> = Vec::new();
    let (mut timely, mut all) = (0_u32, 0_u32);
    let step = Duration::from_secs(1) / PER_S;
    for number in 0..PER_S * 20 {
        let now = step * number;
        all += 1;
        let waiter = Waiter { rank: 1, since: now, timely: now + TIMELY, until: now + TIMELY };
        waiting.push(waiter, number);
        busy.retain(|end| *end > now);
        while busy.len() < PLACES {
            let Some((waiter, _)) = first(&mut waiting, now) else { break };
            timely += u32::from(now < waiter.timely);
            busy.push(now + RUN);
        }
    }
    f64::from(timely) / f64::from(all)
}

#[test]
fn most_are_on_time_in_a_slight_overload() {
    let share = served_on_time(|waiting, now| {
        waiting.give_up(now);
        waiting.pop(now, |_| true)
    });
    // The places bear 178 of 214; the bound leaves a twentieth for those that give up in between.
    assert!(share >= 0.95 * 178.0 / 214.0, "{share}");
}

#[test]
fn late_callers_wait_behind_timely_ones() {
    let now = Duration::from_secs(10);
    let waiter = |since: u64, timely: u64| Waiter {
        rank: 1,
        since: Duration::from_secs(since),
        timely: Duration::from_secs(timely),
        until: Duration::from_secs(20),
    };
    let mut waiting = WaitQueue::default();
    waiting.push(waiter(9, 5), "late");
    waiting.push(waiter(8, 12), "timely, older");
    waiting.push(waiter(9, 12), "timely, newer");
    let order: Vec<_> =
        std::iter::from_fn(|| waiting.pop(now, |_| true)).map(|(_, name)| name).collect();
    assert_eq!(order, ["timely, newer", "timely, older", "late"]);
}

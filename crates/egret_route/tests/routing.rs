//! Concurrency limits, choices and refusals.

use std::{net::SocketAddr, time::Duration};

use egret_record::BackendName;
use egret_route::{
    Candidate, Code, ColdRateLimit, ConcurrencyLimit, LoadHints, Ran, Refusal, Warmup, choose,
};
use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::SmallRng};

fn candidate(number: u16, near: bool) -> Candidate {
    Candidate {
        name: BackendName::new(&format!("runner-{number}")).expect("valid"),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        limit: 4,
        near,
    }
}

#[test]
fn cold_limit_grows_with_responses_only() {
    let mut limit = ConcurrencyLimit::new(8);
    for _ in 0..20 {
        let permit = limit.acquire().expect("there is room");
        limit.release(permit, false);
    }
    assert_eq!(limit.limit(), 1, "requests without a response prove nothing");
    let mut answered = 0;
    while limit.warmup() != Warmup::Warm {
        let permit = limit.acquire().expect("there is room");
        limit.release(permit, true);
        answered += 1;
        assert!(answered < 100);
    }
    assert_eq!(limit.limit(), 8);
}

#[test]
fn slow_first_token_shows_a_cold_engine() {
    let mut limit = ConcurrencyLimit::new(8);
    for _ in 0..10 {
        let permit = limit.acquire().expect("there is room");
        limit.record_delay(Duration::from_millis(80));
        limit.release(permit, true);
    }
    assert_eq!(limit.warmup(), Warmup::Warm);
    limit.record_delay(Duration::from_millis(900));
    assert_eq!(limit.limit(), 1);
}

#[test]
fn near_backend_servers_go_first_until_they_are_full() {
    let candidates = [candidate(1, true), candidate(2, false)];
    let mut random = SmallRng::seed_from_u64(1);
    let mut hints = LoadHints::default();
    for _ in 0..4 {
        let chosen = choose(&candidates, &hints, Duration::ZERO, &mut random).unwrap();
        assert_eq!(chosen.name, candidates[0].name);
        hints.start(&chosen.name);
    }
    let chosen = choose(&candidates, &hints, Duration::ZERO, &mut random).unwrap();
    assert_eq!(chosen.name, candidates[1].name);
}

#[test]
fn paused_backend_server_is_skipped_for_a_while() {
    let candidates = [candidate(1, true), candidate(2, true)];
    let mut random = SmallRng::seed_from_u64(1);
    let mut hints = LoadHints::default();
    hints.pause(&candidates[0].name, Duration::from_millis(100), Duration::ZERO);
    for _ in 0..50 {
        let chosen = choose(&candidates, &hints, Duration::from_millis(50), &mut random).unwrap();
        assert_eq!(chosen.name, candidates[1].name);
    }
}

#[test]
fn refusal_round_trips_through_its_body() {
    let refusal =
        Refusal::not_run(Code::Overloaded, "come back").retry_after(Duration::from_millis(1_200));
    assert_eq!(refusal.retry_seconds(), Some(2));
    assert_eq!(Refusal::parse(&refusal.body()), Some(refusal));
    assert_eq!(Refusal::unknown(Code::BrokenAnswer, "x").ran, Ran::Unknown);
}

proptest! {
    #[test]
    fn requests_never_exceed_the_concurrency_limit(full in 1_u32..20, steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0_u64..2_000), 0..200)) {
        let mut limit = ConcurrencyLimit::new(full);
        let mut permits = Vec::new();
        for (admit, answered, delay) in steps {
            if admit {
                let before = limit.limit();
                if let Ok(permit) = limit.acquire() {
                    permits.push(permit);
                    prop_assert!(limit.running() <= before);
                }
            } else if let Some(permit) = permits.pop() {
                limit.record_delay(Duration::from_millis(delay));
                limit.release(permit, answered);
            }
            prop_assert!(limit.limit() <= full && limit.limit() >= 1);
            prop_assert_eq!(limit.running() as usize, permits.len());
        }
    }

    #[test]
    fn parsing_any_refusal_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Refusal::parse(&bytes);
    }
}

/// Entries of the deployment in which cold backend servers were overloaded.
const ENTRIES: u32 = 38;
/// Requests per second that its cold backend servers can take.
const COLD_PER_S: f64 = 17.0;

/// Returns the maximum of requests in one second that `limits` allow between 100 s and 104 s.
fn busiest_second(limits: &mut [ColdRateLimit], entries: impl Fn(Duration) -> u32) -> usize {
    let start = Duration::from_secs(100);
    let mut sent = Vec::new();
    for step in 0..400 {
        let now = start + Duration::from_millis(10) * step;
        let spacing = ColdRateLimit::spacing(COLD_PER_S, entries(now));
        sent.extend(
            limits.iter_mut().filter_map(|limit| limit.acquire(spacing, now).then_some(now)),
        );
    }
    let within = |from: &Duration| {
        sent.iter()
            .filter(|time| **time >= *from && **time < *from + Duration::from_secs(1))
            .count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// A cold backend server tolerates half as much again and five more.
const COLD_PER_S_MAX: f64 = COLD_PER_S * 1.5 + 5.0;

#[test]
fn many_entries_keep_a_cold_backend_server_within_its_limit() {
    // 38 entries learn at the same time of a backend server that takes 17 requests per second.
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Duration::from_secs(100);
        let mut limits = vec![ColdRateLimit::default(); ENTRIES as usize];
        for limit in &mut limits {
            limit.mark_cold(start + Duration::from_secs(4), random.random(), start);
        }
        let max = busiest_second(&mut limits, |_| ENTRIES);
        assert!(max as f64 <= COLD_PER_S_MAX, "seed {seed}: {max} in one second");
    }
}

#[test]
fn entries_that_start_together_keep_a_cold_backend_server_within_its_limit() {
    // All processes were killed; entries learn of cold backend servers half a second before
    // they learn the rate limit and may serve, and of each other one by one.
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Duration::from_secs(100);
        let learned = start - Duration::from_millis(500);
        let mut limits = vec![ColdRateLimit::default(); ENTRIES as usize];
        for limit in &mut limits {
            limit.mark_cold(start + Duration::from_secs(4), random.random(), learned);
            limit.delay_from(start);
        }
        let seen = |now: Duration| {
            let steps = (now - start).as_millis() / 10;
            ENTRIES.min(30 + u32::try_from(steps).unwrap_or(ENTRIES))
        };
        let max = busiest_second(&mut limits, seen);
        assert!(max as f64 <= COLD_PER_S_MAX, "seed {seed}: {max} in one second");
    }
}

// Guards against the turn of a cold backend server that is lost with a caller that leaves before
// its request is sent.
#[test]
fn unused_turn_of_a_cold_backend_goes_to_the_next_request() {
    let mut limit = ColdRateLimit::default();
    let spacing = ColdRateLimit::spacing(COLD_PER_S, 10);
    let now = Duration::from_secs(1);
    limit.mark_cold(now + Duration::from_secs(60), 0.0, now);
    assert!(limit.acquire(spacing, now));
    let left = now + Duration::from_millis(5);
    limit.release(now);
    assert!(limit.acquire(spacing, left), "nothing was sent");
    assert!(!limit.acquire(spacing, left), "but this was");
    // A turn whose interval is over gives back nothing of later ones.
    let next = left + spacing;
    assert!(limit.acquire(spacing, next));
    limit.release(left);
    assert!(!limit.acquire(spacing, next));
}

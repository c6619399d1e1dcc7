//! Gates, choices and refusals.

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
fn cold_gate_widens_with_answers_only() {
    let mut gate = ConcurrencyLimit::new(8);
    for _ in 0..20 {
        let permit = gate.acquire().expect("there is room");
        gate.release(permit, false);
    }
    assert_eq!(gate.limit(), 1, "requests without an answer prove nothing");
    let mut answered = 0;
    while gate.warmth() != Warmup::Warm {
        let permit = gate.acquire().expect("there is room");
        gate.release(permit, true);
        answered += 1;
        assert!(answered < 100);
    }
    assert_eq!(gate.limit(), 8);
}

#[test]
fn slow_first_token_shows_a_cold_engine() {
    let mut gate = ConcurrencyLimit::new(8);
    for _ in 0..10 {
        let permit = gate.acquire().expect("there is room");
        gate.record_delay(Duration::from_millis(80));
        gate.release(permit, true);
    }
    assert_eq!(gate.warmth(), Warmup::Warm);
    gate.record_delay(Duration::from_millis(900));
    assert_eq!(gate.limit(), 1);
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
fn closed_backend_server_is_left_alone_for_a_while() {
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
fn refusal_survives_its_body() {
    let refusal =
        Refusal::not_run(Code::Overloaded, "come back").retry_after(Duration::from_millis(1_200));
    assert_eq!(refusal.retry_seconds(), Some(2));
    assert_eq!(Refusal::parse(&refusal.body()), Some(refusal));
    assert_eq!(Refusal::unknown(Code::BrokenAnswer, "x").ran, Ran::Unknown);
}

proptest! {
    #[test]
    fn gate_never_exceeds_its_bound(limit in 1_u32..20, steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0_u64..2_000), 0..200)) {
        let mut gate = ConcurrencyLimit::new(limit);
        let mut permits = Vec::new();
        for (admit, answered, delay) in steps {
            if admit {
                let before = gate.limit();
                if let Ok(permit) = gate.acquire() {
                    permits.push(permit);
                    prop_assert!(gate.running() <= before);
                }
            } else if let Some(permit) = permits.pop() {
                gate.record_delay(Duration::from_millis(delay));
                gate.release(permit, answered);
            }
            prop_assert!(gate.limit() <= limit && gate.limit() >= 1);
            prop_assert_eq!(gate.running() as usize, permits.len());
        }
    }

    #[test]
    fn refusals_of_any_text_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Refusal::parse(&bytes);
    }
}

/// Entries of the deployment that the patterns of cold backend servers come from.
const ENTRIES: u32 = 38;
/// Requests per second that its cold backend servers bear.
const COLD_PER_S: f64 = 17.0;

/// Returns the most requests in one second that `paces` send between 100 s and 104 s.
fn busiest_second(paces: &mut [ColdRateLimit], entries: impl Fn(Duration) -> u32) -> usize {
    let start = Duration::from_secs(100);
    let mut sent = Vec::new();
    for step in 0..400 {
        let now = start + Duration::from_millis(10) * step;
        let spacing = ColdRateLimit::spacing(COLD_PER_S, entries(now));
        sent.extend(paces.iter_mut().filter_map(|pace| pace.admit(spacing, now).then_some(now)));
    }
    let within = |from: &Duration| {
        sent.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// Half as much again and five more are tolerated by what is cold.
const COLD_MOST: f64 = COLD_PER_S * 1.5 + 5.0;

#[test]
fn many_entries_keep_a_cold_backend_server_within_its_bound() {
    // Pattern: 38 entries learn at once of a backend server that bears 17 requests a second.
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Duration::from_secs(100);
        let mut paces = vec![ColdRateLimit::default(); ENTRIES as usize];
        for pace in &mut paces {
            pace.chill(start + Duration::from_secs(4), random.random(), start);
        }
        let most = busiest_second(&mut paces, |_| ENTRIES);
        assert!(most as f64 <= COLD_MOST, "seed {seed}: {most} in one second");
    }
}

#[test]
fn entries_that_start_together_keep_a_cold_backend_server_within_its_bound() {
    // Pattern: all processes were killed; entries hear of cold backend servers half a second
    // before they learn the bound and may serve, and of one another little by little.
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Duration::from_secs(100);
        let heard = start - Duration::from_millis(500);
        let mut paces = vec![ColdRateLimit::default(); ENTRIES as usize];
        for pace in &mut paces {
            pace.chill(start + Duration::from_secs(4), random.random(), heard);
            pace.wait_from(start);
        }
        let seen = |now: Duration| {
            let since = (now - start).as_millis() / 10;
            ENTRIES.min(30 + u32::try_from(since).unwrap_or(ENTRIES))
        };
        let most = busiest_second(&mut paces, seen);
        assert!(most as f64 <= COLD_MOST, "seed {seed}: {most} in one second");
    }
}

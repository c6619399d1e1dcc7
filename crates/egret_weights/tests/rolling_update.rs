//! Simulates a rolling update of all engines of a service within a few seconds, under load.

use std::time::Duration;

use egret_weights::UpdateSchedule;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const ENGINES: usize = 24;
/// Streams that an engine serves concurrently at most.
const SLOTS: usize = 16;
/// Time to load staged weights and for entries to learn that an engine drains, in ms.
const LOAD_MS: u32 = 360;
/// Requests a second; two thirds of the engines' capacity.
const REQUESTS_PER_S: u32 = 180;
/// Lengths of streams, in ms.
const LENGTHS_MS: std::ops::Range<u32> = 500..2_300;
/// When the agents have the weights and the last engine starts to switch, after the announcement.
const FETCHED: Duration = Duration::from_millis(4_000);
const LAST_START: Duration = Duration::from_millis(6_900);

/// A stream, with its remaining time and the number of its moves.
#[derive(Debug, Clone, Copy)]
struct Stream {
    left_ms: u32,
    moves: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Old,
    Draining,
    Loading(u32),
    New,
}

/// How an engine treats requests in flight when it switches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// All engines drain.
    Finish,
    /// Engines in the first half of the order cancel streams, which resume at any engine.
    MoveAnywhere,
    /// Engines in the first half cancel streams, which resume at engines in the second half.
    Move,
}

#[derive(Debug)]
struct Engine {
    rank: usize,
    state: State,
    start_ms: u32,
    streams: Vec<Stream>,
}

/// The result of a rolling update.
#[derive(Debug, Default)]
struct Outcome {
    /// Total time in which engines accepted no new streams, in ms.
    out_ms: u32,
    /// Streams that were cancelled twice, or found no room to resume.
    lost: u32,
    /// New streams that found no room.
    refused: u32,
    /// All streams.
    total: u32,
}

/// Returns the least loaded engine that accepts another stream.
fn least_loaded(engines: &mut [Engine], accepts: impl Fn(&Engine) -> bool) -> Option<&mut Engine> {
    let open = engines.iter_mut().filter(|engine| accepts(engine) && engine.streams.len() < SLOTS);
    open.min_by_key(|engine| engine.streams.len())
}

/// Cancels the streams of an engine; returns how many are lost.
fn cancel_streams(engines: &mut [Engine], rank: usize, policy: Policy) -> u32 {
    let mut lost = 0;
    for mut stream in std::mem::take(&mut engines[rank].streams) {
        stream.moves += 1;
        let serves = |engine: &Engine| engine.state == State::Old;
        let drains =
            |engine: &Engine| serves(engine) && !UpdateSchedule::moves_streams(engine.rank);
        let preferred = match policy {
            Policy::Move => least_loaded(engines, drains).map(|engine| engine.rank),
            Policy::Finish | Policy::MoveAnywhere => None,
        };
        let any = || least_loaded(engines, serves).map(|engine| engine.rank);
        match preferred.or_else(any).filter(|_| stream.moves < 2) {
            Some(other) => engines[other].streams.push(stream),
            None => lost += 1,
        }
    }
    lost
}

/// Simulates the update in steps of a millisecond.
fn simulate(seed: u64, policy: Policy) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let plan = UpdateSchedule { last_start: LAST_START };
    let start = |rank| u32::try_from(plan.start(rank, FETCHED).as_millis()).unwrap_or(u32::MAX);
    let mut engines: Vec<_> = (0..ENGINES)
        .map(|rank| Engine { rank, state: State::Old, start_ms: start(rank), streams: Vec::new() })
        .collect();
    let mut outcome = Outcome::default();
    for now in 0..12_000_u32 {
        if random.random_range(0..1_000) < REQUESTS_PER_S {
            outcome.total += 1;
            let stream = Stream { left_ms: random.random_range(LENGTHS_MS), moves: 0 };
            let serves = |engine: &Engine| matches!(engine.state, State::Old | State::New);
            match least_loaded(&mut engines, serves) {
                Some(engine) => engine.streams.push(stream),
                None => outcome.refused += 1,
            }
        }
        for rank in 0..ENGINES {
            let engine = &mut engines[rank];
            engine.streams.iter_mut().for_each(|stream| stream.left_ms -= 1);
            engine.streams.retain(|stream| stream.left_ms > 0);
            match engine.state {
                State::Old if now >= engine.start_ms => {
                    engine.state = State::Draining;
                    if policy != Policy::Finish && UpdateSchedule::moves_streams(rank) {
                        outcome.lost += cancel_streams(&mut engines, rank, policy);
                    }
                }
                State::Draining if engine.streams.is_empty() => {
                    engine.state = State::Loading(now + LOAD_MS);
                }
                State::Loading(until) if now >= until => engine.state = State::New,
                State::Old | State::Draining | State::Loading(_) | State::New => {}
            }
            let out = matches!(engines[rank].state, State::Draining | State::Loading(_));
            outcome.out_ms += u32::from(out);
        }
    }
    outcome
}

#[test]
fn cancelling_streams_shortens_the_update_and_none_moves_twice() {
    for seed in 0..50 {
        let finish = simulate(seed, Policy::Finish);
        let anywhere = simulate(seed, Policy::MoveAnywhere);
        let outcome = simulate(seed, Policy::Move);
        assert!(outcome.out_ms < finish.out_ms, "seed {seed}: {outcome:?} {finish:?}");
        assert!(outcome.refused <= finish.refused, "seed {seed}: {outcome:?} {finish:?}");
        assert!(anywhere.lost > 0, "seed {seed}: a stream that moves anywhere may move twice");
        assert_eq!(outcome.lost, 0, "seed {seed}: {outcome:?}");
    }
}

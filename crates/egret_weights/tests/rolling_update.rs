//! All engines of a service change their weights within a few seconds, under load.

use std::time::Duration;

use egret_weights::UpdateSchedule;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const ENGINES: usize = 24;
const SLOTS: usize = 16;
/// Time to load weights that are there, and for entries to hear that an engine leaves, in ms.
const LOAD_MS: u32 = 360;
/// Requests a second; two thirds of what the engines bear.
const PER_S: u32 = 180;
/// Lengths of streams, in ms.
const LENGTHS_MS: std::ops::Range<u32> = 500..2_300;
/// When the agents have the weights, and the last engine begins to change, after the naming.
const FETCHED: Duration = Duration::from_millis(4_000);
const LAST: Duration = Duration::from_millis(6_900);

/// A stream, with the time that it still needs and how often it was moved.
#[derive(Debug, Clone, Copy)]
struct Stream {
    left_ms: u32,
    moves: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Old,
    Leaving,
    Loading(u32),
    New,
}

/// What becomes of the requests of an engine whose turn has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// All end first.
    Finish,
    /// Those of the first half of the order go on anywhere.
    MoveAnywhere,
    /// Those of the first half go on at engines of the second.
    Move,
}

#[derive(Debug)]
struct Engine {
    rank: usize,
    state: State,
    turn_ms: u32,
    streams: Vec<Stream>,
}

/// What came of a change of weights.
#[derive(Debug, Default)]
struct Outcome {
    /// Engine seconds in which an engine took nothing new.
    out_ms: u32,
    /// Streams that were stopped a second time, or found no room to go on.
    lost: u32,
    /// Streams that found no room at all.
    refused: u32,
    /// All streams.
    all: u32,
}

/// Returns the engine with the least streams among those that may take one more.
fn least_loaded(engines: &mut [Engine], takes: impl Fn(&Engine) -> bool) -> Option<&mut Engine> {
    let open = engines.iter_mut().filter(|one| takes(one) && one.streams.len() < SLOTS);
    open.min_by_key(|one| one.streams.len())
}

/// Stops the streams of an engine; returns how many are lost.
fn stop(engines: &mut [Engine], at: usize, policy: Policy) -> u32 {
    let mut lost = 0;
    for mut stream in std::mem::take(&mut engines[at].streams) {
        stream.moves += 1;
        let serves = |one: &Engine| one.state == State::Old;
        let stays = |one: &Engine| serves(one) && !UpdateSchedule::moves_streams(one.rank);
        let staying = match policy {
            Policy::Move => least_loaded(engines, stays).map(|one| one.rank),
            Policy::Finish | Policy::MoveAnywhere => None,
        };
        let any = || least_loaded(engines, serves).map(|one| one.rank);
        match staying.or_else(any).filter(|_| stream.moves < 2) {
            Some(other) => engines[other].streams.push(stream),
            None => lost += 1,
        }
    }
    lost
}

/// Plays the change in steps of a millisecond.
fn play(seed: u64, policy: Policy) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let plan = UpdateSchedule { last_start: LAST };
    let turn = |rank| u32::try_from(plan.start(rank, FETCHED).as_millis()).unwrap_or(u32::MAX);
    let mut engines: Vec<_> = (0..ENGINES)
        .map(|rank| Engine { rank, state: State::Old, turn_ms: turn(rank), streams: Vec::new() })
        .collect();
    let mut outcome = Outcome::default();
    for now in 0..12_000_u32 {
        if random.random_range(0..1_000) < PER_S {
            outcome.all += 1;
            let stream = Stream { left_ms: random.random_range(LENGTHS_MS), moves: 0 };
            let serves = |one: &Engine| matches!(one.state, State::Old | State::New);
            match least_loaded(&mut engines, serves) {
                Some(engine) => engine.streams.push(stream),
                None => outcome.refused += 1,
            }
        }
        for at in 0..ENGINES {
            let engine = &mut engines[at];
            engine.streams.iter_mut().for_each(|one| one.left_ms -= 1);
            engine.streams.retain(|one| one.left_ms > 0);
            match engine.state {
                State::Old if now >= engine.turn_ms => {
                    engine.state = State::Leaving;
                    if policy != Policy::Finish && UpdateSchedule::moves_streams(at) {
                        outcome.lost += stop(&mut engines, at, policy);
                    }
                }
                State::Leaving if engine.streams.is_empty() => {
                    engine.state = State::Loading(now + LOAD_MS);
                }
                State::Loading(until) if now >= until => engine.state = State::New,
                State::Old | State::Leaving | State::Loading(_) | State::New => {}
            }
            let out = matches!(engines[at].state, State::Leaving | State::Loading(_));
            outcome.out_ms += u32::from(out);
        }
    }
    outcome
}

#[test]
fn engines_that_stop_are_out_for_less_and_no_stream_moves_twice() {
    for seed in 0..50 {
        let finish = play(seed, Policy::Finish);
        let anywhere = play(seed, Policy::MoveAnywhere);
        let outcome = play(seed, Policy::Move);
        assert!(outcome.out_ms < finish.out_ms, "seed {seed}: {outcome:?} {finish:?}");
        assert!(outcome.refused <= finish.refused, "seed {seed}: {outcome:?} {finish:?}");
        assert!(anywhere.lost > 0, "seed {seed}: a stream that moves anywhere may move twice");
        assert_eq!(outcome.lost, 0, "seed {seed}: {outcome:?}");
    }
}

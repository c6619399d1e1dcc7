//! Departures and proven weights, which are replicated.

use std::collections::BTreeMap;

use egret_control::State;
use egret_fleet::{EngineStatus, LoadedModel, ProvenWeights, StatusKey, StatusStamp, StatusUpdate};
use egret_record::WeightVersion;
use egret_rpc::{Command, UnixMillis, decode, encode};

fn departure(id: &str, incarnation: u64) -> StatusUpdate {
    StatusUpdate::Gone(StatusKey::Backend(id.to_owned()), StatusStamp::end(incarnation))
}

fn record(state: &mut State, update: StatusUpdate, millis: u64) {
    state.apply(Command::RecordStatus { update, recorded_at: UnixMillis(millis) });
}

fn recorded(state: &State) -> Vec<StatusUpdate> {
    state.recorded_status().cloned().collect()
}

// Guards against a departure that is lost with the log entries that a snapshot replaces.
#[test]
fn departures_outlive_a_snapshot() {
    let mut state = State::default();
    record(&mut state, departure("i-1", 5), 1);
    let restored = State::restore(&state.snapshot()).expect("a valid snapshot");
    assert_eq!(recorded(&restored), [departure("i-1", 5)]);
    assert_eq!(restored.snapshot(), state.snapshot());
}

#[test]
fn snapshot_of_an_earlier_program_is_read() {
    /// The mark of snapshots with blocked parts of prompts, before departures were recorded.
    const WITH_PARTS: u8 = 0xff;
    let state = State::default();
    let mut old = encode(&state);
    old.insert(0, WITH_PARTS);
    let restored = State::restore(&old).expect("an old snapshot");
    assert_eq!(restored.view(), state.view());
    assert!(recorded(&restored).is_empty());
}

#[test]
fn later_incarnation_replaces_an_earlier_one() {
    let mut state = State::default();
    record(&mut state, departure("i-1", 5), 1);
    record(&mut state, departure("i-1", 4), 2);
    assert_eq!(recorded(&state), [departure("i-1", 5)]);
    record(&mut state, departure("i-1", 6), 3);
    assert_eq!(recorded(&state), [departure("i-1", 6)]);
}

// Guards against a control state that grows with each backend server that ever departed.
#[test]
fn departures_are_forgotten_after_a_while() {
    const HOUR: u64 = 3_600_000;
    let mut state = State::default();
    record(&mut state, departure("i-1", 5), 1);
    record(&mut state, departure("i-2", 5), HOUR);
    assert_eq!(recorded(&state), [departure("i-2", 5)]);
    for number in 0..20_000 {
        record(&mut state, departure(&format!("j-{number}"), 5), HOUR + 1);
    }
    assert!(recorded(&state).len() < 20_000, "the number of departures is bounded");
}

#[test]
fn command_keeps_its_encoding() {
    let command = Command::RecordStatus { update: departure("i-1", 5), recorded_at: UnixMillis(7) };
    assert_eq!(decode::<Command>(&encode(&command)), Ok(command));
}

fn weights(engine: u16, orders: u64, versions: &[u64]) -> StatusUpdate {
    let loaded = |version| LoadedModel {
        model: "m".to_owned(),
        version: WeightVersion(version),
        complete: true,
    };
    let models = versions.iter().copied().map(loaded).collect();
    let proven = EngineStatus { incarnation: 5, orders: Some(orders), models };
    StatusUpdate::Weights(ProvenWeights { engine: ([10, 0, 0, 1], engine).into(), proven })
}

// Guards against proven weights that are forgotten when all processes restart.
#[test]
fn proven_weights_outlive_a_snapshot() {
    let mut state = State::default();
    record(&mut state, departure("i-1", 5), 1);
    record(&mut state, weights(1, 2, &[1]), 1);
    let restored = State::restore(&state.snapshot()).expect("a valid snapshot");
    assert_eq!(recorded(&restored), [departure("i-1", 5), weights(1, 2, &[1])]);
    assert_eq!(restored.snapshot(), state.snapshot());
}

#[test]
fn snapshot_with_departures_only_is_read() {
    /// The mark of snapshots with departures, before proven weights were recorded.
    const WITH_DEPARTURES: u8 = 0xfe;
    let state = State::default();
    let departures = BTreeMap::from([("i-1".to_owned(), (UnixMillis(1), departure("i-1", 5)))]);
    let mut old = encode(&(&state, departures));
    old.insert(0, WITH_DEPARTURES);
    let restored = State::restore(&old).expect("an old snapshot");
    assert_eq!(recorded(&restored), [departure("i-1", 5)]);
}

// Guards against a proof that a former agent sent and that arrives after its successor withdrew it.
#[test]
fn late_proof_does_not_undo_its_withdrawal() {
    let mut state = State::default();
    record(&mut state, weights(1, 2, &[1]), 1);
    record(&mut state, weights(1, 2, &[]), 2);
    record(&mut state, weights(1, 2, &[1]), 3);
    assert_eq!(recorded(&state), [weights(1, 2, &[])]);
    record(&mut state, weights(1, 4, &[1]), 4);
    assert_eq!(recorded(&state), [weights(1, 4, &[1])], "taken anew by later orders");
}

// Guards against a control state that grows with each engine that ever was, and against proofs that
// are forgotten after a time although their engines still serve.
#[test]
fn proven_weights_are_bounded_in_number_not_in_time() {
    const HOUR: u64 = 3_600_000;
    let mut state = State::default();
    record(&mut state, weights(1, 2, &[1]), 1);
    record(&mut state, weights(2, 2, &[1]), HOUR);
    assert_eq!(recorded(&state).len(), 2);
    for engine in 3..20_000 {
        record(&mut state, weights(engine, 2, &[1]), HOUR + 1);
    }
    let kept = recorded(&state);
    assert!(kept.len() < 20_000, "the number of proofs is bounded");
    assert!(!kept.contains(&weights(1, 2, &[1])), "the oldest goes first");
}

// Guards against memory that grows with the size of the reports.
#[test]
fn large_updates_are_bounded_in_bytes() {
    let mut state = State::default();
    for engine in 0..2_000 {
        let StatusUpdate::Weights(mut weights) = weights(engine, 2, &[1; 64]) else {
            unreachable!("the helper returns weights")
        };
        weights.proven.models.iter_mut().for_each(|loaded| loaded.model = "m".repeat(200));
        record(&mut state, StatusUpdate::Weights(weights), 1 + u64::from(engine));
    }
    let bytes = state.snapshot().len();
    assert!(bytes < 16 * 1024 * 1024, "{bytes} bytes");
    assert!(recorded(&state).len() > 100, "the latest are kept");
}

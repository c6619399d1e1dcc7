//! Departures that are replicated before they are acknowledged.

use egret_control::State;
use egret_fleet::{StatusKey, StatusStamp, StatusUpdate};
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

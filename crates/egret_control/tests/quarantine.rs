//! Blocked parts of prompts in the replicated state.

use egret_control::State;
use egret_record::{DataCentre, OperationId, PartId, View, WeightVersion};
use egret_rpc::{Command, Operation, Reply, encode};

const PART: PartId = PartId(0xbad);

fn block(state: &mut State, part: PartId) {
    state.apply(Command::BlockPart { part, doubtful: false });
}

/// Returns whether the claim of a trial was accepted.
fn claim(state: &mut State) -> bool {
    matches!(state.apply(Command::ClaimTrial(PART)), Reply::Accepted { .. })
}

// Guards against several entries that try the same blocked part at once.
#[test]
fn each_trial_of_a_blocked_part_is_claimed_once() {
    let mut state = State::default();
    assert!(!claim(&mut state), "nothing is blocked");
    block(&mut state, PART);
    assert!(!claim(&mut state), "no trial is open");
    for trials in 0..3 {
        state.apply(Command::OpenTrial { part: PART, trials });
        assert!(claim(&mut state));
        assert!(!claim(&mut state), "the second entry is refused");
        state.apply(Command::OpenTrial { part: PART, trials });
        assert!(!claim(&mut state), "the same trial is not opened again by a late command");
        assert_eq!(state.view().blocked[&PART].trials, trials + 1);
    }
}

#[test]
fn blocks_outlive_a_restart_and_reach_followers() {
    let mut state = State::default();
    let mut follower = View::default();
    block(&mut state, PART);
    block(&mut state, PartId(2));
    follower.apply(state.delta(follower.revision)).expect("a delta that follows");
    state.apply(Command::OpenTrial { part: PART, trials: 0 });
    state.apply(Command::ReleasePart(PartId(2)));
    let restored = State::restore(&state.snapshot()).expect("a valid snapshot");
    assert_eq!(restored.view(), state.view());
    follower.apply(restored.delta(follower.revision)).expect("a delta that follows");
    assert_eq!(follower.blocked, state.view().blocked);
    assert!(follower.blocked[&PART].trial_open);
    assert_eq!(follower.blocked.len(), 1);
}

#[test]
fn blocking_again_keeps_the_trials() {
    let mut state = State::default();
    block(&mut state, PART);
    state.apply(Command::OpenTrial { part: PART, trials: 0 });
    assert!(claim(&mut state));
    block(&mut state, PART);
    assert_eq!(state.view().blocked[&PART].trials, 1);
}

// Guards against memory that grows with the parts that callers make up.
#[test]
fn oldest_block_gives_way_to_new_ones() {
    let mut state = State::default();
    for part in 0..5_000 {
        block(&mut state, PartId(part));
    }
    let blocked = &state.view().blocked;
    assert_eq!(blocked.len(), 1_024);
    assert!(blocked.contains_key(&PartId(4_999)) && !blocked.contains_key(&PartId(0)));
}

// Guards against a control instance that forgets everything when its program is upgraded.
#[test]
fn snapshot_of_a_program_without_blocks_is_read() {
    let mut state = State::default();
    state.apply(Command::NameWeights { model: "drafts".to_owned(), version: WeightVersion(3) });
    state.apply(Command::Amend {
        id: OperationId::new("first").expect("a valid id"),
        expected: None,
        operation: Operation::SetDataCentre {
            name: DataCentre::new("xela").expect("a valid name"),
            out: true,
        },
    });
    // Such a snapshot has no marker, and no blocked parts at the end of the view.
    let (view, snapshot) = (encode(state.view()), state.snapshot());
    let rest = snapshot[1..].strip_prefix(view.as_slice()).expect("the view comes first");
    let old = [&view[..view.len() - 1], rest].concat();
    let mut restored = State::restore(&old).expect("an old snapshot");
    assert_eq!(restored.view(), state.view());
    block(&mut restored, PART);
    let restored = State::restore(&restored.snapshot()).expect("a new snapshot");
    assert!(restored.view().blocked.contains_key(&PART));
}

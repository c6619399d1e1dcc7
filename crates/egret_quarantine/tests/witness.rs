//! What an entry reports of answers and crashes.

use std::time::Duration;

use egret_quarantine::Witness;
use egret_record::PartId;

const START: Duration = Duration::from_secs(100);
const BAD: PartId = PartId(0xbad);
const SOUND: PartId = PartId(0x5);

fn millis(time: u64) -> Duration {
    START + Duration::from_millis(time)
}

/// Returns the parts that an entry reports as answered.
fn answered(witness: &mut Witness, now: Duration) -> Vec<PartId> {
    let answers = witness.report(now).map(|report| report.answers).unwrap_or_default();
    answers.iter().map(|answer| answer.part).collect()
}

// Guards against a crash that passes as the end of an answer without length or chunks.
#[test]
fn answer_that_ends_with_its_connection_is_no_answer_if_its_server_ended() {
    let mut witness = Witness::default();
    witness.watch(&[BAD, SOUND], 1);
    witness.record_close("i-1", 1, &[BAD], millis(0));
    witness.record_break("i-1", 1, &[SOUND], millis(3));
    assert!(witness.record_end("i-1", 1, millis(40)));
    let report = witness.report(millis(400)).expect("a crash");
    let mut parts = report.crashes[0].parts.clone();
    parts.sort_unstable();
    assert_eq!(parts, [SOUND, BAD], "both may have crashed it");
    assert_eq!(report.answers, []);
    witness.apply(1, millis(410));
    assert_eq!(answered(&mut witness, millis(2_000)), []);
}

#[test]
fn answer_that_ends_with_its_connection_counts_if_its_server_lives_on() {
    let mut witness = Witness::default();
    witness.watch(&[SOUND], 1);
    witness.record_close("i-1", 1, &[SOUND], millis(0));
    assert_eq!(witness.next_report(), Some(millis(300)), "then it is known");
    assert_eq!(answered(&mut witness, millis(200)), []);
    assert_eq!(answered(&mut witness, millis(300)), [SOUND]);
    witness.apply(1, millis(310));
    // Breaks of another incarnation, or much later, say nothing about it.
    witness.record_close("i-1", 2, &[SOUND], millis(1_000));
    witness.record_break("i-1", 1, &[BAD], millis(1_010));
    witness.record_break("i-1", 2, &[BAD], millis(1_400));
    assert_eq!(answered(&mut witness, millis(1_500)), [SOUND]);
}

// Guards against blaming what broke off while its server runs on.
#[test]
fn breaks_of_a_running_server_are_not_reported() {
    let mut witness = Witness::default();
    assert!(witness.record_break("i-1", 1, &[BAD], millis(0)));
    witness.record_running("i-1", 1);
    assert!(!witness.record_end("i-1", 1, millis(5_000)), "it ended for another reason later");
    assert_eq!(witness.report(millis(6_000)), None);
}

// Guards against memory and reports that grow with the parts that callers make up.
#[test]
fn made_up_parts_do_not_crowd_out_suspected_ones() {
    let mut witness = Witness::default();
    witness.watch(&[BAD], 1);
    for request in 0..100 {
        let parts: Vec<_> = (0..256).map(|part| PartId(0x1_0000 + request * 256 + part)).collect();
        witness.record_break("i-1", 1, &parts, millis(0));
        witness.record_answer(&parts, millis(0));
    }
    witness.record_break("i-1", 1, &[BAD], millis(1));
    assert!(witness.record_end("i-1", 1, millis(10)));
    let report = witness.report(millis(400)).expect("a crash");
    let parts = &report.crashes[0].parts;
    assert!(parts.len() <= 1_025 && parts.contains(&BAD), "{} parts", parts.len());
}

#[test]
fn new_leader_is_told_all_crashes_again() {
    let mut witness = Witness::default();
    witness.record_break("i-1", 1, &[BAD], millis(0));
    witness.record_end("i-1", 1, millis(10));
    assert_eq!(witness.report(millis(200)).expect("a crash").crashes.len(), 1);
    witness.apply(1, millis(210));
    assert_eq!(witness.report(millis(1_000)), None, "the leader knows");
    witness.watch(&[], 2);
    let report = witness.report(millis(1_100)).expect("the crash again");
    assert_eq!(report.crashes[0].age, Duration::from_millis(1_100));
    witness.apply(2, millis(1_110));
    witness.forget(BAD);
    witness.watch(&[], 3);
    assert_eq!(witness.report(millis(2_000)), None, "not of a part that was released");
}

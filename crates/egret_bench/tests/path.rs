//! An end-to-end run of the demo, with all programs as separate processes.

use egret_bench::demo;

#[test]
fn every_request_gets_its_own_complete_answer_or_a_correct_refusal() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let passed = runtime.block_on(demo::run(11)).unwrap();
    assert!(passed, "see the report above");
}

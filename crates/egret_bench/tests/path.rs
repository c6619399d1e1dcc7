//! The whole path as separate processes.

use egret_bench::demo;

#[test]
fn every_request_gets_its_own_whole_answer_or_a_true_refusal() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let well = runtime.block_on(demo::run(11)).unwrap();
    assert!(well, "the table above names what went wrong");
}

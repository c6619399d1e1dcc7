//! Operators and holders against real control processes under failure.
//!
//! Each run follows a schedule of faults from its seed. The verdict is that of
//! the history's checks, never of a time that something took.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use egret_bench::control::{DisabledGuards, Findings, Options, run};

/// Runs at once, each with five control processes.
const PARALLEL: usize = 6;

fn play(options: Options) -> Findings {
    let runtime = tokio::runtime::Runtime::new().expect("the step succeeds");
    runtime.block_on(run(options)).unwrap_or_else(|error| panic!("seed {}: {error}", options.seed))
}

fn seeds() -> u64 {
    std::env::var("EGRET_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(50)
}

#[test]
fn control_state_keeps_its_word() {
    let next = Arc::new(AtomicU64::new(0));
    let workers: Vec<_> = (0..PARALLEL)
        .map(|_| {
            let next = next.clone();
            thread::spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds() {
                        return;
                    }
                    let found = play(Options::small(seed, DisabledGuards::default()));
                    let violations = found.history.violations();
                    println!(
                        "seed={seed} amendments={} beliefs={} faults={:?}",
                        found.history.amendments.len(),
                        found.history.leased_views.len(),
                        found.faults
                    );
                    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
                    assert!(!found.history.amendments.is_empty(), "seed {seed}: nothing happened");
                }
            })
        })
        .collect();
    for worker in workers {
        worker.join().unwrap();
    }
}

fn violations_without(guards: DisabledGuards) -> Vec<String> {
    (0..5)
        .map(|seed| play(Options::small(seed, guards)).history.violations())
        .find(|violations| !violations.is_empty())
        .unwrap_or_default()
}

#[test]
fn guard_off_amendments_expect_no_revision() {
    let found =
        violations_without(DisabledGuards { blind_writes: true, ..DisabledGuards::default() });
    assert!(found.iter().any(|one| one.contains("followed revision")), "{found:?}");
}

#[test]
fn guard_off_resends_carry_new_operation_ids() {
    let found = violations_without(DisabledGuards { new_ids: true, ..DisabledGuards::default() });
    assert!(!found.is_empty(), "an accepted amendment without a known outcome must show");
}

#[test]
fn guard_off_accepted_is_taken_for_in_force() {
    let found = violations_without(DisabledGuards { skip_wait: true, ..DisabledGuards::default() });
    assert!(found.iter().any(|one| one.contains("older than what was in force")), "{found:?}");
}

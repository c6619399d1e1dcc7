//! Consistency of real control instances under faults, with operators and lease holders.
//!
//! The seed of a run determines its schedule of faults. The
//! verdict comes from the checks of the history, never from a duration.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use egret_bench::control::{DisabledGuards, Findings, Options, run};

/// Number of concurrent runs, each with five control instances.
const PARALLEL: usize = 6;

fn run_to_end(options: Options) -> Findings {
    let runtime = tokio::runtime::Runtime::new().expect("the step succeeds");
    runtime.block_on(run(options)).unwrap_or_else(|error| panic!("seed {}: {error}", options.seed))
}

fn seeds() -> u64 {
    std::env::var("EGRET_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(50)
}

#[test]
fn history_is_consistent_under_faults() {
    let next_seed = Arc::new(AtomicU64::new(0));
    let workers: Vec<_> = (0..PARALLEL)
        .map(|_| {
            let next_seed = next_seed.clone();
            thread::spawn(move || {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds() {
                        return;
                    }
                    let found = run_to_end(Options::small(seed, DisabledGuards::default()));
                    let violations = found.history.violations();
                    println!(
                        "seed={seed} amendments={} beliefs={} faults={:?}",
                        found.history.amendments.len(),
                        found.history.leased_views.len(),
                        found.faults
                    );
                    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
                    assert!(
                        !found.history.amendments.is_empty(),
                        "seed {seed}: no amendment was accepted or rejected"
                    );
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
        .map(|seed| run_to_end(Options::small(seed, guards)).history.violations())
        .find(|violations| !violations.is_empty())
        .unwrap_or_default()
}

#[test]
fn guard_off_amendments_expect_no_revision() {
    let found =
        violations_without(DisabledGuards { blind_writes: true, ..DisabledGuards::default() });
    assert!(found.iter().any(|violation| violation.contains("followed revision")), "{found:?}");
}

#[test]
fn guard_off_resends_carry_new_operation_ids() {
    let found = violations_without(DisabledGuards { new_ids: true, ..DisabledGuards::default() });
    assert!(
        !found.is_empty(),
        "the checks must detect an accepted amendment whose outcome is not known"
    );
}

#[test]
fn guard_off_accepted_counts_as_in_force() {
    let found = violations_without(DisabledGuards { skip_wait: true, ..DisabledGuards::default() });
    assert!(
        found.iter().any(|violation| violation.contains("older than what was in force")),
        "{found:?}"
    );
}

//! Guards against an instance that cannot start on a disk that an earlier program left.
//!
//! One test alone, since it measures the memory of the process.

mod common;

use std::collections::BTreeMap;

use common::{put, route};
use egret_control::State;
use egret_record::{
    CallerLimits, Catalog, CatalogVersion, OrganisationSpec, Revision, Route, ServiceSpec, View,
};
use egret_rpc::{Compressed, encode};
use serde::Serialize;

/// Changes in the snapshot, as many as filled the memory of earlier programs.
const CHANGES: u64 = 500;
/// Limit of the memory for restoring it, in bytes: a quarter of a core machine's.
const RESTORE_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Returns a catalog with 700 routes, all of which differ from those of other versions.
fn catalog(version: u64) -> Catalog {
    let service =
        ServiceSpec { name: "s-0".to_owned(), cold_per_s: 0.0, engine: None, origin: None };
    Catalog::new(
        CatalogVersion(version),
        (0..700).map(|number| route(&format!("r-{number}"), version)).collect(),
        vec![service],
        Vec::new(),
        CallerLimits::default(),
    )
    .expect("a valid catalog")
}

/// A patch of the catalog as earlier programs encoded it.
#[derive(Serialize)]
struct EarlierPatch {
    version: CatalogVersion,
    routes: Vec<Route>,
    removed: Vec<String>,
    services: Option<BTreeMap<String, ServiceSpec>>,
    organisations: Option<BTreeMap<String, OrganisationSpec>>,
    limits: CallerLimits,
}

/// Returns a snapshot as earlier programs wrote it, which kept `changes` versions of all routes.
fn earlier_snapshot(changes: u64) -> (Catalog, Vec<u8>) {
    /// The mark of these snapshots.
    const WITH_STATUS: u8 = 0xfd;
    /// The number of a change of the catalog among the kinds of changes.
    const CATALOG: u8 = 7;
    let latest = catalog(changes);
    let mut state = State::default();
    put(&mut state, &latest);
    let patch = |version| {
        let catalog = catalog(version);
        let patch = EarlierPatch {
            version: catalog.version,
            routes: catalog.routes.values().map(|route| (**route).clone()).collect(),
            removed: vec!["r-gone".to_owned()],
            services: Some([("s-0".to_owned(), (*catalog.services["s-0"]).clone())].into()),
            organisations: None,
            limits: catalog.limits,
        };
        encode(&(Revision(version), (CATALOG, patch)))
    };
    let source = Compressed::new(&encode(&latest));
    // Sessions, claims, outcomes, winners and history are empty, and so is the recorded status.
    let (before, after) = ([0_u8; 9], [0_u8; 5]);
    let mut bytes = encode(&(state.view(), before, source, changes));
    // Each change is encoded alone, without the mark of the encoding, to need little memory here.
    (1..=changes).for_each(|version| bytes.extend(&patch(version)[1..]));
    bytes.extend(after);
    bytes.insert(0, WITH_STATUS);
    (latest, bytes)
}

/// Returns the peak memory of this process since it was last reset, in bytes.
fn peak_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    peak.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1_024
}

fn reset_peak() {
    std::fs::write("/proc/self/clear_refs", "5").expect("the peak can be reset");
}

#[test]
fn snapshot_of_an_earlier_program_is_read_in_little_memory() {
    let (latest, bytes) = earlier_snapshot(CHANGES);
    reset_peak();
    let before = peak_memory();
    let mut state = State::restore(&bytes).expect("an earlier snapshot");
    let needed = peak_memory() - before;
    assert!(needed < RESTORE_BYTES_MAX, "{needed} bytes for a snapshot of {}", bytes.len());
    assert_eq!(state.view().catalog.as_deref(), Some(&latest));
    assert_eq!(state.catalog_source(), Ok(Some(encode(&latest))));
    let small = state.snapshot();
    assert!(small.len() < bytes.len() / 100, "{} of {} bytes", small.len(), bytes.len());
    // Followers of later revisions are sent what changed, the others the view.
    for (version, mut view) in (CHANGES + 1..).zip([state.view().clone(), View::default()]) {
        put(&mut state, &catalog(version));
        view.apply(state.delta(view.revision)).expect("a delta that follows");
        assert_eq!(&view, state.view());
    }
}

//! Guards against memory, snapshots and updates to followers that grow with the number and size of
//! the changes that the state has seen.

use std::{collections::BTreeMap, time::Duration};

use egret_control::State;
use egret_record::{
    CallerLimits, Catalog, CatalogVersion, OrganisationSpec, Revision, Route, RouteKind,
    RouteTarget, ServiceSpec, View,
};
use egret_rpc::{Command, Compressed, Reply, encode};
use serde::Serialize;

/// Limit of a snapshot beyond the view, in bytes; less than a hundredth of a core machine's memory.
const OVERHEAD_MAX: usize = 2 * 1024 * 1024;

#[derive(Debug, Clone, Copy)]
enum Form {
    /// Each change sets another timeout on all routes.
    AllRoutes(u64),
    /// All routes leave and others come.
    OtherRoutes(u64),
    /// Each change gives one organisation of many another key.
    OneKey(u64),
    /// Each change sets another rate on one service of many.
    OneService(u64),
    /// Each change adds one route with a name of 64 KiB and removes the former one.
    LongNames,
}

const FORMS: [Form; 6] = [
    Form::AllRoutes(700),
    Form::AllRoutes(1_400),
    Form::OtherRoutes(700),
    Form::OneKey(1_000),
    Form::OneService(500),
    Form::LongNames,
];

fn route(name: &str, timeout: u64) -> Route {
    Route {
        name: name.to_owned(),
        host: format!("{name}.example"),
        prefix: format!("/{name}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(150),
        gap_objective: Duration::ZERO,
        rank: 2,
        targets: vec![RouteTarget { service: "s-0".to_owned(), weight: 1 }],
        attempts: 2,
        public: false,
        regions: Vec::new(),
    }
}

impl Form {
    fn catalog(self, version: u64) -> Catalog {
        let (mut routes, mut services, mut organisations) = (Vec::new(), 1, 1);
        match self {
            Self::AllRoutes(count) => {
                routes.extend((0..count).map(|number| route(&format!("r-{number}"), version)));
            }
            Self::OtherRoutes(count) => {
                let name = |number| format!("r-{version}-{number}");
                routes.extend((0..count).map(|number| route(&name(number), 1_000)));
            }
            Self::OneKey(count) => organisations = count,
            Self::OneService(count) => services = count,
            Self::LongNames => {
                routes.push(route(&format!("r-{version}-{}", "x".repeat(64 * 1024)), 1_000));
            }
        }
        let service = |number: u64| ServiceSpec {
            name: format!("s-{number}"),
            cold_per_s: if number == version % services { 1.0 / version as f64 } else { 2.0 },
            engine: None,
            origin: None,
        };
        let organisation = |number: u64| {
            let changed = if number == version % organisations { version } else { 0 };
            OrganisationSpec {
                name: format!("o-{number}"),
                keys: vec![format!("key-{number}-{changed}"), format!("second-{number}")],
                rank: None,
                regions: Vec::new(),
            }
        };
        Catalog::new(
            CatalogVersion(version),
            routes,
            (0..services).map(service).collect(),
            (0..organisations).map(organisation).collect(),
            CallerLimits::default(),
        )
        .expect("a valid catalog")
    }
}

fn put(state: &mut State, catalog: &Catalog) {
    let bytes = encode(catalog);
    let reply = state.apply(Command::PutCatalog {
        version: catalog.version,
        catalog: Compressed::new(&bytes),
        source: Compressed::new(&bytes),
    });
    assert!(matches!(reply, Reply::Accepted { .. }), "{reply:?}");
}

#[test]
fn snapshots_stay_as_large_as_the_view() {
    for form in FORMS {
        let mut state = State::default();
        let mut early = 0;
        for version in 1..=600 {
            put(&mut state, &form.catalog(version));
            if version % 100 != 0 {
                continue;
            }
            let (snapshot, view) = (state.snapshot().len(), encode(state.view()).len());
            let limit = view + OVERHEAD_MAX;
            assert!(snapshot < limit, "{form:?}: {snapshot} bytes after {version} changes");
            if version == 100 {
                early = snapshot;
            }
            // Numbers in names and times take up to one more digit.
            assert!(snapshot < early + early / 8, "{form:?}: {early} bytes, then {snapshot}");
        }
    }
}

#[test]
fn followers_that_are_a_little_behind_receive_what_changed() {
    for form in FORMS {
        let mut state = State::default();
        let mut followers: Vec<(u64, View)> =
            [1, 2, 7, 20].map(|lag| (lag, View::default())).into();
        for version in 1..=60 {
            put(&mut state, &form.catalog(version));
            if version == 40 {
                state = State::restore(&state.snapshot()).expect("a valid snapshot");
            }
            for (lag, view) in &mut followers {
                if version % *lag != 0 {
                    continue;
                }
                let delta = state.delta(view.revision);
                let (bytes, whole) = (encode(&delta).len(), encode(state.view()).len());
                let removed = OVERHEAD_MAX.min(whole * usize::try_from(*lag).unwrap_or(1));
                assert!(bytes < whole + removed, "{form:?}: {bytes} bytes, {whole} in all");
                let is_small = matches!(form, Form::OneKey(_) | Form::OneService(_));
                if is_small && view.revision > Revision(0) {
                    assert!(bytes < whole / 5, "{form:?}: {bytes} bytes, {whole} in all");
                }
                view.apply(delta).expect("a delta that follows");
                assert_eq!(&*view, state.view(), "{form:?}, {lag} behind");
            }
        }
    }
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
    let form = Form::AllRoutes(700);
    let catalog = form.catalog(changes);
    let mut state = State::default();
    put(&mut state, &catalog);
    let patch = |version| {
        let catalog = form.catalog(version);
        let patch = EarlierPatch {
            version: catalog.version,
            routes: catalog.routes.values().map(|route| (**route).clone()).collect(),
            removed: vec!["r-gone".to_owned()],
            services: Some([("s-0".to_owned(), (*catalog.services["s-0"]).clone())].into()),
            organisations: None,
            limits: catalog.limits,
        };
        (Revision(version), (CATALOG, patch))
    };
    let changes: Vec<_> = (1..=changes).map(patch).collect();
    let source = Compressed::new(&encode(&catalog));
    // Sessions, claims, outcomes, winners and history are empty, and so is the recorded status.
    let (before, after) = ([0_u8; 9], [0_u8; 5]);
    let mut bytes = encode(&(state.view(), before, source, changes, after));
    bytes.insert(0, WITH_STATUS);
    (catalog, bytes)
}

#[test]
fn snapshot_with_changes_of_an_earlier_program_is_read() {
    let (catalog, bytes) = earlier_snapshot(50);
    let mut state = State::restore(&bytes).expect("an earlier snapshot");
    assert_eq!(state.view().catalog.as_deref(), Some(&catalog));
    assert_eq!(state.catalog_source(), Ok(Some(encode(&catalog))));
    let small = state.snapshot();
    assert!(small.len() < bytes.len() / 10, "{} of {} bytes", small.len(), bytes.len());
    // A follower from before the snapshot receives the whole view, a later one what changed.
    let behind = Revision(state.view().revision.0);
    let mut view = state.view().clone();
    put(&mut state, &Form::AllRoutes(700).catalog(51));
    view.apply(state.delta(behind)).expect("a delta that follows");
    assert_eq!(&view, state.view());
    let mut view = View::default();
    view.apply(state.delta(Revision(0))).expect("a whole view");
    assert_eq!(&view, state.view());
}

//! Guards against memory, snapshots and updates to followers that grow with the number and size of
//! the changes that the state has seen.

mod common;

use common::{put, route};
use egret_control::State;
use egret_record::{
    CallerLimits, Catalog, CatalogVersion, OrganisationSpec, Revision, ServiceSpec, View,
};
use egret_rpc::encode;

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

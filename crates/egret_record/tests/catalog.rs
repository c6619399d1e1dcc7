//! What follows from the routes of a catalog.

use std::sync::Arc;

use egret_record::{Catalog, Route, RouteKind, RouteTarget};

fn route(name: &str, kind: RouteKind, attempts: u32, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "survey.example".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout: std::time::Duration::from_secs(6),
        objective: std::time::Duration::from_millis(400),
        gap_objective: std::time::Duration::from_millis(300),
        rank: 1,
        targets: vec![RouteTarget { service: service.to_owned(), weight: 1 }],
        attempts,
        public: false,
        regions: Vec::new(),
    }
}

#[test]
fn service_may_move_if_all_that_it_runs_goes_on_elsewhere() {
    // Pattern: an engine changes its weights while it runs what nobody else may go on with.
    let resumable = RouteKind::Stream { resumable: true };
    let cases = [
        ("streams that may be resumed", resumable, 2, true),
        ("streams that may not", RouteKind::Stream { resumable: false }, 2, false),
        ("streams with one try", resumable, 1, false),
        ("requests that may run once", RouteKind::Once, 2, false),
        ("requests that may be repeated", RouteKind::Idempotent, 2, false),
    ];
    for (what, kind, attempts, expected) in cases {
        let mut catalog = Catalog::default();
        let routes = [
            route("draft", resumable, 2, "engines"),
            route("other", kind, attempts, "engines"),
            route("register", RouteKind::Once, 1, "ledger"),
        ];
        for route in routes {
            catalog.routes.insert(route.name.clone(), Arc::new(route));
        }
        assert_eq!(catalog.is_resumable("engines"), expected, "{what}");
    }
}

//! Properties of a service that follow from the routes of a catalog.

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
fn service_is_resumable_if_all_its_requests_are() {
    // Guards against stopping requests for a switch of weights that no other engine may resume.
    let resumable = RouteKind::Stream { resumable: true };
    let cases = [
        ("resumable streams", resumable, 2, true),
        ("streams that are not resumable", RouteKind::Stream { resumable: false }, 2, false),
        ("streams with one attempt", resumable, 1, false),
        ("requests that may run at most once", RouteKind::Once, 2, false),
        ("idempotent requests", RouteKind::Idempotent, 2, false),
    ];
    for (case, kind, attempts, expected) in cases {
        let mut catalog = Catalog::default();
        let routes = [
            route("draft", resumable, 2, "engines"),
            route("other", kind, attempts, "engines"),
            route("register", RouteKind::Once, 1, "ledger"),
        ];
        for route in routes {
            catalog.routes.insert(route.name.clone(), Arc::new(route));
        }
        assert_eq!(catalog.is_resumable("engines"), expected, "{case}");
    }
}

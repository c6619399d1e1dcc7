//! Catalogs, and how they are written.

use std::time::Duration;

use egret_control::State;
use egret_record::{Catalog, Route, RouteKind, RouteTarget};
use egret_rpc::{Command, Compressed, Reply, encode};

pub(crate) fn route(name: &str, timeout: u64) -> Route {
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

pub(crate) fn put(state: &mut State, catalog: &Catalog) {
    let bytes = encode(catalog);
    let reply = state.apply(Command::PutCatalog {
        version: catalog.version,
        catalog: Compressed::new(&bytes),
        source: Compressed::new(&bytes),
    });
    assert!(matches!(reply, Reply::Accepted { .. }), "{reply:?}");
}

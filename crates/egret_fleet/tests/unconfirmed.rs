//! Members that a source of updates forgot when it started anew.

use std::time::Duration;

use egret_fleet::{
    BackendStatus, Fleet, ProcessKind, ProcessStatus, StatusStamp, StatusUpdate, Unconfirmed,
};
use egret_record::DataCentre;

const START: Duration = Duration::from_secs(1_000);
const SECOND: Duration = Duration::from_secs(1);

fn stamp(seq: u64) -> StatusStamp {
    StatusStamp { incarnation: 1, seq }
}

fn data_centre() -> DataCentre {
    DataCentre::new("xela").expect("a name")
}

fn process(name: &str, kind: ProcessKind, seq: u64) -> StatusUpdate {
    StatusUpdate::Process(ProcessStatus {
        name: name.to_owned(),
        kind,
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: data_centre(),
        service: None,
        engine: None,
        loaded: None,
        congested: false,
        switching: false,
        leaving: false,
        stamp: stamp(seq),
    })
}

fn backend(id: &str) -> StatusUpdate {
    StatusUpdate::Backend(BackendStatus {
        id: id.to_owned(),
        service: "draft".to_owned(),
        address: ([10, 0, 0, 2], 80).into(),
        data_centre: data_centre(),
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
        stamp: stamp(1),
    })
}

/// A follower's fleet when its source has started anew.
struct Scene {
    fleet: Fleet,
    unconfirmed: Unconfirmed,
}

impl Scene {
    fn new() -> Self {
        let mut fleet = Fleet::default();
        for update in [
            process("entry-1", ProcessKind::Entry, 1),
            process("agent-1", ProcessKind::Agent, 1),
            backend("i-1"),
        ] {
            fleet.observe(&update, START);
        }
        let mut unconfirmed = Unconfirmed::default();
        unconfirmed.restart(&fleet);
        Self { fleet, unconfirmed }
    }

    /// Applies a reply of the source; returns how many members it leaves.
    fn reply(&mut self, after: Duration, in_contact: bool, updates: &[StatusUpdate]) -> usize {
        let now = START + after;
        self.unconfirmed.set_contact(in_contact, now);
        for update in updates {
            self.unconfirmed.confirm(update);
            self.fleet.observe(update, now);
        }
        for update in self.unconfirmed.departures(&self.fleet, now) {
            self.fleet.observe(&update, now);
        }
        let processes =
            [ProcessKind::Entry, ProcessKind::Agent].map(|kind| self.fleet.processes(kind).count());
        processes.iter().sum::<usize>() + self.fleet.backends().count()
    }
}

// Guards against entries, agents and backend servers that stay for ever, since all instances that
// would have announced their end forgot them.
#[test]
fn forgotten_members_depart() {
    let mut scene = Scene::new();
    assert_eq!(scene.reply(Duration::ZERO, true, &[]), 3);
    assert_eq!(scene.reply(SECOND * 2, true, &[]), 3, "they may not have reported yet");
    assert_eq!(scene.reply(SECOND * 3, true, &[]), 1, "processes report all the time");
    assert_eq!(scene.reply(SECOND * 14, true, &[]), 1, "reports of backend servers are rarer");
    assert_eq!(scene.reply(SECOND * 15, true, &[]), 0);
}

#[test]
fn reported_members_stay() {
    let mut scene = Scene::new();
    scene.reply(Duration::ZERO, true, &[]);
    let reports = [process("entry-1", ProcessKind::Entry, 2), backend("i-1")];
    scene.reply(SECOND, true, &reports);
    assert_eq!(scene.reply(SECOND * 60, true, &[]), 2, "only the agent stayed unconfirmed");
}

// Guards against members that are dropped while their reports cannot arrive.
#[test]
fn time_without_contact_does_not_count() {
    let mut scene = Scene::new();
    scene.reply(Duration::ZERO, true, &[]);
    for second in 2..60 {
        assert_eq!(scene.reply(SECOND * second, second % 2 == 0, &[]), 3);
    }
    assert_eq!(scene.reply(SECOND * 60, true, &[]), 3);
    assert_eq!(scene.reply(SECOND * 63, true, &[]), 1);
}

#[test]
fn late_report_brings_a_departed_process_back() {
    let mut scene = Scene::new();
    scene.reply(Duration::ZERO, true, &[]);
    scene.reply(SECOND * 15, true, &[]);
    assert_eq!(scene.reply(SECOND * 16, true, &[process("agent-1", ProcessKind::Agent, 2)]), 1);
}

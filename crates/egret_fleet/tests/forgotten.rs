//! Backend servers that are gone for long are forgotten, with their addresses.

use std::time::Duration;

use egret_fleet::{BackendStatus, Fleet, StatusStamp, StatusUpdate, UpdateKind};
use egret_record::DataCentre;

const START: Duration = Duration::from_secs(1_000);
const TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a backend server that is gone must be forgotten.
const FORGOTTEN: Duration = Duration::from_secs(150);

fn report(id: &str, incarnation: u64, seq: u64) -> StatusUpdate {
    StatusUpdate::Backend(BackendStatus {
        id: id.to_owned(),
        service: "draft".to_owned(),
        address: ([10, 0, 0, 1], 1).into(),
        data_centre: DataCentre::new("xela").expect("a name"),
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
        stamp: StatusStamp { incarnation, seq },
    })
}

// Guards against a backend server that stays shut out since its clock is behind that of an earlier
// one at its address, which crashed.
#[test]
fn address_is_free_again_once_its_owner_is_forgotten() {
    let (mut control, mut follower) = (Fleet::default(), Fleet::default());
    for fleet in [&mut control, &mut follower] {
        fleet.observe(&report("ahead", 9, 1), START);
        assert_eq!(fleet.observe(&report("i-1", 5, 1), START), UpdateKind::Stale);
    }
    for gone in control.expire(TIMEOUT, TIMEOUT, START + TIMEOUT * 2) {
        follower.observe(&gone, START + TIMEOUT * 2);
    }
    for fleet in [&mut control, &mut follower] {
        // It may still be a late report of an earlier incarnation.
        assert_eq!(fleet.observe(&report("i-1", 5, 2), START + TIMEOUT * 3), UpdateKind::Stale);
    }
    let later = START + FORGOTTEN;
    control.expire(TIMEOUT, TIMEOUT, later);
    for fleet in [&mut control, &mut follower] {
        assert_eq!(fleet.observe(&report("i-1", 5, 3), later), UpdateKind::Change);
        assert_eq!(fleet.observe(&report("older", 4, 1), later), UpdateKind::Stale);
    }
}

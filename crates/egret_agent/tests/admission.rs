//! Requests that the agent admits, independent of an entry's view.

use egret_agent::{Admission, admit};
use egret_record::{
    Backend, BackendName, BackendRole, Change, DataCentre, Phase, RecordName, Revision, SessionId,
    StoredRecord, View, parse_record,
};
use egret_route::{Code, Ran};

fn view() -> View {
    let text = "schema: 1\nname: register\nservice: register\npath: /register\n";
    let record = parse_record("record", text).expect("valid");
    let mut view = View::default();
    view.apply_change(Change::Record(StoredRecord { record, revision: Revision(1) }));
    view.apply_change(Change::Backend(Backend {
        name: name(),
        data_centre: DataCentre::new("xela").expect("valid"),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        role: BackendRole::Service("register".to_owned()),
        limit: 8,
        session: SessionId(7),
        assignment: None,
        phase: Phase::Serving,
        leaving: false,
    }));
    view
}

fn name() -> BackendName {
    BackendName::new("register-1").expect("valid")
}

fn check(view: &View, change: impl Fn(&mut Admission<'_>)) -> Option<Code> {
    let (name, record) = (name(), RecordName::new("register").expect("valid"));
    let mut request = Admission {
        view,
        leased: true,
        draining: false,
        backend: &name,
        session: Some(SessionId(7)),
        record: &record,
    };
    change(&mut request);
    let refusal = admit(request).err()?;
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(refusal.retry_ms.is_some(), "the caller is told when to retry");
    Some(refusal.code)
}

#[test]
fn request_for_the_served_record_is_admitted() {
    assert_eq!(check(&view(), |_| ()), None);
}

#[test]
fn no_request_is_admitted_without_a_lease() {
    assert_eq!(check(&view(), |r| r.leased = false), Some(Code::NotInService));
}

#[test]
fn no_request_is_admitted_while_draining_or_in_another_session() {
    assert_eq!(check(&view(), |r| r.draining = true), Some(Code::NotInService));
    assert_eq!(check(&view(), |r| r.session = Some(SessionId(6))), Some(Code::NotInService));
    assert_eq!(check(&view(), |r| r.session = None), Some(Code::NotInService));
}

#[test]
fn no_request_is_admitted_in_a_data_centre_that_is_out() {
    let mut view = view();
    view.apply_change(Change::DataCentre { name: DataCentre::new("xela").unwrap(), out: true });
    assert_eq!(check(&view, |_| ()), Some(Code::DataCentreOut));
    view.apply_change(Change::DataCentre { name: DataCentre::new("xela").unwrap(), out: false });
    assert_eq!(check(&view, |_| ()), None);
}

#[test]
fn no_request_is_admitted_for_a_removed_record() {
    let mut view = view();
    view.apply_change(Change::RecordRemoved(RecordName::new("register").unwrap()));
    assert_eq!(check(&view, |_| ()), Some(Code::NoRecord));
}

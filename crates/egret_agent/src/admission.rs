//! Decides which requests are admitted to the backend server.
//!
//! An entry may act on an older view than the agent, but with regard to the agent's
//! own backend server its view is never newer. So the guarantees for backend servers
//! that leave and data centres that are out are enforced here, whatever view an entry
//! has.

use std::time::Duration;

use egret_record::{BackendName, RecordName, SessionId, Target, View};
use egret_route::{Code, Refusal};

/// Time after which another data centre or instance should have taken over.
const TAKEOVER_DELAY: Duration = Duration::from_millis(200);

/// The state that decides whether a request is admitted.
#[derive(Debug, Clone, Copy)]
pub struct Admission<'a> {
    /// The latest view.
    pub view: &'a View,
    /// Whether the agent holds a lease on the view.
    pub leased: bool,
    /// Whether the agent is shutting down.
    pub draining: bool,
    /// The backend server.
    pub backend: &'a BackendName,
    /// The session in which the agent registered it.
    pub session: Option<SessionId>,
    /// The record that the request is for.
    pub record: &'a RecordName,
}

/// Decides whether a request is admitted according to the control state.
///
/// # Errors
///
/// Returns a [`Refusal`] that says "not run", as nothing has been sent to the backend server.
pub fn admit(request: Admission<'_>) -> Result<(), Refusal> {
    let refuse = |code, message| Err(Refusal::not_run(code, message).retry_after(TAKEOVER_DELAY));
    if request.draining {
        return refuse(Code::NotInService, "this backend server is shutting down; use another");
    }
    if !request.leased {
        return refuse(
            Code::NotInService,
            "this backend server may be cut off from the control state; use another",
        );
    }
    let Some(backend) = request.view.backends.get(request.backend) else {
        return refuse(Code::NotInService, "this backend server is not announced; use another");
    };
    if request.session != Some(backend.session) || backend.leaving {
        return refuse(Code::NotInService, "this backend server is leaving; use another");
    }
    if request.view.out.contains(&backend.data_centre) {
        return refuse(Code::DataCentreOut, "this data centre is out; use another");
    }
    let Some(stored) = request.view.records.get(request.record) else {
        return refuse(Code::NoRecord, "the record is gone; list the models again");
    };
    let serves = match &stored.record.target {
        Target::Model(_) => {
            backend.assignment.as_ref().is_some_and(|order| order.record == *request.record)
        }
        Target::Service(service) => {
            backend.role == egret_record::BackendRole::Service(service.service.clone())
        }
    };
    if serves {
        Ok(())
    } else {
        refuse(Code::NoBackend, "this backend server serves another record")
    }
}

//! The HTTP interface for operators.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use egret_http::{headers, json, read_whole, refuse};
use egret_record::{
    DataCentre, MemberId, OperationId, Record, RecordName, Revision, StoredRecord, parse_record,
};
use egret_route::{Code, Refusal};
use egret_rpc::{Command, Operation, Query, Reply, Request as ControlRequest, StatusReply};
use http::{StatusCode, header::AUTHORIZATION};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::Instant;
use viz::{Request, RequestExt as _, Response, Router};

use crate::dispatch::Dispatch;

/// Timeout of a request to the control state.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for an accepted change to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
/// `Retry-After` for operators while no control instance leads.
const NO_CONTROL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a record, in bytes.
const RECORD_BYTES_MAX: usize = 1024 * 1024;

/// The HTTP interface for operators.
#[derive(Debug, Clone)]
pub(crate) struct AdminApi {
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) key: Option<String>,
}

type Handled = Result<Value, Refusal>;

impl AdminApi {
    /// Adds the operators' routes to a router.
    pub(crate) fn routes(self, router: Router) -> Router {
        macro_rules! handler {
            ($method:ident) => {{
                let api = self.clone();
                move |req: Request| {
                    let api = api.clone();
                    async move { Ok::<_, viz::Error>(api.respond(&req, api.$method(&req)).await) }
                }
            }};
        }
        let put = {
            let api = self.clone();
            move |req| api.clone().put(req)
        };
        let members = {
            let api = self.clone();
            move |req| api.clone().change_members(req)
        };
        router
            .get("/admin/v1/records", handler!(records))
            .post("/admin/v1/records", put)
            .get("/admin/v1/records/:name", handler!(record))
            .delete("/admin/v1/records/:name", handler!(remove))
            .get("/admin/v1/records/:name/history", handler!(history))
            .post("/admin/v1/data-centres/:name/out", handler!(take_out))
            .post("/admin/v1/data-centres/:name/in", handler!(bring_in))
            .post("/admin/v1/members", members)
            .get("/admin/v1/status", handler!(status))
            .get("/admin/v1/burn", handler!(burn))
    }

    async fn respond(&self, req: &Request, handled: impl Future<Output = Handled>) -> Response {
        if let Err(refusal) = self.authorize(req) {
            return refuse(&refusal);
        }
        match handled.await {
            Ok(value) => json(StatusCode::OK, value.to_string()),
            Err(refusal) => refuse(&refusal),
        }
    }

    fn authorize(&self, req: &Request) -> Result<(), Refusal> {
        let Some(key) = &self.key else { return Ok(()) };
        let given = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        // Compares digests, so that the time taken reveals nothing about the key.
        let digest = |text: &str| egret_record::VersionDigest::of(text.as_bytes());
        if given.map(digest) == Some(digest(&format!("Bearer {key}"))) {
            return Ok(());
        }
        let message = "the operator's key is missing or wrong; give it with --key";
        Err(Refusal::not_run(Code::Unauthorized, message))
    }

    async fn records(&self, _: &Request) -> Handled {
        let view = self.view().await?;
        let records: Vec<_> = view.records.values().map(stored_value).collect();
        Ok(json!({ "revision": view.revision, "records": records }))
    }

    async fn record(&self, req: &Request) -> Handled {
        let name = record_name(req)?;
        let view = self.view().await?;
        let stored = view.records.get(&name).ok_or_else(|| {
            let message = format!("there is no record {:?}; list the records", name.as_str());
            Refusal::not_run(Code::NoRecord, message)
        })?;
        Ok(stored_value(stored))
    }

    async fn history(&self, req: &Request) -> Handled {
        let name = record_name(req)?;
        match self.query(Query::History(name)).await? {
            Reply::History(history) => {
                Ok(json!({ "history": history.iter().map(stored_value).collect::<Vec<_>>() }))
            }
            other => Err(unexpected(&other)),
        }
    }

    async fn put(self, mut req: Request) -> viz::Result<Response> {
        if let Err(refusal) = self.authorize(&req) {
            return Ok(refuse(&refusal));
        }
        let record = read_record(&mut req).await;
        let dry_run = req.query_string().is_some_and(|query| query.contains("dry_run=true"));
        let handled = async {
            let record = record?;
            if dry_run {
                return Ok(json!({ "record": record }));
            }
            self.amend(&req, Operation::Put(record)).await
        };
        Ok(self.respond(&req, handled).await)
    }

    async fn remove(&self, req: &Request) -> Handled {
        let name = record_name(req)?;
        self.amend(req, Operation::Remove(name)).await
    }

    async fn take_out(&self, req: &Request) -> Handled {
        self.set_data_centre(req, true).await
    }

    async fn bring_in(&self, req: &Request) -> Handled {
        self.set_data_centre(req, false).await
    }

    async fn set_data_centre(&self, req: &Request, out: bool) -> Handled {
        let name: String = req.param("name").unwrap_or_default();
        let name = DataCentre::new(&name).map_err(|error| bad_request(&error.to_string()))?;
        self.amend(req, Operation::SetDataCentre { name, out }).await
    }

    async fn change_members(self, mut req: Request) -> viz::Result<Response> {
        let body = read_body(&mut req).await;
        let handled = async {
            let body: Value = serde_json::from_slice(&body?).unwrap_or_default();
            let request = if let Some(name) = body["add"].as_str() {
                ControlRequest::AddMember(name.to_owned())
            } else {
                let identity =
                    body["remove"].as_str().and_then(|id| u64::from_str_radix(id, 16).ok());
                let identity = identity.ok_or_else(|| {
                    bad_request("give `add` with a name or `remove` with an identity")
                })?;
                ControlRequest::RemoveMember(MemberId(identity))
            };
            self.accepted(self.call(request).await?).await
        };
        Ok(self.respond(&req, handled).await)
    }

    async fn status(&self, _: &Request) -> Handled {
        let view = self.view().await?;
        let status = match self.query(Query::Status).await? {
            Reply::Status(status) => status,
            other => return Err(unexpected(&other)),
        };
        Ok(json!({
            "control": control_value(&status),
            "data_centres_out": view.out,
            "entries": view.entries.values().collect::<Vec<_>>(),
            "backends": view.backends.values().collect::<Vec<_>>(),
            "records": view.records.values().map(|stored| json!({
                "name": stored.record.name,
                "revision": stored.revision,
                "live": view.live_replicas(&stored.record),
                "wanted": stored.record.placement.total(),
            })).collect::<Vec<_>>(),
        }))
    }

    async fn burn(&self, _: &Request) -> Handled {
        Ok(to_value(&self.dispatch.burn.report()))
    }

    async fn amend(&self, req: &Request, operation: Operation) -> Handled {
        let id: Option<String> = req.header(headers::OPERATION);
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let id = OperationId::new(&id).map_err(|error| bad_request(&error.to_string()))?;
        let expected: Option<u64> = req.header(headers::EXPECTED);
        let expected = expected.map(Revision);
        let command = Command::Amend { id, expected, operation };
        self.accepted(self.call(command.into()).await?).await
    }

    /// Waits for an accepted change to be in force, and reports whether it is.
    async fn accepted(&self, reply: Reply) -> Handled {
        let revision = match reply {
            Reply::Accepted { revision } => revision,
            Reply::Conflict { revision, winner } => {
                let winner = winner.map_or_else(String::new, |id| format!(" by operation {id}"));
                let message = format!(
                    "the record has revision {revision}{winner}; read it again and amend that"
                );
                return Err(Refusal::not_run(Code::Conflict, message));
            }
            Reply::Refused { message } => return Err(Refusal::not_run(Code::BadRequest, message)),
            other => return Err(unexpected(&other)),
        };
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        let in_force = self.dispatch.control.wait_in_force(revision, deadline).await;
        Ok(json!({ "revision": revision, "in_force": in_force.unwrap_or(false) }))
    }

    async fn view(&self) -> Result<Box<egret_record::View>, Refusal> {
        match self.query(Query::View).await? {
            Reply::View(view) => Ok(view),
            other => Err(unexpected(&other)),
        }
    }

    async fn query(&self, query: Query) -> Result<Reply, Refusal> {
        self.call(ControlRequest::Query(query)).await
    }

    async fn call(&self, request: ControlRequest) -> Result<Reply, Refusal> {
        let change = !matches!(request, ControlRequest::Query(_));
        let deadline = Instant::now() + ADMIN_TIMEOUT;
        self.dispatch.control.call(request, deadline).await.map_err(|error| {
            // A change may have been applied although its reply was lost.
            let refusal = if change {
                let message = format!("{error}; send it again with the same operation id");
                Refusal::unknown(Code::NoControl, message)
            } else {
                Refusal::not_run(Code::NoControl, error.to_string())
            };
            refusal.retry_after(NO_CONTROL_RETRY_AFTER)
        })
    }
}

async fn read_body(req: &mut Request) -> Result<Bytes, Refusal> {
    let body = req.incoming().map_err(|_| bad_request("the request has no body"))?;
    read_whole(body, RECORD_BYTES_MAX).await.map_err(|error| bad_request(&error.to_string()))
}

async fn read_record(req: &mut Request) -> Result<Record, Refusal> {
    let body = read_body(req).await?;
    let text = std::str::from_utf8(&body).map_err(|_| bad_request("the record is not UTF-8"))?;
    parse_record("record", text)
        .map_err(|error| bad_request(&format!("{error}; {}", error.remedy())))
}

fn record_name(req: &Request) -> Result<RecordName, Refusal> {
    let name: String = req.param("name").unwrap_or_default();
    RecordName::new(&name).map_err(|error| bad_request(&error.to_string()))
}

fn stored_value(stored: &StoredRecord) -> Value {
    json!({ "revision": stored.revision, "record": stored.record })
}

fn control_value(status: &StatusReply) -> Value {
    let members = status.members.iter().map(|member| {
        json!({
            "identity": format!("{:016x}", member.identity.0),
            "name": member.name,
            "voter": member.voter,
            "leader": member.leader,
        })
    });
    let waiting = status
        .waiting
        .iter()
        .map(|(name, id)| json!({ "name": name, "identity": format!("{:016x}", id.0) }));
    json!({
        "revision": status.revision,
        "term": status.term,
        "commit": status.commit,
        "members": members.collect::<Vec<_>>(),
        "waiting": waiting.collect::<Vec<_>>(),
    })
}

fn to_value(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("plain data always encodes")
}

fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}

fn unexpected(reply: &Reply) -> Refusal {
    log::error!("event=unexpected_reply reply={reply:?}");
    Refusal::unknown(Code::NoControl, "the control state gave an odd reply; check the versions")
}

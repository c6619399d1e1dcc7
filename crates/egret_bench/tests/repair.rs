//! The documented repair of lost control instances, step by step with `egretctl`.

use std::time::Duration;

use egret_bench::deployment::{Deployment, Instance, Plan};
use serde_json::Value;

/// Longest wait until the status shows a step.
const LIMIT: Duration = Duration::from_secs(30);

fn plan() -> Plan {
    let controls = (1..=5).map(|number| Instance::new(format!("control-{number}"), "xela"));
    Plan {
        controls: controls.collect(),
        entries: vec![Instance::new("entry-1", "xela")],
        ..Plan::default()
    }
}

fn members(status: &Value) -> Vec<Value> {
    status["control"]["members"].as_array().cloned().unwrap_or_default()
}

fn identity(status: &Value, name: &str) -> String {
    let found = members(status).into_iter().find(|member| member["name"] == name);
    found.and_then(|member| member["identity"].as_str().map(str::to_owned)).expect("a member")
}

async fn repair(deployment: &mut Deployment, name: &str) {
    let status = deployment
        .wait_for(LIMIT, |status| members(status).len() == 5)
        .await
        .expect("the step succeeds");
    let old = identity(&status, name);
    deployment.kill(name);
    deployment.wipe_data(name).expect("the step succeeds");
    deployment.restart(name).expect("the step succeeds");
    let is_waiting = |status: &Value| {
        let waiting = status["control"]["waiting"].as_array();
        waiting.is_some_and(|all| all.iter().any(|new| new["name"] == name))
    };
    deployment.wait_for(LIMIT, is_waiting).await.expect("the new instance asks to be added");
    deployment.ctl(&["member", "remove", &old]).await.expect("the step succeeds");
    deployment.ctl(&["member", "add", name]).await.expect("the step succeeds");
    let is_voter = |status: &Value| {
        members(status).iter().any(|member| {
            member["name"] == name && member["voter"] == true && member["identity"] != old.as_str()
        })
    };
    deployment.wait_for(LIMIT, is_voter).await.expect("the new instance votes");
}

#[tokio::test(flavor = "multi_thread")]
async fn documented_steps_repair_one_and_then_two_lost_instances() {
    let mut deployment = Deployment::start(&plan()).unwrap();
    deployment.wait_for(LIMIT, |status| members(status).len() == 5).await.unwrap();
    deployment.ctl(&["data-centre", "out", "peten"]).await.unwrap();
    repair(&mut deployment, "control-1").await;
    // Two are down at once, then repaired one after the other as documented.
    deployment.kill("control-2");
    deployment.kill("control-3");
    deployment.ctl(&["data-centre", "out", "guate"]).await.unwrap();
    deployment.restart("control-3").unwrap();
    repair(&mut deployment, "control-2").await;
    repair(&mut deployment, "control-3").await;
    let status = deployment.wait_for(LIMIT, |status| members(status).len() == 5).await.unwrap();
    assert_eq!(status["data_centres_out"], serde_json::json!(["guate", "peten"]));
}

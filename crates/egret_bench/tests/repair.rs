//! The operators' page on repair, step by step with `egretctl`.

use std::time::Duration;

use egret_bench::deployment::{Deployment, Instance, Plan};
use serde_json::Value;

/// Longest wait for a step to show.
const LIMIT: Duration = Duration::from_secs(30);

fn plan() -> Plan {
    let controls = (1..=5).map(|at| Instance::new(format!("control-{at}"), "xela"));
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
    let waits = |status: &Value| {
        let waiting = status["control"]["waiting"].as_array();
        waiting.is_some_and(|all| all.iter().any(|one| one["name"] == name))
    };
    deployment.wait_for(LIMIT, waits).await.expect("the new instance asks to be added");
    deployment.ctl(&["member", "remove", &old]).await.expect("the step succeeds");
    deployment.ctl(&["member", "add", name]).await.expect("the step succeeds");
    let votes = |status: &Value| {
        members(status).iter().any(|one| {
            one["name"] == name && one["voter"] == true && one["identity"] != old.as_str()
        })
    };
    deployment.wait_for(LIMIT, votes).await.expect("the new instance votes");
}

#[tokio::test(flavor = "multi_thread")]
async fn steps_of_the_page_repair_one_and_then_two_lost_instances() {
    let mut deployment = Deployment::start(&plan()).unwrap();
    deployment.wait_for(LIMIT, |status| members(status).len() == 5).await.unwrap();
    deployment.ctl(&["data-centre", "out", "peten"]).await.unwrap();
    repair(&mut deployment, "control-1").await;
    // Two at once, then one after the other as the page says.
    deployment.kill("control-2");
    deployment.kill("control-3");
    deployment.ctl(&["data-centre", "out", "guate"]).await.unwrap();
    deployment.restart("control-3").unwrap();
    repair(&mut deployment, "control-2").await;
    repair(&mut deployment, "control-3").await;
    let status = deployment.wait_for(LIMIT, |status| members(status).len() == 5).await.unwrap();
    assert_eq!(status["data_centres_out"], serde_json::json!(["guate", "peten"]));
}

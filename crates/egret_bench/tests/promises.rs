//! Guarantees towards callers, each under the failure that could break it.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use egret_bench::{
    FullResponse,
    caller::{Caller, Outcome, RequestKind},
    claims_bench,
    demo::{plan, publish, wait_announced},
    deployment::{Deployment, Instance, Plan},
    send_request,
};
use egret_http::{HttpClient, headers};
use egret_record::VersionDigest;
use egret_route::{Code, Ran, Refusal};
use http::Method;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time::{Instant, sleep},
};

/// Timeout of one request, and of the deployment until it reaches a state.
const TIMEOUT: Duration = Duration::from_secs(30);

async fn deployment(plan: &Plan) -> Deployment {
    let deployment = Deployment::start(plan).expect("the step succeeds");
    wait_announced(&deployment, plan).await.expect("the step succeeds");
    deployment
}

/// Starts one data centre with one engine and one entry, and a record that is live.
async fn start_small() -> Deployment {
    start_small_with(&[]).await.0
}

/// Does the same with arguments for the engine. Returns the version's digest as well.
async fn start_small_with(engine_args: &[&str]) -> (Deployment, String) {
    let instance = |name: &str| Instance::new(name, "xela");
    let plan = Plan {
        controls: vec![instance("control-1")],
        entries: vec![instance("entry-1")],
        engines: vec![instance("runner-1")],
        engine_args: engine_args.iter().map(|arg| (*arg).to_owned()).collect(),
        ..Plan::default()
    };
    let deployment = deployment(&plan).await;
    let (digest, origin) =
        deployment.publish("drafts", "v1", &[7; 100_000], 16_384).expect("the step succeeds");
    let record = format!(
        "schema: 1\nname: drafting\nmodel: drafts\nversion: v1\ndigest: {digest}\n\
         origin: {origin}\nreplicas: 1\n"
    );
    let path = deployment.write("record.yaml", &record).expect("the step succeeds");
    deployment.ctl(&["apply", &path]).await.expect("the step succeeds");
    deployment.ctl(&["rollout", "drafting", "--timeout-s", "30"]).await.expect("the step succeeds");
    (deployment, digest)
}

fn entry(deployment: &Deployment) -> SocketAddr {
    *deployment.entries.values().next().expect("there is an entry")
}

async fn chat(entry: SocketAddr, stream: bool) -> FullResponse {
    let client = HttpClient::unpooled(None);
    let body = json!({ "model": "drafts", "stream": stream, "messages": [{ "content": "oak" }] });
    let path = "/v1/chat/completions";
    let content_type = [("content-type", "application/json")];
    send_request(&client, Method::POST, entry, path, &content_type, body.to_string(), TIMEOUT)
        .await
        .expect("the step succeeds")
}

async fn inject_fault(deployment: &Deployment, kind: &str) {
    let engine = deployment.backends["runner-1"];
    let client = HttpClient::unpooled(None);
    let content_type = [("content-type", "application/json")];
    let body = json!(kind).to_string();
    send_request(&client, Method::POST, engine, "/fault", &content_type, body, TIMEOUT)
        .await
        .expect("the step succeeds");
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answer_never_reaches_a_caller() {
    let deployment = start_small().await;
    let whole = chat(entry(&deployment), false).await;
    assert!(whole.status.is_success());
    inject_fault(&deployment, "crossed").await;
    let response = chat(entry(&deployment), false).await;
    // The only engine is avoided for a moment, so the call is refused or retried.
    let content = response.json()["choices"][0]["message"]["content"].clone();
    let own = content == whole.json()["choices"][0]["message"]["content"];
    let refused = Refusal::parse(&response.body).is_some();
    assert!(own || refused, "{response:?}");
    let crossed = |log: &str| log.contains("event=answer_crossed");
    deployment.wait_for_log("runner-1", TIMEOUT, crossed).await.unwrap();
}

// Guards against callers who are told "not run" although an earlier attempt ran.
#[tokio::test(flavor = "multi_thread")]
async fn broken_attempt_without_another_server_is_not_called_not_run() {
    let deployment = start_small().await;
    inject_fault(&deployment, "crossed").await;
    let before = deployment.stats(deployment.backends["runner-1"]).await["started"].as_u64();
    let response = chat(entry(&deployment), false).await;
    let after = deployment.stats(deployment.backends["runner-1"]).await["started"].as_u64();
    assert!(after > before, "the engine ran it");
    let refusal = Refusal::parse(&response.body).expect("no other engine can answer");
    assert_eq!(refusal.ran, Ran::Unknown, "{response:?}");
    assert_eq!(response.status.as_u16(), 502, "{response:?}");
}

// Guards against a late copy of an agent's refusal that is taken for the answer to a request that
// runs.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_that_does_not_name_the_request_is_no_proof() {
    for name in ["", "x-request-id: another\r\n"] {
        let mut deployment = start_small().await;
        let agent = deployment.agents["runner-1"];
        deployment.kill("runner-1");
        // Until the lease of the agent ends, the entry sends requests to its address.
        let listener = tokio::net::TcpListener::bind(agent).await.expect("the agent is gone");
        let runs = Arc::new(AtomicBool::new(false));
        let copies = tokio::spawn(run_and_refuse(listener, name, runs.clone()));
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let response = chat(entry(&deployment), false).await;
            let refusal = Refusal::parse(&response.body).expect("nobody answers");
            // The kept connections to the agent break first.
            if runs.load(Ordering::SeqCst) {
                assert_eq!(refusal.ran, Ran::Unknown, "{name:?}: {response:?}");
                break;
            }
            assert!(!copies.is_finished(), "the connection broke");
            assert!(Instant::now() < deadline, "the entry sent nothing");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Runs the first request at a listener, but answers it by a refusal with the header `name`.
async fn run_and_refuse(listener: tokio::net::TcpListener, name: &str, runs: Arc<AtomicBool>) {
    let body = Refusal::not_run(Code::Overloaded, "an earlier refusal").body();
    let body = String::from_utf8(body).expect("JSON");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 4_096];
    let read = stream.read(&mut request).await.expect("a request");
    assert!(read > 0, "a request");
    runs.store(true, Ordering::SeqCst);
    let head = format!("{}: 1\r\n{name}content-length: {}", headers::REFUSED, body.len());
    let response = format!("HTTP/1.1 429 Too Many Requests\r\n{head}\r\n\r\n{body}");
    stream.write_all(response.as_bytes()).await.expect("the entry reads");
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_ends_with_an_error_event() {
    let deployment = start_small().await;
    inject_fault(&deployment, "cut").await;
    let response = chat(entry(&deployment), true).await;
    let text = String::from_utf8(response.body).unwrap();
    assert!(text.contains("event: error"), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    let whole = chat(entry(&deployment), true).await;
    let text = String::from_utf8(whole.body).unwrap();
    assert!(text.contains("[DONE]") && !text.contains("event: error"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_that_was_frozen_takes_nothing_until_its_lease_is_renewed() {
    let deployment = start_small().await;
    let status = deployment.status().await.unwrap();
    let session = |status: &Value| status["backends"][0]["session"].as_u64();
    let before = session(&status);
    deployment.signal("runner-1", Signal::STOP);
    let gone = |status: &Value| status["backends"].as_array().is_some_and(Vec::is_empty);
    deployment
        .wait_for(TIMEOUT, gone)
        .await
        .expect("the backend server is removed when its lease ends");
    let response = chat(entry(&deployment), false).await;
    let refusal = Refusal::parse(&response.body).expect("a refusal, as no backend server is left");
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(refusal.retry_ms.is_some());
    deployment.signal("runner-1", Signal::CONT);
    let back = |status: &Value| {
        session(status) > before && status["records"][0]["live"].as_u64() == Some(1)
    };
    deployment.wait_for(TIMEOUT, back).await.expect("it comes back without a restart");
    // The entry may learn of it slightly later than the control instances.
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let response = chat(entry(&deployment), false).await;
        if response.status.is_success() {
            break;
        }
        assert_eq!(Refusal::parse(&response.body).map(|refusal| refusal.ran), Some(Ran::NotRun));
        assert!(Instant::now() < deadline, "{response:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_reloads_its_engine_under_a_higher_fence() {
    let mut deployment = start_small().await;
    let fence = |status: &Value| status["backends"][0]["assignment"]["fence"].as_u64();
    let before = fence(&deployment.status().await.unwrap());
    deployment.restart("runner-1").unwrap();
    let back =
        |status: &Value| fence(status) > before && status["records"][0]["live"].as_u64() == Some(1);
    deployment.wait_for(TIMEOUT, back).await.expect("the version is live again");
    let late = json!({ "model": "drafts", "path": "/dev/null", "fence": before });
    let engine = deployment.backends["runner-1"];
    let content_type = [("content-type", "application/json")];
    let client = HttpClient::unpooled(None);
    let response = send_request(
        &client,
        Method::POST,
        engine,
        "/admin/load",
        &content_type,
        late.to_string(),
        TIMEOUT,
    )
    .await;
    assert_eq!(
        response.unwrap().status.as_u16(),
        409,
        "the engine refuses the order of the previous incarnation"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn late_load_to_an_engine_without_fencing_never_reaches_a_caller() {
    let (deployment, digest) = start_small_with(&["--ignore-fence"]).await;
    let old = deployment.write("old-weights", "the weights of a former owner").unwrap();
    let late = json!({ "model": "drafts", "path": old, "fence": 0 });
    let content_type = [("content-type", "application/json")];
    let client = HttpClient::unpooled(None);
    let engine = deployment.backends["runner-1"];
    send_request(
        &client,
        Method::POST,
        engine,
        "/admin/load",
        &content_type,
        late.to_string(),
        TIMEOUT,
    )
    .await
    .unwrap();
    let deadline = Instant::now() + TIMEOUT;
    // Until the engine is corrected, each answer is of the right version or a refusal.
    loop {
        let response = chat(entry(&deployment), false).await;
        let version = response.headers.get(headers::VERSION).map(|value| value.to_str().unwrap());
        if response.status.is_success() {
            assert_eq!(version, Some(digest.as_str()));
            break;
        }
        assert!(Refusal::parse(&response.body).is_some(), "{response:?}");
        assert!(Instant::now() < deadline, "the engine was not corrected in time");
        sleep(Duration::from_millis(50)).await;
    }
    let corrected =
        |log: &str| log.contains("event=wrong_version") || log.contains("event=engine_lost");
    deployment.wait_for_log("runner-1", TIMEOUT, corrected).await.unwrap();
}

/// A deployment in the middle of a switch: the agent of `runner-1` has verified the new version and
/// waits for a stream in flight before it orders the engine to load it.
struct Switch {
    deployment: Deployment,
    agent: SocketAddr,
    stream: tokio::task::JoinHandle<FullResponse>,
    digest: String,
}

impl Switch {
    /// Size of both versions, in bytes.
    const BYTES: usize = 100_000;
    /// Content of the new version.
    const CONTENT: [u8; Self::BYTES] = [8; Self::BYTES];

    async fn start() -> Self {
        let (deployment, _) =
            start_small_with(&["--tokens", "120", "--between-tokens-ms", "50"]).await;
        let status = deployment.status().await.expect("the step succeeds");
        let agent = status["backends"][0]["address"].as_str().expect("a backend server");
        let agent: SocketAddr = agent.parse().expect("an address");
        let stream = tokio::spawn(ask_agent(agent, true, TIMEOUT));
        let (digest, origin) =
            deployment.publish("drafts", "v2", &Self::CONTENT, 16_384).expect("the step succeeds");
        let record = format!(
            "schema: 1\nname: drafting\nmodel: drafts\nversion: v2\ndigest: {digest}\n\
             origin: {origin}\nreplicas: 1\n"
        );
        let path = deployment.write("record.yaml", &record).expect("the step succeeds");
        deployment.ctl(&["apply", &path]).await.expect("the step succeeds");
        let switch = Self { deployment, agent, stream, digest };
        let waits = |log: &str| {
            let waits = format!("event=switch_started version={}", &switch.digest[..8]);
            log.contains(&waits)
        };
        switch.deployment.wait_for_log("runner-1", TIMEOUT, waits).await.expect("it waits");
        assert!(!switch.stream.is_finished(), "the stream ended before the agent waited for it");
        switch
    }

    /// Waits until the agent refuses requests for this reason.
    async fn wait_refused(&self, code: Code) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let response = ask_agent(self.agent, false, Duration::from_millis(50)).await;
            if Refusal::parse(&response.body).is_some_and(|refusal| refusal.code == code) {
                break;
            }
            assert!(Instant::now() < deadline, "{response:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the digest of the weights that the engine has loaded.
    async fn loaded(&self) -> Value {
        let client = HttpClient::unpooled(None);
        let engine = self.deployment.backends["runner-1"];
        let path = "/admin/version";
        let reply =
            send_request(&client, Method::GET, engine, path, &[], String::new(), TIMEOUT).await;
        reply.expect("the step succeeds").json()["content"].clone()
    }
}

/// Sends a request to an agent, as an entry would.
async fn ask_agent(agent: SocketAddr, stream: bool, limit: Duration) -> FullResponse {
    let client = HttpClient::unpooled(None);
    let limit_ms = limit.as_millis().to_string();
    let fields = [
        ("content-type", "application/json"),
        (headers::RECORD, "drafting"),
        (headers::DEADLINE, &limit_ms),
    ];
    let body = json!({ "stream": stream, "messages": [{ "content": "oak" }] }).to_string();
    send_request(&client, Method::POST, agent, "/v1/chat/completions", &fields, body, TIMEOUT)
        .await
        .expect("the step succeeds")
}

/// Waits until a caller gets an answer again, which must come from the intact new version.
async fn expect_intact(switch: &Switch) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let response = chat(entry(&switch.deployment), true).await;
        if response.status.is_success() {
            let version = response.headers.get(headers::VERSION).expect("a version");
            assert_eq!(version.to_str().ok(), Some(switch.digest.as_str()));
            assert_eq!(switch.loaded().await, json!(VersionDigest::of(&Switch::CONTENT)));
            break;
        }
        assert!(Refusal::parse(&response.body).is_some(), "{response:?}");
        assert!(Instant::now() < deadline, "the weights were not fetched again: {response:?}");
        sleep(Duration::from_millis(50)).await;
    }
    let refused = |log: &str| log.contains("the engine serves another version than ordered");
    let logged = switch.deployment.wait_for_log("runner-1", TIMEOUT, refused).await;
    logged.expect("the engine read the spoilt weights");
}

// Guards against weights that are spoilt after the agent has verified them, and before the engine
// reads them: an agent that serves them, or that never fetches them again.
#[tokio::test(flavor = "multi_thread")]
async fn weights_spoilt_before_the_engine_reads_them_are_not_served_but_fetched_again() {
    let switch = Switch::start().await;
    let file = format!("runner-1/data/versions/{}/weights", switch.digest);
    switch.deployment.write(&file, &"x".repeat(Switch::BYTES)).expect("the step succeeds");
    expect_intact(&switch).await;
}

// Guards against a file of weights that is replaced, so that the agent verifies the old file, which
// it has open, and the engine reads the new one by its path.
#[tokio::test(flavor = "multi_thread")]
async fn weights_replaced_before_the_engine_reads_them_are_not_served_but_fetched_again() {
    let switch = Switch::start().await;
    let folder = format!("runner-1/data/versions/{}", switch.digest);
    let other = format!("{folder}/other");
    let other = switch.deployment.write(&other, &"x".repeat(Switch::BYTES)).expect("a file");
    let weights = Path::new(&other).with_file_name("weights");
    std::fs::rename(&other, weights).expect("the step succeeds");
    expect_intact(&switch).await;
}

// Guards against an agent that switches its engine by a permission that has expired.
#[tokio::test(flavor = "multi_thread")]
async fn agent_orders_no_load_until_its_lease_is_renewed() {
    let mut switch = Switch::start().await;
    let before = switch.loaded().await;
    switch.deployment.signal("control-1", Signal::STOP);
    switch.wait_refused(Code::NotInService).await;
    assert!(!switch.stream.is_finished(), "the stream ended before the lease");
    assert!((&mut switch.stream).await.expect("no panic").status.is_success());
    // The agent retries a failed switch every half second.
    sleep(Duration::from_secs(2)).await;
    assert_eq!(switch.loaded().await, before, "the engine was switched without a lease");
    switch.deployment.signal("control-1", Signal::CONT);
    let live = |status: &Value| status["records"][0]["live"].as_u64() == Some(1);
    switch.deployment.wait_for(TIMEOUT, live).await.expect("the switch goes on");
    assert_eq!(switch.loaded().await, json!(VersionDigest::of(&Switch::CONTENT)));
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_interrupts_no_request() {
    let plan = plan();
    let mut deployment = deployment(&plan).await;
    publish(&deployment, "v1", 5).await.unwrap();
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    let start = Instant::now();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let mut caller = Caller::new("organisation-1", entries.clone(), start);
            tokio::spawn(async move {
                let mut exchanges = Vec::new();
                while start.elapsed() < Duration::from_secs(9) {
                    let kind = [RequestKind::Chat, RequestKind::Stream][exchanges.len() % 2];
                    let name = format!("caller-{number}-{}", exchanges.len());
                    exchanges.push(caller.call(kind, &name).await);
                }
                exchanges
            })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(deployment.terminate("runner-fukuoka-1", TIMEOUT).await, Some(0));
    assert_eq!(deployment.terminate("entry-kumamoto", TIMEOUT).await, Some(0));
    for caller in callers {
        for exchange in caller.await.unwrap() {
            assert!(matches!(exchange.outcome, Outcome::Complete { .. }), "{exchange:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn registration_runs_at_most_once_whatever_is_killed() {
    for seed in 1..=2 {
        let plan = plan();
        let mut deployment = deployment(&plan).await;
        publish(&deployment, "v1", seed).await.unwrap();
        let found = claims_bench::run_calls(&mut deployment, 480, seed).await.unwrap();
        println!("seed={seed} {found:?}");
        assert_eq!((found.ran_twice, found.false_not_run), (0, 0), "seed {seed}: {found:?}");
    }
}

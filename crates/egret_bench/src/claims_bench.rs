//! Calls that run at most once, while processes on their path are killed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use egret_http::{HttpClient, headers};
use egret_route::{Ran, Refusal};
use http::Method;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rustix::process::Signal;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    caller::Tally,
    demo::{plan, publish, wait_announced},
    deployment::Deployment,
    http_request::send_request,
};

/// Number of concurrent callers.
const CALLERS: u32 = 16;
/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of attempts of a call until its outcome is final.
const ATTEMPTS_MAX: u32 = 60;
/// Target for the median latency added by a claim, in quorum round trips.
const ROUND_TRIPS_MAX: f64 = 2.0;
/// Number of calls that are timed without faults.
const TIMED_CALLS: u32 = 200;

/// The outcome of one attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
enum SendOutcome {
    /// The service answered, in this run of the call.
    Answered(u64),
    /// The call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
    /// There was no response, or none that can be read.
    NoAnswer,
}

/// The outcomes of all attempts of a call.
#[derive(Debug, Clone)]
struct Call {
    key: String,
    outcomes: Vec<SendOutcome>,
}

/// The results of a run.
#[derive(Debug, Default)]
pub struct Findings {
    /// Number of calls.
    pub calls: u64,
    /// Violations of "at most once": calls that the service ran more than once.
    pub ran_twice: u64,
    /// Calls whose last outcome was "not run", although they ran.
    pub false_not_run: u64,
    /// Calls whose last outcome was "unknown".
    pub unknown: u64,
    /// Calls whose last attempt had no response.
    pub unanswered: u64,
}

/// Measures claims under faults. Returns whether the targets were met.
///
/// # Errors
///
/// Returns what prevented the measurement.
pub async fn run(calls: u32, seed: u64) -> Result<bool, String> {
    let mut deployment = Deployment::start(&plan()).map_err(|error| error.to_string())?;
    wait_announced(&deployment, &plan()).await?;
    publish(&deployment, "v1", seed).await?;
    let (plain, once, messages) = time_calls(&deployment).await;
    let quorum = quorum_round_trip(&deployment).await;
    let found = run_calls(&mut deployment, calls, seed).await?;
    let added = |share: f64| {
        let (once, plain) = (once.percentile(share), plain.percentile(share));
        once.saturating_sub(plain).as_secs_f64() * 1e3
    };
    let quorum = quorum.as_secs_f64() * 1e3;
    println!(
        "result calls={} seed={seed} ran_twice={} false_not_run={} unknown={} no_word={} \
         claim_added_p50_ms={:.2} claim_added_p99_ms={:.2} quorum_round_trip_p50_ms={quorum:.2} \
         messages_per_call={messages:.1}",
        found.calls,
        found.ran_twice,
        found.false_not_run,
        found.unknown,
        found.unanswered,
        added(0.5),
        added(0.99),
    );
    Ok(found.ran_twice == 0 && found.false_not_run == 0 && added(0.5) <= quorum * ROUND_TRIPS_MAX)
}

/// Makes calls, and kills or freezes processes on their path.
///
/// # Errors
///
/// Returns what prevented the calls.
pub async fn run_calls(
    deployment: &mut Deployment,
    calls: u32,
    seed: u64,
) -> Result<Findings, String> {
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let entries = entries.clone();
        let count = calls / CALLERS;
        callers.spawn(async move {
            let mut random = SmallRng::seed_from_u64(seed << 16 | u64::from(number));
            let mut finished = Vec::new();
            for index in 0..count {
                finished.push(
                    send_until_final(&entries, format!("{number}-{index}"), &mut random).await,
                );
            }
            finished
        });
    }
    let mut random = SmallRng::seed_from_u64(seed);
    let mut finished = Vec::new();
    loop {
        tokio::select! {
            joined = callers.join_next() => match joined {
                Some(some) => finished.extend(some.map_err(|error| error.to_string())?),
                None => break,
            },
            () = sleep(Duration::from_millis(700)) => inject_fault(deployment, &mut random).await?,
        }
    }
    let service = deployment.backends.get("register-1").ok_or("no service")?;
    let runs = deployment.stats(*service).await;
    let runs: BTreeMap<String, u64> = serde_json::from_value(runs).unwrap_or_default();
    Ok(count_violations(&finished, &runs))
}

fn count_violations(calls: &[Call], runs: &BTreeMap<String, u64>) -> Findings {
    let mut found = Findings { calls: calls.len() as u64, ..Findings::default() };
    for call in calls {
        let ran = runs.get(&call.key).copied().unwrap_or(0);
        found.ran_twice += u64::from(ran > 1);
        match call.outcomes.last() {
            Some(SendOutcome::NotRun) => found.false_not_run += u64::from(ran > 0),
            Some(SendOutcome::Unknown) => found.unknown += 1,
            Some(SendOutcome::NoAnswer) | None => found.unanswered += 1,
            Some(SendOutcome::Answered(run)) => found.ran_twice += u64::from(*run != 1),
        }
    }
    found
}

/// Kills and restarts, or freezes for a while, one process on the path of calls.
async fn inject_fault(deployment: &mut Deployment, random: &mut SmallRng) -> Result<(), String> {
    let centre = ["kumamoto", "fukuoka", "kagoshima"][random.random_range(0..3)];
    let name = match random.random_range(0..5) {
        0 => "register-1".to_owned(),
        1 | 2 => format!("entry-{centre}"),
        _ => format!("control-{centre}"),
    };
    if random.random_range(0..4) == 0 {
        deployment.signal(&name, Signal::STOP);
        sleep(Duration::from_millis(random.random_range(100..2_000))).await;
        deployment.signal(&name, Signal::CONT);
    } else {
        deployment.kill(&name);
        sleep(Duration::from_millis(random.random_range(20..300))).await;
        deployment.restart(&name).map_err(|error| error.to_string())?;
    }
    Ok(())
}

/// Sends a call to random entries until its outcome is final.
async fn send_until_final(entries: &[SocketAddr], key: String, random: &mut SmallRng) -> Call {
    let client = HttpClient::unpooled(None);
    let mut outcomes = Vec::new();
    let mut unknown = 0;
    // One in four calls is sent once more after its answer.
    let resend = random.random_range(0..4) == 0;
    for _ in 0..ATTEMPTS_MAX {
        let entry = entries[random.random_range(0..entries.len())];
        let outcome = send(&client, entry, &key).await;
        unknown = if outcome == SendOutcome::Unknown { unknown + 1 } else { 0 };
        let answered = matches!(outcome, SendOutcome::Answered(_));
        let answered_before =
            outcomes.iter().any(|outcome| matches!(outcome, SendOutcome::Answered(_)));
        outcomes.push(outcome);
        // A persistent "unknown" is final. That of a request in progress is not, so it
        // is retried.
        if (answered && (answered_before || !resend)) || unknown > 10 {
            break;
        }
        if !answered {
            sleep(Duration::from_millis(random.random_range(50..400))).await;
        }
    }
    Call { key, outcomes }
}

async fn send(client: &HttpClient, entry: SocketAddr, key: &str) -> SendOutcome {
    let sent = [("content-type", "application/json"), (headers::IDEMPOTENCY_KEY, key)];
    let body = format!("{{\"tree\":\"{key}\"}}");
    let path = "/register/orders";
    let Ok(response) =
        send_request(client, Method::POST, entry, path, &sent, body, CALL_TIMEOUT).await
    else {
        return SendOutcome::NoAnswer;
    };
    if response.headers.contains_key(headers::REFUSED) {
        return match Refusal::parse(&response.body).map(|refusal| refusal.ran) {
            Some(Ran::NotRun) => SendOutcome::NotRun,
            Some(Ran::Unknown) => SendOutcome::Unknown,
            None => SendOutcome::NoAnswer,
        };
    }
    SendOutcome::Answered(response.json()["run"].as_u64().unwrap_or(0))
}

/// Times calls without faults. Returns latencies without and with a claim, and messages per call.
async fn time_calls(deployment: &Deployment) -> (Tally, Tally, f64) {
    let client = HttpClient::pooled(None);
    let Some(entry) = deployment.entries.values().next().copied() else {
        return (Tally::default(), Tally::default(), 0.0);
    };
    let (mut plain, mut once) = (Tally::default(), Tally::default());
    let before = deployment.network.totals().1;
    let started = Instant::now();
    for number in 0..TIMED_CALLS {
        let sent = Instant::now();
        let _ = send(&client, entry, &format!("timed-{number}")).await;
        once.times.push(sent.elapsed());
    }
    let claimed = (deployment.network.totals().1 - before) as f64;
    let elapsed = started.elapsed();
    let before = deployment.network.totals().1;
    sleep(elapsed).await;
    let idle = (deployment.network.totals().1 - before) as f64;
    for _ in 0..TIMED_CALLS {
        let sent = Instant::now();
        let path = "/register/plain";
        let _ = send_request(&client, Method::POST, entry, path, &[], String::new(), CALL_TIMEOUT)
            .await;
        plain.times.push(sent.elapsed());
    }
    (plain, once, (claimed - idle) / f64::from(TIMED_CALLS))
}

/// Returns the median time until a quorum has an amendment, by amendments without effect.
async fn quorum_round_trip(deployment: &Deployment) -> Duration {
    use egret_record::{DataCentre, OperationId};
    use egret_rpc::{Command, ControlClient, Operation};
    let addresses: Vec<_> = deployment.controls.values().copied().collect();
    // Uses the address of the entry that served the timed calls, so the same links.
    let local_address = deployment.entries.values().next().map(SocketAddr::ip);
    let local_address = local_address.unwrap_or([127, 0, 0, 1].into());
    let measurement = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the system allows a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let client = ControlClient::new(local_address, addresses);
            let mut times = Vec::new();
            for number in 0..TIMED_CALLS {
                let command = Command::Amend {
                    id: OperationId::new(&format!("timed-{number}")).expect("visible"),
                    expected: None,
                    operation: Operation::SetDataCentre {
                        name: DataCentre::new("nowhere").expect("a name"),
                        out: false,
                    },
                };
                let sent = Instant::now();
                let _ = client.call(&command.into(), Instant::now() + CALL_TIMEOUT).await;
                times.push(sent.elapsed());
            }
            Tally { times, ..Tally::default() }.percentile(0.5)
        })
    });
    measurement.await.unwrap_or_default()
}

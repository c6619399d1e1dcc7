//! How costs grow with size, for capacity planning.
//!
//! Each experiment measures three sizes and fits a line. Control instances and the
//! entry are real processes. The other holders are sessions of this process, of the
//! same kind that entries and agents open.

use std::{cell::Cell, rc::Rc, time::Duration};

use egret_record::{
    BackendName, BackendRole, DataCentre, Delta, IdempotencyKey, OperationId, Phase, RecordName,
    VersionDigest, View, parse_record,
};
use egret_rpc::{
    CallerRequest, ClaimKey, ClaimOutcome, Command, ControlClient, Holder, Operation, Reply,
    Session, StoredAnswer, UnixMillis,
};
use tokio::{
    task::{JoinHandle, LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    control::{leader, status},
    deployment::{Deployment, Instance, Plan},
    network::Delays,
    process::{cpu_seconds, resident_bytes},
};

/// Time for which one size is measured.
const MEASURE_TIME: Duration = Duration::from_secs(4);
/// Time for the load to settle before a size is measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Timeout of one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of holders while something else is varied.
const HOLDERS: usize = 120;

/// The costs at one size. Processor time and traffic are per second.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    leader_cpu: f64,
    follower_cpu: f64,
    entry_cpu: f64,
    leader_bytes: f64,
    entry_bytes: f64,
    network_bytes: f64,
    messages: f64,
    snapshot_bytes: f64,
}

/// Selects one figure of a cost.
type Column = fn(&Cost) -> f64;

/// A fitted line and its error.
#[derive(Debug, Clone, Copy)]
struct Fit {
    slope: f64,
    intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    error: f64,
}

/// Measures all slopes and prints one result line for each.
///
/// # Errors
///
/// Returns what prevented a measurement.
pub async fn run(seed: u64) -> Result<bool, String> {
    println!("seed={seed}");
    view_micros();
    report_micros();
    LocalSet::new()
        .run_until(async {
            holder_cost().await?;
            change_cost().await?;
            report_cost().await?;
            record_cost().await?;
            claim_cost().await
        })
        .await?;
    Ok(true)
}

/// A deployment with one entry as a process and agents as sessions of this process.
struct TestBed {
    deployment: Deployment,
    client: Rc<ControlClient>,
    sessions: Vec<Rc<Session>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for TestBed {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl TestBed {
    async fn start(holders: usize) -> Result<Self, String> {
        let centres = ["a", "b", "c"];
        let instance = |kind: &str, centre: &str| Instance::new(format!("{kind}-{centre}"), centre);
        let plan = Plan {
            controls: centres.iter().map(|centre| instance("control", centre)).collect(),
            entries: vec![instance("entry", "a")],
            delays: Delays::default(),
            control_settings: "snapshot_entries: 500\n".to_owned(),
            ..Plan::default()
        };
        let deployment = Deployment::start(&plan).map_err(|error| error.to_string())?;
        let addresses: Vec<_> = deployment.controls.values().copied().collect();
        let client = Rc::new(ControlClient::new([127, 0, 0, 1].into(), addresses.clone()));
        status(&client).await?;
        let mut bed = Self { deployment, client, sessions: Vec::new(), tasks: Vec::new() };
        for number in 0..holders {
            let (own, _) = bed.deployment.network.add_instance(&format!("holder-{number}"), "a");
            let client = Rc::new(ControlClient::new(own, addresses.clone()));
            let session = Rc::new(Session::new(client, holder(number)));
            bed.sessions.push(session.clone());
            bed.tasks.push(spawn_local(async move { session.run().await }));
        }
        for session in &bed.sessions {
            let mut opened = session.id();
            let _ = opened.wait_for(Option::is_some).await;
        }
        sleep(SETTLE_TIME).await;
        Ok(bed)
    }

    async fn measure(&self) -> Result<Cost, String> {
        let leader = leader(&self.client).await?;
        let followers: Vec<_> =
            self.deployment.controls.keys().filter(|name| **name != leader).cloned().collect();
        let cpu = |name: &str| self.deployment.process_id(name).map_or(0.0, cpu_seconds);
        let before = (cpu(&leader), cpu(&followers[0]), cpu("entry-a"));
        let carried = self.deployment.network.totals();
        let started = Instant::now();
        sleep(MEASURE_TIME).await;
        let seconds = started.elapsed().as_secs_f64();
        let after = self.deployment.network.totals();
        let memory = |name: &str| self.deployment.process_id(name).map_or(0.0, resident_bytes);
        Ok(Cost {
            leader_cpu: (cpu(&leader) - before.0) / seconds,
            follower_cpu: (cpu(&followers[0]) - before.1) / seconds,
            entry_cpu: (cpu("entry-a") - before.2) / seconds,
            leader_bytes: memory(&leader),
            entry_bytes: memory("entry-a"),
            network_bytes: (after.0 - carried.0) as f64 / seconds,
            messages: (after.1 - carried.1) as f64 / seconds,
            snapshot_bytes: self.deployment.file_bytes(&leader, "snapshot") as f64,
        })
    }

    async fn amend(&self, id: &str, operation: Operation) -> Result<(), String> {
        let id = OperationId::new(id).map_err(|error| error.to_string())?;
        let command = Command::Amend { id, expected: None, operation };
        match self.client.call(&command.into(), Instant::now() + CHANGE_TIMEOUT).await {
            Ok(Reply::Accepted { .. }) => Ok(()),
            other => Err(format!("not accepted: {other:?}")),
        }
    }
}

/// Measures the cost of each agent's session while nothing changes.
async fn holder_cost() -> Result<(), String> {
    let mut points = Vec::new();
    for size in [60, 180, 540] {
        let bed = TestBed::start(size).await?;
        points.push((size as f64, bed.measure().await?));
    }
    print_fits("holders", &points);
    Ok(())
}

/// Measures the cost of changes per second, with a fixed number of holders.
async fn change_cost() -> Result<(), String> {
    let bed = TestBed::start(HOLDERS).await?;
    let mut points = Vec::new();
    for rate in [1_u32, 10, 30] {
        let run = run_at_rate(rate, async |number| {
            let name = DataCentre::new("elsewhere").map_err(|error| error.to_string())?;
            let operation = Operation::SetDataCentre { name, out: number.is_multiple_of(2) };
            bed.amend(&format!("change-{rate}-{number}"), operation).await
        });
        let (cost, ()) = tokio::try_join!(bed.measure(), run)?;
        points.push((f64::from(rate), cost));
    }
    println!("changes_per_second with holders={HOLDERS}");
    print_fits("changes", &points);
    Ok(())
}

/// Measures the cost of backend server reports per second, with a fixed number of holders.
async fn report_cost() -> Result<(), String> {
    let bed = TestBed::start(HOLDERS).await?;
    let digest = VersionDigest::of(&[1]);
    let text = format!(
        "schema: 1\nname: drafting\nmodel: drafts\nversion: v1\ndigest: {digest}\n\
         origin: http://127.0.0.1:1/m\nreplicas: {HOLDERS}\n"
    );
    let record = parse_record("record", &text).map_err(|error| error.to_string())?;
    bed.amend("drafting", Operation::Put(record)).await?;
    sleep(SETTLE_TIME).await;
    let mut points = Vec::new();
    for rate in [1_u32, 10, 30] {
        let run = run_at_rate(rate, async |number| {
            let index = number as usize % HOLDERS;
            let session = bed.sessions[index].id().borrow().ok_or("no session")?;
            let view = bed.sessions[index].view.get();
            let backend = view.backends.values().find(|backend| backend.session == session);
            let assignment =
                backend.and_then(|backend| backend.assignment.as_ref()).ok_or("no assignment")?;
            let round = number as usize / HOLDERS + rate as usize;
            let phase = if round.is_multiple_of(2) { Phase::Live(digest) } else { Phase::Idle };
            let report = Command::Report { session, fence: assignment.fence, phase };
            let deadline = Instant::now() + CHANGE_TIMEOUT;
            bed.client.call(&report.into(), deadline).await.map_err(|error| error.to_string())?;
            Ok(())
        });
        let (cost, ()) = tokio::try_join!(bed.measure(), run)?;
        points.push((f64::from(rate), cost));
    }
    println!("reports_per_second with holders={HOLDERS}");
    print_fits("reports", &points);
    Ok(())
}

/// Measures the cost of each record while nothing changes.
async fn record_cost() -> Result<(), String> {
    let bed = TestBed::start(9).await?;
    let mut points = Vec::new();
    let mut written = 0;
    for size in [100, 400, 1_000] {
        while written < size {
            let digest = VersionDigest::of(&[1]);
            let text = format!(
                "schema: 1\nname: record-{written}\nmodel: model-{written}\nversion: v1\n\
                 digest: {digest}\norigin: http://127.0.0.1:1/m\nreplicas: 1\n"
            );
            let record = parse_record("record", &text).map_err(|error| error.to_string())?;
            bed.amend(&format!("record-{written}"), Operation::Put(record)).await?;
            written += 1;
        }
        sleep(SETTLE_TIME).await;
        points.push((f64::from(size), bed.measure().await?));
    }
    print_fits("records", &points);
    Ok(())
}

/// Measures the cost of claimed requests per second, each with a claim and its outcome.
async fn claim_cost() -> Result<(), String> {
    let bed = TestBed::start(9).await?;
    let session = bed.sessions[0].id().borrow().ok_or("no session")?;
    let done = Cell::new(0_u64);
    let mut points = Vec::new();
    for rate in [20_u32, 100, 300] {
        let run = run_at_rate(rate, async |number| {
            let key = ClaimKey {
                record: RecordName::new("register").map_err(|error| error.to_string())?,
                key: IdempotencyKey::new(&format!("{rate}-{number}"))
                    .map_err(|error| error.to_string())?,
            };
            let request = CallerRequest { digest: VersionDigest::of(b"x"), attempt: 1 };
            let claim =
                Command::Claim { key: key.clone(), session, request, claimed_at: UnixMillis(0) };
            let answer = StoredAnswer {
                status: 200,
                content_type: "application/json".to_owned(),
                body: vec![b'x'; 200],
            };
            let outcome = ClaimOutcome::Answered(answer);
            let settle = Command::Settle { key, attempt: 1, outcome };
            for command in [claim, settle] {
                let deadline = Instant::now() + CHANGE_TIMEOUT;
                let reply = bed.client.call(&command.into(), deadline).await;
                reply.map_err(|error| error.to_string())?;
            }
            done.set(done.get() + 1);
            Ok(())
        });
        let (cost, ()) = tokio::try_join!(bed.measure(), run)?;
        points.push((f64::from(rate), cost));
    }
    println!("claims done={}", done.get());
    print_fits("claims", &points);
    Ok(())
}

/// Runs an action `rate` times per second while one size is measured.
async fn run_at_rate(
    rate: u32,
    action: impl AsyncFn(u32) -> Result<(), String>,
) -> Result<(), String> {
    let started = Instant::now();
    let count = rate * u32::try_from(MEASURE_TIME.as_secs()).unwrap_or(1);
    let actions = (0..count).map(async |number| {
        sleep_until(started + Duration::from_secs(1) * number / rate).await;
        action(number).await
    });
    futures::future::try_join_all(actions).await.map(|_| ())
}

/// Measures the time to apply one change to a view, as every holder does.
fn view_micros() {
    let points = [1_000_u32, 3_000, 10_000].map(|size| {
        let mut state = state_with(size);
        let mut view = View::default();
        let _ = view.apply(state.delta(view.revision));
        let rounds = 20;
        let mut spent = Duration::ZERO;
        for round in 0..rounds {
            let name = DataCentre::new("elsewhere").expect("the constant is a name");
            state.apply(Command::Amend {
                id: OperationId::new(&format!("{round}")).expect("numbers are visible"),
                expected: None,
                operation: Operation::SetDataCentre { name, out: round % 2 == 0 },
            });
            let delta: Delta = state.delta(view.revision);
            let started = std::time::Instant::now();
            let mut next = view.clone();
            let _ = next.apply(delta);
            view = next;
            spent += started.elapsed();
        }
        (f64::from(size), spent.as_secs_f64() * 1e6 / f64::from(rounds))
    });
    print_fit("view_change_micros_per_backend", &points);
}

/// Measures the time to apply one report of a rollout, and one join, to the control state.
fn report_micros() {
    /// Number of agents that join again, as after a restart.
    const JOINS: u32 = 20;
    let points = [1_000_u32, 3_000, 10_000].map(|size| {
        let mut state = state_with(size);
        let digest = VersionDigest::of(b"v1");
        let text = format!(
            "schema: 1\nname: drafting\nmodel: drafts\nversion: v1\ndigest: {digest}\n\
             origin: http://127.0.0.1:1/m\nreplicas: {}\n",
            size / 5
        );
        let record = parse_record("record", &text).expect("the text is a record");
        state.apply(Command::Amend {
            id: OperationId::new("one").expect("visible"),
            expected: None,
            operation: Operation::Put(record),
        });
        let assignments: Vec<_> = state
            .view()
            .backends
            .values()
            .filter_map(|backend| Some((backend.session, backend.assignment.as_ref()?.fence)))
            .take(20)
            .collect();
        let started = std::time::Instant::now();
        for (session, fence) in &assignments {
            let phase = Phase::Live(digest);
            state.apply(Command::Report { session: *session, fence: *fence, phase });
        }
        let each = started.elapsed().as_secs_f64() * 1e6 / assignments.len().max(1) as f64;
        let started = std::time::Instant::now();
        for number in 0..JOINS {
            state.apply(Command::Join(holder(number as usize)));
        }
        let join = started.elapsed().as_secs_f64() * 1e6 / f64::from(JOINS);
        (f64::from(size), each, join)
    });
    print_fit("report_micros_per_backend", &points.map(|(size, report, _)| (size, report)));
    print_fit("join_micros_per_backend", &points.map(|(size, _, join)| (size, join)));
}

fn state_with(size: u32) -> egret_control::State {
    let mut state = egret_control::State::default();
    for number in 0..size {
        state.apply(Command::Join(holder(number as usize)));
    }
    state
}

fn holder(number: usize) -> Holder {
    let centre = format!("dc-{}", number % 16);
    Holder::Backend {
        name: BackendName::new(&format!("runner-{number}")).expect("numbers make names"),
        data_centre: DataCentre::new(&centre).expect("numbers make names"),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        role: BackendRole::Model,
        limit: 8,
    }
}

fn print_fits(name: &str, points: &[(f64, Cost)]) {
    let columns: [(&str, Column); 8] = [
        ("leader_cpu_percent", |cost| cost.leader_cpu * 100.0),
        ("follower_cpu_percent", |cost| cost.follower_cpu * 100.0),
        ("entry_cpu_percent", |cost| cost.entry_cpu * 100.0),
        ("leader_memory_kb", |cost| cost.leader_bytes / 1e3),
        ("entry_memory_kb", |cost| cost.entry_bytes / 1e3),
        ("network_bytes_per_s", |cost| cost.network_bytes),
        ("messages_per_s", |cost| cost.messages),
        ("snapshot_bytes", |cost| cost.snapshot_bytes),
    ];
    for (column, value) in columns {
        let points: Vec<_> = points.iter().map(|(size, cost)| (*size, value(cost))).collect();
        print_fit(&format!("{column}_per_{name}"), &points);
    }
}

fn print_fit(name: &str, points: &[(f64, f64)]) {
    let Fit { slope, intercept, error } = fit(points);
    let shown: Vec<_> = points.iter().map(|(x, y)| format!("{x}:{y:.3}")).collect();
    println!(
        "result slope={name} value={slope:.6} base={intercept:.3} error={error:.3} points={}",
        shown.join(",")
    );
}

/// Fits a line by least squares.
fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let numerator: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let denominator: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = numerator / denominator;
    let intercept = slope.mul_add(-mean_x, mean_y);
    let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let error = points
        .iter()
        .map(|(x, y)| (y - slope.mul_add(*x, intercept)).abs() / largest)
        .fold(0.0, f64::max);
    Fit { slope, intercept, error }
}

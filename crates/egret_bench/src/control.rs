//! Operators and lease holders under faults of the control instances.
//!
//! Runs real `egret-control` processes behind links that can be cut, operators
//! that compete for the same records, and holders with sessions. Everything that
//! they observe goes into a history, which is checked for consistency.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use egret_record::{
    BackendName, BackendRole, DataCentre, EntryName, MemberId, OperationId, RecordName, Revision,
    parse_record,
};
use egret_rpc::{
    Command, ControlClient, Holder, Operation, Query, Reply, Request, Session, StatusReply,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rustix::process::Signal;
use tokio::{
    task::{JoinHandle, LocalSet, spawn_local},
    time::{Instant, sleep},
};

use crate::{
    deployment::{Deployment, Instance, Plan},
    history::{Amendment, History, InForce, LeasedView, Outcome, Read},
    network::Delays,
};

/// The data centres over which the instances are spread.
const DATA_CENTRES: [&str; 3] = ["kumamoto", "fukuoka", "kagoshima"];
/// Number of records that the operators compete for.
const RECORD_COUNT: u32 = 3;
/// Timeout of one call to the control instances, long enough to outlast a fault.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time until the cluster replies or a membership change shows.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two samples of a holder's view.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// Safety guards to disable, to show that the checks of the history detect it.
#[derive(Debug, Clone, Copy, Default)]
pub struct DisabledGuards {
    /// Amendments do not name the revision that they expect.
    pub blind_writes: bool,
    /// Resends use new operation ids.
    pub new_ids: bool,
    /// Accepted changes count as in force at once.
    pub skip_wait: bool,
}

/// Options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of control instances.
    pub controls: usize,
    /// Number of entries, as sessions of this process.
    pub entries: usize,
    /// Number of agents, as sessions of this process.
    pub agents: usize,
    /// Number of concurrent operators.
    pub operators: usize,
    /// Number of faults, one after the other.
    pub faults: usize,
    /// Delays of the links.
    pub delays: Delays,
    /// The guards to disable.
    pub disabled: DisabledGuards,
}

impl Options {
    /// Returns options for a run of a few seconds: five control instances, two faults.
    #[must_use]
    pub const fn small(seed: u64, disabled: DisabledGuards) -> Self {
        Self {
            seed,
            controls: 5,
            entries: 3,
            agents: 5,
            operators: 3,
            faults: 2,
            delays: Delays::KUMAMOTO,
            disabled,
        }
    }
}

/// The results of a run.
#[derive(Debug, Clone, Default)]
pub struct Findings {
    /// Everything that was observed.
    pub history: History,
    /// Longest time from an amendment until it was in force, for those sent and
    /// confirmed while no fault was active.
    pub in_force_max: Duration,
    /// Descriptions of the faults, in order.
    pub faults: Vec<String>,
    /// Share of the samples, from 0 to 1, in which a holder had a lease.
    pub leased_share: f64,
}

/// State shared by the tasks of a run.
struct Run {
    start: Instant,
    options: Options,
    addresses: Vec<SocketAddr>,
    history: RefCell<History>,
    in_force_max: Cell<Duration>,
    /// Whether no fault is active.
    healthy: Cell<bool>,
    stop: Cell<bool>,
    /// Number of samples, with or without a lease, from the first session of each holder on.
    samples: Cell<u64>,
}

impl Run {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn client(&self) -> ControlClient {
        ControlClient::new([127, 0, 0, 1].into(), self.addresses.clone())
    }
}

/// Starts a deployment of control instances only, spread over the data centres.
///
/// # Errors
///
/// Returns what went wrong.
pub fn start_controls(
    controls: usize,
    delays: Delays,
    settings: &str,
) -> Result<Deployment, String> {
    let controls = (0..controls).map(|index| {
        Instance::new(format!("control-{index}"), DATA_CENTRES[index % DATA_CENTRES.len()])
    });
    let plan = Plan {
        controls: controls.collect(),
        control_settings: settings.to_owned(),
        delays,
        ..Plan::default()
    };
    Deployment::start(&plan).map_err(|error| error.to_string())
}

/// Runs operators and holders under faults.
///
/// # Errors
///
/// Returns what prevented the run.
pub async fn run(options: Options) -> Result<Findings, String> {
    LocalSet::new().run_until(run_local(options)).await
}

async fn run_local(options: Options) -> Result<Findings, String> {
    let mut deployment =
        start_controls(options.controls, options.delays, "snapshot_entries: 200\n")?;
    let run = Rc::new(Run {
        start: Instant::now(),
        options,
        addresses: deployment.controls.values().copied().collect(),
        history: RefCell::default(),
        in_force_max: Cell::default(),
        healthy: Cell::new(true),
        stop: Cell::new(false),
        samples: Cell::new(0),
    });
    status(&run.client()).await?;
    let holders = start_holders(&run, &deployment);
    let operators: Vec<JoinHandle<()>> = (0..options.operators)
        .map(|number| spawn_local(run_operator(run.clone(), number)))
        .collect();
    sleep(Duration::from_secs(1)).await;
    let faults = inject_faults(&run, &mut deployment).await?;
    sleep(Duration::from_millis(500)).await;
    run.stop.set(true);
    for operator in operators {
        let _ = operator.await;
    }
    read_all(&run, &run.client()).await;
    holders.iter().for_each(JoinHandle::abort);
    let history = run.history.borrow().clone();
    let leased_share = history.leased_views.len() as f64 / run.samples.get().max(1) as f64;
    Ok(Findings { leased_share, history, in_force_max: run.in_force_max.get(), faults })
}

/// Returns the status of the control instances once one leads.
///
/// # Errors
///
/// Returns the client's error when none leads in time.
pub async fn status(client: &ControlClient) -> Result<StatusReply, String> {
    let deadline = Instant::now() + READY_TIMEOUT;
    match client.call(&Request::Query(Query::Status), deadline).await {
        Ok(Reply::Status(status)) => Ok(status),
        Ok(other) => Err(format!("unexpected reply {other:?}")),
        Err(error) => Err(error.to_string()),
    }
}

/// Opens sessions, and samples the views that their holders have a lease on.
fn start_holders(run: &Rc<Run>, deployment: &Deployment) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    let total = run.options.entries + run.options.agents;
    for number in 0..total {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let (own, _) = deployment.network.add_instance(&format!("holder-{number}"), data_centre);
        let holder = holder(number, number < run.options.entries, data_centre);
        let client = Rc::new(ControlClient::new(own, run.addresses.clone()));
        let session = Rc::new(Session::new(client, holder));
        let running = session.clone();
        tasks.push(spawn_local(async move { running.run().await }));
        let run = run.clone();
        tasks.push(spawn_local(async move {
            let mut opened = session.id();
            let _ = opened.wait_for(Option::is_some).await;
            loop {
                sleep(SAMPLE_PERIOD).await;
                run.samples.set(run.samples.get() + 1);
                // The view is read before the lease is checked, or a lease that ends in
                // between would show as a violation.
                let revision = session.view.get().revision.0;
                let time = run.now();
                if session.lease.is_held() {
                    run.history.borrow_mut().leased_views.push(LeasedView {
                        time,
                        holder: number,
                        revision,
                    });
                }
            }
        }));
    }
    tasks
}

fn holder(number: usize, entry: bool, data_centre: &str) -> Holder {
    let data_centre = DataCentre::new(data_centre).expect("the constants are names");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    if entry {
        let name = EntryName::new(&format!("entry-{number}")).expect("numbers make names");
        return Holder::Entry { name, data_centre, address };
    }
    Holder::Backend {
        name: BackendName::new(&format!("runner-{number}")).expect("numbers make names"),
        data_centre,
        address,
        peer_address: address,
        role: BackendRole::Model,
        limit: 8,
    }
}

/// Reads, amends and resends until the run stops, and until the last outcome is known.
async fn run_operator(run: Rc<Run>, number: usize) {
    let mut random = SmallRng::seed_from_u64(run.options.seed << 8 | number as u64);
    let client = run.client();
    let mut count = 0_u32;
    while !run.stop.get() {
        let record = format!("record-{}", random.random_range(0..RECORD_COUNT));
        let Some(expected) = read(&run, &client, &record).await else { continue };
        count += 1;
        let id = format!("operator-{number}-{count}");
        amend(&run, &client, &record, expected, &id, &mut random).await;
        sleep(Duration::from_millis(random.random_range(0..30))).await;
    }
}

async fn read(run: &Run, client: &ControlClient, record: &str) -> Option<u64> {
    let sent = run.now();
    let request = Request::Query(Query::View);
    let reply = client.call(&request, Instant::now() + CALL_TIMEOUT).await;
    let Ok(Reply::View(view)) = reply else { return None };
    let name = RecordName::new(record).ok()?;
    let found = view.records.get(&name).map_or((0, String::new()), |stored| {
        let version = stored.record.model().map(|model| model.version.clone());
        (stored.revision.0, version.unwrap_or_default())
    });
    let replied = run.now();
    let revision = found.0;
    run.history.borrow_mut().reads.push(Read { record: record.to_owned(), sent, replied, found });
    Some(revision)
}

async fn read_all(run: &Run, client: &ControlClient) {
    for number in 0..RECORD_COUNT {
        read(run, client, &format!("record-{number}")).await;
    }
}

/// Sends an amendment until its outcome is known, and sometimes resends it after that.
async fn amend(
    run: &Rc<Run>,
    client: &ControlClient,
    record: &str,
    expected: u64,
    id: &str,
    random: &mut SmallRng,
) {
    let sent = run.now();
    let healthy = run.healthy.get();
    let blind_writes = run.options.disabled.blind_writes;
    let content = id.to_owned();
    let mut attempts = 0;
    let resend = random.random_range(0..4) == 0;
    loop {
        attempts += 1;
        let id =
            if run.options.disabled.new_ids { format!("{id}-{attempts}") } else { id.to_owned() };
        let command = Command::Amend {
            id: OperationId::new(&id).expect("ids are visible ASCII"),
            expected: (!blind_writes).then_some(Revision(expected)),
            operation: Operation::Put(model_record(record, &content)),
        };
        // The short timeout causes resends of commands that were accepted already.
        let timeout = Duration::from_millis(if resend && attempts == 1 { 15 } else { 3_000 });
        let reply = client.call(&command.into(), Instant::now() + timeout).await;
        let outcome = match reply {
            Ok(Reply::Accepted { revision }) => Outcome::Accepted(revision.0),
            Ok(Reply::Conflict { .. }) => Outcome::Conflict,
            _ => continue,
        };
        let replied = run.now();
        run.history.borrow_mut().amendments.push(Amendment {
            id,
            record: record.to_owned(),
            expected,
            content: content.clone(),
            sent,
            replied,
            outcome,
        });
        if let Outcome::Accepted(revision) = outcome
            && attempts == 1
        {
            // In a task of its own, so that the operator goes on amending and each fault
            // meets changes in progress.
            let run = run.clone();
            spawn_local(async move { wait_in_force(&run, revision, sent, healthy).await });
        }
        if !resend || attempts > 1 {
            return;
        }
    }
}

async fn wait_in_force(run: &Rc<Run>, revision: u64, sent: Duration, healthy: bool) {
    if run.options.disabled.skip_wait {
        run.history.borrow_mut().in_force.push(InForce { time: run.now(), revision });
        return;
    }
    let deadline = Instant::now() + CALL_TIMEOUT;
    if let Ok(true) = run.client().wait_in_force(Revision(revision), deadline).await {
        let time = run.now();
        run.history.borrow_mut().in_force.push(InForce { time, revision });
        if healthy && run.healthy.get() {
            run.in_force_max.set(run.in_force_max.get().max(time - sent));
        }
    }
}

fn model_record(name: &str, version: &str) -> egret_record::Record {
    let digest = egret_record::VersionDigest::of(version.as_bytes());
    let text = format!(
        "schema: 1\nname: {name}\nmodel: {name}\nversion: {version}\ndigest: {digest}\n\
         origin: http://127.0.0.1:1/{name}\nreplicas: 1\n"
    );
    parse_record("record", &text).expect("the text is a record")
}

/// Injects faults one after the other, and ends each before the next.
async fn inject_faults(run: &Rc<Run>, deployment: &mut Deployment) -> Result<Vec<String>, String> {
    let mut random = SmallRng::seed_from_u64(run.options.seed);
    let mut faults = Vec::new();
    for _ in 0..run.options.faults {
        let leader = leader(&run.client()).await?;
        let random_control = format!("control-{}", random.random_range(0..run.options.controls));
        let victim = if random.random() { leader.clone() } else { random_control };
        let length = Duration::from_millis(random.random_range(200..2_500));
        run.healthy.set(false);
        let fault = random.random_range(0..6);
        let name = match fault {
            0 => {
                deployment.kill(&victim);
                sleep(length / 2).await;
                deployment.restart(&victim).map_err(|error| error.to_string())?;
                format!("kill {victim}")
            }
            1 => {
                deployment.signal(&victim, Signal::STOP);
                sleep(length).await;
                deployment.signal(&victim, Signal::CONT);
                format!("freeze {victim} {length:?}")
            }
            2 => {
                let centre = DATA_CENTRES[random.random_range(0..DATA_CENTRES.len())];
                for other in DATA_CENTRES.iter().filter(|other| **other != centre) {
                    deployment.network.cut(centre, other);
                }
                sleep(length).await;
                deployment.network.heal();
                format!("cut {centre} {length:?}")
            }
            3 => {
                for other in deployment.controls.keys().filter(|other| **other != victim) {
                    deployment.network.cut_one_way(&victim, other);
                }
                sleep(length).await;
                deployment.network.heal();
                format!("cut one way {victim} {length:?}")
            }
            4 => {
                wipe_and_repair(deployment, &run.client(), &victim).await?;
                format!("lose data of {victim}")
            }
            _ => {
                let second = deployment.controls.keys().find(|name| **name != victim).cloned();
                let second = second.unwrap_or_default();
                wipe_and_repair(deployment, &run.client(), &victim).await?;
                wipe_and_repair(deployment, &run.client(), &second).await?;
                format!("lose data of {victim}, then of {second}")
            }
        };
        faults.push(name);
        status(&run.client()).await?;
        run.healthy.set(true);
        sleep(Duration::from_millis(300)).await;
    }
    Ok(faults)
}

/// Wipes the data folder of a member, and repairs it by the documented steps.
///
/// The restarted instance has a new identity. So the old member is removed, and
/// the instance is added until it is a voter.
///
/// # Errors
///
/// Returns which step failed.
pub async fn wipe_and_repair(
    deployment: &mut Deployment,
    client: &ControlClient,
    name: &str,
) -> Result<(), String> {
    let before = status(client).await?;
    let old = before.members.iter().find(|member| member.name == name).map(|m| m.identity);
    let old = old.ok_or_else(|| format!("{name} is not a member"))?;
    deployment.kill(name);
    deployment.wipe_data(name).map_err(|error| error.to_string())?;
    deployment.restart(name).map_err(|error| error.to_string())?;
    change_members(client, &Request::RemoveMember(old), |status| !is_member(status, old)).await?;
    let add = Request::AddMember(name.to_owned());
    change_members(client, &add, |status| {
        status.members.iter().any(|member| member.name == name && member.voter)
    })
    .await
}

fn is_member(status: &StatusReply, id: MemberId) -> bool {
    status.members.iter().any(|member| member.identity == id)
}

/// Requests a change of membership until the status shows it.
async fn change_members(
    client: &ControlClient,
    request: &Request,
    done: impl Fn(&StatusReply) -> bool,
) -> Result<(), String> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if done(&status(client).await?) {
            return Ok(());
        }
        let _ = client.call(request, Instant::now() + Duration::from_secs(2)).await;
        sleep(Duration::from_millis(100)).await;
    }
    Err(format!("{request:?} did not take effect in time"))
}

/// Returns the name of the leader.
///
/// # Errors
///
/// Returns the client's error when none leads in time.
pub async fn leader(client: &ControlClient) -> Result<String, String> {
    let status = status(client).await?;
    let leader = status.members.into_iter().find(|member| member.leader);
    leader.map(|member| member.name).ok_or_else(|| "no control instance leads".to_owned())
}

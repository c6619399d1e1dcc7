//! Failover, restart and message counts of the control instances.

use std::{rc::Rc, time::Duration};

use egret_record::{DataCentre, OperationId};
use egret_rpc::{Command, ControlClient, Operation, Reply};
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};

use crate::{
    control::{DisabledGuards, Options, leader, run as run_faults, start_controls, status},
    deployment::Deployment,
    network::Delays,
};

/// Number of changes before a restart is timed.
const RESTART_CHANGES: u32 = 1_000;
/// Number of changes over which messages are counted.
const COUNTED_CHANGES: u32 = 100;
/// Number of leaders that are killed to time the failover.
const FAILOVERS: usize = 5;
/// Time for which an idle cluster is measured.
const IDLE: Duration = Duration::from_secs(3);
/// Timeout of one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Target for the time until an accepted change is in force for reachable holders.
const IN_FORCE_TARGET: Duration = Duration::from_secs(3);
/// Target for the time without a leader.
const FAILOVER_TARGET: Duration = Duration::from_secs(2);
/// Target for the time of a restart after many changes.
const RESTART_TARGET: Duration = Duration::from_secs(1);

/// Measures the control instances and prints one result line.
///
/// Returns whether the targets were met without violations.
///
/// # Errors
///
/// Returns what prevented the measurement.
pub async fn run(seed: u64) -> Result<bool, String> {
    let options = Options {
        seed,
        controls: 5,
        entries: 9,
        agents: 24,
        operators: 4,
        faults: 8,
        delays: Delays::KUMAMOTO,
        disabled: DisabledGuards::default(),
    };
    let found = run_faults(options).await?;
    let violations = found.history.violations();
    for violation in violations.iter().take(10) {
        println!("violation: {violation}");
    }
    println!("faults: {}", found.faults.join("; "));
    let (failover, restart, snapshot, messages, idle) =
        LocalSet::new().run_until(measure()).await?;
    println!(
        "result seed={seed} in_force_max_s={:.2} failover_max_s={:.2} restart_1000_s={:.2} \
         snapshot_bytes={snapshot} messages_per_change={messages:.1} bytes_per_s_idle={idle:.0} \
         amendments={} reads={} beliefs={} violations={}",
        found.in_force_max.as_secs_f64(),
        failover.as_secs_f64(),
        restart.as_secs_f64(),
        found.history.amendments.len(),
        found.history.reads.len(),
        found.history.leased_views.len(),
        violations.len(),
    );
    Ok(violations.is_empty()
        && found.in_force_max <= IN_FORCE_TARGET
        && failover <= FAILOVER_TARGET
        && restart <= RESTART_TARGET)
}

async fn measure() -> Result<(Duration, Duration, u64, f64, f64), String> {
    let mut deployment = start_controls(5, Delays::KUMAMOTO, "snapshot_entries: 500\n")?;
    let addresses = deployment.controls.values().copied().collect();
    let client = Rc::new(ControlClient::new([127, 0, 0, 1].into(), addresses));
    status(&client).await?;
    let idle = idle_bytes(&deployment).await;
    let messages = messages_per_change(&deployment, &client).await?;
    for number in 0..RESTART_CHANGES {
        change(&client, &format!("many-{number}"), number % 2 == 0).await?;
    }
    let mut failover = Duration::ZERO;
    for number in 0..FAILOVERS {
        let name = leader(&client).await?;
        deployment.kill(&name);
        let killed = Instant::now();
        change(&client, &format!("failover-{number}"), number % 2 == 0).await?;
        failover = failover.max(killed.elapsed());
        deployment.restart(&name).map_err(|error| error.to_string())?;
        sleep(Duration::from_secs(1)).await;
    }
    let (restart, snapshot) = restart_all(&mut deployment, &client).await?;
    Ok((failover, restart, snapshot, messages, idle))
}

async fn idle_bytes(deployment: &Deployment) -> f64 {
    sleep(Duration::from_secs(1)).await;
    let before = deployment.network.totals().0;
    sleep(IDLE).await;
    (deployment.network.totals().0 - before) as f64 / IDLE.as_secs_f64()
}

/// Returns the messages per change, less those that an idle cluster sends.
async fn messages_per_change(
    deployment: &Deployment,
    client: &ControlClient,
) -> Result<f64, String> {
    let before = deployment.network.totals().1;
    sleep(IDLE).await;
    let idle = (deployment.network.totals().1 - before) as f64 / IDLE.as_secs_f64();
    let started = Instant::now();
    let before = deployment.network.totals().1;
    for number in 0..COUNTED_CHANGES {
        change(client, &format!("counted-{number}"), number % 2 == 0).await?;
    }
    let sent = (deployment.network.totals().1 - before) as f64;
    let idle = idle * started.elapsed().as_secs_f64();
    Ok((sent - idle) / f64::from(COUNTED_CHANGES))
}

async fn change(client: &ControlClient, id: &str, out: bool) -> Result<(), String> {
    let command = Command::Amend {
        id: OperationId::new(id).map_err(|error| error.to_string())?,
        expected: None,
        operation: Operation::SetDataCentre {
            name: DataCentre::new("elsewhere").map_err(|error| error.to_string())?,
            out,
        },
    };
    match client.call(&command.into(), Instant::now() + CHANGE_TIMEOUT).await {
        Ok(Reply::Accepted { .. }) => Ok(()),
        other => Err(format!("{id} was not accepted: {other:?}")),
    }
}

/// Kills and restarts all instances. Returns the time until a change is accepted.
///
/// The time includes an election, which alone takes up to two election timeouts.
/// Also returns the size of a snapshot, in bytes.
async fn restart_all(
    deployment: &mut Deployment,
    client: &ControlClient,
) -> Result<(Duration, u64), String> {
    let names: Vec<_> = deployment.controls.keys().cloned().collect();
    for name in &names {
        deployment.kill(name);
    }
    let started = Instant::now();
    for name in &names {
        deployment.restart(name).map_err(|error| error.to_string())?;
    }
    change(client, "after-restart", true).await?;
    let took = started.elapsed();
    let snapshot = deployment.file_bytes(&names[0], "snapshot");
    Ok((took, snapshot))
}

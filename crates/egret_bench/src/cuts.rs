//! Availability while links are cut.
//!
//! Only links between instances are cut. Callers still reach every entry, so they
//! see how well the system routes around a cut.

use std::time::Duration;

use egret_route::Ran;
use tokio::time::{Instant, sleep};

use crate::{
    caller::{Exchange, Outcome},
    demo::{join_callers, plan, publish, start_load, wait_announced},
    deployment::Deployment,
    network::Delays,
};

/// The data centre that is cut off.
const CENTRE: &str = "fukuoka";
/// The other data centres.
const OTHERS: [&str; 2] = ["kumamoto", "kagoshima"];
/// Duration of the load before the cut and after it.
const MARGIN: Duration = Duration::from_secs(2);
/// Duration of the cut.
const CUT_TIME: Duration = Duration::from_secs(6);

/// Which links are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    Nothing,
    Region,
    ControlOnly,
    OneWayOut,
    OneWayIn,
}

impl Cut {
    const ALL: [Self; 5] =
        [Self::Nothing, Self::Region, Self::ControlOnly, Self::OneWayOut, Self::OneWayIn];

    const fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Region => "region",
            Self::ControlOnly => "control_only",
            Self::OneWayOut => "one_way_out",
            Self::OneWayIn => "one_way_in",
        }
    }

    fn apply(self, deployment: &Deployment) {
        let network = &deployment.network;
        for other in OTHERS {
            match self {
                Self::Nothing => {}
                Self::Region => network.cut(CENTRE, other),
                Self::ControlOnly => {
                    network.cut(&format!("control-{CENTRE}"), &format!("control-{other}"));
                }
                Self::OneWayOut => network.cut_one_way(CENTRE, other),
                Self::OneWayIn => network.cut_one_way(other, CENTRE),
            }
        }
    }
}

/// Measures each kind of cut and prints a result line for it.
///
/// Returns whether no response was lost. A refusal, also one that says "unknown", is
/// not a loss.
///
/// # Errors
///
/// Returns what prevented a measurement.
pub async fn run(seed: u64) -> Result<bool, String> {
    let mut passed = true;
    for cut in Cut::ALL {
        let exchanges = run_cut(cut, seed).await?;
        let during: Vec<_> = exchanges
            .iter()
            .filter(|exchange| exchange.sent >= MARGIN && exchange.sent < MARGIN + CUT_TIME)
            .collect();
        let count = |matches_outcome: fn(&Outcome) -> bool| {
            during.iter().filter(|e| matches_outcome(&e.outcome)).count()
        };
        let complete = count(|outcome| matches!(outcome, Outcome::Complete { .. }));
        let not_run = count(|outcome| *outcome == Outcome::Refused(Ran::NotRun));
        let unknown = count(|outcome| *outcome == Outcome::Refused(Ran::Unknown));
        let lost = count(|outcome| matches!(outcome, Outcome::Lost(_)));
        let slowest = during.iter().map(|exchange| exchange.latency).max().unwrap_or_default();
        println!(
            "result cut={} seed={seed} sent={} whole={complete} not_run={not_run} unknown={unknown} \
             lost={lost} service={:.4} slowest_s={:.2}",
            cut.name(),
            during.len(),
            complete as f64 / during.len().max(1) as f64,
            slowest.as_secs_f64(),
        );
        for exchange in
            during.iter().filter(|exchange| matches!(exchange.outcome, Outcome::Lost(_))).take(3)
        {
            println!("lost: {exchange:?}");
        }
        passed &= lost == 0;
    }
    Ok(passed)
}

async fn run_cut(cut: Cut, seed: u64) -> Result<Vec<Exchange>, String> {
    let mut plan = plan();
    plan.delays = Delays::KUMAMOTO;
    let deployment = Deployment::start(&plan).map_err(|error| error.to_string())?;
    wait_announced(&deployment, &plan).await?;
    publish(&deployment, "v1", seed).await?;
    let start = Instant::now();
    let load = start_load(&deployment, seed, start, MARGIN + CUT_TIME + MARGIN);
    sleep(MARGIN).await;
    cut.apply(&deployment);
    sleep(CUT_TIME).await;
    deployment.network.heal();
    Ok(join_callers(load).await)
}

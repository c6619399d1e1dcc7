//! Cases of the third review that are scripts.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod deployment;
mod engine;
mod many_changes;
mod platform;
mod record;
mod server;
mod stepped_clock;
mod weights;
mod world;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use record::Record;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Longest run of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Held,
    Broken,
    CannotRun,
}

/// Where a case finds its files, and whether the disruption happens.
#[derive(Debug)]
struct Setting {
    /// The folder of the project's programs.
    programs: PathBuf,
    /// A folder that is removed after the run.
    scratch: PathBuf,
    trouble: bool,
    record: Record,
}

/// Waits until this process is asked to stop.
async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => drop(terminate.recv().await),
        Err(_) => std::future::pending().await,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(programs), Some(scratch), Some(record)) =
        (arguments.next(), arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review_3 CASE PROGRAMS SCRATCH RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(record.as_ref()) else { return ExitCode::from(2) };
    let setting = Setting {
        programs: programs.into(),
        scratch: scratch.into(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record,
    };
    let run = async {
        match case.as_str() {
            "many-changes" => many_changes::run(&setting).await,
            "stepped-clock" => stepped_clock::run(&setting).await,
            _ => Outcome::CannotRun,
        }
    };
    // Whatever a case has started is killed when it is dropped.
    let outcome = tokio::select! {
        outcome = run => outcome,
        () = sleep(LIMIT) => Outcome::CannotRun,
        () = terminated() => Outcome::CannotRun,
    };
    setting.record.line(&format!("outcome {outcome:?}"));
    println!("{case}: {outcome:?}");
    ExitCode::from(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CannotRun => 2,
    })
}

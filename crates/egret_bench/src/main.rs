//! `egret-bench`: load and experiments over the stand-ins; never deployed.
//!
//! Exit codes: 0 all was well, 1 a promise or target was missed, 2 unusable command line.

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use rustix::process::{Resource, getrlimit, setrlimit};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let seed: u64 = *matches.get_one("seed").expect("clap has a default");
    raise_file_limit();
    let runtime = tokio::runtime::Runtime::new().expect("the system allows a runtime");
    let result = runtime.block_on(async {
        match name {
            "demo" => egret_bench::demo::run(seed).await,
            "cuts" => egret_bench::cuts::run(seed).await,
            "traffic" => egret_bench::traffic_bench::run(seed).await,
            "control" => egret_bench::control_bench::run(seed).await,
            "scale" => egret_bench::scale::run(seed).await,
            "claims" => {
                let calls: u32 = *matches.get_one("calls").expect("clap has a default");
                egret_bench::claims_bench::run(calls, seed).await
            }
            "weights" => {
                let agents: u16 = *matches.get_one("agents").expect("clap has a default");
                egret_bench::weights_bench::run(usize::from(agents), seed).await
            }
            other => Err(format!("no experiment {other:?}")),
        }
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Allows as many open files as the system lets a process have.
///
/// The forwarders hold two connections for each between processes.
fn raise_file_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(error) = setrlimit(Resource::Nofile, limit) {
        eprintln!("the limit on open files stays as it is: {error}");
    }
}

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of everything random");
    let experiment =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(seed.clone());
    let agents = Arg::new("agents")
        .long("agents")
        .default_value("9")
        .value_parser(value_parser!(u16).range(1..=240))
        .help("Agents that the weights go to");
    let calls = Arg::new("calls")
        .long("calls")
        .default_value("10000")
        .value_parser(value_parser!(u32).range(16..))
        .help("Calls that run at most once");
    Command::new("egret-bench")
        .about("Load and experiments over the stand-ins; never deployed.")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(experiment("demo", "Runs the whole path once, with a data centre out and back"))
        .subcommand(experiment("control", "Measures the control state under failure"))
        .subcommand(experiment("cuts", "Measures the service lost while links are cut"))
        .subcommand(experiment("traffic", "Measures what requests and tokens cost"))
        .subcommand(experiment("scale", "Measures slopes of cost against size"))
        .subcommand(experiment("claims", "Kills what is on the way of calls").arg(calls))
        .subcommand(experiment("weights", "Measures weights in a burst").arg(agents))
}

//! `egret-bench`: load tests and fault experiments on whole deployments; never deployed itself.
//!
//! Exit codes: 0 success, 1 a guarantee or target was missed or the run failed, 2 invalid command
//! line.

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use rustix::process::{Resource, getrlimit, setrlimit};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let seed: u64 = *matches.get_one("seed").expect("an argument with a default");
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
                let calls: u32 = *matches.get_one("calls").expect("an argument with a default");
                egret_bench::claims_bench::run(calls, seed).await
            }
            "weights" => {
                let agents: u16 = *matches.get_one("agents").expect("an argument with a default");
                egret_bench::weights_bench::run(usize::from(agents), seed).await
            }
            other => Err(format!("unknown experiment {other:?}")),
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

/// Raises the limit on open files to the maximum that the system allows.
///
/// The forwarders use two sockets for each connection between processes.
fn raise_file_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(error) = setrlimit(Resource::Nofile, limit) {
        eprintln!("cannot raise the limit on open files: {error}");
    }
}

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of the random number generators");
    let experiment =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(seed.clone());
    let agents = Arg::new("agents")
        .long("agents")
        .default_value("9")
        .value_parser(value_parser!(u16).range(1..=240))
        .help("Number of agents that receive the weights");
    let calls = Arg::new("calls")
        .long("calls")
        .default_value("10000")
        .value_parser(value_parser!(u32).range(16..))
        .help("Number of calls, each of which may run at most once");
    Command::new("egret-bench")
        .about("Load tests and fault experiments on whole deployments; never deployed itself.")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(experiment(
            "demo",
            "Runs end to end once, with a data centre taken out and put back in",
        ))
        .subcommand(experiment("control", "Measures the control instances under faults"))
        .subcommand(experiment("cuts", "Measures availability while links are cut"))
        .subcommand(experiment(
            "traffic",
            "Measures processor time and latency of requests and tokens",
        ))
        .subcommand(experiment("scale", "Measures how costs grow with size"))
        .subcommand(
            experiment("claims", "Kills processes on the path of calls that run at most once")
                .arg(calls),
        )
        .subcommand(
            experiment("weights", "Measures the distribution of weights to many agents at once")
                .arg(agents),
        )
}

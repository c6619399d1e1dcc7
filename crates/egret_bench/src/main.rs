//! `egret-bench`: load and experiments over the stand-ins; never deployed.
//!
//! Exit codes: 0 all was well, 1 a promise or target was missed, 2 unusable command line.

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let seed: u64 = *matches.get_one("seed").expect("clap has a default");
    let runtime = tokio::runtime::Runtime::new().expect("the system allows a runtime");
    let result = runtime.block_on(async {
        match name {
            "demo" => egret_bench::demo::run(seed).await,
            "control" => egret_bench::control_bench::run(seed).await,
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

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of everything random");
    Command::new("egret-bench")
        .about("Load and experiments over the stand-ins; never deployed.")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("demo")
                .about("Runs the whole path once, with a data centre out and back")
                .arg(seed.clone()),
        )
        .subcommand(
            Command::new("control").about("Measures the control state under failure").arg(seed),
        )
}

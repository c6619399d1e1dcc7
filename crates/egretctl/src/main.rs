//! `egretctl`: the command-line tool for operators.
//!
//! Exit codes: 0 success, 1 refused or not in force yet, 2 invalid command line,
//! settings or record, 3 outcome unknown (run it again with the same `--operation`).

mod api;
mod burn;
mod command;
mod explain;
mod failure;
mod local;
mod part;
mod remote;

use std::process::ExitCode;

use failure::Failure;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match run(&matches) {
        Ok(code) => code,
        Err(failure) => {
            let code = failure.exit_code();
            eprintln!("{:?}", miette::Report::from(failure));
            code
        }
    }
}

fn run(matches: &clap::ArgMatches) -> Result<ExitCode, Failure> {
    let access = command::access(matches)?;
    if matches.get_flag("check") {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    let level = matches.get_one::<String>("log-level").expect("clap has a default");
    let _logs = egret_telemetry::start_logs(level, egret_telemetry::LogOutput::Stderr)
        .map_err(|error| Failure::usage(&error))?;
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Failure::usage_text("no command is given", "run `egretctl --help`"));
    };
    match name {
        "validate" => local::validate(matches),
        "manifest" => local::manifest(matches),
        "explain" => explain::explain(matches),
        "part" => part::run(matches),
        _ => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("the runtime starts");
            runtime.block_on(remote::run(&api::AdminClient::new(access), name, matches))
        }
    }
}

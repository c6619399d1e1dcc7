//! Startup code shared by all programs: command line, settings, logs, shutdown signals.
//!
//! Exit codes: 0 after a graceful shutdown or a successful `--check`, 1 when the
//! program failed, 2 when the settings or the command line are not valid.

use std::{
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use egret_settings::{Settings, load};
use tokio::signal::unix::{SignalKind, signal};

use crate::logs::{LogOutput, Logs, start_logs};

/// Exit code when the program failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code when the settings or the command line are not valid.
pub const EXIT_USAGE: u8 = 2;

/// Name, summary and version of a program, for its command line.
#[derive(Debug, Clone, Copy)]
pub struct About {
    /// Its name.
    pub name: &'static str,
    /// What it does, in one sentence.
    pub summary: &'static str,
    /// Its version.
    pub version: &'static str,
}

/// Number of threads of a program's runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Threads {
    /// One thread, for the control state.
    One,
    /// One thread per core, for traffic.
    Many,
}

/// Reads command line and settings, then runs a program until SIGTERM or SIGINT.
pub fn main<S, R, E>(
    about: About,
    threads: Threads,
    run: impl FnOnce(S, std::pin::Pin<Box<dyn Future<Output = ()> + Send>>) -> R,
) -> ExitCode
where
    S: Settings,
    R: Future<Output = Result<(), E>>,
    E: miette::Diagnostic + Send + Sync + 'static,
{
    let matches = command(about).get_matches();
    let path: &PathBuf = matches.get_one("config").expect("clap requires it");
    let settings: S = match load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(&miette::Report::from(*error), EXIT_USAGE),
    };
    let _logs = match check_or_start_logs(&matches, path) {
        Ok(logs) => logs,
        Err(code) => return code,
    };
    let runtime = match threads {
        Threads::One => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        Threads::Many => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
    };
    let runtime = runtime.expect("the runtime starts");
    match runtime.block_on(async { run(settings, Box::pin(shutdown_signal())).await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.into(), EXIT_FAILED),
    }
}

fn command(about: About) -> Command {
    Command::new(about.name)
        .about(about.summary)
        .version(about.version)
        .after_help(
            "Exit codes: 0 graceful shutdown, 1 failure, 2 invalid settings or command line.",
        )
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The YAML file with the settings"),
        )
        .args(common_args("info"))
}

/// Returns the arguments `--check` and `--log-level`, common to all programs.
#[must_use]
pub fn common_args(level: &'static str) -> [Arg; 2] {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings and exits");
    let level = Arg::new("log-level")
        .long("log-level")
        .default_value(level)
        .help("One of error, warn, info, debug, trace");
    [check, level]
}

/// Starts the logger, or exits early when only a check of the settings is requested.
///
/// # Errors
///
/// Returns the exit code to use: after `--check`, or if the logger cannot be started.
///
/// # Panics
///
/// Panics if `matches` does not have the arguments of [`common_args`].
pub fn check_or_start_logs(matches: &ArgMatches, path: &Path) -> Result<Logs, ExitCode> {
    if matches.get_flag("check") {
        println!("{}: the settings are valid", path.display());
        return Err(ExitCode::SUCCESS);
    }
    let level = matches.get_one::<String>("log-level").expect("clap has a default");
    start_logs(level, LogOutput::Stdout).map_err(|error| fail(&error.into(), EXIT_USAGE))
}

/// Prints the error that ends the program, and returns its exit code.
#[must_use]
pub fn fail(error: &miette::Report, code: u8) -> ExitCode {
    eprintln!("{error:?}");
    ExitCode::from(code)
}

/// Completes at SIGTERM or SIGINT.
async fn shutdown_signal() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

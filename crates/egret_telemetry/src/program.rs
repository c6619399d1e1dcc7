//! The frame that all programs share: command line, settings, logs, stopping.
//!
//! Exit codes: 0 after a graceful stop or a successful `--check`, 1 when the
//! program could not go on, 2 when settings or command line cannot be used.

use std::{
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use egret_settings::{Settings, load};
use tokio::signal::unix::{SignalKind, signal};

use crate::logs::{LogOutput, Logs, start_logs};

/// Exit code when the program could not go on.
pub const EXIT_FAILED: u8 = 1;
/// Exit code when settings or command line cannot be used.
pub const EXIT_USAGE: u8 = 2;

/// What a program says of itself.
#[derive(Debug, Clone, Copy)]
pub struct About {
    /// Its name.
    pub name: &'static str,
    /// What it does, in one sentence.
    pub summary: &'static str,
    /// Its version.
    pub version: &'static str,
}

/// The threads of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Threads {
    /// One, for control state alone.
    One,
    /// One for each core, for traffic.
    Many,
}

/// Reads command line and settings, then runs a program until it is told to stop.
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
    let path: &PathBuf = matches.get_one("config").expect("clap demands it");
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
    let runtime = runtime.expect("the system allows a runtime");
    match runtime.block_on(async { run(settings, Box::pin(stopped())).await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.into(), EXIT_FAILED),
    }
}

fn command(about: About) -> Command {
    Command::new(about.name)
        .about(about.summary)
        .version(about.version)
        .after_help("Exit codes: 0 stopped gracefully, 1 could not go on, 2 unusable settings.")
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

/// Returns the arguments `--check` and `--log-level`, which all programs have.
#[must_use]
pub fn common_args(level: &'static str) -> [Arg; 2] {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings and ends");
    let level = Arg::new("log-level")
        .long("log-level")
        .default_value(level)
        .help("One of error, warn, info, debug, trace");
    [check, level]
}

/// Starts the logs of a program whose settings at `path` can be used.
///
/// # Errors
///
/// Returns the exit code of a program that shall only check them, or that cannot log.
///
/// # Panics
///
/// Panics when `matches` lacks the arguments of [`common_args`].
pub fn check_or_start_logs(matches: &ArgMatches, path: &Path) -> Result<Logs, ExitCode> {
    if matches.get_flag("check") {
        println!("{}: the settings can be used", path.display());
        return Err(ExitCode::SUCCESS);
    }
    let level = matches.get_one::<String>("log-level").expect("clap has a default");
    start_logs(level, LogOutput::Stdout).map_err(|error| fail(&error.into(), EXIT_USAGE))
}

/// Shows why a program ends, and returns its exit code.
#[must_use]
pub fn fail(error: &miette::Report, code: u8) -> ExitCode {
    eprintln!("{error:?}");
    ExitCode::from(code)
}

async fn stopped() {
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

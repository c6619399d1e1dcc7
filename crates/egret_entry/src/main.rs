//! `egret-entry`: the HTTP server for callers and operators.

use egret_settings::EntrySettings;
use egret_telemetry::program;

fn main() -> std::process::ExitCode {
    program::main::<EntrySettings, _, _>(
        program::About {
            name: "egret-entry",
            summary: "Serves callers and operators of egretgap.",
            version: env!("CARGO_PKG_VERSION"),
        },
        program::Threads::Many,
        egret_entry::run,
    )
}

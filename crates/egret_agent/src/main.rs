//! `egret-agent`: the process in the slot of a backend server instance.

use egret_settings::AgentSettings;
use egret_telemetry::program;

fn main() -> std::process::ExitCode {
    program::main::<AgentSettings, _, _>(
        program::About {
            name: "egret-agent",
            summary: "Stands before one backend server: gate, weights, orders.",
            version: env!("CARGO_PKG_VERSION"),
        },
        program::Threads::Many,
        egret_agent::run,
    )
}

//! `egret-agent`: the agent process next to a backend server instance.

use egret_settings::AgentSettings;
use egret_telemetry::program;

fn main() -> std::process::ExitCode {
    program::main::<AgentSettings, _, _>(
        program::About {
            name: "egret-agent",
            summary: "Admits the requests of one backend server and keeps its weights current.",
            version: env!("CARGO_PKG_VERSION"),
        },
        program::Threads::Many,
        egret_agent::run,
    )
}

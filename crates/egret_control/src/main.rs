//! `egret-control`: one replica of the control state.

use egret_settings::ControlSettings;
use egret_telemetry::program;

fn main() -> std::process::ExitCode {
    program::main::<ControlSettings, _, _>(
        program::About {
            name: "egret-control",
            summary: "Runs one replica of egretgap's control state.",
            version: env!("CARGO_PKG_VERSION"),
        },
        program::Threads::One,
        egret_control::run,
    )
}

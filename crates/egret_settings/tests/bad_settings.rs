//! Error messages for invalid settings, each with its remedy.

use egret_settings::{AgentSettings, ControlSettings, CtlSettings, EntrySettings, Settings, parse};
use miette::{GraphicalReportHandler, GraphicalTheme};

const CONTROL: &str = "name: control-1
data_centre: xela
listen: 127.0.0.1:7001
data_folder: /
peers:
  - { name: control-1, address: 127.0.0.1:7001 }
  - { name: control-2, address: 127.0.0.1:7002 }
";
const ENTRY: &str = "name: entry-1
data_centre: xela
listen: 127.0.0.1:8001
control: [127.0.0.1:7001]
";
const AGENT: &str = "name: runner-1
data_centre: xela
listen: 127.0.0.1:8101
peer_listen: 127.0.0.1:8102
control: [127.0.0.1:7001]
data_folder: /
backend: { kind: model, address: 127.0.0.1:9000, limit: 8 }
";

fn message<S: Settings + std::fmt::Debug>(text: &str) -> String {
    let error = parse::<S>("settings.yaml", text).expect_err("the settings are invalid");
    let mut out = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .render_report(&mut out, error.as_ref())
        .expect("rendering into a string");
    out
}

/// Compares the error of each case with its snapshot; a case is a name and a replacement in `base`.
fn check_cases<S: Settings + std::fmt::Debug>(
    program: &str,
    base: &str,
    cases: &[(&str, &str, &str)],
) {
    parse::<S>("settings.yaml", base).expect("the base settings are valid");
    for (name, from, to) in cases {
        assert!(base.contains(from), "{name} changes something");
        let text = base.replace(from, to);
        insta::assert_snapshot!(format!("{program}_{name}"), message::<S>(&text));
    }
}

#[test]
fn control_settings() {
    check_cases::<ControlSettings>(
        "control",
        CONTROL,
        &[
            ("unknown_key", "data_folder", "data_foldr"),
            ("missing_key", "listen: 127.0.0.1:7001\n", ""),
            ("bad_address", "listen: 127.0.0.1:7001", "listen: 127.0.0.1"),
            ("not_listed", "name: control-1\ndata", "name: control-9\ndata"),
            ("listed_twice", "127.0.0.1:7002", "127.0.0.1:7001"),
            ("short_election", "peers:", "election_ms: 5\npeers:"),
            ("short_lease", "peers:", "lease_ms: 100\npeers:"),
            ("no_snapshots", "peers:", "snapshot_entries: 0\npeers:"),
            ("missing_folder", "data_folder: /", "data_folder: /no/such/folder"),
            ("bad_name", "name: control-1\ndata", "name: Control 1\ndata"),
        ],
    );
}

#[test]
fn entry_settings() {
    check_cases::<EntrySettings>(
        "entry",
        ENTRY,
        &[
            ("unknown_key", "control:", "controls:"),
            ("no_control", "[127.0.0.1:7001]", "[]"),
            ("unreachable_address", "127.0.0.1:8001", "0.0.0.0:8001"),
            ("no_deadline", "control:", "deadline_ms: 0\ncontrol:"),
            ("negative_number", "control:", "keep_s: -1\ncontrol:"),
            ("many_retries", "control:", "retry_percent: 300\ncontrol:"),
            ("short_key", "control:", "admin_key: secret\ncontrol:"),
            ("bad_data_centre", "data_centre: xela", "data_centre: \"\""),
            ("not_yaml", "name: entry-1", "name: [entry-1"),
        ],
    );
}

#[test]
fn agent_settings() {
    check_cases::<AgentSettings>(
        "agent",
        AGENT,
        &[
            ("unknown_kind", "kind: model", "kind: engine"),
            ("unknown_nested_key", "limit: 8", "limits: 8"),
            ("no_limit", "limit: 8", "limit: 0"),
            ("service_without_name", "kind: model", "kind: service"),
            ("model_with_service", "kind: model", "kind: model, service: register"),
            ("text_for_number", "limit: 8", "limit: eight"),
        ],
    );
}

#[test]
fn ctl_settings() {
    check_cases::<CtlSettings>(
        "ctl",
        "entries: [127.0.0.1:8001]\n",
        &[("no_entry", "[127.0.0.1:8001]", "[]"), ("unknown_key", "entries", "entry")],
    );
}

#[test]
fn examples_decode() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    let mut checked = 0;
    for deployment in [folder.clone(), folder.join("kumamoto"), folder.join("ixchel")] {
        for file in std::fs::read_dir(deployment).unwrap().flatten() {
            let path = file.path();
            let name = file.file_name().into_string().unwrap();
            let result = match name.split(['-', '.']).next().unwrap() {
                "control" => egret_settings::load::<ControlSettings>(&path).map(|_| ()),
                "entry" => egret_settings::load::<EntrySettings>(&path).map(|_| ()),
                "agent" | "runner" => egret_settings::load::<AgentSettings>(&path).map(|_| ()),
                "egretctl" => egret_settings::load::<CtlSettings>(&path).map(|_| ()),
                _ => continue,
            };
            result.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
            checked += 1;
        }
    }
    assert_eq!(checked, 4 + 2 * 9);
}

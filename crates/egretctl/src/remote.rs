//! Commands that send requests to an entry.

use std::{
    io::{IsTerminal as _, Write as _},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use clap::ArgMatches;
use egret_record::parse_record;
use http::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    api::{AdminClient, AdminRequest},
    burn,
    failure::Failure,
    local::read_text,
};

/// Exit code of a change that is accepted but not in force yet.
const NOT_IN_FORCE: u8 = 1;
/// Polling interval of a rollout.
const ROLLOUT_PERIOD: Duration = Duration::from_millis(500);

/// Runs the command `name`.
pub(crate) async fn run(
    client: &AdminClient,
    name: &str,
    matches: &ArgMatches,
) -> Result<ExitCode, Failure> {
    match name {
        "apply" => apply(client, matches).await,
        "diff" => diff(client, matches).await,
        "list" => list(client).await,
        "get" => show(client, format!("/admin/v1/records/{}", text(matches, "name"))).await,
        "history" => {
            show(client, format!("/admin/v1/records/{}/history", text(matches, "name"))).await
        }
        "remove" => remove(client, matches).await,
        "rollout" => rollout(client, matches).await,
        "data-centre" => data_centre(client, matches).await,
        "member" => member(client, matches).await,
        "status" => show(client, "/admin/v1/status".to_owned()).await,
        "burn" => burn::report(client, matches).await,
        other => {
            Err(Failure::usage_text(format!("unknown command {other:?}"), "run `egretctl --help`"))
        }
    }
}

async fn apply(client: &AdminClient, matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires it");
    let body = read_text(path)?;
    parse_record(&path.display().to_string(), &body)?;
    let dry_run = matches.get_flag("dry-run");
    let query = if dry_run { "?dry_run=true" } else { "" };
    let mut request = change(Method::POST, format!("/admin/v1/records{query}"), matches);
    request.body = body;
    let value = client.send(&request).await?;
    if dry_run {
        println!("the record is valid; nothing was written");
        return Ok(ExitCode::SUCCESS);
    }
    Ok(accepted(&value))
}

async fn remove(client: &AdminClient, matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let path = format!("/admin/v1/records/{}", text(matches, "name"));
    Ok(accepted(&client.send(&change(Method::DELETE, path, matches)).await?))
}

async fn data_centre(client: &AdminClient, matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let Some((direction, matches)) = matches.subcommand() else {
        return Err(Failure::usage_text("no direction is given", "give `out` or `in`"));
    };
    let path = format!("/admin/v1/data-centres/{}/{direction}", text(matches, "name"));
    let request = AdminRequest::change(Method::POST, path, matches.get_one("operation"));
    Ok(accepted(&client.send(&request).await?))
}

async fn member(client: &AdminClient, matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let Some((action, matches)) = matches.subcommand() else {
        return Err(Failure::usage_text("no action is given", "give `add` or `remove`"));
    };
    let body = json!({ action: text(matches, "member") }).to_string();
    let request = AdminRequest::once(Method::POST, "/admin/v1/members", body);
    Ok(accepted(&client.send(&request).await?))
}

async fn list(client: &AdminClient) -> Result<ExitCode, Failure> {
    let value = client.send(&AdminRequest::get("/admin/v1/records")).await?;
    println!("{:<24} {:>8} {:>6} {:>8}", "NAME", "REVISION", "SCHEMA", "PRIORITY");
    for stored in value["records"].as_array().into_iter().flatten() {
        let record = &stored["record"];
        println!(
            "{:<24} {:>8} {:>6} {:>8}",
            record["name"].as_str().unwrap_or_default(),
            stored["revision"],
            record["schema"],
            record["priority"],
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the lines in which the file differs from the stored record.
async fn diff(client: &AdminClient, matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires it");
    let new = parse_record(&path.display().to_string(), &read_text(path)?)?;
    let name = new.name.to_string();
    let old = match client.send(&AdminRequest::get(format!("/admin/v1/records/{name}"))).await {
        Ok(value) => lines(&value["record"]),
        Err(Failure::NotFound { .. }) => Vec::new(),
        Err(other) => return Err(other),
    };
    let new = lines(&serde_json::to_value(&new).expect("plain data always encodes"));
    for line in old.iter().filter(|line| !new.contains(line)) {
        println!("- {line}");
    }
    for line in new.iter().filter(|line| !old.contains(line)) {
        println!("+ {line}");
    }
    Ok(ExitCode::SUCCESS)
}

fn lines(value: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    flatten("", value, &mut lines);
    lines
}

fn flatten(prefix: &str, value: &Value, lines: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                flatten(&format!("{prefix}{key}."), value, lines);
            }
        }
        Value::Array(values) => {
            for (index, value) in values.iter().enumerate() {
                flatten(&format!("{prefix}{index}."), value, lines);
            }
        }
        leaf => lines.push(format!("{}: {leaf}", prefix.trim_end_matches('.'))),
    }
}

/// Shows progress until the record is live on its replicas.
async fn rollout(client: &AdminClient, matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let name = text(matches, "name");
    let limit: u64 = *matches.get_one("timeout-s").expect("clap has a default");
    let started = Instant::now();
    let deadline = started + Duration::from_secs(limit);
    let terminal = std::io::stdout().is_terminal();
    loop {
        let status = client.send(&AdminRequest::get("/admin/v1/status")).await?;
        let all = status["records"].as_array().into_iter().flatten();
        let found = all.into_iter().find(|record| record["name"] == name);
        let Some(record) = found else {
            return Err(Failure::Refused { message: format!("there is no record {name:?}") });
        };
        let live = record["live"].as_u64().unwrap_or(0);
        let wanted = record["wanted"].as_u64().unwrap_or(0);
        show_progress(terminal, name, live, wanted, started);
        if live >= wanted {
            println!(
                "{}live in {:.1} s",
                if terminal { "\n" } else { "" },
                started.elapsed().as_secs_f64()
            );
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= deadline {
            println!();
            let message = format!("{live} of {wanted} replicas are live after {limit} s");
            return Err(Failure::Refused { message });
        }
        sleep(ROLLOUT_PERIOD).await;
    }
}

fn show_progress(terminal: bool, name: &str, live: u64, wanted: u64, started: Instant) {
    /// Width of the progress bar, in characters.
    const WIDTH: u64 = 40;
    let seconds = started.elapsed().as_secs_f64();
    if !terminal {
        println!("record={name} live={live} wanted={wanted} seconds={seconds:.1}");
        return;
    }
    let full = (WIDTH * live).checked_div(wanted).unwrap_or(WIDTH).min(WIDTH);
    let bar: String = (0..WIDTH).map(|column| if column < full { '#' } else { '.' }).collect();
    print!("\r{name} [{bar}] {live}/{wanted} {seconds:.1} s");
    let _ = std::io::stdout().flush();
}

async fn show(client: &AdminClient, path: String) -> Result<ExitCode, Failure> {
    let value = client.send(&AdminRequest::get(path)).await?;
    println!("{}", serde_json::to_string_pretty(&value).expect("plain data always encodes"));
    Ok(ExitCode::SUCCESS)
}

fn change(method: Method, path: String, matches: &ArgMatches) -> AdminRequest {
    let mut request = AdminRequest::change(method, path, matches.get_one("operation"));
    request.expected = matches.get_one("expected").copied();
    request
}

/// Prints an accepted change and returns the exit code, which depends on whether it is in force.
fn accepted(value: &Value) -> ExitCode {
    let in_force = value["in_force"] == true;
    println!("accepted at revision {}, in force everywhere: {in_force}", value["revision"]);
    if in_force { ExitCode::SUCCESS } else { ExitCode::from(NOT_IN_FORCE) }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("clap requires it")
}

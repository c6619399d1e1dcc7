//! Commands about blocked parts of prompts, sent to the control instances.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitCode,
    time::Duration,
};

use clap::ArgMatches;
use egret_record::{InvalidPartId, PartId, View};
use egret_rpc::{Command, ControlClient, Query, Reply, Request};
use tokio::{task::LocalSet, time::Instant};

use crate::failure::Failure;

/// Timeout of a command, in which a new leader may be elected.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `part list` or `part release`.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let control = matches.get_many::<SocketAddr>("control").unwrap_or_default();
    let addresses: Vec<_> = control.copied().collect();
    // The client's tasks stay on this thread.
    LocalSet::new().block_on(&runtime, async {
        let client = ControlClient::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), addresses);
        match matches.subcommand() {
            Some(("list", _)) => list(&client).await,
            Some(("release", matches)) => {
                let text: &String = matches.get_one("part").expect("clap requires it");
                release(&client, text).await
            }
            _ => Err(Failure::usage_text("no action is given", "give `list` or `release`")),
        }
    })
}

async fn list(client: &ControlClient) -> Result<ExitCode, Failure> {
    let view = view(client).await?;
    println!("{:<40} {:>8} {:>6} {:<8} {:<5}", "PART", "SINCE", "TRIALS", "DOUBTFUL", "TRIAL");
    for (part, block) in &view.blocked {
        println!(
            "{:<40} {:>8} {:>6} {:<8} {:<5}",
            part.to_string(),
            block.since,
            block.trials,
            block.doubtful,
            if block.trial_open { "open" } else { "-" }
        );
    }
    Ok(ExitCode::SUCCESS)
}

async fn release(client: &ControlClient, text: &str) -> Result<ExitCode, Failure> {
    let part: PartId = text.parse().map_err(|error: InvalidPartId| {
        Failure::usage_text(error.to_string(), "copy the id from `egretctl part list`")
    })?;
    if !view(client).await?.blocked.contains_key(&part) {
        let message =
            format!("part {part} is not blocked; `egretctl part list` shows those that are");
        return Err(Failure::Refused { message });
    }
    match call(client, &Request::from(Command::ReleasePart(part))).await? {
        Reply::Accepted { revision } => {
            println!("part {part} is released at revision {revision}");
            Ok(ExitCode::SUCCESS)
        }
        reply => Err(unexpected(&reply)),
    }
}

async fn view(client: &ControlClient) -> Result<View, Failure> {
    match call(client, &Request::Query(Query::View)).await? {
        Reply::View(view) => Ok(*view),
        reply => Err(unexpected(&reply)),
    }
}

async fn call(client: &ControlClient, request: &Request) -> Result<Reply, Failure> {
    let reply = client.call(request, Instant::now() + TIMEOUT).await;
    reply.map_err(|error| Failure::Refused { message: error.to_string() })
}

fn unexpected(reply: &Reply) -> Failure {
    Failure::Refused { message: format!("the control instance answered {reply:?}") }
}

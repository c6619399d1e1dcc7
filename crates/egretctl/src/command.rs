//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use egret_settings::{CtlSettings, load};

use crate::{api::Access, failure::Failure};

/// Describes the command line.
pub(crate) fn command() -> Command {
    let name = || Arg::new("name").required(true).help("Name of the record");
    let file = || {
        Arg::new("file")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("The YAML file with the record")
    };
    let operation = || {
        Arg::new("operation")
            .long("operation")
            .value_name("ID")
            .help("Names the change; the same ID again gets the first outcome")
    };
    let expected = || {
        Arg::new("expected")
            .long("expected")
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .help("Changes the record only if it has this revision; 0 for none")
    };
    let data_centre = || Arg::new("name").required(true).help("Name of the data centre");
    Command::new("egretctl")
        .about("Writes egretgap's records and shows its state.")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Exit codes: 0 done, 1 refused or not in force yet, 2 unusable input, 3 outcome unknown.")
        .arg_required_else_help(true)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The YAML file with `entries` and `admin_key`"),
        )
        .args(egret_telemetry::program::common_args("warn"))
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of an entry; give several to try them in order"),
        )
        .arg(Arg::new("key").long("key").help("The operators' key"))
        .subcommand(
            Command::new("apply")
                .about("Writes a record")
                .arg(file())
                .arg(expected())
                .arg(operation())
                .arg(
                    Arg::new("dry-run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Lets the system check the record without writing it"),
                ),
        )
        .subcommand(Command::new("validate").about("Checks record files here").arg(file().num_args(1..)))
        .subcommand(Command::new("diff").about("Compares a record file with the record").arg(file()))
        .subcommand(Command::new("list").about("Lists the records"))
        .subcommand(Command::new("get").about("Shows a record").arg(name()))
        .subcommand(Command::new("history").about("Shows the earlier forms of a record").arg(name()))
        .subcommand(
            Command::new("remove")
                .about("Removes a record")
                .arg(name())
                .arg(expected())
                .arg(operation()),
        )
        .subcommand(
            Command::new("rollout")
                .about("Shows how far a record has come, until it is live")
                .arg(name())
                .arg(
                    Arg::new("timeout-s")
                        .long("timeout-s")
                        .default_value("600")
                        .value_parser(value_parser!(u64))
                        .help("Seconds after which to give up"),
                ),
        )
        .subcommand(
            Command::new("data-centre")
                .about("Takes a data centre out or brings it back")
                .subcommand_required(true)
                .subcommand(Command::new("out").about("Takes it out").arg(data_centre()).arg(operation()))
                .subcommand(Command::new("in").about("Brings it back").arg(data_centre()).arg(operation())),
        )
        .subcommand(
            Command::new("member")
                .about("Changes who keeps the control state")
                .subcommand_required(true)
                .subcommand(
                    Command::new("add")
                        .about("Adds a control instance that asks to be added")
                        .arg(Arg::new("member").required(true).help("Its name")),
                )
                .subcommand(
                    Command::new("remove")
                        .about("Removes a control instance")
                        .arg(Arg::new("member").required(true).help("Its identity, as status shows it")),
                ),
        )
        .subcommand(Command::new("status").about("Shows members, entries, backend servers and records"))
        .subcommand(
            Command::new("burn")
                .about("Reports service-level burn by organisation and record")
                .arg(
                    Arg::new("svg")
                        .long("svg")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Writes a plot as well"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows the path of a request through the logs of several processes")
                .arg(Arg::new("request").required(true).help("The id of the request"))
                .arg(file().num_args(1..).help("Logs of entries")),
        )
        .subcommand(
            Command::new("manifest")
                .about("Makes the manifest of weights, for the origin")
                .arg(
                    Arg::new("weights")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("The file with the weights"),
                )
                .arg(Arg::new("model").long("model").required(true).help("The model's name"))
                .arg(Arg::new("version").long("version").required(true).help("The version's label"))
                .arg(
                    Arg::new("chunk-bytes")
                        .long("chunk-bytes")
                        .default_value("1048576")
                        .value_parser(value_parser!(u32).range(1..))
                        .help("Size of the chunks"),
                ),
        )
}

/// Finds out how to reach the system.
pub(crate) fn access(matches: &ArgMatches) -> Result<Access, Failure> {
    let settings: Option<CtlSettings> = match matches.get_one::<PathBuf>("config") {
        Some(path) => Some(load(path)?),
        None => None,
    };
    let mut entries: Vec<SocketAddr> =
        matches.get_many("entry").unwrap_or_default().copied().collect();
    let mut key: Option<String> = matches.get_one("key").cloned();
    if let Some(settings) = settings {
        entries.extend(settings.entries);
        key = key.or(settings.admin_key);
    }
    Ok(Access { entries, key })
}

//! Definition of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use egret_settings::{CtlSettings, load};

use crate::{api::Access, failure::Failure};

/// Returns the definition of the command line.
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
            .help("Identifies the change; the same ID again returns the first outcome")
    };
    let expected = || {
        Arg::new("expected")
            .long("expected")
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .help("Changes the record only if it has this revision; 0 if it must not exist")
    };
    let data_centre = || Arg::new("name").required(true).help("Name of the data centre");
    Command::new("egretctl")
        .about("Writes egretgap's records and shows its state.")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Exit codes: 0 success, 1 refused or not in force yet, 2 invalid input, 3 outcome unknown.")
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
                        .help("Validates the record on the server without writing it"),
                ),
        )
        .subcommand(Command::new("validate").about("Checks record files locally").arg(file().num_args(1..)))
        .subcommand(Command::new("diff").about("Compares a record file with the stored record").arg(file()))
        .subcommand(Command::new("list").about("Lists the records"))
        .subcommand(Command::new("get").about("Shows a record").arg(name()))
        .subcommand(Command::new("history").about("Shows the earlier revisions of a record").arg(name()))
        .subcommand(
            Command::new("remove")
                .about("Removes a record")
                .arg(name())
                .arg(expected())
                .arg(operation()),
        )
        .subcommand(
            Command::new("rollout")
                .about("Shows the progress of a rollout until the record is live")
                .arg(name())
                .arg(
                    Arg::new("timeout-s")
                        .long("timeout-s")
                        .default_value("600")
                        .value_parser(value_parser!(u64))
                        .help("Timeout in seconds"),
                ),
        )
        .subcommand(
            Command::new("part")
                .about("Shows and releases the parts of prompts that are blocked")
                .subcommand_required(true)
                .arg(
                    Arg::new("control")
                        .long("control")
                        .value_name("ADDRESS")
                        .required(true)
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Address at which control instances reach each other; give several to try them"),
                )
                .subcommand(Command::new("list").about("Lists the blocked parts"))
                .subcommand(
                    Command::new("release")
                        .about("Releases a blocked part")
                        .arg(Arg::new("part").required(true).help("Its id, as the list and the logs show it")),
                ),
        )
        .subcommand(
            Command::new("data-centre")
                .about("Takes a data centre out of service or puts it back in")
                .subcommand_required(true)
                .subcommand(Command::new("out").about("Takes it out of service").arg(data_centre()).arg(operation()))
                .subcommand(Command::new("in").about("Puts it back in service").arg(data_centre()).arg(operation())),
        )
        .subcommand(
            Command::new("member")
                .about("Changes the members of the control cluster")
                .subcommand_required(true)
                .subcommand(
                    Command::new("add")
                        .about("Adds a control instance that waits to join")
                        .arg(Arg::new("member").required(true).help("Its name")),
                )
                .subcommand(
                    Command::new("remove")
                        .about("Removes a control instance")
                        .arg(Arg::new("member").required(true).help("Its identity, as shown by status")),
                ),
        )
        .subcommand(Command::new("status").about("Shows members, entries, backend servers and records"))
        .subcommand(
            Command::new("burn")
                .about("Reports burn rates by organisation and record")
                .arg(
                    Arg::new("svg")
                        .long("svg")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Writes a plot to this file as well"),
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
                .about("Prints the manifest of weights, for the origin")
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

/// Determines the entries and the key from the command line and the settings file.
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

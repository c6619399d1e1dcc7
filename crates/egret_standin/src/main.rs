//! `egret-standin`: stand-ins for the backend servers and the weights origin.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use egret_http::NoDelayListener;
use egret_standin::{
    engine::{Engine, EngineOptions},
    origin::Origin,
    service::EchoService,
};
use tokio::net::TcpListener;
use viz::Router;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((kind, matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let router = match kind {
        "engine" => engine(matches).router(),
        "service" => EchoService::new(millis(matches, "delay-ms")).router(),
        _ => origin(matches).router(),
    };
    let listen: SocketAddr = *matches.get_one("listen").expect("a required argument");
    let runtime = tokio::runtime::Runtime::new().expect("the system allows a runtime");
    match runtime.block_on(serve(listen, router)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot serve on {listen}: {error}; choose another --listen");
            ExitCode::FAILURE
        }
    }
}

async fn serve(listen: SocketAddr, router: Router) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("listening={listen}");
    viz::serve(NoDelayListener(listener), router).await
}

fn engine(matches: &ArgMatches) -> Engine {
    Engine::new(EngineOptions {
        limit: *matches.get_one("limit").expect("an argument with a default"),
        cold_limit: *matches.get_one("cold-limit").expect("an argument with a default"),
        cold_time: millis(matches, "cold-ms"),
        first_token: millis(matches, "first-token-ms"),
        between_tokens: millis(matches, "between-tokens-ms"),
        tokens: *matches.get_one("tokens").expect("an argument with a default"),
        fencing: !matches.get_flag("ignore-fence"),
    })
}

fn origin(matches: &ArgMatches) -> Origin {
    let folder: PathBuf =
        matches.get_one::<PathBuf>("folder").expect("a required argument").clone();
    Origin::new(folder, matches.get_one("rate-bytes").copied())
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(*matches.get_one(name).expect("an argument with a default"))
}

fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on");
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    let count = |name: &'static str, default: &'static str, help: &'static str| {
        number(name, default, help).value_parser(value_parser!(u32))
    };
    let engine = Command::new("engine")
        .about("A model engine")
        .arg(listen.clone())
        .arg(count("limit", "8", "Concurrency limit when warm"))
        .arg(count("cold-limit", "2", "Concurrency limit when cold"))
        .arg(number(
            "cold-ms",
            "500",
            "Time for which the engine stays cold after loading new weights",
        ))
        .arg(number("first-token-ms", "20", "Time until the first token"))
        .arg(number("between-tokens-ms", "5", "Time between tokens"))
        .arg(count("tokens", "8", "Tokens in an answer"))
        .arg(
            Arg::new("ignore-fence")
                .long("ignore-fence")
                .action(ArgAction::SetTrue)
                .help("Accepts load orders with an outdated fence"),
        );
    let service = Command::new("service").about("A plain service").arg(listen.clone()).arg(number(
        "delay-ms",
        "10",
        "Time that each request takes",
    ));
    let origin = Command::new("origin")
        .about("An origin server of weights")
        .arg(listen)
        .arg(
            Arg::new("folder")
                .long("folder")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Folder with the files"),
        )
        .arg(
            Arg::new("rate-bytes")
                .long("rate-bytes")
                .value_parser(value_parser!(u64))
                .help("Bandwidth of the link in bytes per second, unlimited if absent"),
        );
    Command::new("egret-standin")
        .about("Stand-ins for the backend servers and the weights origin, for development")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(engine)
        .subcommand(service)
        .subcommand(origin)
}

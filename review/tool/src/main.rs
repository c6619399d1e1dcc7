//! The cases of the review that are scripts: `review_cases CASE RECORD`.

mod catalog;
mod deploy;
mod directory;
mod drain;
mod http;
mod mixed;
mod quorum;
mod record;
mod recover;
mod runner;
mod sha256;
mod traffic;

use std::{path::Path, process::ExitCode};

use crate::{
    deploy::{Deployment, Outcome},
    record::Record,
    recover::Spoilt,
};

/// Whether the rule held.
pub(crate) struct Held(bool);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review_cases CASE RECORD");
        return ExitCode::from(2);
    };
    match run(case, Path::new(path)) {
        Ok(Held(true)) => ExitCode::SUCCESS,
        Ok(Held(false)) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, path: &Path) -> Outcome<Held> {
    let record = Record::create(path)?;
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    record.line(format_args!("case {case}, TROUBLE={trouble}"));
    let deployment = Deployment::new(&std::env::current_dir()?, &record)?;
    let held = match case {
        "quorum" => quorum::run(deployment, &record, &trouble),
        "mixed" => mixed::run(deployment, &record, &trouble),
        "list" => recover::run(deployment, &record, &trouble, Spoilt::List),
        "pieces" => recover::run(deployment, &record, &trouble, Spoilt::Pieces),
        "drain" => drain::run(deployment, &record, &trouble),
        "directory" => directory::run(deployment, &record, &trouble),
        _ => Err("no such case".into()),
    };
    match &held {
        Ok(Held(held)) => record.announce(if *held { "the rule held" } else { "the rule broke" }),
        Err(error) => record.line(format_args!("the case could not run: {error}")),
    }
    held
}

//! Commands that run locally, without an entry.

use std::{fs, path::PathBuf, process::ExitCode};

use clap::ArgMatches;
use egret_record::parse_record;
use egret_weights::Manifest;

use crate::failure::Failure;

/// Reads a file given on the command line.
pub(crate) fn read(path: &PathBuf) -> Result<Vec<u8>, Failure> {
    fs::read(path).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        Failure::usage_text(message, "give the path of a readable file")
    })
}

/// Reads a record file as text.
pub(crate) fn read_text(path: &PathBuf) -> Result<String, Failure> {
    String::from_utf8(read(path)?).map_err(|_| {
        let message = format!("{}: not UTF-8", path.display());
        Failure::usage_text(message, "save the record as UTF-8 text")
    })
}

/// Validates record files.
pub(crate) fn validate(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    for path in matches.get_many::<PathBuf>("file").unwrap_or_default() {
        let record = parse_record(&path.display().to_string(), &read_text(path)?)?;
        println!("{}: record {} of schema {} is valid", path.display(), record.name, record.schema);
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the manifest of weights, and the digest to put in the record.
pub(crate) fn manifest(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let path: &PathBuf = matches.get_one("weights").expect("clap requires it");
    let text = |name| matches.get_one::<String>(name).expect("clap requires it");
    let chunk_bytes: u32 = *matches.get_one("chunk-bytes").expect("clap has a default");
    let manifest = Manifest::of(text("model"), text("version"), &read(path)?, chunk_bytes);
    println!("{}", serde_json::to_string(&manifest).expect("plain data always encodes"));
    eprintln!("digest: {}", manifest.digest());
    Ok(ExitCode::SUCCESS)
}

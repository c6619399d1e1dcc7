//! The history of one request, collected from the logs of several processes.

use std::{collections::BTreeSet, path::PathBuf, process::ExitCode};

use clap::ArgMatches;

use crate::{failure::Failure, local::read};

/// A log line that is relevant to a request.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line<'a> {
    time: &'a str,
    file: &'a str,
    /// The line number, which orders lines with the same time.
    number: usize,
    text: &'a str,
}

/// Prints the log lines of a request in order of time.
///
/// Includes the catalog in force and the last status of each backend server that
/// the request was sent to, as the process knew them before its last line about the request.
pub(crate) fn explain(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let id = matches.get_one::<String>("request").expect("clap requires it");
    let paths: Vec<&PathBuf> = matches.get_many("file").unwrap_or_default().collect();
    let logs = paths
        .iter()
        .map(|path| {
            let text = String::from_utf8_lossy(&read(path)?).into_owned();
            Ok((path.display().to_string(), text))
        })
        .collect::<Result<Vec<_>, Failure>>()?;
    let lines = lines_of(id, &logs);
    if lines.is_empty() {
        let message = format!("no line of these logs names request {id}");
        return Err(Failure::usage_text(message, "give the logs of all entries of that time"));
    }
    for line in lines {
        println!("{} {}", line.file, line.text);
    }
    Ok(ExitCode::SUCCESS)
}

fn lines_of<'a>(id: &str, logs: &'a [(String, String)]) -> Vec<Line<'a>> {
    let mut found: Vec<Line<'a>> = Vec::new();
    for (file, text) in logs {
        let lines: Vec<_> = text.lines().enumerate().collect();
        let matching = lines.iter().filter(|(_, line)| field(line, "request") == Some(id));
        let matching: Vec<_> = matching.copied().collect();
        let Some((last, _)) = matching.last() else { continue };
        let backends: BTreeSet<_> =
            matching.iter().filter_map(|(_, line)| field(line, "backend")).collect();
        let statuses = backends.into_iter().filter_map(|backend| {
            let about = |(number, line): &&(usize, &str)| {
                number < last
                    && field(line, "event") == Some("backend_seen")
                    && field(line, "backend") == Some(backend)
            };
            lines.iter().rfind(about).copied()
        });
        let catalog = lines.iter().rfind(|(number, line)| {
            number < last && field(line, "event") == Some("catalog_in_force")
        });
        let all = matching.iter().copied().chain(statuses).chain(catalog.copied());
        found.extend(all.map(|(number, text)| Line {
            time: field(text, "time").unwrap_or_default(),
            file,
            number,
            text,
        }));
    }
    found.sort();
    found.dedup();
    found
}

/// Returns the value of a field of a line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let words = line.split_whitespace();
    words
        .filter_map(|word| word.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

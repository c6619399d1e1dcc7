//! The path of one request through the logs of several processes.

use std::{collections::BTreeSet, path::PathBuf, process::ExitCode};

use clap::ArgMatches;

use crate::{failure::Failure, local::read};

/// A line of a log that has to do with a request.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line<'a> {
    time: &'a str,
    file: &'a str,
    /// Where it stands in the file, for lines of the same time.
    number: usize,
    text: &'a str,
}

/// Prints what processes logged of a request, in order of time, and what they
/// had learnt before of the backend servers that it was sent to.
pub(crate) fn explain(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let id = matches.get_one::<String>("request").expect("clap demands it");
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
        let own = lines.iter().filter(|(_, line)| field(line, "request") == Some(id));
        let own: Vec<_> = own.copied().collect();
        let Some((last, _)) = own.last() else { continue };
        let backends: BTreeSet<_> =
            own.iter().filter_map(|(_, line)| field(line, "backend")).collect();
        let beliefs = backends.into_iter().filter_map(|backend| {
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
        let all = own.iter().copied().chain(beliefs).chain(catalog.copied());
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
    words.filter_map(|word| word.split_once('=')).find(|(key, _)| *key == name).map(|(_, one)| one)
}

//! Decoding of one YAML document with faults that name the remedy.

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A fault in a document, with its place and its remedy.
#[derive(Debug, Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(code(egretgap::document))]
pub struct DocumentError {
    message: String,
    #[help]
    help: String,
    #[source_code]
    source_code: NamedSource<String>,
    #[label("here")]
    span: SourceSpan,
}

impl DocumentError {
    /// Returns the remedy.
    #[must_use]
    pub fn remedy(&self) -> &str {
        &self.help
    }
}

/// One fault that a check of decoded values found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The key whose value is at fault.
    pub key: &'static str,
    /// What is wrong.
    pub message: String,
    /// What the operator should do.
    pub help: String,
}

impl Problem {
    /// Describes a fault of the value under `key`.
    pub fn new(key: &'static str, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self { key, message: message.into(), help: help.into() }
    }
}

/// Decodes one YAML document.
///
/// # Errors
///
/// Returns a [`DocumentError`] for bad syntax, an unknown or missing key, or a
/// value of the wrong type.
pub fn decode<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Box<DocumentError>> {
    serde_saphyr::from_str(text).map_err(|error| Box::new(decoding_error(name, text, &error)))
}

/// Turns the first problem of a check into an error that points at its key.
///
/// # Errors
///
/// Returns a [`DocumentError`] when there is a problem.
pub fn reject(name: &str, text: &str, problems: Vec<Problem>) -> Result<(), Box<DocumentError>> {
    let Some(problem) = problems.into_iter().next() else {
        return Ok(());
    };
    Err(Box::new(DocumentError {
        message: format!("{name}: {}", problem.message),
        help: problem.help,
        source_code: NamedSource::new(name, text.to_owned()),
        span: key_span(text, problem.key),
    }))
}

fn decoding_error(name: &str, text: &str, error: &serde_saphyr::Error) -> DocumentError {
    let message = first_line(&error.without_snippet().to_string());
    let span = match error.location() {
        Some(place) => line_span(text, place.line(), place.column()),
        None => (0, 0).into(),
    };
    DocumentError {
        help: decoding_help(&message),
        message: format!("{name}: {message}"),
        source_code: NamedSource::new(name, text.to_owned()),
        span,
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

fn decoding_help(message: &str) -> String {
    if message.contains("unknown field") {
        return unknown_key_help(message);
    }
    if let Some(key) = quoted(message).first().filter(|_| message.contains("missing field")) {
        return format!("add `{key}:` with a value; the file in settings/ shows one");
    }
    "correct the value at the marked place; the file in settings/ shows its form".to_owned()
}

fn unknown_key_help(message: &str) -> String {
    let words = quoted(message);
    let Some((unknown, known)) = words.split_first() else {
        return "remove the key".to_owned();
    };
    let nearest =
        known.iter().max_by(|a, b| strsim::jaro(unknown, a).total_cmp(&strsim::jaro(unknown, b)));
    match nearest {
        Some(key) => format!("did you mean `{key}`? otherwise remove `{unknown}`"),
        None => format!("remove `{unknown}`"),
    }
}

fn quoted(message: &str) -> Vec<&str> {
    message.split('`').skip(1).step_by(2).collect()
}

fn line_span(text: &str, line: u64, column: u64) -> SourceSpan {
    let before = usize::try_from(line.saturating_sub(1)).unwrap_or(usize::MAX);
    let start: usize = text.split_inclusive('\n').take(before).map(str::len).sum();
    let column = usize::try_from(column.saturating_sub(1)).unwrap_or(0);
    let start = (start + column).min(text.len());
    let length = text.get(start..).map_or(0, |rest| first_line(rest).len());
    (start, length).into()
}

fn key_span(text: &str, key: &str) -> SourceSpan {
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        let content = line.trim_start().trim_start_matches("- ");
        if content.strip_prefix(key).is_some_and(|rest| rest.starts_with(':')) {
            return (start, line.trim_end().len()).into();
        }
        start += line.len();
    }
    (0, 0).into()
}

//! Decoding of a YAML document, with errors that point into it and name the remedy.

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error in a document, with its location and its remedy.
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

/// An invalid value, found when the decoded values are validated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The key of the invalid value.
    pub key: &'static str,
    /// What is wrong.
    pub message: String,
    /// What the operator should do.
    pub help: String,
}

impl Problem {
    /// Creates a problem with the value of `key`.
    pub fn new(key: &'static str, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self { key, message: message.into(), help: help.into() }
    }
}

/// Decodes a YAML document.
///
/// # Errors
///
/// Returns a [`DocumentError`] for invalid syntax, an unknown or missing key, or a
/// value of the wrong type.
pub fn decode<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Box<DocumentError>> {
    serde_saphyr::from_str(text).map_err(|error| Box::new(decoding_error(name, text, &error)))
}

/// Converts the first of `problems`, if any, into an error that points at its key.
///
/// # Errors
///
/// Returns a [`DocumentError`] if there is a problem.
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
    let error = error.without_snippet();
    let span = match error.location() {
        Some(location) => line_span(text, location.line(), location.column()),
        None => (0, 0).into(),
    };
    DocumentError {
        help: decoding_help(error),
        message: format!("{name}: {}", first_line(&error.to_string())),
        source_code: NamedSource::new(name, text.to_owned()),
        span,
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

fn decoding_help(error: &serde_saphyr::Error) -> String {
    use serde_saphyr::Error;
    match error {
        Error::SerdeUnknownField { field, expected, .. } => nearest_help(field, expected),
        Error::SerdeUnknownVariant { variant, expected, .. } => nearest_help(variant, expected),
        Error::SerdeMissingField { field, .. } => {
            format!("add `{field}:` with a value; the examples in settings/ show one")
        }
        Error::InvalidScalar { ty, .. } => scalar_help(ty).to_owned(),
        other if other.to_string().contains("socket address") => {
            "write an IP address and a port, such as 127.0.0.1:7001".to_owned()
        }
        _ => "correct the value at the marked place; the examples in settings/ show its form"
            .to_owned(),
    }
}

fn scalar_help(kind: &str) -> &'static str {
    match kind {
        "u8" => "write a whole number from 0 to 255",
        "u32" => "write a whole number from 0 to 4294967295",
        "u64" => "write a whole number, 0 or more",
        "bool" => "write true or false",
        _ => "correct the value at the marked place; the examples in settings/ show its form",
    }
}

fn nearest_help(unknown: &str, known: &[&str]) -> String {
    /// Minimum Jaro similarity, from 0 to 1, for a known word to be suggested.
    const SIMILARITY_MIN: f64 = 0.7;
    let nearest = known
        .iter()
        .map(|word| (strsim::jaro(unknown, word), word))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|(a, _), (b, _)| a.total_cmp(b));
    match nearest {
        Some((_, word)) => format!("did you mean `{word}`? otherwise remove `{unknown}`"),
        None => format!("remove `{unknown}`, or use one of: {}", known.join(", ")),
    }
}

fn line_span(text: &str, line: u64, column: u64) -> SourceSpan {
    let lines_before = usize::try_from(line.saturating_sub(1)).unwrap_or(usize::MAX);
    let start: usize = text.split_inclusive('\n').take(lines_before).map(str::len).sum();
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

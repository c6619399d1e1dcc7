//! The cases.

mod start;
mod whole;

use std::io;

use crate::{Verdict, record::Record};

/// Runs a case by its name.
pub(crate) fn run(case: &str, record: &Record, trouble: bool) -> io::Result<Verdict> {
    match case {
        "start" => start::run(record, trouble),
        "whole" => whole::run(record, trouble),
        _ => Err(io::Error::other(format!("no case {case:?}"))),
    }
}

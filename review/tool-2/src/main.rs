//! Runs one case of the review: `review_2 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

#![recursion_limit = "256"]

mod cases;
mod deploy;
mod engine;
mod http;
mod record;

use std::{path::PathBuf, process::ExitCode, thread, time::Duration};

use record::Record;

/// What a case found.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, and how.
    Broken(String),
}

/// Time after which a case counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review_2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.write(format_args!("case {case}, trouble {trouble}"));
    let (sender, receiver) = std::sync::mpsc::channel();
    let own = record.clone();
    thread::spawn(move || {
        let _ = sender.send(cases::run(&case, &own, trouble));
    });
    let (text, code) = match receiver.recv_timeout(LIMIT) {
        Ok(Ok(Verdict::Held)) => ("the rule held".to_owned(), 0),
        Ok(Ok(Verdict::Broken(what))) => (format!("the rule was broken: {what}"), 1),
        Ok(Err(error)) => (format!("the case could not run: {error}"), 2),
        Err(error) => (format!("the case did not end: {error}"), 2),
    };
    deploy::end_all();
    record.write(&text);
    println!("{text}");
    ExitCode::from(code)
}

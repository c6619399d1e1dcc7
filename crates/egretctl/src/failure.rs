//! Errors of the commands, with their exit codes.

use std::process::ExitCode;

use egret_settings::DocumentError;
use miette::Diagnostic;
use thiserror::Error;

/// Error of a command.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum Failure {
    /// A settings file or a record is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] Box<DocumentError>),
    /// The command line is not valid.
    #[error("{message}")]
    Usage {
        message: String,
        #[help]
        remedy: String,
    },
    /// The request was refused.
    #[error("refused: {message}")]
    #[diagnostic(help("nothing was changed"))]
    Refused { message: String },
    /// What the request is about does not exist.
    #[error("not found: {message}")]
    #[diagnostic(help("nothing was changed"))]
    NotFound { message: String },
    /// The change may or may not have been applied.
    #[error("outcome unknown: {message}")]
    Unknown {
        message: String,
        #[help]
        remedy: String,
    },
}

impl Failure {
    pub(crate) fn usage(error: &impl Diagnostic) -> Self {
        let help = error.help().map(|help| help.to_string()).unwrap_or_default();
        Self::Usage { message: error.to_string(), remedy: help }
    }

    pub(crate) fn usage_text(message: impl Into<String>, help: impl Into<String>) -> Self {
        Self::Usage { message: message.into(), remedy: help.into() }
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused { .. } | Self::NotFound { .. } => 1,
            Self::Document(_) | Self::Usage { .. } => 2,
            Self::Unknown { .. } => 3,
        })
    }
}

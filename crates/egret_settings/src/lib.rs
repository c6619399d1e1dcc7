//! Settings files of the programs, validated at startup.
//!
//! A program that starts with partly valid settings would fail later, when no
//! operator is at hand. So a file is read, decoded and validated before anything
//! else happens, and each error names the file, the line and the remedy.
//!
//! - `document`: decoding of a YAML document, with errors that point into it.
//! - `programs`: the settings of each program.
//!
//! ```
//! use egret_settings::{EntrySettings, Settings, parse};
//!
//! let text = "
//! name: entry-1
//! data_centre: xela
//! listen: 127.0.0.1:8080
//! control: [127.0.0.1:7000]
//! ";
//! let settings: EntrySettings = parse("entry.yaml", text)?;
//! assert_eq!(settings.data_centre, "xela");
//! # Ok::<(), Box<egret_settings::DocumentError>>(())
//! ```

mod document;
mod programs;

pub use document::{DocumentError, Problem, decode, reject};
pub use programs::{
    AgentSettings, BackendKind, BackendSettings, ControlSettings, CtlSettings, EntrySettings,
    LinkSettings, PeerSettings, Settings, Sharing, load, parse,
};

/// The items that most programs need to read their settings.
pub mod prelude {
    pub use crate::{AgentSettings, ControlSettings, DocumentError, EntrySettings, Settings, load};
}

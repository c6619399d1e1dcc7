//! Identities, as distinct types.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name, in bytes.
const NAME_BYTES: usize = 63;

/// Longest key or operation id, in bytes.
const KEY_BYTES: usize = 200;

/// A text that cannot be an identity.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// It is not a name.
    #[error("{0:?} is not a name; use 1 to 63 lower-case letters, digits, dots and hyphens")]
    Name(String),
    /// It is not a key.
    #[error("{0:?} is not a key; use 1 to 200 visible ASCII characters")]
    Key(String),
}

/// Defines types around a checked text.
macro_rules! texts {
    ($check:ident; $($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Checks and wraps a text.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] for an empty, long or odd text.
            pub fn new(text: &str) -> Result<Self, NameError> {
                $check(text).map(|()| Self(text.to_owned()))
            }

            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

texts! {
    check_name;

    /// The name of a record.
    RecordName;
    /// The name of a data centre.
    DataCentre;
    /// The name of a backend server.
    BackendName;
    /// The name of an entry instance.
    EntryName;
    /// The organisation that sends a request.
    Organisation;
}

numbers! {
    /// A revision of the control state; grows by one with each change.
    Revision;
    /// A fencing number; a backend server obeys only the highest it has seen.
    Fence;
    /// A session of an entry or agent with the control state.
    SessionId;
    /// The identity of a control member, bound to its data folder.
    MemberId;
    /// The version of a catalog; the highest is in force.
    CatalogVersion;
    /// The number of a version of a model's weights; later ones are higher.
    WeightVersion;
}

impl Revision {
    /// Returns the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

texts! {
    check_key;

    /// A caller's idempotency key, which names one request.
    IdempotencyKey;
    /// An operator's operation id, which names one amendment.
    OperationId;
}

fn check_name(text: &str) -> Result<(), NameError> {
    let fits = (1..=NAME_BYTES).contains(&text.len()) && text.bytes().all(is_name_byte);
    if fits { Ok(()) } else { Err(NameError::Name(text.to_owned())) }
}

fn check_key(text: &str) -> Result<(), NameError> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    let fits = visible && (1..=KEY_BYTES).contains(&text.len());
    if fits { Ok(()) } else { Err(NameError::Key(text.to_owned())) }
}

const fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
}

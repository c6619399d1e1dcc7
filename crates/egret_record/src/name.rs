//! Identifiers, as a distinct type for each kind.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name, in bytes.
const NAME_BYTES_MAX: usize = 63;

/// Maximum length of an idempotency key or operation id, in bytes.
const KEY_BYTES_MAX: usize = 200;

/// A text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// It is not a valid name.
    #[error("{0:?} is not a name; use 1 to 63 lower-case letters, digits, dots and hyphens")]
    Name(String),
    /// It is not a valid key.
    #[error("{0:?} is not a key; use 1 to 200 visible ASCII characters")]
    Key(String),
}

/// Defines newtypes for validated text.
macro_rules! text_ids {
    ($check:ident; $($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Validates and wraps a text.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the text is empty, too long or has invalid characters.
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

/// Defines newtypes for numbers.
macro_rules! number_ids {
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

text_ids! {
    check_name;

    /// The name of a record.
    RecordName;
    /// The name of a data centre.
    DataCentre;
    /// The name of a backend server.
    BackendName;
    /// The name of an entry instance.
    EntryName;
    /// The name of the organisation that sends a request.
    Organisation;
}

number_ids! {
    /// A revision of the control state; each change increments it.
    Revision;
    /// A fencing token; a backend server rejects orders with a lower one than it has seen.
    Fence;
    /// A session of an entry or agent with the control state.
    SessionId;
    /// The id of a control member, stored in its data folder.
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

text_ids! {
    check_key;

    /// A caller's idempotency key, which identifies one request.
    IdempotencyKey;
    /// An operator's operation id, which identifies one change.
    OperationId;
}

fn check_name(text: &str) -> Result<(), NameError> {
    let valid = (1..=NAME_BYTES_MAX).contains(&text.len()) && text.bytes().all(is_name_byte);
    if valid { Ok(()) } else { Err(NameError::Name(text.to_owned())) }
}

fn check_key(text: &str) -> Result<(), NameError> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    let valid = visible && (1..=KEY_BYTES_MAX).contains(&text.len());
    if valid { Ok(()) } else { Err(NameError::Key(text.to_owned())) }
}

const fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
}

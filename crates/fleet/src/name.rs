//! Names and ids from untrusted input, validated when they are parsed.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Maximum length of a backend, instance type or gateway name, bytes. This is the limit for domain names
/// (RFC 1035, section 2.3.4).
pub const MAX_NAME_BYTES: usize = 253;
/// Maximum length of an order id, bytes.
pub const MAX_ORDER_ID_BYTES: usize = 64;

/// Why a text is not a valid name or id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName {
    label: &'static str,
    problem: String,
}

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.label, self.problem)
    }
}

impl std::error::Error for InvalidName {}

fn check(
    label: &'static str,
    text: &str,
    max_bytes: usize,
    is_allowed: fn(char) -> bool,
) -> Result<(), InvalidName> {
    // Valid names are safe to quote in messages and logs: they are short and hold no control characters.
    let problem = match text.chars().find(|c| !is_allowed(*c)) {
        _ if text.is_empty() => "is empty".to_string(),
        _ if text.len() > max_bytes => format!("has {} bytes; {max_bytes} at most", text.len()),
        Some(invalid) => format!("holds {invalid:?}, which no name holds"),
        None => return Ok(()),
    };
    Err(InvalidName { label, problem })
}

/// Defines a string type with a maximum length and a restricted set of characters.
macro_rules! bounded_text {
    ($(#[$doc:meta])* $name:ident, $label:literal, $max_bytes:ident, $is_allowed:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                check($label, text, $max_bytes, $is_allowed).map(|()| $name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

bounded_text!(
    /// Name of a backend, an instance type or a gateway: 1 to [`MAX_NAME_BYTES`] bytes, no white space and no
    /// control characters.
    Name, "name", MAX_NAME_BYTES, |c| !c.is_whitespace() && !c.is_control()
);
bounded_text!(
    /// Id of an order, chosen by its sender: 1 to [`MAX_ORDER_ID_BYTES`] letters, digits, `.`, `_`, `-`, `:`.
    OrderId, "order id", MAX_ORDER_ID_BYTES, |c| c.is_ascii_alphanumeric() || "._-:".contains(c)
);

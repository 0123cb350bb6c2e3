//! A call: one line of text.

use std::fmt;

/// The longest line, bytes, its end left out.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// The longest id of a backend, bytes: that of a domain name (RFC 1035, section 2.3.4).
pub const MAX_BACKEND_ID_BYTES: usize = 253;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether this process is ready to serve.
    Ready,
    /// Nothing more to this backend.
    Disable(String),
    /// Use this backend again.
    Enable(String),
    /// Empty the gateway.
    Drain,
    /// Take clients again.
    Undrain,
}

/// Why a line is no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It holds bytes that are no text.
    NoText,
    /// It holds no word.
    Empty,
    /// Its first word is none that is known.
    Unknown,
    /// A backend's id is missing.
    NoId,
    /// There are more words than the call takes.
    Surplus,
    /// The id has so many bytes, more than [`MAX_BACKEND_ID_BYTES`].
    LongId(usize),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NoText => f.write_str("a line of text is wanted"),
            CommandError::Empty => f.write_str("empty line"),
            CommandError::Unknown => {
                f.write_str("unknown call; READY, DISABLE, ENABLE, DRAIN, UNDRAIN are known")
            }
            CommandError::NoId => f.write_str("the id of a backend is missing"),
            CommandError::Surplus => f.write_str("more words than the call takes"),
            CommandError::LongId(n) => write!(f, "an id of {n} bytes; {MAX_BACKEND_ID_BYTES} at most"),
        }
    }
}

impl std::error::Error for CommandError {}

impl Command {
    /// Reads a line, its end left out. Words are parted by spaces or tabs; the first is read in any case.
    ///
    /// # Errors
    /// A [`BadCall`] that says what is wrong.
    pub fn read(line: &[u8]) -> Result<Command, CommandError> {
        // Danger: bytes that write to a terminal, quoted in an answer or a log.
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NoText)?;
        if text.chars().any(|c| c.is_control() && !matches!(c, '\t' | '\r')) {
            return Err(CommandError::NoText);
        }
        let mut words = text.split_ascii_whitespace();
        let verb = words.next().ok_or(CommandError::Empty)?.to_ascii_uppercase();
        let mut id = || match words.next() {
            None => Err(CommandError::NoId),
            Some(id) if id.len() > MAX_BACKEND_ID_BYTES => Err(CommandError::LongId(id.len())),
            Some(id) => Ok(id.to_string()),
        };
        let call = match verb.as_str() {
            "READY" => Command::Ready,
            "DISABLE" => Command::Disable(id()?),
            "ENABLE" => Command::Enable(id()?),
            "DRAIN" => Command::Drain,
            "UNDRAIN" => Command::Undrain,
            _ => return Err(CommandError::Unknown),
        };
        if words.next().is_some() {
            return Err(CommandError::Surplus);
        }
        Ok(call)
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::Ready => f.write_str("READY"),
            Command::Disable(id) => write!(f, "DISABLE {id}"),
            Command::Enable(id) => write!(f, "ENABLE {id}"),
            Command::Drain => f.write_str("DRAIN"),
            Command::Undrain => f.write_str("UNDRAIN"),
        }
    }
}

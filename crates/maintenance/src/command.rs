//! A command: one line of text.

use std::fmt;

/// The longest line, bytes, without its end.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// The longest id of a backend, bytes: that of a domain name (RFC 1035, section 2.3.4).
pub const MAX_BACKEND_ID_BYTES: usize = 253;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Tell whether this process is ready to serve.
    Ready,
    /// Ban the backend with this id: send it nothing more.
    Disable(String),
    /// End the ban of the backend with this id.
    Enable(String),
    /// Drain the gateway: move its clients elsewhere.
    Drain,
    /// Accept clients again.
    Undrain,
}

/// Why a line is not a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It is not UTF-8 or has control characters.
    NoText,
    /// It has no word.
    Empty,
    /// Its first word is no known command.
    Unknown,
    /// The id of a backend is missing.
    NoId,
    /// It has more words than the command takes.
    Surplus,
    /// The id has this many bytes, more than [`MAX_BACKEND_ID_BYTES`].
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
            CommandError::LongId(bytes) => {
                write!(f, "an id of {bytes} bytes; {MAX_BACKEND_ID_BYTES} at most")
            }
        }
    }
}

impl std::error::Error for CommandError {}

impl Command {
    /// Reads a line without its end. Words are separated by spaces or tabs; the case of the first one does
    /// not matter.
    ///
    /// # Errors
    /// A [`CommandError`] with the first thing that is wrong.
    pub fn read(line: &[u8]) -> Result<Command, CommandError> {
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NoText)?;
        // An id is quoted in responses and logs, where control characters could write to a terminal.
        if text.chars().any(|c| c.is_control() && !matches!(c, '\t' | '\r')) {
            return Err(CommandError::NoText);
        }
        let mut words = text.split_ascii_whitespace();
        let verb = words.next().ok_or(CommandError::Empty)?.to_ascii_uppercase();
        let command = match verb.as_str() {
            "READY" => Command::Ready,
            "DISABLE" => Command::Disable(backend_id(words.next())?),
            "ENABLE" => Command::Enable(backend_id(words.next())?),
            "DRAIN" => Command::Drain,
            "UNDRAIN" => Command::Undrain,
            _ => return Err(CommandError::Unknown),
        };
        if words.next().is_some() {
            return Err(CommandError::Surplus);
        }
        Ok(command)
    }
}

fn backend_id(word: Option<&str>) -> Result<String, CommandError> {
    let id = word.ok_or(CommandError::NoId)?;
    if id.len() > MAX_BACKEND_ID_BYTES {
        return Err(CommandError::LongId(id.len()));
    }
    Ok(id.to_string())
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

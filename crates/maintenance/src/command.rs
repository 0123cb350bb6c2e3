//! Commands, each one line of text.

use std::fmt;

/// Maximum length of a line without its line end, bytes.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// Maximum length of a backend id, bytes: that of a domain name (RFC 1035, section 2.3.4).
pub const MAX_BACKEND_ID_BYTES: usize = 253;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ask whether this process is ready to serve.
    Ready,
    /// Ban the backend with this id: send no more requests to it.
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
    /// The line is not valid UTF-8 or contains control characters.
    NotText,
    /// The line is empty or blank.
    Empty,
    /// The first word is not a known command.
    Unknown,
    /// The backend id is missing.
    MissingId,
    /// The line has more words than the command takes.
    ExtraWords,
    /// The id has this many bytes, more than [`MAX_BACKEND_ID_BYTES`].
    IdTooLong(usize),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NotText => f.write_str("a line of text is wanted"),
            CommandError::Empty => f.write_str("empty line"),
            CommandError::Unknown => {
                f.write_str("unknown call; READY, DISABLE, ENABLE, DRAIN, UNDRAIN are known")
            }
            CommandError::MissingId => f.write_str("the id of a backend is missing"),
            CommandError::ExtraWords => f.write_str("more words than the call takes"),
            CommandError::IdTooLong(bytes) => {
                write!(f, "an id of {bytes} bytes; {MAX_BACKEND_ID_BYTES} at most")
            }
        }
    }
}

impl std::error::Error for CommandError {}

impl Command {
    /// Parses a line without its line end. Words are separated by spaces or tabs; the command word is
    /// case-insensitive.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
        // An id is quoted in responses and logs, where control characters could write to a terminal.
        if text.chars().any(|c| c.is_control() && !matches!(c, '\t' | '\r')) {
            return Err(CommandError::NotText);
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
            return Err(CommandError::ExtraWords);
        }
        Ok(command)
    }
}

fn backend_id(word: Option<&str>) -> Result<String, CommandError> {
    let id = word.ok_or(CommandError::MissingId)?;
    if id.len() > MAX_BACKEND_ID_BYTES {
        return Err(CommandError::IdTooLong(id.len()));
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

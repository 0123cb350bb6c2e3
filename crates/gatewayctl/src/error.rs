//! Errors of commands and the exit codes that report them to scripts.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use fleet::wire::{ErrorCode, ErrorResponse};
use fleet::{InvalidName, InvalidOrder, OrderId};
use operator_config::OperatorConfigError;
use plans::CatalogueFileError;

use crate::agent_client::AgentClientError;
use crate::up::UpError;

/// Description of the exit codes in the help text and the man page.
pub const EXIT_CODES_HELP: &str = "Exit codes:
  0  done; for an order: by every gateway
  1  failed on this machine: a file that is wrong, a process or a socket that can't be had, a broken rule
  2  the command line is wrong
  3  partly done: some gateway is unreachable or late, and is named; it catches up by itself when it is back
  4  refused, and nothing was changed: an unknown subject, too few left, an id used before
  5  the agent, or every gateway that is called, can't be reached, or ended before it had said all; ask again,
     an order with the same --id";

const EXIT_LOCAL: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_PARTIAL: u8 = 3;
const EXIT_REJECTED: u8 = 4;
const EXIT_UNREACHABLE: u8 = 5;

/// Reason why a command did not succeed.
#[derive(Debug)]
pub enum CommandError {
    /// A failure on this machine, without the agent or a gateway involved.
    Local(LocalError),
    /// The check, query or local fleet found faults, which the output lists.
    FaultsFound,
    /// The arguments parse but are not valid together or in their values.
    Usage(UsageError),
    /// Some gateways did not carry the command out; the output names them and the reasons.
    Partial,
    /// The agent rejected the request and changed nothing.
    Rejected(ErrorResponse),
    /// Every gateway that was called rejected the command; the output gives the reasons.
    RejectedByGateways,
    /// The agent could not be reached, or the exchange with it failed.
    Agent(AgentClientError),
    /// The exchange with the agent failed after the order was sent, so the order may be in the agent's log.
    /// Repeating the order with the same id is safe.
    OrderUnconfirmed { id: OrderId, source: AgentClientError },
    /// None of the gateways that were called answered.
    NoGatewayAnswered,
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Local(_) | CommandError::FaultsFound => EXIT_LOCAL,
            CommandError::Usage(_) => EXIT_USAGE,
            CommandError::Partial => EXIT_PARTIAL,
            CommandError::Rejected(ErrorResponse {
                code: ErrorCode::Unavailable | ErrorCode::Log, ..
            })
            | CommandError::Agent(_)
            | CommandError::OrderUnconfirmed { .. }
            | CommandError::NoGatewayAnswered => EXIT_UNREACHABLE,
            CommandError::Rejected(_) | CommandError::RejectedByGateways => EXIT_REJECTED,
        })
    }

    /// Whether the command's output already describes the error.
    pub fn is_reported(&self) -> bool {
        matches!(self, CommandError::FaultsFound | CommandError::Partial | CommandError::RejectedByGateways)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Local(e) => e.fmt(f),
            CommandError::FaultsFound => f.write_str("faults were found"),
            CommandError::Usage(e) => e.fmt(f),
            CommandError::Partial => f.write_str("partly done"),
            CommandError::Rejected(response) => write!(f, "refused: {}", response.message),
            CommandError::RejectedByGateways => f.write_str("refused by every gateway"),
            CommandError::Agent(e) => e.fmt(f),
            CommandError::OrderUnconfirmed { id, source } => write!(f, "{source}; ask again with --id {id}"),
            CommandError::NoGatewayAnswered => f.write_str("no gateway answered"),
        }
    }
}

impl std::error::Error for CommandError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CommandError::Local(e) => Some(e),
            CommandError::Usage(e) => Some(e),
            CommandError::Agent(e) | CommandError::OrderUnconfirmed { source: e, .. } => Some(e),
            _ => None,
        }
    }
}

impl From<LocalError> for CommandError {
    fn from(error: LocalError) -> Self {
        CommandError::Local(error)
    }
}

impl From<UsageError> for CommandError {
    fn from(error: UsageError) -> Self {
        CommandError::Usage(error)
    }
}

impl From<AgentClientError> for CommandError {
    fn from(error: AgentClientError) -> Self {
        match error {
            AgentClientError::Rejected(response) => CommandError::Rejected(response),
            other => CommandError::Agent(other),
        }
    }
}

impl From<UpError> for CommandError {
    fn from(error: UpError) -> Self {
        CommandError::Local(LocalError::Up(error))
    }
}

/// Failure on this machine.
#[derive(Debug)]
pub enum LocalError {
    /// The asynchronous runtime could not be started.
    Runtime(io::Error),
    /// A signal handler could not be installed.
    Signals(io::Error),
    /// Standard output could not be written.
    StandardOutput(io::Error),
    /// A file could not be read.
    File { path: PathBuf, source: io::Error },
    /// A value could not be serialized as JSON.
    Json(serde_json::Error),
    /// The generated id of an order is not valid.
    OrderId(InvalidName),
    /// The operators' file is not valid.
    OperatorConfig(OperatorConfigError),
    /// The operators' file has no `[agent]` section.
    NoAgentSection(PathBuf),
    /// The agent failed.
    Agent(agent::AgentError),
    /// The gateway failed, with its error message.
    Gateway(String),
    /// A plan catalogue is not valid.
    Catalogue { path: PathBuf, source: CatalogueFileError },
    /// The catalogue does not list the customer with this id.
    CustomerNotListed(u64),
    /// The catalogue lists no plan without a start time for the customer with this id, so the level of its
    /// token bucket before the first change is unknown.
    CustomerLevelUnknown(u64),
    /// This number of names was not resolved before the deadline.
    UnresolvedNames(usize),
    /// The local fleet of `up` failed.
    Up(UpError),
}

impl fmt::Display for LocalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LocalError::Runtime(e) => write!(f, "runtime: {e}"),
            LocalError::Signals(e) => write!(f, "signals: {e}"),
            LocalError::StandardOutput(e) => write!(f, "standard output: {e}"),
            LocalError::File { path, source } => write!(f, "{}: {source}", path.display()),
            LocalError::Json(e) => e.fmt(f),
            LocalError::OrderId(e) => e.fmt(f),
            LocalError::OperatorConfig(e) => e.fmt(f),
            LocalError::NoAgentSection(path) => write!(f, "{}: there is no [agent] section", path.display()),
            LocalError::Agent(e) => e.fmt(f),
            LocalError::Gateway(text) => f.write_str(text),
            LocalError::Catalogue { path, source } => f.write_str(&crate::plans::fault_lines(path, source)),
            LocalError::CustomerNotListed(id) => {
                write!(f, "customer {id:016x} is not in it: requests say which plan it has")
            }
            LocalError::CustomerLevelUnknown(id) => {
                write!(f, "customer {id:016x} has no plan since ever in it: its level is not known")
            }
            LocalError::UnresolvedNames(count) => {
                write!(f, "not all was known in time: {count} names wait for answers")
            }
            LocalError::Up(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for LocalError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LocalError::Runtime(e) | LocalError::Signals(e) | LocalError::StandardOutput(e) => Some(e),
            LocalError::File { source, .. } => Some(source),
            LocalError::Json(e) => Some(e),
            LocalError::OrderId(e) => Some(e),
            LocalError::OperatorConfig(e) => Some(e),
            LocalError::Agent(e) => Some(e),
            LocalError::Catalogue { source, .. } => Some(source),
            LocalError::Up(e) => Some(e),
            _ => None,
        }
    }
}

/// Error in arguments that the argument parser accepts.
#[derive(Debug)]
pub enum UsageError {
    /// The order does not apply to this kind of subject, or its value is out of range.
    InvalidOrder(InvalidOrder),
    /// The backend id contains characters that the line protocol cannot carry.
    InvalidBackendId,
    /// The file's extension is neither `.toml` nor `.json`.
    UnknownFileKind(PathBuf),
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageError::InvalidOrder(e) => e.fmt(f),
            UsageError::InvalidBackendId => f.write_str("an id holds no spaces and no line ends"),
            UsageError::UnknownFileKind(path) => {
                let text = "what it is goes by its name: NAME.toml of operators, NAME.json of a gateway";
                write!(f, "{}: {text}", path.display())
            }
        }
    }
}

impl std::error::Error for UsageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            UsageError::InvalidOrder(e) => Some(e),
            _ => None,
        }
    }
}

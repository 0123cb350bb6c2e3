//! The gateway: serves clients on a socket as the policy decides.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Why the program fails.
enum Failure {
    /// The command line is none that it takes.
    Usage,
    /// The gateway could not start, for this reason.
    Start(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Usage => {
                f.write_str("usage: admission-gateway [--operator FILE]; GW_CONFIG names the configuration")
            }
            Failure::Start(why) => f.write_str(why),
        }
    }
}

/// The operator's file, if the command line names one.
fn operator_file() -> Result<Option<PathBuf>, Failure> {
    let mut words = std::env::args_os().skip(1);
    match (words.next(), words.next(), words.next()) {
        (None, ..) => Ok(None),
        (Some(word), Some(path), None) if word == "--operator" => Ok(Some(path.into())),
        _ => Err(Failure::Usage),
    }
}

fn main() -> ExitCode {
    let run = |operator: Option<PathBuf>| admission_gateway::run(operator.as_deref()).map_err(Failure::Start);
    match operator_file().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("admission-gateway: {failure}");
            ExitCode::FAILURE
        }
    }
}

//! The gateway program: reads the command line and runs the gateway.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

/// An error that ends the program.
enum Failure {
    /// The command line is invalid.
    Usage,
    /// The gateway could not start; holds the reason.
    Start(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Usage => {
                f.write_str("usage: admission-gateway [--operator FILE]; GW_CONFIG names the configuration")
            }
            Failure::Start(reason) => f.write_str(reason),
        }
    }
}

/// Returns the path of the operator's file, if the command line names one.
fn operator_file() -> Result<Option<PathBuf>, Failure> {
    let mut args = std::env::args_os().skip(1);
    match (args.next(), args.next(), args.next()) {
        (None, ..) => Ok(None),
        (Some(flag), Some(path), None) if flag == "--operator" => Ok(Some(path.into())),
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

//! The gateway: serves clients on a socket as the policy decides.

use std::path::PathBuf;
use std::process::ExitCode;

/// The operator's file, if the command line names one.
fn operator() -> Result<Option<PathBuf>, String> {
    let mut words = std::env::args_os().skip(1);
    match (words.next(), words.next(), words.next()) {
        (None, ..) => Ok(None),
        (Some(word), Some(path), None) if word == "--operator" => Ok(Some(path.into())),
        _ => Err("usage: admission-gateway [--operator FILE]; GW_CONFIG names the configuration".to_string()),
    }
}

fn main() -> ExitCode {
    match operator().and_then(|operator| admission_gateway::run(operator.as_deref())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("admission-gateway: {message}");
            ExitCode::FAILURE
        }
    }
}

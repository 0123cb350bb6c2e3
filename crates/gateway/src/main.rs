//! The gateway: serves clients on a socket by the decisions of the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    match slatelock_gateway::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("slatelock-gateway: {message}");
            ExitCode::FAILURE
        }
    }
}

//! Hosts gateways for the simulator: reads batches from standard input and writes replies to standard output.

mod host;
mod wire;

use std::fmt;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use host::Host;
use wire::{Frame, Malformed};

/// Size of the buffer of standard input.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter ended early.
#[derive(Debug)]
enum RunError {
    /// The input is not a valid frame.
    Frame(Malformed),
    /// A record of a batch is malformed.
    Batch { number: u32, error: Malformed },
    /// The reply cannot be written.
    Reply(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Frame(error) => error.fmt(f),
            RunError::Batch { number, error } => write!(f, "batch {number}: {error}"),
            RunError::Reply(error) => write!(f, "cannot write the reply: {error}"),
        }
    }
}

/// Answers batches until the input ends.
fn run(input: &mut dyn Read, output: &mut dyn Write) -> Result<(), RunError> {
    let mut host = Host::new();
    while let Some(frame) = Frame::read(input).map_err(RunError::Frame)? {
        let reply = host.handle_batch(&frame);
        let reply = reply.map_err(|error| RunError::Batch { number: frame.number, error })?;
        output.write_all(&reply.finish()).and_then(|()| output.flush()).map_err(RunError::Reply)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match run(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

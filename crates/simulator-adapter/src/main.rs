//! Hosts gateways on the simulator's wire: batches on standard input, replies on standard output.

mod host;
mod wire;

use std::fmt;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use host::Host;
use wire::{Frame, Malformed};

/// Bytes that are read from standard input at once.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter ended early.
#[derive(Debug)]
enum RunError {
    /// What came is no frame.
    Frame(Malformed),
    /// A record of a batch makes no sense.
    Batch { number: u32, error: Malformed },
    /// The reply could not be written.
    Reply(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Frame(error) => error.fmt(f),
            RunError::Batch { number, error } => write!(f, "batch {number}: {error}"),
            RunError::Reply(error) => write!(f, "reply: {error}"),
        }
    }
}

/// Answers batches until the input ends.
fn run(input: &mut dyn Read, output: &mut dyn Write) -> Result<(), RunError> {
    let mut host = Host::new();
    while let Some(frame) = Frame::read(input).map_err(RunError::Frame)? {
        let played = host.play(&frame);
        let reply = played.map_err(|error| RunError::Batch { number: frame.number, error })?;
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

//! The state directory under `$TMPDIR`, through which the processes of one gateway detect each other and
//! exchange state.
//!
//! Each process holds a lock on its own file while it runs. The operating system releases the lock when the
//! process ends for any reason, so the others detect it. A suspended process still counts as running.

#[cfg(test)]
mod tests;

use std::fmt;
use std::fs::{self, DirEntry, File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use maintenance::checksummed::{self, DecodeError};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Prefix of the name of each running process's lock file; its incarnation follows.
const LIVENESS_PREFIX: &str = "life-";
/// File that a process locks while it changes the maintenance state.
const LOCK_FILE: &str = "book.lock";
/// File with the ids of requests that were sent, while several processes are running.
const SENT_REQUESTS_FILE: &str = "sent";
/// Maximum size of a stored state, bytes.
const MAX_STATE_BYTES: u64 = 16 << 20;

/// The state directory, opened by one process.
#[derive(Debug)]
pub struct StateDirectory {
    path: PathBuf,
    incarnation: u64,
    /// Keeps this process's file locked.
    _liveness_lock: File,
}

/// Why a state can't be read or written.
#[derive(Debug)]
pub enum StateError {
    /// An I/O error.
    Io {
        /// The file.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// The file does not hold a valid state.
    Invalid {
        /// The file.
        path: PathBuf,
        /// Why it can't be decoded.
        source: DecodeError,
    },
    /// The state can't be encoded.
    Unencodable {
        /// The kind of state.
        kind: String,
        /// Why it can't be encoded.
        source: DecodeError,
    },
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateError::Io { path, source } => write!(f, "{}: {source}", path.display()),
            StateError::Invalid { path, source } => write!(f, "{}: {source}", path.display()),
            StateError::Unencodable { kind, source } => write!(f, "{kind}: {source}"),
        }
    }
}

impl std::error::Error for StateError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StateError::Io { source, .. } => Some(source),
            StateError::Invalid { source, .. } | StateError::Unencodable { source, .. } => Some(source),
        }
    }
}

impl StateDirectory {
    /// Opens the directory of the gateway that listens at `listen`, and creates it if necessary.
    ///
    /// # Errors
    /// Returns an error if the directory or this process's lock file can't be created.
    pub fn open(parent: &Path, listen: SocketAddr, incarnation: u64) -> io::Result<StateDirectory> {
        let path = parent.join(format!("slatelock-{}", listen.to_string().replace([':', '[', ']'], "_")));
        fs::create_dir_all(&path)?;
        // Locked before it gets its final name: an unlocked file with that name would be taken for one of a
        // process that has ended.
        let unlocked = path.join(format!("new-{incarnation}"));
        let lock_file = File::create(&unlocked)?;
        lock_file.lock()?;
        fs::rename(unlocked, path.join(format!("{LIVENESS_PREFIX}{incarnation}")))?;
        Ok(StateDirectory { path, incarnation, _liveness_lock: lock_file })
    }

    /// Returns the incarnations of the other running processes of this gateway, and removes the files of
    /// those that have ended.
    ///
    /// # Errors
    /// Returns an error if the directory can't be read.
    pub fn other_processes(&self) -> io::Result<Vec<u64>> {
        let mut others = Vec::new();
        for file in fs::read_dir(&self.path)?.flatten() {
            let Some(incarnation) = incarnation_of(&file).filter(|n| *n != self.incarnation) else {
                continue;
            };
            match File::open(file.path()).map(|lock_file| lock_file.try_lock_shared()) {
                Ok(Err(TryLockError::WouldBlock)) => others.push(incarnation),
                Ok(Ok(())) => drop(fs::remove_file(file.path())),
                // Removed by another process in the meantime, or it can't be locked.
                Ok(Err(TryLockError::Error(_))) | Err(_) => {}
            }
        }
        others.sort_unstable();
        Ok(others)
    }

    /// Returns the path of the file through which processes share the ids of requests that were sent.
    pub fn sent_requests_file(&self) -> PathBuf {
        self.path.join(SENT_REQUESTS_FILE)
    }

    /// Reads the state of a kind; `None` if there is none.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or does not hold a valid state.
    pub fn read<T: DeserializeOwned>(&self, kind: &str) -> Result<Option<T>, StateError> {
        let path = self.path.join(kind);
        let bytes = match read_bounded(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(StateError::Io { path, source }),
        };
        match checksummed::decode(kind, &bytes) {
            Ok(state) => Ok(Some(state)),
            Err(source) => Err(StateError::Invalid { path, source }),
        }
    }

    /// Writes the state of a kind atomically: readers find either the previous state or this one.
    ///
    /// # Errors
    /// Returns an error if the state can't be written; the previous one stays.
    pub fn write<T: Serialize>(&self, kind: &str, state: &T) -> Result<(), StateError> {
        let temporary = self.path.join(format!("{kind}.{}", self.incarnation));
        write_atomically(kind, state, &temporary, self.path.join(kind))
    }

    /// Stores a state of a kind for another process to [`StateDirectory::claim`].
    ///
    /// # Errors
    /// Returns an error if the state can't be written.
    pub fn hand_over<T: Serialize>(&self, kind: &str, state: &T) -> Result<(), StateError> {
        let temporary = self.path.join(format!("part.{}", self.incarnation));
        write_atomically(kind, state, &temporary, self.path.join(format!("{kind}-{}", self.incarnation)))
    }

    /// Takes all states of a kind that other processes handed over. Each is claimed by exactly one process.
    /// Unreadable ones are logged and lost.
    pub fn claim<T: DeserializeOwned>(&self, kind: &str) -> Vec<T> {
        let mut all = Vec::new();
        for file in fs::read_dir(&self.path).into_iter().flatten().flatten() {
            if !is_handed_over(&file, kind) {
                continue;
            }
            // Of several processes that see the file, the rename succeeds for only one.
            let claimed = self.path.join(format!("claimed-{}", self.incarnation));
            if fs::rename(file.path(), &claimed).is_err() {
                continue;
            }
            let bytes = read_bounded(&claimed).unwrap_or_default();
            let _ = fs::remove_file(&claimed);
            match checksummed::decode(kind, &bytes) {
                Ok(state) => all.push(state),
                Err(e) => tracing::warn!("{}: {e}; its contents are lost", file.path().display()),
            }
        }
        all
    }

    /// Locks the maintenance state until the returned file is dropped; `None` while another process holds
    /// the lock.
    ///
    /// # Errors
    /// Returns an error if the lock file can't be opened or locked.
    pub fn try_lock(&self) -> io::Result<Option<File>> {
        let path = self.path.join(LOCK_FILE);
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

/// Returns the incarnation in the name of a process's lock file; `None` for other files.
fn incarnation_of(file: &DirEntry) -> Option<u64> {
    file.file_name().to_str()?.strip_prefix(LIVENESS_PREFIX)?.parse().ok()
}

/// Returns whether a file is a state of a kind that a process handed over.
fn is_handed_over(file: &DirEntry, kind: &str) -> bool {
    file.file_name().to_str().and_then(|name| name.strip_prefix(kind)).is_some_and(|n| n.starts_with('-'))
}

/// Reads a file of at most [`MAX_STATE_BYTES`]. The file could have been written by another program and
/// be too large for the memory.
fn read_bounded(path: &Path) -> io::Result<Vec<u8>> {
    if fs::metadata(path)?.len() > MAX_STATE_BYTES {
        return Err(io::Error::other(format!("more than {MAX_STATE_BYTES} bytes")));
    }
    fs::read(path)
}

/// Writes a state to a temporary file of this process and renames it.
fn write_atomically<T: Serialize>(
    kind: &str,
    state: &T,
    temporary: &Path,
    path: PathBuf,
) -> Result<(), StateError> {
    let bytes = checksummed::encode(kind, state)
        .map_err(|source| StateError::Unencodable { kind: kind.to_string(), source })?;
    let written = fs::write(temporary, bytes).and_then(|()| fs::rename(temporary, &path));
    written.map_err(|source| StateError::Io { path, source })
}

//! The directory that the processes of one gateway share, under `$TMPDIR`: which of them live, and the states
//! that they hand to each other.
//!
//! Each process holds a lock on a file of its own for as long as it lives, so that the end of one shows
//! however it came. A process that is stopped still lives.

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

/// What the file of a process that lives is called, before its incarnation.
const LIFE_PREFIX: &str = "life-";
/// The file whose lock a process holds while it changes the maintenance state.
const LOCK_FILE: &str = "book.lock";
/// The largest state that is read, bytes.
const MAX_STATE_BYTES: u64 = 16 << 20;

/// The directory, as one process sees it.
#[derive(Debug)]
pub struct StateDirectory {
    path: PathBuf,
    incarnation: u64,
    /// Held for its lock.
    _life: File,
}

/// Why a state can't be read or written.
#[derive(Debug)]
pub enum StateError {
    /// The file system does not do it.
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file holds something else.
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: DecodeError,
    },
    /// The state has no stored form.
    Unencodable {
        /// The kind of state.
        kind: String,
        /// What is wrong with it.
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
    /// Opens the directory of the gateway that listens at `listen`, and makes it if there is none.
    ///
    /// # Errors
    /// What the file system says.
    pub fn open(parent: &Path, listen: SocketAddr, incarnation: u64) -> io::Result<StateDirectory> {
        let path = parent.join(format!("slatelock-{}", listen.to_string().replace([':', '[', ']'], "_")));
        fs::create_dir_all(&path)?;
        // The file gets its name with its lock: without, it would be taken for that of a process that ended.
        let unlocked = path.join(format!("new-{incarnation}"));
        let life = File::create(&unlocked)?;
        life.lock()?;
        fs::rename(unlocked, path.join(format!("{LIFE_PREFIX}{incarnation}")))?;
        Ok(StateDirectory { path, incarnation, _life: life })
    }

    /// The incarnations of the other processes of this gateway that live; files of those that ended are
    /// removed.
    ///
    /// # Errors
    /// What the file system says.
    pub fn other_processes(&self) -> io::Result<Vec<u64>> {
        let mut others = Vec::new();
        for file in fs::read_dir(&self.path)?.flatten() {
            let Some(incarnation) = incarnation_of(&file).filter(|n| *n != self.incarnation) else {
                continue;
            };
            match File::open(file.path()).map(|life| life.try_lock_shared()) {
                Ok(Err(TryLockError::WouldBlock)) => others.push(incarnation),
                Ok(Ok(())) => drop(fs::remove_file(file.path())),
                // Another has removed it just now.
                Ok(Err(TryLockError::Error(_))) | Err(_) => {}
            }
        }
        others.sort_unstable();
        Ok(others)
    }

    /// Reads a state of a kind; `None` where there is none.
    ///
    /// # Errors
    /// What the file system says, or what is wrong with the state.
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

    /// Writes a state of a kind: whoever reads it finds the old one or this one, never a part.
    ///
    /// # Errors
    /// What the file system says; the old one stays.
    pub fn write<T: Serialize>(&self, kind: &str, state: &T) -> Result<(), StateError> {
        let part = self.path.join(format!("{kind}.{}", self.incarnation));
        write_whole(kind, state, &part, self.path.join(kind))
    }

    /// Leaves a state of a kind for another process to [`StateDirectory::claim`].
    ///
    /// # Errors
    /// What the file system says.
    pub fn leave<T: Serialize>(&self, kind: &str, state: &T) -> Result<(), StateError> {
        let part = self.path.join(format!("part.{}", self.incarnation));
        write_whole(kind, state, &part, self.path.join(format!("{kind}-{}", self.incarnation)))
    }

    /// Takes all states of a kind that other processes left, each by one process alone; those that can't be
    /// read are lost, and logged.
    pub fn claim<T: DeserializeOwned>(&self, kind: &str) -> Vec<T> {
        let mut all = Vec::new();
        for file in fs::read_dir(&self.path).into_iter().flatten().flatten() {
            if !is_left(&file, kind) {
                continue;
            }
            // Only one of several processes that see the file succeeds.
            let mine = self.path.join(format!("claimed-{}", self.incarnation));
            if fs::rename(file.path(), &mine).is_err() {
                continue;
            }
            let bytes = read_bounded(&mine).unwrap_or_default();
            let _ = fs::remove_file(&mine);
            match checksummed::decode(kind, &bytes) {
                Ok(state) => all.push(state),
                Err(e) => tracing::warn!("{}: {e}; what it held is lost", file.path().display()),
            }
        }
        all
    }

    /// The lock on the maintenance state, until what is given is dropped; `None` while another process has
    /// it.
    ///
    /// # Errors
    /// What the file system says.
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

/// The incarnation of the process whose life a file stands for; `None` for other files.
fn incarnation_of(file: &DirEntry) -> Option<u64> {
    file.file_name().to_str()?.strip_prefix(LIFE_PREFIX)?.parse().ok()
}

/// Whether a file is a state of a kind that a process left for others.
fn is_left(file: &DirEntry, kind: &str) -> bool {
    file.file_name().to_str().and_then(|name| name.strip_prefix(kind)).is_some_and(|n| n.starts_with('-'))
}

/// Reads a file that is no larger than a state may be: it could be another program's, larger than the memory.
fn read_bounded(path: &Path) -> io::Result<Vec<u8>> {
    if fs::metadata(path)?.len() > MAX_STATE_BYTES {
        return Err(io::Error::other("larger than any state"));
    }
    fs::read(path)
}

/// Writes a state to a file of this process, which is then renamed.
fn write_whole<T: Serialize>(kind: &str, state: &T, part: &Path, path: PathBuf) -> Result<(), StateError> {
    let bytes = checksummed::encode(kind, state)
        .map_err(|source| StateError::Unencodable { kind: kind.to_string(), source })?;
    let written = fs::write(part, bytes).and_then(|()| fs::rename(part, &path));
    written.map_err(|source| StateError::Io { path, source })
}

//! The folder that the processes of one gateway share, under `$TMPDIR`: who of them lives, and the book.
//!
//! Each process holds a lock on a file of its own for as long as it lives, so that the end of one shows
//! however it came. A process that is stopped still lives.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use maintenance::checksummed;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// What the file of a process that lives is called, before its number.
const LIFE: &str = "life-";
/// The file on whose lock those wait that change the book.
const LOCK: &str = "book.lock";
/// The largest state that is read, bytes.
const MAX_STATE_BYTES: u64 = 16 << 20;

/// The folder, as one process sees it.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    boot: u64,
    /// Held for its lock.
    _life: File,
}

impl Folder {
    /// Opens the folder of the gateway that listens at `listen`, and makes it if there is none. `boot` is
    /// this process's own number.
    ///
    /// # Errors
    /// What the file system says.
    pub fn open(under: &Path, listen: SocketAddr, boot: u64) -> io::Result<Folder> {
        let path = under.join(format!("slatelock-{}", listen.to_string().replace([':', '[', ']'], "_")));
        fs::create_dir_all(&path)?;
        // Danger: a file that is not locked yet, taken for that of a process that has ended.
        let (before, name) = (path.join(format!("new-{boot}")), path.join(format!("{LIFE}{boot}")));
        let life = File::create(&before)?;
        life.lock()?;
        fs::rename(before, name)?;
        Ok(Folder { path, boot, _life: life })
    }

    /// The numbers of the other processes of this gateway that live; files of those that ended are removed.
    ///
    /// # Errors
    /// What the file system says.
    pub fn others(&self) -> io::Result<Vec<u64>> {
        let mut others = Vec::new();
        for file in fs::read_dir(&self.path)?.flatten() {
            let name = file.file_name();
            let number = name.to_str().and_then(|n| n.strip_prefix(LIFE)).and_then(|n| n.parse().ok());
            let Some(number) = number.filter(|n| *n != self.boot) else { continue };
            match File::open(file.path()).map(|life| life.try_lock_shared()) {
                Ok(Err(TryLockError::WouldBlock)) => others.push(number),
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
    /// Why it can't be read: what the file system says, or what is wrong with it.
    pub fn read<T: DeserializeOwned>(&self, kind: &str) -> Result<Option<T>, String> {
        let path = self.path.join(kind);
        let bytes = match fs::metadata(&path).and_then(|m| {
            // Danger: a file of another program's, larger than the memory.
            let fits = m.len() <= MAX_STATE_BYTES;
            if fits {
                fs::read(&path)
            } else {
                Err(io::Error::other("larger than any state"))
            }
        }) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(format!("{}: {e}", path.display())),
        };
        checksummed::decode(kind, &bytes).map(Some).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Writes a state of a kind: whoever reads it finds the old one or this one, never a part.
    ///
    /// # Errors
    /// What the file system says; the old one stays.
    pub fn write<T: Serialize>(&self, kind: &str, state: &T) -> Result<(), String> {
        let bytes = checksummed::encode(kind, state).map_err(|e| format!("{kind}: {e}"))?;
        let (part, path) = (self.path.join(format!("{kind}.{}", self.boot)), self.path.join(kind));
        let written = fs::write(&part, bytes).and_then(|()| fs::rename(&part, &path));
        written.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Takes all states of a kind that other processes left, each by one process alone; those that can't be
    /// read are lost, and told.
    pub fn claim<T: DeserializeOwned>(&self, kind: &str) -> Vec<T> {
        let mut all = Vec::new();
        for file in fs::read_dir(&self.path).into_iter().flatten().flatten() {
            let name = file.file_name();
            if !name.to_str().is_some_and(|n| n.strip_prefix(kind).is_some_and(|n| n.starts_with('-'))) {
                continue;
            }
            // Danger: two processes that both tell it.
            let mine = self.path.join(format!("claimed-{}", self.boot));
            if fs::rename(file.path(), &mine).is_err() {
                continue;
            }
            let fits = fs::metadata(&mine).is_ok_and(|m| m.len() <= MAX_STATE_BYTES);
            let bytes = if fits { fs::read(&mine).unwrap_or_default() } else { Vec::new() };
            let _ = fs::remove_file(&mine);
            match checksummed::decode(kind, &bytes) {
                Ok(state) => all.push(state),
                Err(e) => tracing::warn!("{}: {e}; what it held is lost", file.path().display()),
            }
        }
        all
    }

    /// Leaves a state of a kind for another process to [`Folder::claim`].
    ///
    /// # Errors
    /// What the file system says.
    pub fn leave<T: Serialize>(&self, kind: &str, state: &T) -> Result<(), String> {
        let bytes = checksummed::encode(kind, state).map_err(|e| format!("{kind}: {e}"))?;
        let (part, path) =
            (self.path.join(format!("part.{}", self.boot)), self.path.join(format!("{kind}-{}", self.boot)));
        let written = fs::write(&part, bytes).and_then(|()| fs::rename(&part, &path));
        written.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The lock on the book, until what is given ends; `None` while another process has it.
    ///
    /// # Errors
    /// What the file system says.
    pub fn try_lock(&self) -> io::Result<Option<File>> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn open(under: &Path, boot: u64) -> Folder {
        Folder::open(under, "127.0.0.1:6379".parse().expect("an address"), boot).expect("a folder")
    }

    #[test]
    fn a_process_that_ended_is_not_counted_and_one_that_lives_is() {
        let under = tempfile::tempdir().expect("a folder");
        let (one, two) = (open(under.path(), 1), open(under.path(), 2));
        assert_eq!((one.others().expect("read"), two.others().expect("read")), (vec![2], vec![1]));
        drop(two);
        assert!(one.others().expect("read").is_empty());
        assert!(!one.path.join("life-2").exists(), "its file is removed");
        // Another gateway's folder is another one.
        let other = Folder::open(under.path(), "127.0.0.1:6380".parse().expect("an address"), 3);
        assert!(other.expect("a folder").others().expect("read").is_empty());
    }

    #[test]
    fn what_is_left_is_claimed_once_and_garbled_it_is_lost() {
        let under = tempfile::tempdir().expect("a folder");
        let (one, two) = (open(under.path(), 1), open(under.path(), 2));
        one.leave("untold", &vec![(7u64, 1.5f64)]).expect("room");
        assert_eq!(two.claim::<Vec<(u64, f64)>>("untold"), [vec![(7, 1.5)]]);
        assert!(two.claim::<Vec<(u64, f64)>>("untold").is_empty());
        one.leave("untold", &vec![(7u64, 1.5f64)]).expect("room");
        let file = one.path.join("untold-1");
        let mut bytes = fs::read(&file).expect("it is there");
        bytes[10] ^= 1;
        fs::write(&file, bytes).expect("room");
        assert!(two.claim::<Vec<(u64, f64)>>("untold").is_empty());
        assert!(!file.exists());
    }

    #[test]
    fn a_state_is_found_whole_or_refused_and_the_lock_has_one_holder() {
        let under = tempfile::tempdir().expect("a folder");
        let (one, two) = (open(under.path(), 1), open(under.path(), 2));
        assert_eq!(one.read::<u64>("book"), Ok(None));
        one.write("book", &7u64).expect("room");
        assert_eq!(two.read::<u64>("book"), Ok(Some(7)));
        let bytes = fs::read(one.path.join("book")).expect("it is there");
        fs::write(one.path.join("book"), &bytes[..bytes.len() - 1]).expect("room");
        assert!(two.read::<u64>("book").expect_err("cut").contains("cut short"));
        let held = one.try_lock().expect("a file").expect("nobody has it");
        assert!(two.try_lock().expect("a file").is_none());
        drop(held);
        assert!(two.try_lock().expect("a file").is_some());
    }
}

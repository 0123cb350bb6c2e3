//! Ids of requests that were sent to backends and must not run again, kept for a while after their end.
//!
//! A client that has left may come again with the same request, to this process or to another one of the same
//! gateway. The backends may have run the first one, so the second one must not be sent. While several
//! processes of a gateway are running, they share the ids through a file in the state directory.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// How long an id is kept, ms. A client that sends a request once more does so within its time.
const RETENTION_MS: f64 = 60_000.0;
/// Maximum number of ids; the oldest are dropped first.
const MAX_IDS: usize = 8_192;
/// Length of a record in the shared file, bytes: the id and the kind of the record.
const RECORD_BYTES: usize = 9;
/// Kind of a record: the request was sent.
const SENT: u8 = 0;
/// Kind of a record: the request was rejected, so it has not run.
const REJECTED: u8 = 1;

/// Ids of requests that were sent, by this process and by others of its gateway.
#[derive(Debug, Default)]
pub struct SentRequests {
    /// By id, until when it is kept, Unix time in ms.
    kept_until: HashMap<u64, f64>,
    /// Ids in the order in which they were added, with the same times.
    order: VecDeque<(u64, f64)>,
    shared: Option<SharedIds>,
    /// Whether other processes of the gateway are running.
    is_sharing: bool,
}

impl SentRequests {
    /// Creates an empty set, which is shared through `file` while other processes of the gateway are running.
    pub fn new(file: Option<PathBuf>) -> SentRequests {
        let shared = file.map(|path| SharedIds { path, position: 0 });
        SentRequests { shared, ..SentRequests::default() }
    }

    /// Adds a request that is sent now.
    pub fn add(&mut self, id: u64, now_ms: f64) {
        if self.keep(id, now_ms) {
            self.share(&[id], SENT);
        }
    }

    /// Removes a request that was rejected, so that it may come again.
    pub fn remove(&mut self, id: u64) {
        if self.kept_until.remove(&id).is_some() {
            self.share(&[id], REJECTED);
        }
    }

    /// Whether a request was sent.
    pub fn contains(&mut self, id: u64, now_ms: f64) -> bool {
        self.read_shared(now_ms);
        self.kept_until.get(&id).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Begins or ends the sharing with other processes of the gateway.
    pub fn set_sharing(&mut self, is_sharing: bool, now_ms: f64) {
        // The records of processes that have ended are still needed.
        self.read_shared(now_ms);
        let begins = is_sharing && !self.is_sharing;
        self.is_sharing = is_sharing;
        if begins {
            let all: Vec<u64> = self.kept_until.keys().copied().collect();
            self.share(&all, SENT);
        } else if let Some(shared) = self.shared.as_mut().filter(|_| !is_sharing) {
            shared.remove_file();
        }
    }

    /// Adds an id without sharing it. Returns whether it is new.
    fn keep(&mut self, id: u64, now_ms: f64) -> bool {
        while self.order.front().is_some_and(|(_, until_ms)| *until_ms <= now_ms)
            || self.order.len() >= MAX_IDS
        {
            let Some((oldest, until_ms)) = self.order.pop_front() else { break };
            if self.kept_until.get(&oldest) == Some(&until_ms) {
                self.kept_until.remove(&oldest);
            }
        }
        let until_ms = now_ms + RETENTION_MS;
        self.order.push_back((id, until_ms));
        self.kept_until.insert(id, until_ms).is_none()
    }

    fn share(&mut self, ids: &[u64], kind: u8) {
        let Some(shared) = self.shared.as_mut().filter(|_| self.is_sharing && !ids.is_empty()) else {
            return;
        };
        if let Err(e) = shared.append(ids, kind) {
            tracing::warn!("{}: {e}; another process may send a request again", shared.path.display());
        }
    }

    /// Adds what other processes have shared since the last call.
    fn read_shared(&mut self, now_ms: f64) {
        let Some(shared) = self.shared.as_mut().filter(|_| self.is_sharing) else { return };
        // Fails only if the file is missing, as no process has shared anything.
        let records = shared.read_new().unwrap_or_default();
        for record in records.chunks_exact(RECORD_BYTES) {
            let Some((id, kind)) = record.split_first_chunk() else { continue };
            let id = u64::from_le_bytes(*id);
            if kind == [REJECTED] {
                self.kept_until.remove(&id);
            } else {
                self.keep(id, now_ms);
            }
        }
    }
}

/// The file through which processes share ids. Each appends records, and reads those that it has not read.
#[derive(Debug)]
struct SharedIds {
    path: PathBuf,
    /// End of what was read, bytes.
    position: u64,
}

/// Maximum size of the file, bytes. Beyond it, ids are not shared.
const MAX_FILE_BYTES: u64 = (16 * MAX_IDS * RECORD_BYTES) as u64;

impl SharedIds {
    /// Appends records in one write, so that those of several processes are not mixed.
    fn append(&mut self, ids: &[u64], kind: u8) -> io::Result<()> {
        let records: Vec<u8> = ids.iter().flat_map(|id| id.to_le_bytes().into_iter().chain([kind])).collect();
        let mut file = OpenOptions::new().create(true).append(true).open(&self.path)?;
        if file.metadata()?.len() > MAX_FILE_BYTES {
            return Err(io::Error::other(format!("more than {MAX_FILE_BYTES} bytes")));
        }
        file.write_all(&records)
    }

    /// Reads the whole records that were appended since the last call.
    fn read_new(&mut self) -> io::Result<Vec<u8>> {
        let mut file = File::open(&self.path)?;
        let length = file.metadata()?.len().min(MAX_FILE_BYTES);
        // The file was removed and begun again.
        if length < self.position {
            self.position = 0;
        }
        if length == self.position {
            return Ok(Vec::new());
        }
        io::Seek::seek(&mut file, io::SeekFrom::Start(self.position))?;
        let mut records = Vec::new();
        file.take(length - self.position).read_to_end(&mut records)?;
        records.truncate(records.len() / RECORD_BYTES * RECORD_BYTES);
        self.position += records.len() as u64;
        Ok(records)
    }

    fn remove_file(&mut self) {
        self.position = 0;
        // Fails only if there is none.
        let _ = std::fs::remove_file(&self.path);
    }
}

//! The durable log: every order that was acknowledged, and the gateways that were registered.
//!
//! One `redb` file. A commit is there whole or not at all, and is on the disk when it returns. At each start
//! the file's checksums are checked through, so a torn or flipped page is found and named.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use fleet::wire::LoggedOrder;
use fleet::{DesiredState, Revision, Snapshot};
use redb::{Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, TableDefinition};

/// Orders that are kept once they are settled. The id of an older one is forgotten.
pub const ORDERS_KEPT: usize = 10_000;
/// The form of the file that this program reads and writes.
const FORM: u64 = 1;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const SETTLED: TableDefinition<&str, &[u8]> = TableDefinition::new("settled");
const ORDERS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("orders");
const MEMBERS: TableDefinition<&str, &str> = TableDefinition::new("members");

/// Why the log can't be used.
#[derive(Debug)]
pub enum LogError {
    /// Another process has it open.
    InUse(PathBuf),
    /// What is in it does not hold together.
    Damaged(PathBuf, String),
    /// It was written by a version with another form.
    Form(PathBuf, u64),
    /// The system, or a full disk.
    Io(PathBuf, String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::InUse(path) => write!(f, "{}: another agent has it open", path.display()),
            LogError::Damaged(path, why) => write!(
                f,
                "{}: the log is damaged: {why}; put a copy in its place, or move it away and order anew: \
                 gateways keep what they hold until then",
                path.display()
            ),
            LogError::Form(path, form) => {
                write!(f, "{}: form {form} of the log; this program reads form {FORM}", path.display())
            }
            LogError::Io(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

impl std::error::Error for LogError {}

/// What the log holds.
#[derive(Debug, Default)]
pub struct Contents {
    /// What is ordered.
    pub desired: DesiredState,
    /// The newest revision given.
    pub newest: Revision,
    /// The orders that are kept, from the oldest.
    pub orders: Vec<LoggedOrder>,
    /// Gateways that were registered: name and admin listener.
    pub members: Vec<(String, String)>,
}

/// The log.
#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    database: Database,
}

impl Log {
    /// Opens the log, or begins one, and checks all of it.
    ///
    /// # Errors
    /// A [`LogError`] that names the file.
    pub fn open(path: &Path) -> Result<(Log, Contents), LogError> {
        let damaged = |why: &dyn fmt::Display| LogError::Damaged(path.to_path_buf(), why.to_string());
        // Danger: an agent that is killed while it makes the file, and leaves one that nobody can read. It
        // gets its name when it can be.
        let fresh = !path.exists();
        let mut hidden = path.as_os_str().to_os_string();
        hidden.push(".new");
        let file = if fresh { PathBuf::from(hidden) } else { path.to_path_buf() };
        if fresh {
            let _ = std::fs::remove_file(&file);
        }
        // Danger: a library that gives up in the middle of a file that makes no sense.
        let opened = std::panic::catch_unwind(|| -> Result<Database, LogError> {
            let mut database = Database::create(&file).map_err(|e| match e {
                DatabaseError::DatabaseAlreadyOpen => LogError::InUse(path.to_path_buf()),
                DatabaseError::UpgradeRequired(form) => LogError::Form(path.to_path_buf(), u64::from(form)),
                DatabaseError::Storage(redb::StorageError::Io(e))
                    if e.kind() != std::io::ErrorKind::InvalidData
                        && e.kind() != std::io::ErrorKind::UnexpectedEof =>
                {
                    LogError::Io(path.to_path_buf(), e.to_string())
                }
                e => damaged(&e),
            })?;
            match database.check_integrity() {
                Ok(_) => Ok(database),
                Err(e) => Err(damaged(&e)),
            }
        });
        let database = opened.unwrap_or_else(|_| Err(damaged(&"its pages make no sense")))?;
        let log = Log { path: path.to_path_buf(), database };
        if fresh {
            log.begin()?;
            std::fs::rename(&file, path).map_err(|e| log.failed(&e))?;
        }
        let contents = log.read()?;
        Ok((log, contents))
    }

    /// The log could not be reached.
    pub(crate) fn broken(&self, e: &dyn fmt::Display) -> LogError {
        self.failed(e)
    }

    fn failed(&self, e: &dyn fmt::Display) -> LogError {
        LogError::Io(self.path.clone(), e.to_string())
    }

    fn damaged(&self, e: &dyn fmt::Display) -> LogError {
        LogError::Damaged(self.path.clone(), e.to_string())
    }

    fn begin(&self) -> Result<(), LogError> {
        // A log that begins later stands above all that one before it gave.
        let term = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs().max(1);
        self.write(|tables| {
            tables.meta("form", FORM)?;
            tables.meta("term", term)
        })
    }

    fn read(&self) -> Result<Contents, LogError> {
        let read = self.database.begin_read().map_err(|e| self.damaged(&e))?;
        let meta = read.open_table(META).map_err(|e| self.damaged(&e))?;
        let number = |key: &str| -> Result<u64, LogError> {
            let value = meta.get(key).map_err(|e| self.damaged(&e))?;
            value.map(|v| v.value()).ok_or_else(|| self.damaged(&format!("{key} is missing")))
        };
        let form = number("form")?;
        if form != FORM {
            return Err(LogError::Form(self.path.clone(), form));
        }
        let first = Revision { term: number("term")?, seq: 0 };
        let mut contents =
            Contents { desired: DesiredState::since(first), newest: first, ..Contents::default() };
        if let Ok(table) = read.open_table(SETTLED) {
            if let Some(bytes) = table.get("snapshot").map_err(|e| self.damaged(&e))? {
                let snapshot: Snapshot =
                    serde_json::from_slice(bytes.value()).map_err(|e| self.damaged(&e))?;
                contents.newest = contents.newest.max(snapshot.floor);
                contents.desired.adopt(&snapshot);
            }
        }
        if let Ok(table) = read.open_table(ORDERS) {
            for row in table.iter().map_err(|e| self.damaged(&e))? {
                let (key, value) = row.map_err(|e| self.damaged(&e))?;
                let logged: LoggedOrder =
                    serde_json::from_slice(value.value()).map_err(|e| self.damaged(&e))?;
                let revision = Revision { term: key.value().0, seq: key.value().1 };
                if logged.order.revision != revision {
                    return Err(self.damaged(&format!("order {revision} stands in another's place")));
                }
                contents.newest = contents.newest.max(revision);
                contents.desired.apply(&logged.order);
                contents.orders.push(logged);
            }
        }
        if let Ok(table) = read.open_table(MEMBERS) {
            for row in table.iter().map_err(|e| self.damaged(&e))? {
                let (name, address) = row.map_err(|e| self.damaged(&e))?;
                contents.members.push((name.value().to_string(), address.value().to_string()));
            }
        }
        Ok(contents)
    }

    /// Writes orders down, and with `settled` the state that they and all before them make, whereupon orders
    /// beyond [`ORDERS_KEPT`] are let go. When this returns they are on the disk.
    ///
    /// # Errors
    /// [`LogError::Io`]: none of them is to be taken as written.
    pub fn append(&self, orders: &[LoggedOrder], settled: Option<&Snapshot>) -> Result<(), LogError> {
        self.write(|tables| {
            let mut table = tables.0.open_table(ORDERS)?;
            for logged in orders {
                let Revision { term, seq } = logged.order.revision;
                table.insert((term, seq), serde_json::to_vec(logged).unwrap_or_default().as_slice())?;
            }
            let Some(snapshot) = settled else { return Ok(()) };
            tables.settled(snapshot)?;
            let floor = (snapshot.floor.term, snapshot.floor.seq);
            let old: Vec<(u64, u64)> = table
                .iter()?
                .rev()
                .skip(ORDERS_KEPT)
                .filter_map(|row| row.ok().map(|(key, _)| key.value()))
                .filter(|key| *key <= floor)
                .collect();
            for key in old {
                table.remove(key)?;
            }
            Ok(())
        })
    }

    /// Writes a gateway down, or takes it off with no address.
    ///
    /// # Errors
    /// [`LogError::Io`].
    pub fn member(&self, name: &str, address: Option<&str>) -> Result<(), LogError> {
        self.write(|tables| {
            let mut table = tables.0.open_table(MEMBERS)?;
            match address {
                Some(address) => drop(table.insert(name, address)?),
                None => drop(table.remove(name)?),
            }
            Ok(())
        })
    }

    fn write(&self, change: impl FnOnce(&Tables) -> Result<(), redb::Error>) -> Result<(), LogError> {
        let mut transaction = self.database.begin_write().map_err(|e| self.failed(&e))?;
        transaction.set_durability(Durability::Immediate).map_err(|e| self.failed(&e))?;
        // Danger: a commit that is torn, or flipped later, and is passed over in favour of the one before it,
        // as if its orders had never been acknowledged. In two phases the last commit is the only one that
        // counts, so it is found to be damaged. Harm: two waits for the disk in place of one.
        transaction.set_two_phase_commit(true);
        let tables = Tables(transaction);
        change(&tables).map_err(|e| self.failed(&e))?;
        tables.0.commit().map_err(|e| self.failed(&e))
    }
}

struct Tables(redb::WriteTransaction);

impl Tables {
    fn meta(&self, key: &str, value: u64) -> Result<(), redb::Error> {
        self.0.open_table(META)?.insert(key, value)?;
        Ok(())
    }

    fn settled(&self, snapshot: &Snapshot) -> Result<(), redb::Error> {
        let bytes = serde_json::to_vec(snapshot).unwrap_or_default();
        self.0.open_table(SETTLED)?.insert("snapshot", bytes.as_slice())?;
        Ok(())
    }
}

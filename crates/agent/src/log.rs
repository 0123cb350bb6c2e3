//! The durable log: all acknowledged orders and the registered gateways.
//!
//! It is one `redb` file. Commits are atomic, and are on disk when they return. The file's checksums are
//! verified at each start, so that torn or corrupted pages are detected and reported.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use fleet::wire::LoggedOrder;
use fleet::{DesiredState, Revision, Snapshot};
use redb::{
    Database, DatabaseError, Durability, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition,
    WriteTransaction,
};

/// Number of orders that are retained once they are settled. An older order's id can be used again.
pub const MAX_RETAINED_ORDERS: usize = 10_000;
/// Version of the file format that this program reads and writes.
const FORMAT_VERSION: u64 = 1;
/// Suffix of the file name while a log is being created.
const NEW_FILE_SUFFIX: &str = ".new";

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const FORMAT_KEY: &str = "form";
const TERM_KEY: &str = "term";
const SETTLED: TableDefinition<&str, &[u8]> = TableDefinition::new("settled");
const SNAPSHOT_KEY: &str = "snapshot";
/// Orders as JSON, by term and sequence number.
const ORDERS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("orders");
/// Addresses of registered gateways, by name.
const MEMBERS: TableDefinition<&str, &str> = TableDefinition::new("members");

/// The error behind a [`LogError`].
type Source = Box<dyn std::error::Error + Send + Sync>;

/// Why the log can't be used.
#[derive(Debug)]
pub enum LogError {
    /// Another process has it open.
    InUse(PathBuf),
    /// Its contents are damaged or inconsistent.
    Damaged(PathBuf, Source),
    /// Its format has this version, which is not supported.
    UnsupportedFormat(PathBuf, u64),
    /// The system reported an error, e.g. that the disk is full.
    Io(PathBuf, Source),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::InUse(path) => write!(f, "{}: another agent has it open", path.display()),
            LogError::Damaged(path, source) => write!(
                f,
                "{}: the log is damaged: {source}; put a copy in its place, or move it away and order anew: \
                 gateways keep what they hold until then",
                path.display()
            ),
            LogError::UnsupportedFormat(path, form) => {
                write!(
                    f,
                    "{}: form {form} of the log; this program reads form {FORMAT_VERSION}",
                    path.display()
                )
            }
            LogError::Io(path, source) => write!(f, "{}: {source}", path.display()),
        }
    }
}

impl std::error::Error for LogError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LogError::Damaged(_, source) | LogError::Io(_, source) => Some(&**source),
            LogError::InUse(_) | LogError::UnsupportedFormat(..) => None,
        }
    }
}

/// A gateway that has registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredGateway {
    /// Name of the gateway.
    pub name: String,
    /// Address of its admin listener.
    pub address: String,
}

/// Contents of the log.
#[derive(Debug, Default)]
pub struct Contents {
    /// The desired state.
    pub desired: DesiredState,
    /// The newest revision.
    pub newest: Revision,
    /// The retained orders, oldest first.
    pub orders: Vec<LoggedOrder>,
    /// The registered gateways, ordered by name.
    pub members: Vec<RegisteredGateway>,
}

/// An open log.
#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    database: Database,
}

impl Log {
    /// Opens the log, or creates one, and verifies all of it.
    ///
    /// # Errors
    /// A [`LogError`] that names the file.
    pub fn open(path: &Path) -> Result<(Log, Contents), LogError> {
        // A new file is renamed to its final name once it is complete, so that an agent that is killed
        // meanwhile does not leave an unreadable log.
        let is_new = !path.exists();
        let file = if is_new { new_file(path) } else { path.to_path_buf() };
        if is_new {
            let _ = std::fs::remove_file(&file);
        }
        let log = Log { path: path.to_path_buf(), database: open_database(path, &file)? };
        if is_new {
            log.initialize()?;
            std::fs::rename(&file, path).map_err(|error| log.unavailable(error))?;
        }
        let contents = log.read()?;
        Ok((log, contents))
    }

    /// Returns the error for a log that can't be read or written.
    pub(crate) fn unavailable(&self, source: impl Into<Source>) -> LogError {
        LogError::Io(self.path.clone(), source.into())
    }

    fn damaged(&self, source: impl Into<Source>) -> LogError {
        LogError::Damaged(self.path.clone(), source.into())
    }

    fn initialize(&self) -> Result<(), LogError> {
        // With the creation time as term, orders of this log supersede those of an earlier one that was lost.
        let term = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs().max(1);
        self.write(|transaction| {
            let mut table = transaction.open_table(META)?;
            table.insert(FORMAT_KEY, FORMAT_VERSION)?;
            table.insert(TERM_KEY, term)?;
            Ok(())
        })
    }

    fn read(&self) -> Result<Contents, LogError> {
        let transaction = self.database.begin_read().map_err(|error| self.damaged(error))?;
        let first = Revision { term: self.read_term(&transaction)?, seq: 0 };
        let mut contents =
            Contents { desired: DesiredState::since(first), newest: first, ..Contents::default() };
        self.read_snapshot(&transaction, &mut contents)?;
        self.read_orders(&transaction, &mut contents)?;
        self.read_members(&transaction, &mut contents)?;
        Ok(contents)
    }

    /// Checks the format version, and reads the term.
    fn read_term(&self, transaction: &ReadTransaction) -> Result<u64, LogError> {
        let table = transaction.open_table(META).map_err(|error| self.damaged(error))?;
        let number = |key: &str| -> Result<u64, LogError> {
            let value = table.get(key).map_err(|error| self.damaged(error))?;
            value.map(|value| value.value()).ok_or_else(|| self.damaged(format!("{key} is missing")))
        };
        let form = number(FORMAT_KEY)?;
        if form != FORMAT_VERSION {
            return Err(LogError::UnsupportedFormat(self.path.clone(), form));
        }
        number(TERM_KEY)
    }

    fn read_snapshot(&self, transaction: &ReadTransaction, contents: &mut Contents) -> Result<(), LogError> {
        // The table does not exist before the first snapshot.
        let Ok(table) = transaction.open_table(SETTLED) else { return Ok(()) };
        let Some(bytes) = table.get(SNAPSHOT_KEY).map_err(|error| self.damaged(error))? else {
            return Ok(());
        };
        let snapshot: Snapshot =
            serde_json::from_slice(bytes.value()).map_err(|error| self.damaged(error))?;
        contents.newest = contents.newest.max(snapshot.floor);
        contents.desired.adopt(&snapshot);
        Ok(())
    }

    fn read_orders(&self, transaction: &ReadTransaction, contents: &mut Contents) -> Result<(), LogError> {
        let Ok(table) = transaction.open_table(ORDERS) else { return Ok(()) };
        for row in table.iter().map_err(|error| self.damaged(error))? {
            let (key, value) = row.map_err(|error| self.damaged(error))?;
            let logged: LoggedOrder =
                serde_json::from_slice(value.value()).map_err(|error| self.damaged(error))?;
            let (term, seq) = key.value();
            let revision = Revision { term, seq };
            if logged.order.revision != revision {
                return Err(self.damaged(format!("order {revision} stands in another's place")));
            }
            contents.newest = contents.newest.max(revision);
            contents.desired.apply(&logged.order);
            contents.orders.push(logged);
        }
        Ok(())
    }

    fn read_members(&self, transaction: &ReadTransaction, contents: &mut Contents) -> Result<(), LogError> {
        let Ok(table) = transaction.open_table(MEMBERS) else { return Ok(()) };
        for row in table.iter().map_err(|error| self.damaged(error))? {
            let (name, address) = row.map_err(|error| self.damaged(error))?;
            let (name, address) = (name.value().to_string(), address.value().to_string());
            contents.members.push(RegisteredGateway { name, address });
        }
        Ok(())
    }

    /// Appends orders. `settled`, if given, is the state after these and all earlier orders; it replaces the
    /// stored snapshot, and settled orders beyond [`MAX_RETAINED_ORDERS`] are removed. All changes are on
    /// disk when this returns.
    ///
    /// # Errors
    /// [`LogError::Io`]. None of the orders may be regarded as logged then.
    pub fn append(&self, orders: &[LoggedOrder], settled: Option<&Snapshot>) -> Result<(), LogError> {
        self.write(|transaction| {
            let mut table = transaction.open_table(ORDERS)?;
            for logged in orders {
                let Revision { term, seq } = logged.order.revision;
                table.insert((term, seq), serde_json::to_vec(logged).unwrap_or_default().as_slice())?;
            }
            let Some(snapshot) = settled else { return Ok(()) };
            let bytes = serde_json::to_vec(snapshot).unwrap_or_default();
            transaction.open_table(SETTLED)?.insert(SNAPSHOT_KEY, bytes.as_slice())?;
            let floor = (snapshot.floor.term, snapshot.floor.seq);
            let excess: Vec<(u64, u64)> = table
                .iter()?
                .rev()
                .skip(MAX_RETAINED_ORDERS)
                .filter_map(|row| row.ok().map(|(key, _)| key.value()))
                .filter(|key| *key <= floor)
                .collect();
            for key in excess {
                table.remove(key)?;
            }
            Ok(())
        })
    }

    /// Stores a registered gateway.
    ///
    /// # Errors
    /// [`LogError::Io`].
    pub fn add_member(&self, name: &str, address: &str) -> Result<(), LogError> {
        self.write(|transaction| {
            transaction.open_table(MEMBERS)?.insert(name, address)?;
            Ok(())
        })
    }

    /// Removes a registered gateway.
    ///
    /// # Errors
    /// [`LogError::Io`].
    pub fn remove_member(&self, name: &str) -> Result<(), LogError> {
        self.write(|transaction| {
            transaction.open_table(MEMBERS)?.remove(name)?;
            Ok(())
        })
    }

    fn write(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), LogError> {
        let mut transaction = self.database.begin_write().map_err(|error| self.unavailable(error))?;
        transaction.set_durability(Durability::Immediate).map_err(|error| self.unavailable(error))?;
        // With one-phase commits, a last commit that is torn or corrupted would be skipped in favour of the
        // previous one, and its acknowledged orders would be lost unnoticed. With two-phase commits, the
        // damage is detected and reported. The cost is a second sync per commit.
        transaction.set_two_phase_commit(true);
        change(&transaction).map_err(|error| self.unavailable(error))?;
        transaction.commit().map_err(|error| self.unavailable(error))
    }
}

/// Returns the temporary file name of a log that is being created.
fn new_file(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(NEW_FILE_SUFFIX);
    PathBuf::from(name)
}

/// Opens the database in `file` and verifies all of it. Errors name `path`, the final name of the log.
fn open_database(path: &Path, file: &Path) -> Result<Database, LogError> {
    let damaged = |source: Source| LogError::Damaged(path.to_path_buf(), source);
    // redb panics on some files with corrupted pages.
    let opened = std::panic::catch_unwind(|| -> Result<Database, LogError> {
        let mut database = Database::create(file).map_err(|error| open_error(path, error))?;
        match database.check_integrity() {
            Ok(_) => Ok(database),
            Err(error) => Err(damaged(error.into())),
        }
    });
    opened.unwrap_or_else(|_| Err(damaged("its pages are corrupted".into())))
}

fn open_error(path: &Path, error: DatabaseError) -> LogError {
    let path = path.to_path_buf();
    match error {
        DatabaseError::DatabaseAlreadyOpen => LogError::InUse(path),
        DatabaseError::UpgradeRequired(form) => LogError::UnsupportedFormat(path, u64::from(form)),
        DatabaseError::Storage(redb::StorageError::Io(error)) if !is_truncated(&error) => {
            LogError::Io(path, error.into())
        }
        error => LogError::Damaged(path, error.into()),
    }
}

/// Whether an error indicates a file that is truncated or not a database.
fn is_truncated(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof)
}

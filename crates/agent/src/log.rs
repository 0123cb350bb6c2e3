//! The durable log: every order that was acknowledged, and the gateways that were registered.
//!
//! One `redb` file. A commit is there whole or not at all, and is on the disk when it returns. At each start
//! the file's checksums are checked, so a torn or flipped page is found and reported.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use fleet::wire::LoggedOrder;
use fleet::{DesiredState, Revision, Snapshot};
use redb::{
    Database, DatabaseError, Durability, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition,
    WriteTransaction,
};

/// Orders that are kept once they are settled. The id of an older one is forgotten.
pub const MAX_RETAINED_ORDERS: usize = 10_000;
/// The version of the file's form that this program reads and writes.
const FORM: u64 = 1;
/// Ends the name of a log that is being created.
const NEW_FILE_SUFFIX: &str = ".new";

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const FORM_KEY: &str = "form";
const TERM_KEY: &str = "term";
const SETTLED: TableDefinition<&str, &[u8]> = TableDefinition::new("settled");
const SNAPSHOT_KEY: &str = "snapshot";
/// By term and sequence.
const ORDERS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("orders");
/// Addresses by name.
const MEMBERS: TableDefinition<&str, &str> = TableDefinition::new("members");

/// What lies behind an error.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why the log can't be used.
#[derive(Debug)]
pub enum LogError {
    /// Another process has it open.
    InUse(PathBuf),
    /// Its contents are damaged or contradict each other.
    Damaged(PathBuf, Cause),
    /// It has the form of another version.
    UnsupportedFormat(PathBuf, u64),
    /// The system failed, or the disk is full.
    Io(PathBuf, Cause),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::InUse(path) => write!(f, "{}: another agent has it open", path.display()),
            LogError::Damaged(path, cause) => write!(
                f,
                "{}: the log is damaged: {cause}; put a copy in its place, or move it away and order anew: \
                 gateways keep what they hold until then",
                path.display()
            ),
            LogError::UnsupportedFormat(path, form) => {
                write!(f, "{}: form {form} of the log; this program reads form {FORM}", path.display())
            }
            LogError::Io(path, cause) => write!(f, "{}: {cause}", path.display()),
        }
    }
}

impl std::error::Error for LogError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LogError::Damaged(_, cause) | LogError::Io(_, cause) => Some(&**cause),
            LogError::InUse(_) | LogError::UnsupportedFormat(..) => None,
        }
    }
}

/// A gateway that has registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredGateway {
    /// Its name.
    pub name: String,
    /// Its admin listener.
    pub address: String,
}

/// What the log holds.
#[derive(Debug, Default)]
pub struct Contents {
    /// The state that operators want.
    pub desired: DesiredState,
    /// The newest revision.
    pub newest: Revision,
    /// The orders that are kept, oldest first.
    pub orders: Vec<LoggedOrder>,
    /// Gateways that have registered, by name.
    pub members: Vec<RegisteredGateway>,
}

/// The log.
#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    database: Database,
}

impl Log {
    /// Opens the log, or creates one, and checks all of it.
    ///
    /// # Errors
    /// A [`LogError`] that names the file.
    pub fn open(path: &Path) -> Result<(Log, Contents), LogError> {
        // A new file gets its name once it is complete, so that an agent that is killed meanwhile leaves no
        // file that nobody can read.
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

    /// The error for a log that can't be reached.
    pub(crate) fn unavailable(&self, cause: impl Into<Cause>) -> LogError {
        LogError::Io(self.path.clone(), cause.into())
    }

    fn damaged(&self, cause: impl Into<Cause>) -> LogError {
        LogError::Damaged(self.path.clone(), cause.into())
    }

    fn initialize(&self) -> Result<(), LogError> {
        // The start time as term: orders of a later log supersede those of an earlier one that was lost.
        let term = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs().max(1);
        self.write(|transaction| {
            let mut table = transaction.open_table(META)?;
            table.insert(FORM_KEY, FORM)?;
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

    /// Checks the form, and reads the term.
    fn read_term(&self, transaction: &ReadTransaction) -> Result<u64, LogError> {
        let table = transaction.open_table(META).map_err(|error| self.damaged(error))?;
        let number = |key: &str| -> Result<u64, LogError> {
            let value = table.get(key).map_err(|error| self.damaged(error))?;
            value.map(|value| value.value()).ok_or_else(|| self.damaged(format!("{key} is missing")))
        };
        let form = number(FORM_KEY)?;
        if form != FORM {
            return Err(LogError::UnsupportedFormat(self.path.clone(), form));
        }
        number(TERM_KEY)
    }

    fn read_snapshot(&self, transaction: &ReadTransaction, contents: &mut Contents) -> Result<(), LogError> {
        // There is no table before the first snapshot.
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

    /// Appends orders, and with `settled` the state that they and all before them make; orders beyond
    /// [`MAX_RETAINED_ORDERS`] are removed then. They are on the disk when this returns.
    ///
    /// # Errors
    /// [`LogError::Io`]: none of them is to be taken as logged.
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
            let superfluous: Vec<(u64, u64)> = table
                .iter()?
                .rev()
                .skip(MAX_RETAINED_ORDERS)
                .filter_map(|row| row.ok().map(|(key, _)| key.value()))
                .filter(|key| *key <= floor)
                .collect();
            for key in superfluous {
                table.remove(key)?;
            }
            Ok(())
        })
    }

    /// Logs that a gateway has registered.
    ///
    /// # Errors
    /// [`LogError::Io`].
    pub fn add_member(&self, name: &str, address: &str) -> Result<(), LogError> {
        self.write(|transaction| {
            transaction.open_table(MEMBERS)?.insert(name, address)?;
            Ok(())
        })
    }

    /// Removes a gateway that had registered.
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
        // With a commit in one phase, one that is torn or flipped later would be passed over in favour of the
        // commit before it, as if its orders had never been acknowledged. In two phases only the last commit
        // counts, and is found to be damaged. The price is a second wait for the disk.
        transaction.set_two_phase_commit(true);
        change(&transaction).map_err(|error| self.unavailable(error))?;
        transaction.commit().map_err(|error| self.unavailable(error))
    }
}

/// The name of a log that is being created.
fn new_file(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(NEW_FILE_SUFFIX);
    PathBuf::from(name)
}

/// Opens a database and checks all of it. Errors name `path`, whatever the file is called now.
fn open_database(path: &Path, file: &Path) -> Result<Database, LogError> {
    let damaged = |cause: Cause| LogError::Damaged(path.to_path_buf(), cause);
    // The library panics over some files whose pages make no sense.
    let opened = std::panic::catch_unwind(|| -> Result<Database, LogError> {
        let mut database = Database::create(file).map_err(|error| open_error(path, error))?;
        match database.check_integrity() {
            Ok(_) => Ok(database),
            Err(error) => Err(damaged(error.into())),
        }
    });
    opened.unwrap_or_else(|_| Err(damaged("its pages make no sense".into())))
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

/// Whether an error tells of a file that is cut off or no database.
fn is_truncated(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof)
}

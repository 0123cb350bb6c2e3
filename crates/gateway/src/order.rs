//! What the keeper of operators' book asks of the driver, on a way of its own that is looked at first.

use beechrudder_maintenance::Book;
use slatelock::interface::SettingsError;
use slatelock::terms::Terms;
use tokio::sync::oneshot;

/// An order.
pub enum Order {
    /// Whether a backend is on the list.
    Lists { id: String, say: oneshot::Sender<bool> },
    /// Goes by what may change in service of new settings; answered when it does, or with why it does not.
    Change { terms: Box<Terms>, say: oneshot::Sender<Result<(), SettingsError>> },
    /// Puts a book in force if it is newer than the one that is; answered when it is.
    Adopt { book: Book, say: oneshot::Sender<()> },
}

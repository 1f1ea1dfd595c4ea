//! Changes of the platform's key-value store, fetched from an instance that watches it for its
//! failure domain (a reader).

use std::net::SocketAddr;
use std::time::Duration;

use capnp::Error;
use futures::future::LocalBoxFuture;
use peer_schema::dispatch_capnp::{change, instance};
use policy::notice_times::READER_MARGIN;
use policy::store_position::StorePosition;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::message::list_length;
use crate::port::PeerError;
use crate::steward_link::{message_fault, open};

/// A change of one key of the platform's key-value store.
#[derives::value]
pub struct StoreChange {
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<String>,
    /// Store revision of the change.
    pub revision: u64,
}

impl StoreChange {
    /// Returns the size of the key and value in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, String::len)
    }
}

/// Changes of the store up to a position.
#[derives::value]
pub struct ChangeBatch {
    /// Position up to which the changes are complete. Its era is zero if the reader is of a version
    /// that knows no eras.
    pub position: StorePosition,
    /// The changes, oldest first.
    pub changes: Vec<StoreChange>,
}

/// A reader's answer to a follower.
#[derives::value]
pub enum ChangeAnswer {
    /// The changes after the follower's position.
    Changes(ChangeBatch),
    /// The reader is current in this era, and the changes after the follower's position are lost.
    HistoryLost {
        /// Era of the store as the reader has read it; zero if it states none.
        era: u64,
    },
    /// The reader is not current, or has no budget left to forward the changes.
    Declined,
}

/// Source of the latest changes of the platform's store, on a reader.
pub trait ChangeHandler {
    /// Returns the changes after a position: as soon as there are any, or none after `wait`. The
    /// era of a follower whose version knows no eras is zero.
    fn changes(
        &self,
        after: StorePosition,
        wait: Duration,
    ) -> LocalBoxFuture<'static, ChangeAnswer>;
}

/// A connection to a reader; dropping it closes the connection.
pub struct ChangeLink {
    client: instance::Client,
    task: AbortHandle,
}

impl Drop for ChangeLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ChangeLink {
    /// Connects to the reader at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader cannot be reached within `time_limit`.
    pub async fn connect(address: SocketAddr, time_limit: Duration) -> Result<Self, PeerError> {
        let (client, task) = open(address, time_limit).await?;
        Ok(Self { client, task })
    }

    /// Whether the connection is still open; a broken connection may be noticed late.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.task.is_finished()
    }

    /// Waits up to `wait` for changes after a position.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrives in time or the connection fails.
    pub async fn changes(
        &self,
        after: StorePosition,
        wait: Duration,
    ) -> Result<ChangeAnswer, PeerError> {
        let mut request = self.client.changes_request();
        request.get().set_after(after.revision);
        request.get().set_era(after.era);
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        request.get().set_wait_ms(millis);
        let exchange = async {
            let answer = request.send().promise.await?;
            read_answer(answer.get()?)
        };
        match timeout(wait + Duration::from_millis(READER_MARGIN), exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(message_fault(&error)),
            Err(_) => Err(PeerError::Silent),
        }
    }
}

fn read_answer(reader: instance::changes_results::Reader<'_>) -> Result<ChangeAnswer, Error> {
    let era = reader.get_era();
    if reader.get_history_lost() {
        return Ok(ChangeAnswer::HistoryLost { era });
    }
    if !reader.get_available() {
        return Ok(ChangeAnswer::Declined);
    }
    let changes = reader.get_changes()?.iter().map(read_change);
    Ok(ChangeAnswer::Changes(ChangeBatch {
        position: StorePosition {
            era,
            revision: reader.get_revision(),
        },
        changes: changes.collect::<Result<_, Error>>()?,
    }))
}

fn read_change(reader: change::Reader<'_>) -> Result<StoreChange, Error> {
    Ok(StoreChange {
        key: reader.get_key()?.to_string()?,
        value: if reader.get_deleted() {
            None
        } else {
            Some(reader.get_value()?.to_string()?)
        },
        revision: reader.get_revision(),
    })
}

pub(crate) fn write_answer(
    mut builder: instance::changes_results::Builder<'_>,
    answer: &ChangeAnswer,
) -> Result<(), Error> {
    let batch = match answer {
        ChangeAnswer::Changes(batch) => batch,
        // A version that does not know the reason reads that the changes are not available.
        ChangeAnswer::HistoryLost { era } => {
            builder.set_history_lost(true);
            builder.set_era(*era);
            return Ok(());
        }
        ChangeAnswer::Declined => return Ok(()),
    };
    builder.set_available(true);
    builder.set_revision(batch.position.revision);
    builder.set_era(batch.position.era);
    let mut list = builder.init_changes(list_length(batch.changes.len())?);
    for (index, change) in (0..list.len()).zip(&batch.changes) {
        let mut builder = list.reborrow().get(index);
        builder.set_key(&change.key);
        builder.set_revision(change.revision);
        builder.set_deleted(change.value.is_none());
        builder.set_value(change.value.as_deref().unwrap_or(""));
    }
    Ok(())
}

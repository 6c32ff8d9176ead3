//! Watches: a stream of messages, one a line.

use std::fmt;
use std::io::{BufRead, BufReader, Read};

use super::messages::{KeyValue, Streamed, WatchResponse};
use super::pair;
use crate::error::StoreError;
use crate::store::{Change, Changes};

/// The longest message of a watch that is read, in bytes.
const MAX_MESSAGE: u64 = 16 << 20;

/// How the gateway marks the event of a deleted key.
const DELETED: &str = "DELETE";

/// A watch that waits for changes.
pub struct Watch {
    stream: BufReader<Box<dyn Read + Send>>,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch").finish_non_exhaustive()
    }
}

impl Watch {
    pub(super) fn new(stream: impl Read + Send + 'static) -> Self {
        Self {
            stream: BufReader::new(Box::new(stream)),
        }
    }

    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// Returns an error when what comes in is not understood; the watch is then of no use.
    pub fn wait(&mut self) -> Result<Changes, StoreError> {
        loop {
            let Some(line) = self.line()? else {
                return Ok(Changes::Ended);
            };
            let message: Streamed<WatchResponse> = serde_json::from_slice(&line)
                .map_err(|e| StoreError::Invalid(format!("in a watch: {e}")))?;
            let Some(result) = message.result else {
                return Ok(Changes::Ended);
            };
            if result.compact_revision > 0 {
                return Ok(Changes::Compacted);
            }
            if result.canceled {
                return Ok(Changes::Ended);
            }
            if result.events.is_empty() {
                continue;
            }
            let events = result.events.into_iter();
            let changes = events.map(|e| change(e.kv, e.kind == DELETED));
            return Ok(Changes::Some(changes.collect::<Result<_, _>>()?));
        }
    }

    /// Reads one line; `None` when the stream ends or stays silent.
    fn line(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        let mut line = Vec::new();
        let mut limited = self.stream.by_ref().take(MAX_MESSAGE);
        match limited.read_until(b'\n', &mut line) {
            Ok(_) if line.ends_with(b"\n") => Ok(Some(line)),
            Ok(n) if n as u64 == MAX_MESSAGE => Err(StoreError::Invalid(
                "a message of a watch is too long".into(),
            )),
            Ok(_) | Err(_) => Ok(None),
        }
    }
}

fn change(kv: KeyValue, deleted: bool) -> Result<Change, StoreError> {
    let pair = pair(kv)?;
    Ok(Change {
        key: pair.key,
        value: (!deleted).then_some(pair.value),
        revision: pair.revision,
    })
}

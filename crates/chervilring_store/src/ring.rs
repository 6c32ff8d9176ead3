//! The ring and the entries' leases.

use std::time::Instant;

use chervilring_wire::{EntryId, Revision, Ring};

use crate::error::StoreError;
use crate::etcd::Store;
use crate::keys::Keys;
use crate::settings::StoreSettings;
use crate::store::{Op, Page, Pair, Txn, TxnAnswer};

/// What a renewal found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewResult {
    /// When the renewal was begun, read before anything was sent.
    pub sent: Instant,
    /// Whether this very life of the entry holds its key under a living lease.
    pub kept: bool,
    /// The ring with the revision of its key; absent before the first one.
    pub ring: Option<(u64, Ring)>,
    /// Entries whose lease is alive, this one included.
    pub live: Vec<EntryId>,
    /// The newest revision of the configuration.
    pub head: Revision,
}

/// What became of an attempt to change the ring.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CasResult {
    /// Whether the ring was written.
    pub done: bool,
    /// The ring as it stands now, with the revision of its key.
    pub ring: Option<(u64, Ring)>,
}

/// An entry's lease, and the ring.
///
/// A renewal at rest is two calls: one for the lease, one that reads ring, entries and the head of
/// the configuration together.
#[derive(Debug)]
pub struct RingStore {
    store: Store,
    keys: Keys,
    entry: EntryId,
    secs: u64,
    lease: Option<u64>,
}

impl RingStore {
    /// Creates the store of an entry whose lease lasts for `secs` seconds.
    pub fn new(settings: &StoreSettings, entry: EntryId, secs: u64) -> Self {
        Self {
            store: Store::new(settings),
            keys: Keys::new(&settings.prefix),
            entry,
            secs,
            lease: None,
        }
    }

    /// Renews the lease, or takes out a new one, and reads what lives.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer; the lease may have been renewed.
    pub fn renew(&mut self) -> Result<RenewResult, StoreError> {
        let sent = Instant::now();
        let lease = self.living_lease()?;
        let page = self.store.range(&self.keys.live())?;
        let key = self.keys.entry(&self.entry.name);
        let own = page.pairs.iter().find(|pair| pair.key == key);
        let (kept, page) = match own {
            Some(pair) if pair.lease == lease && self.holds(pair)? => (true, page),
            Some(pair) if self.superseded(pair)? => (false, page),
            other => self.register(lease, other.map_or(0, |pair| pair.revision))?,
        };
        self.found(sent, kept, &page)
    }

    /// Writes the ring if its key is still at revision `base`; zero where there is none yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer; its verdict says whether the ring may have
    /// been written.
    pub fn cas_ring(&self, base: u64, ring: &Ring) -> Result<CasResult, StoreError> {
        let key = self.keys.ring();
        let value = serde_json::to_vec(ring).map_err(|e| StoreError::NotSent(e.to_string()))?;
        let put = Op::Put {
            key: key.clone(),
            value,
            lease: 0,
        };
        let answer = self.store.txn(&Txn {
            compare: vec![(key.clone(), base)],
            then: vec![put],
            otherwise: vec![Op::Get(key)],
        })?;
        let ring = if answer.done {
            Some((answer.revision, ring.clone()))
        } else {
            first_pair(&answer).map(ring_pair).transpose()?
        };
        Ok(CasResult {
            done: answer.done,
            ring,
        })
    }

    /// Gives the lease back, so that the others see the entry gone at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer; the lease then lapses by itself.
    pub fn release(&mut self) -> Result<(), StoreError> {
        let Some(lease) = self.lease else {
            return Ok(());
        };
        self.store.lease_revoke(lease)?;
        self.lease = None;
        Ok(())
    }

    /// Returns the lease, renewed if it is alive and else a new one.
    fn living_lease(&mut self) -> Result<u64, StoreError> {
        if let Some(lease) = self.lease {
            if self.store.lease_keepalive(lease)? {
                return Ok(lease);
            }
            self.lease = None;
        }
        let lease = self.store.lease_grant(self.secs)?;
        self.lease = Some(lease);
        Ok(lease)
    }

    /// Puts the entry's key under the lease unless it has been written since `revision`.
    fn register(&self, lease: u64, revision: u64) -> Result<(bool, Page), StoreError> {
        let key = self.keys.entry(&self.entry.name);
        let value =
            serde_json::to_vec(&self.entry).map_err(|e| StoreError::NotSent(e.to_string()))?;
        let put = Op::Put {
            key: key.clone(),
            value,
            lease,
        };
        let live = Op::Prefix(self.keys.live());
        let mut answer = self.store.txn(&Txn {
            compare: vec![(key, revision)],
            then: vec![put, live.clone()],
            otherwise: vec![live],
        })?;
        Ok((answer.done, answer.pages.pop().unwrap_or_default()))
    }

    fn holds(&self, pair: &Pair) -> Result<bool, StoreError> {
        Ok(entry_pair(pair)? == self.entry)
    }

    /// Returns whether the key belongs to a later life of this entry.
    fn superseded(&self, pair: &Pair) -> Result<bool, StoreError> {
        Ok(entry_pair(pair)?.incarnation > self.entry.incarnation)
    }

    fn found(&self, sent: Instant, kept: bool, page: &Page) -> Result<RenewResult, StoreError> {
        let mut result = RenewResult {
            sent,
            kept,
            ring: None,
            live: Vec::new(),
            head: Revision(0),
        };
        let (ring, head, entries) = (self.keys.ring(), self.keys.head(), self.keys.entries());
        for pair in &page.pairs {
            if pair.key == ring {
                result.ring = Some(ring_pair(pair)?);
            } else if pair.key == head {
                result.head = parse(pair)?;
            } else if pair.key.starts_with(&entries) {
                result.live.push(entry_pair(pair)?);
            }
        }
        Ok(result)
    }
}

fn first_pair(answer: &TxnAnswer) -> Option<&Pair> {
    answer.pages.first()?.pairs.first()
}

fn ring_pair(pair: &Pair) -> Result<(u64, Ring), StoreError> {
    Ok((pair.revision, parse(pair)?))
}

fn entry_pair(pair: &Pair) -> Result<EntryId, StoreError> {
    parse(pair)
}

/// Reads the JSON value of a pair.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(pair: &Pair) -> Result<T, StoreError> {
    let malformed = |e| StoreError::Invalid(format!("value of key {:?}: {e}", pair.key));
    serde_json::from_slice(&pair.value).map_err(malformed)
}

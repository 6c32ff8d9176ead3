//! The keys under which things are kept.

use chervilring_wire::Revision;

/// The keys of one installation.
///
/// What each renewal of a lease reads lies under one prefix, so that one range brings it all.
#[derive(Debug, Clone)]
pub(crate) struct Keys {
    prefix: String,
}

impl Keys {
    pub(crate) fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.into(),
        }
    }

    /// Returns the prefix of the ring, the entries and the head of the configuration.
    pub(crate) fn live(&self) -> String {
        format!("{}live/", self.prefix)
    }

    /// Returns the key of the ring.
    pub(crate) fn ring(&self) -> String {
        format!("{}live/ring", self.prefix)
    }

    /// Returns the key of the newest revision of the configuration.
    pub(crate) fn head(&self) -> String {
        format!("{}live/head", self.prefix)
    }

    /// Returns the prefix of the entries' keys.
    pub(crate) fn entries(&self) -> String {
        format!("{}live/entries/", self.prefix)
    }

    /// Returns the key that an entry holds under its lease.
    pub(crate) fn entry(&self, name: &str) -> String {
        format!("{}live/entries/{name}", self.prefix)
    }

    /// Returns the key of the configuration.
    pub(crate) fn config(&self) -> String {
        format!("{}config", self.prefix)
    }

    /// Returns the prefix of the audit records.
    pub(crate) fn trail(&self) -> String {
        format!("{}audit/", self.prefix)
    }

    /// Returns the key of the audit record of a revision; keys are ordered as revisions are.
    pub(crate) fn audit(&self, revision: Revision) -> String {
        format!("{}audit/{:020}", self.prefix, revision.0)
    }

    /// Returns the key that tells which revision a note made.
    pub(crate) fn note(&self, id: &str) -> String {
        format!("{}notes/{id}", self.prefix)
    }
}

/// Returns the first key after all keys with this prefix, or no text when there is none.
pub(crate) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    end
}

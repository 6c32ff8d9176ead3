//! How planners and runners agree on which failure domains are evacuated.
//!
//! Operators evacuate a domain in the store. Each process keeps the set of the latest revision that
//! it has read there or heard from a peer, and tells every peer that may hold another set. Peers that
//! agree send nothing. A process that the store turns away therefore follows within a round trip of
//! one that it answers, and one that starts while the store is down learns the set with its links.

/// Where a set of evacuated domains came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationSource {
    /// The store.
    Store,
    /// A process at the other end of a link.
    Peer,
}

//! The ring of entries, the authority to start work, and what may have started before.

//! The entry: submissions, their ids and their callers.

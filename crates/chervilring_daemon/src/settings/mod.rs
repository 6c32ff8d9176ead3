//! Settings of the daemons, checked.

//! Framed links, datagrams and events from threads.

//! Services, release notes and the configuration they make.

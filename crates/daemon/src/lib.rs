//! daemon

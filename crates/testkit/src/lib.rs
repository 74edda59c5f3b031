//! testkit

//! Stub until the decisions land.

//! The platform's protocol: translates between received and sent bytes and the policy ([`grebespool::policy`]).
//!
//! This crate does no I/O and reads no clock. The host passes the time in as the time since the planner's start; for
//! endpoint lists it also passes the wall clock of the machine.
//!
//! The host calls a method of [`SessionManager`] for each event, and [`SessionManager`] acts through the [`Effects`] of
//! the host. [`PlannerConfig`] parses the file that a planner is started with, and [`EndpointWatch`] decides what to
//! request from discovery. Only the private module `wire` uses the platform's own names of messages and fields.

mod config;
mod connections;
mod endpoint_watch;
mod event;
mod event_log;
mod log_aggregator;
mod read_budget;
mod server_registry;
mod session_manager;
mod weight_log;
mod wire;

pub use config::{ConfigError, PlannerConfig};
pub use connections::ConnectionId;
pub use endpoint_watch::{EndpointWatch, ListRequest};
pub use event::{
    EndpointGroup, Event, LoggedWeight, NameList, StreamChange, TableChange, TableWeights, Warning,
    WarningKind,
};
pub use read_budget::ReadLimits;
pub use server_registry::ReceivedAt;
pub use session_manager::{Effects, SessionManager, Status};
pub use wire::{
    EndpointListError, FieldError, FieldFault, FrameDecoder, FrameError, FrameInProgress, JoinRequest,
    Message, MessageError, ServerReport, UsageReport, parse_message,
};

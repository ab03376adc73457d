//! The platform's protocol between its bytes and the policy ([`grebespool::policy`]). Free of I/O and clocks: time comes
//! in as spans since the planner's start, and that of endpoint lists also by the machines' clock.
//!
//! [`SessionManager`] is called for each thing that happens and acts through the [`Effects`] of its host.
//! [`PlannerConfig`] parses the file that a planner is started with, and [`EndpointWatch`] says what to request of
//! discovery. The platform's own names of messages and fields end in one private module, `wire`.

mod config;
mod connections;
mod endpoint_watch;
mod event;
mod event_log;
mod log_aggregator;
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
pub use server_registry::ReceivedAt;
pub use session_manager::{Effects, SessionManager, Status};
pub use wire::{
    EndpointListError, FieldError, FieldFault, FrameDecoder, FrameError, JoinRequest, Message, MessageError,
    ServerReport, UsageReport, parse_message,
};

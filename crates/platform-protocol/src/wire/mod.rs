//! The platform's protocol on the wire: frames, message and field names, parsing and encoding. Only this module uses
//! the platform's own names; [`names`] lists them.

mod endpoint_list;
mod frame;
mod known_fields;
mod message;
pub(crate) mod names;
mod object;
mod outgoing;

pub use endpoint_list::EndpointListError;
pub(crate) use endpoint_list::{EndpointEntry, EndpointList, EntryError, Placement, endpoint_list_path};
pub use frame::{FrameDecoder, FrameError, FrameInProgress};
pub use message::{JoinRequest, Message, MessageError, ServerReport, UsageReport, parse_message};
pub use object::{FieldError, FieldFault};
pub(crate) use outgoing::{UpdateEncoder, encode_pong, encode_refusal};

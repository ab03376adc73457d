//! Answers to the requests of operators. `grebespool-cli` prints the texts of responses, and its tests match some of them.

mod configuration;
mod election;
mod sites;
mod tasks;

use crate::core::Core;
use crate::request::{Request, Response};
use std::rc::Rc;

/// Answers a request.
pub(crate) async fn answer(core: &Rc<Core>, request: Request) -> Response {
    match request {
        Request::ShowMember => election::show(core),
        Request::Add { name, address } => election::add(core, name, address).await,
        Request::Remove { name } => election::remove(core, &name),
        Request::StepDown => election::step_down(core),
        Request::ShowTasks => tasks::show(core),
        Request::Task { name, order } => tasks::order(core, &name, &order),
        Request::ShowConfiguration => configuration::show(core),
        Request::Propose { changes, forced } => configuration::propose(core, changes, forced).await,
        Request::ShowSites | Request::Site { .. } => sites::forward(core, request).await,
    }
}

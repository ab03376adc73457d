//! What must hold whatever happens to control machines, relays and planners, and what comes back once things are well.

mod promises;
mod size;
mod world;

//! What an agent sends to tools, to watchers and to gateways, as recorded: over its sockets and line by line.

mod orders;
mod sessions;
mod support;

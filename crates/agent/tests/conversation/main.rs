//! Exact lines that the agent sends to tools, watchers and gateways over its sockets.

mod orders;
mod sessions;
mod support;

//! Follows the endpoint list, as it changes, at the discovery agent that the configuration names.
//!
//! The agent answers a call with a stream of JSON objects, the watch. Each object is the whole list or the
//! changes since a revision. Empty lines are keep-alives.
//!
//! - [`endpoint_list_watch`] watches the agent that the configuration names, which may change at a reload.
//! - [`watcher`] watches one agent, and repeats calls that ended.
//! - [`watch_error`] holds the reasons for which a call ends.
//! - [`list_state`] holds the last accepted revision and whether the list may be out of date.

pub mod endpoint_list_watch;
pub mod list_state;
pub mod watch_error;
pub mod watcher;

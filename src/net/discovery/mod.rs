//! The endpoint list from discovery's agent, as it changes, for as long as the program runs.
//!
//! The agent answers a call with a stream of JSON objects, the watch: the whole list or changes since a revision, and empty
//! lines as signs of life. [`endpoint_list_watch`] is the watch of whatever agent the configuration names, [`watcher`] follows
//! one agent through broken calls, [`watch_error`] says why a call ended, and [`list_state`] is what is known of the list.

pub mod endpoint_list_watch;
pub mod list_state;
pub mod watch_error;
pub mod watcher;

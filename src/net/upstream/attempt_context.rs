//! Task-local state of the attempt that is being polled, for the connection that the attempt uses. The HTTP
//! library has no way to pass such state through.

use crate::runtime::host::ProgressCallback;
use std::rc::Rc;
use std::time::Instant;

tokio::task_local! {
    /// Called when the first byte of the attempt's request is written, and when its final response begins.
    pub static PROGRESS: Rc<ProgressCallback>;
    /// When the attempt times out, if that is known while the head of its request is written.
    pub static DEADLINE: Option<Instant>;
}

//! What a connection knows of the attempt that is being polled on it. The HTTP library has no way to hand it through.

use crate::runtime::host::Tell;
use std::rc::Rc;
use std::time::Instant;

tokio::task_local! {
    /// Notified of the attempt's progress: that its first byte goes out, and that its final response begins.
    pub static PROGRESS: Rc<Tell>;
    /// When the attempt is not waited for any more, where that is known while its head is written.
    pub static DEADLINE: Option<Instant>;
}

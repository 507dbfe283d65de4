//! Panics of all threads, as values that can be logged.

use std::panic::PanicHookInfo;
use std::sync::Arc;

/// A panic of a thread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Panic {
    /// Name of the thread; empty if it has none.
    pub thread: Arc<str>,
    /// Message of the panic; empty if its payload is not text.
    pub message: Arc<str>,
    /// File, line and column of the panic.
    pub place: Arc<str>,
}

impl From<&PanicHookInfo<'_>> for Panic {
    fn from(info: &PanicHookInfo<'_>) -> Self {
        let payload = info.payload();
        let message = payload.downcast_ref::<&str>().copied();
        let message = message.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        Self {
            thread: std::thread::current().name().unwrap_or_default().into(),
            message: message.unwrap_or_default().into(),
            place: place.into(),
        }
    }
}

/// Calls `observer` with every later panic of this process, on the thread that panics and before it
/// unwinds. Hooks that were set before are still called. `observer` must not panic.
pub fn observe(observer: impl Fn(Panic) + Send + Sync + 'static) {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        observer(info.into());
        previous(info);
    }));
}

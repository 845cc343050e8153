//! The types of a call as the application sees them, common to all runtimes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::core::{End, Reply};

/// An answer of a node, forwarded by a marshal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    pub body: Vec<u8>,
    /// The build that answered.
    pub build: u32,
    /// Number of picks that the marshal made. `build` and `picks` are 0 if the marshal did not report them.
    pub picks: u32,
}

/// Why a call has no answer, classified by what the caller may do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It did not run; the caller may try again later. `local`: it was not sent, because the channel throttles
    /// calls during an overload.
    PushedBack { local: bool },
    /// The deadline passed, and it did not run.
    NotSent,
    /// It may have run: the caller must find out before calling again.
    Unknown,
    /// A marshal aborted it; it may have run.
    Aborted,
    /// The marshal refused it as an invalid request.
    Rejected { status: u16, why: String },
    /// Too many calls are queued in this process.
    QueueFull,
    /// The call's own arguments are invalid.
    BadCall(&'static str),
}

impl Error {
    /// Returns true if the call certainly did not run, so that calling again cannot execute it twice.
    pub fn never_ran(&self) -> bool {
        matches!(self, Error::PushedBack { .. } | Error::NotSent | Error::QueueFull | Error::BadCall(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::PushedBack { .. } => write!(f, "pushed back: the call did not run, try again later"),
            Error::NotSent => write!(f, "deadline exceeded: the call did not run"),
            Error::Unknown => write!(f, "no answer: the call may have run"),
            Error::Aborted => write!(f, "aborted: the call may have run"),
            Error::Rejected { status, why } => write!(f, "rejected with {status}: {why}"),
            Error::QueueFull => write!(f, "too many calls are queued in this process"),
            Error::BadCall(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for Error {}

/// An RPC to be made.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) body: &'a [u8],
    pub(crate) token: Option<&'a str>,
    pub(crate) key: Option<&'a str>,
    pub(crate) within: Option<Duration>,
    pub(crate) fields: Vec<(&'a str, String)>,
    pub(crate) tag: u64,
    pub(crate) cancel: Option<&'a Cancel>,
}

impl<'a> Call<'a> {
    /// Creates a call of `method` with this body.
    pub fn new(method: &'a str, body: &'a [u8]) -> Self {
        Call { method, body, token: None, key: None, within: None, fields: Vec::new(), tag: 0, cancel: None }
    }

    /// Sets the idempotency token, by which nodes recognise a repeated call. Each operation needs its own
    /// token.
    pub fn token(mut self, token: &'a str) -> Self {
        self.token = Some(token);
        self
    }

    /// Sets the key: the subject that the call concerns. Calls of the same key are related.
    pub fn key(mut self, key: &'a str) -> Self {
        self.key = Some(key);
        self
    }

    /// Sets the deadline, counted from the start of the call; the default is the method's.
    pub fn timeout(mut self, span: Duration) -> Self {
        self.within = Some(span);
        self
    }

    /// Adds a header field for the node, for example a trace id. Neither name nor value may contain a line
    /// break.
    pub fn field(mut self, name: &'a str, value: impl Into<String>) -> Self {
        self.fields.push((name, value.into()));
        self
    }

    /// Sets a number by which an [`Observer`] identifies the call.
    pub fn tag(mut self, tag: u64) -> Self {
        self.tag = tag;
        self
    }

    /// Sets a handle by which the call can be cancelled.
    pub fn cancel(mut self, cancel: &'a Cancel) -> Self {
        self.cancel = Some(cancel);
        self
    }
}

/// Cancels a call from another thread or coroutine. The call returns [`Error::Unknown`] if it may have run; its
/// connection is closed, and the marshal aborts the RPC on that. Use one for each call; clones refer to the
/// same call.
#[derive(Clone, Default)]
pub struct Cancel(Arc<Mutex<CancelState>>);

#[derive(Default)]
struct CancelState {
    cancelled: bool,
    callback: Option<Box<dyn FnOnce() + Send>>,
}

impl fmt::Debug for Cancel {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Cancel")
    }
}

impl Cancel {
    /// Creates a handle for one call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Cancels the call; has no effect once the call has ended.
    pub fn cancel(&self) {
        let callback = {
            let mut state = self.0.lock().unwrap();
            state.cancelled = true;
            state.callback.take()
        };
        if let Some(callback) = callback {
            callback();
        }
    }

    /// Registers what to do on cancellation; runs it at once if already cancelled.
    pub(crate) fn on_cancel(&self, callback: impl FnOnce() + Send + 'static) {
        let mut state = self.0.lock().unwrap();
        if state.cancelled {
            drop(state);
            callback();
        } else {
            state.callback = Some(Box::new(callback));
        }
    }

    /// Removes the registration when the call has ended.
    pub(crate) fn disarm(&self) {
        self.0.lock().unwrap().callback = None;
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome<'a> {
    /// An answer arrived. `more`: further bytes followed it, which belong to no request.
    Answered { reply: Reply, answer: &'a Answer, more: bool },
    /// The call's deadline passed.
    DeadlineExceeded,
    /// The connection was closed or failed. `sent`: a byte of the RPC was written to it.
    ConnectionLost { sent: bool },
}

/// Receives events of calls and their attempts, for the application's metrics or traces. Its methods run on the
/// caller's own thread or coroutine and must not block.
pub trait Observer: Send + Sync {
    /// A connection attempt to a marshal begins.
    fn connecting(&self, _to: SocketAddr) {}

    /// An attempt is about to be sent. The returned header field is sent with it.
    fn attempt_starting(
        &self, _tag: u64, _to: SocketAddr, _left: Duration, _earlier: u32,
    ) -> Option<(&'static str, String)> {
        None
    }

    /// An attempt has ended.
    fn attempt_ended(&self, _tag: u64, _how: AttemptOutcome) {}

    /// A call has ended, after `tries` attempts.
    fn call_ended(&self, _tag: u64, _method: &str, _end: End, _took: Duration, _tries: u32) {}
}

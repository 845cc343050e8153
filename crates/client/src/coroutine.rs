//! The runtime for coroutines of `may`: a call blocks its coroutine, not the thread. The application prepares
//! the `may` runtime (`ivydrift_sockets::coroutine::configure_runtime`).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{sleep, spawn, wait_timeout};
use ivydrift_sockets::{Socket, SocketHandle};
use may::sync::Semphore;

use crate::call::Error;
use crate::channel::{self, Builder, Runtime};

/// A channel for coroutines of `may`; cheap to clone and shared by any number of coroutines.
///
/// ```no_run
/// use std::time::Duration;
/// use ivydrift_client::{coroutine::Channel, Call, Kind};
///
/// let channel = Channel::builder()
///     .marshal("127.0.0.1:7100".parse()?)
///     .method("calendar-read", Kind::Idempotent, Duration::from_secs(3))
///     .build_for_coroutines()?;
/// ivydrift_sockets::coroutine::spawn(move || {
///     let read = channel.call(Call::new("calendar-read", b"street=12"));
///     println!("{read:?}");
/// });
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub type Channel = channel::Channel<Coroutines>;

impl Builder {
    /// Builds a channel for coroutines of `may`.
    ///
    /// # Errors
    /// Fails if no marshal or no method was added.
    pub fn build_for_coroutines(self) -> Result<Channel, Error> {
        self.build_on()
    }
}

/// The runtime of coroutines and sockets of `may`.
pub struct Coroutines;

/// Wakes one waiting coroutine.
pub struct Waker(Arc<Semphore>);

impl Default for Waker {
    fn default() -> Self {
        Waker(Arc::new(Semphore::new(0)))
    }
}

impl Runtime for Coroutines {
    type Connection = Socket;
    type Handle = SocketHandle;
    type Waker = Waker;

    fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Socket> {
        Socket::connect(addr, timeout)
    }

    fn handle(connection: &Socket) -> SocketHandle {
        connection.handle()
    }

    fn is_idle(handle: &SocketHandle) -> bool {
        handle.is_idle()
    }

    fn shutdown(handle: &SocketHandle) {
        handle.shutdown();
    }

    fn write(connection: &mut Socket, bytes: &[u8], deadline: Instant) -> Result<(), (usize, io::Error)> {
        connection.write(bytes, deadline)
    }

    fn read(connection: &mut Socket, buffer: &mut [u8], deadline: Instant) -> io::Result<usize> {
        connection.read(buffer, Some(deadline))
    }

    fn wake(waker: &Waker) {
        waker.0.post();
    }

    fn wait(waker: &Waker, span: Duration) {
        wait_timeout(&waker.0, span);
    }

    fn sleep(span: Duration) {
        sleep(span);
    }

    fn spawn(work: impl FnOnce() + Send + 'static) {
        spawn(work);
    }
}

//! The runtime for coroutines of `may`: a call blocks its coroutine, not the thread. The application prepares
//! the `may` runtime (`ivydrift_sockets::coroutine::prepare`).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{go, pause, wait};
use ivydrift_sockets::{Look, Socket};
use may::sync::Semphore;

use crate::call::Error;
use crate::channel::{self, Builder, Means};

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
/// ivydrift_sockets::coroutine::go(move || {
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
        self.on()
    }
}

/// The runtime of coroutines and sockets of `may`.
pub struct Coroutines;

/// Wakes one waiting coroutine.
pub struct Bell(Arc<Semphore>);

impl Default for Bell {
    fn default() -> Self {
        Bell(Arc::new(Semphore::new(0)))
    }
}

impl Means for Coroutines {
    type Line = Socket;
    type Look = Look;
    type Bell = Bell;

    fn connect(to: SocketAddr, within: Duration) -> io::Result<Socket> {
        Socket::connect(to, within)
    }

    fn look(line: &Socket) -> Look {
        line.look()
    }

    fn quiet(look: &Look) -> bool {
        look.quiet()
    }

    fn cut(look: &Look) {
        look.cut();
    }

    fn write(line: &mut Socket, bytes: &[u8], by: Instant) -> Result<(), (usize, io::Error)> {
        line.write(bytes, by)
    }

    fn read(line: &mut Socket, part: &mut [u8], by: Instant) -> io::Result<usize> {
        line.read(part, Some(by))
    }

    fn ring(bell: &Bell) {
        bell.0.post();
    }

    fn wait(bell: &Bell, span: Duration) {
        wait(&bell.0, span);
    }

    fn pause(span: Duration) {
        pause(span);
    }

    fn beside(work: impl FnOnce() + Send + 'static) {
        go(work);
    }
}

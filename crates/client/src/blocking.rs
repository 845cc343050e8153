//! The runtime for threads: a call blocks the calling thread, which also runs it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::call::Error;
use crate::channel::{self, Builder, Runtime};

/// A channel for threads; cheap to clone and shared by any number of threads.
///
/// ```no_run
/// use std::time::Duration;
/// use ivydrift_client::{blocking::Channel, Call, Kind};
///
/// let channel = Channel::builder()
///     .marshal("127.0.0.1:7100".parse()?)
///     .method("pickup-book", Kind::NonIdempotent, Duration::from_secs(3))
///     .build()?;
/// match channel.call(Call::new("pickup-book", b"street=12")) {
///     Ok(answer) => println!("booked by build {}", answer.build),
///     Err(why) if why.never_ran() => println!("{why}; it is safe to call again"),
///     Err(why) => println!("{why}"),
/// }
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub type Channel = channel::Channel<Threads>;

impl Builder {
    /// Builds a channel for threads.
    ///
    /// # Errors
    /// Fails if no marshal or no method was added.
    pub fn build(self) -> Result<Channel, Error> {
        self.build_on()
    }
}

/// The runtime of threads and sockets of the standard library.
pub struct Threads;

/// Wakes one waiting thread.
#[derive(Default)]
pub struct Waker {
    woken: Mutex<bool>,
    condvar: Condvar,
}

impl Runtime for Threads {
    type Connection = Arc<TcpStream>;
    type Handle = Arc<TcpStream>;
    type Waker = Waker;

    fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self::Connection> {
        let socket = TcpStream::connect_timeout(&addr, timeout)?;
        let _ = socket.set_nodelay(true);
        Ok(Arc::new(socket))
    }

    fn handle(connection: &Self::Connection) -> Self::Handle {
        connection.clone()
    }

    /// Switches the socket to non-blocking mode for a moment, so no one else may read from it.
    fn is_idle(handle: &Self::Handle) -> bool {
        let peeked = handle.set_nonblocking(true).and_then(|()| handle.peek(&mut [0]));
        handle.set_nonblocking(false).is_ok() && peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    fn shutdown(handle: &Self::Handle) {
        let _ = handle.shutdown(Shutdown::Both);
    }

    fn write(
        connection: &mut Self::Connection, bytes: &[u8], deadline: Instant,
    ) -> Result<(), (usize, io::Error)> {
        let mut written = 0;
        while written < bytes.len() {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return Err((written, ErrorKind::TimedOut.into()));
            }
            connection.set_write_timeout(Some(time_left)).map_err(|e| (written, e))?;
            match (&**connection).write(&bytes[written..]) {
                Ok(0) => return Err((written, ErrorKind::WriteZero.into())),
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    return Err((written, ErrorKind::TimedOut.into()))
                }
                Err(e) => return Err((written, e)),
            }
        }
        Ok(())
    }

    fn read(connection: &mut Self::Connection, buffer: &mut [u8], deadline: Instant) -> io::Result<usize> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        connection.set_read_timeout(Some(time_left))?;
        (&**connection).read(buffer).map_err(|e| match e.kind() {
            ErrorKind::WouldBlock => ErrorKind::TimedOut.into(),
            _ => e,
        })
    }

    fn wake(waker: &Waker) {
        *waker.woken.lock().unwrap() = true;
        waker.condvar.notify_one();
    }

    fn wait(waker: &Waker, span: Duration) {
        let woken = waker.woken.lock().unwrap();
        let (mut woken, _) = waker.condvar.wait_timeout_while(woken, span, |woken| !*woken).unwrap();
        *woken = false;
    }

    fn sleep(span: Duration) {
        std::thread::sleep(span);
    }

    fn spawn(work: impl FnOnce() + Send + 'static) {
        std::thread::spawn(work);
    }
}

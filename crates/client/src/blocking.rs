//! The runtime for threads: a call blocks the calling thread, which also runs it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::call::Error;
use crate::channel::{self, Builder, Means};

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
        self.on()
    }
}

/// The runtime of threads and sockets of the standard library.
pub struct Threads;

/// Wakes one waiting thread.
#[derive(Default)]
pub struct Bell {
    rung: Mutex<bool>,
    woken: Condvar,
}

impl Means for Threads {
    type Line = Arc<TcpStream>;
    type Look = Arc<TcpStream>;
    type Bell = Bell;

    fn connect(to: SocketAddr, within: Duration) -> io::Result<Self::Line> {
        let socket = TcpStream::connect_timeout(&to, within)?;
        let _ = socket.set_nodelay(true);
        Ok(Arc::new(socket))
    }

    fn look(line: &Self::Line) -> Self::Look {
        line.clone()
    }

    /// Switches the socket to non-blocking mode for a moment, so no one else may read from it.
    fn quiet(look: &Self::Look) -> bool {
        let seen = look.set_nonblocking(true).and_then(|()| look.peek(&mut [0]));
        look.set_nonblocking(false).is_ok() && seen.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    fn cut(look: &Self::Look) {
        let _ = look.shutdown(Shutdown::Both);
    }

    fn write(line: &mut Self::Line, bytes: &[u8], by: Instant) -> Result<(), (usize, io::Error)> {
        let mut done = 0;
        while done < bytes.len() {
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err((done, ErrorKind::TimedOut.into()));
            }
            line.set_write_timeout(Some(left)).map_err(|e| (done, e))?;
            match (&**line).write(&bytes[done..]) {
                Ok(0) => return Err((done, ErrorKind::WriteZero.into())),
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    return Err((done, ErrorKind::TimedOut.into()))
                }
                Err(e) => return Err((done, e)),
            }
        }
        Ok(())
    }

    fn read(line: &mut Self::Line, part: &mut [u8], by: Instant) -> io::Result<usize> {
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        line.set_read_timeout(Some(left))?;
        (&**line).read(part).map_err(|e| match e.kind() {
            ErrorKind::WouldBlock => ErrorKind::TimedOut.into(),
            _ => e,
        })
    }

    fn ring(bell: &Bell) {
        *bell.rung.lock().unwrap() = true;
        bell.woken.notify_one();
    }

    fn wait(bell: &Bell, span: Duration) {
        let rung = bell.rung.lock().unwrap();
        let (mut rung, _) = bell.woken.wait_timeout_while(rung, span, |rung| !*rung).unwrap();
        *rung = false;
    }

    fn pause(span: Duration) {
        std::thread::sleep(span);
    }

    fn beside(work: impl FnOnce() + Send + 'static) {
        std::thread::spawn(work);
    }
}

//! A TCP connection that one coroutine reads and writes while others check whether the peer has closed it, or
//! shut it down. may's read needs exclusive access to the stream, so the others use its descriptor for as
//! long as it is open. (A second descriptor for them would halve the number of connections that a process can
//! hold. Waiting by `peek`, which needs neither, costs two more system calls for each read that waits:
//! throughput drops to 0.8.)

use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, BorrowedFd, FromRawFd, IntoRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use may::io::WaitIo;
use may::net::TcpStream;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, SockRef, Type};

use crate::clock::ReadTimeout;
use crate::coroutine::sleep;
use crate::fair_share::{Turn, TurnClass};

/// EINPROGRESS and EINTR: in both cases the connect continues.
const CONNECT_IN_PROGRESS: [i32; 2] = [115, 4];

/// ENFILE and EMFILE.
const OUT_OF_DESCRIPTORS: [i32; 2] = [23, 24];

/// A body up to this many bytes is copied behind its head, so that both are written in one call.
const MAX_COPIED_BODY_BYTES: usize = 4096;

/// Whether an OS error code means that no descriptor is left.
pub fn out_of_descriptors(error: i32) -> bool {
    OUT_OF_DESCRIPTORS.contains(&error)
}

/// A TCP connection, owned by the coroutine that reads and writes it.
pub struct Socket {
    stream: TcpStream,
    handle: SocketHandle,
    read_timeout: Arc<ReadTimeout>,
    turn: Turn,
    /// When the last wait for bytes ended.
    waited_until: Instant,
}

/// Access to a connection for coroutines other than its owner. Has no effect once the owner has closed it.
#[derive(Clone)]
pub struct SocketHandle {
    fd: Arc<Mutex<Option<RawFd>>>,
    /// The connection was shut down: nothing more is read, since bytes that were read would count as
    /// accepted.
    shut_down: Arc<AtomicBool>,
}

/// A poll with this timeout does not wait.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// What the kernel knows of a connection's peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It is connected, and nothing is unread.
    Quiet,
    /// It is connected as far as the kernel knows, and something is unread. If that fills the receive buffer, a
    /// close cannot arrive until it is read.
    Unread,
    /// It ended its sending, closed or reset the connection. Something may be unread still.
    Closed,
}

impl PeerState {
    /// The state that a poll reports.
    fn of(events: PollFlags) -> Self {
        if events.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR) {
            PeerState::Closed
        } else if events.contains(PollFlags::IN) {
            PeerState::Unread
        } else {
            PeerState::Quiet
        }
    }
}

fn timed_out() -> io::Error {
    ErrorKind::TimedOut.into()
}

impl SocketHandle {
    /// What is known of the peer, also if something is unread: a read or a peek would find that first. A
    /// connection that its owner has closed counts as closed by the peer.
    pub fn peer_state(&self) -> PeerState {
        let polled = self.with_open(|socket| {
            let mut polled = [PollFd::new(&*socket, PollFlags::IN | PollFlags::RDHUP)];
            // A poll that fails says nothing about the peer.
            poll(&mut polled, Some(&NO_WAIT))
                .map_or(PeerState::Unread, |_| PeerState::of(polled[0].revents()))
        });
        polled.unwrap_or(PeerState::Closed)
    }

    /// Whether the peer has ended its sending, closed or reset the connection. A close cannot arrive while
    /// unread bytes fill the receive buffer.
    pub fn peer_closed(&self) -> bool {
        self.peer_state() == PeerState::Closed
    }

    /// Runs one non-blocking call on the connection, if it is open.
    #[allow(unsafe_code)]
    fn with_open<T>(&self, call: impl FnOnce(SockRef) -> T) -> Option<T> {
        let fd_slot = self.fd.lock().unwrap();
        let fd = (*fd_slot)?;
        // SAFETY: the descriptor is open while it is stored here: `Socket` removes it, under this lock,
        // before its stream closes.
        let fd = unsafe { BorrowedFd::borrow_raw(fd) };
        Some(call(SockRef::from(&fd)))
    }

    /// Reads what is there without waiting; 0 bytes at the end of the stream. Only for while the owner does not
    /// read, or the bytes would be out of order.
    ///
    /// # Errors
    /// As the read fails; `WouldBlock` if nothing is there.
    pub fn read_available(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.with_open(|socket| (&*socket).read(buf)).unwrap_or(Ok(0))
    }

    /// Whether the connection is open and has no unread bytes, as an idle connection must.
    pub fn is_idle(&self) -> bool {
        let seen = self.with_open(|socket| socket.peek(&mut [MaybeUninit::uninit()]));
        seen.is_some_and(|seen| seen.is_err_and(|e| e.kind() == ErrorKind::WouldBlock))
    }

    /// Shuts down both directions. A waiting read wakes up, and nothing more is read.
    pub fn shutdown(&self) {
        self.shut_down.store(true, Ordering::Release);
        self.with_open(|socket| socket.shutdown(Shutdown::Both));
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        *self.handle.fd.lock().unwrap() = None;
    }
}

impl Socket {
    /// Wraps an open stream and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> Self {
        // Heads and answers are written in one piece; waiting to fill segments would only delay them.
        let _ = stream.set_nodelay(true);
        let fd = Arc::new(Mutex::new(Some(stream.inner().as_raw_fd())));
        let handle = SocketHandle { fd, shut_down: Arc::default() };
        let read_timeout = ReadTimeout::new(stream.waker());
        let turn = Turn::new(TurnClass::Connection);
        Socket { stream, handle, read_timeout, turn, waited_until: Instant::now() }
    }

    /// Opens a connection within the given time.
    ///
    /// # Errors
    /// As the connect fails, or `TimedOut`.
    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Socket> {
        let deadline = Instant::now() + timeout;
        let new_socket = socket2::Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        new_socket.set_nonblocking(true)?;
        let connecting = new_socket.connect(&to.into());
        if let Some(e) = connecting
            .err()
            .filter(|e| !e.raw_os_error().is_some_and(|code| CONNECT_IN_PROGRESS.contains(&code)))
        {
            return Err(e);
        }
        #[allow(unsafe_code)]
        // SAFETY: the descriptor is an open socket, handed over here and used nowhere else.
        let socket = Socket::new(unsafe { TcpStream::from_raw_fd(new_socket.into_raw_fd()) });
        socket.read_timeout.arm(deadline);
        loop {
            let stream = socket.stream.inner();
            if let Some(e) = stream.take_error()? {
                return Err(e);
            }
            if stream.peer_addr().is_ok() {
                socket.read_timeout.disarm();
                return Ok(socket);
            }
            if Instant::now() >= deadline {
                return Err(timed_out());
            }
            socket.stream.wait_io();
        }
    }

    /// Access to this connection for other coroutines.
    pub fn handle(&self) -> SocketHandle {
        self.handle.clone()
    }

    /// Reads available bytes, waiting until `deadline` for the first one. A peer that always has bytes ready
    /// gets its turns among the other sockets, and its deadline is checked after each of them.
    ///
    /// # Errors
    /// As the read fails, or `TimedOut`.
    pub fn read(&mut self, buf: &mut [u8], deadline: Option<Instant>) -> io::Result<usize> {
        if let Some(deadline) = deadline {
            self.read_timeout.arm(deadline);
        }
        let done = self.read_in_turn(buf, deadline);
        self.read_timeout.disarm();
        done
    }

    /// [`Socket::read`] while its timeout is armed.
    fn read_in_turn(&mut self, buf: &mut [u8], deadline: Option<Instant>) -> io::Result<usize> {
        let is_late = || deadline.is_some_and(|deadline| Instant::now() >= deadline);
        if self.turn.wait_if_used_up() && is_late() {
            return Err(timed_out());
        }
        loop {
            if self.handle.shut_down.load(Ordering::Acquire) {
                return Ok(0);
            }
            match self.stream.inner().read(buf) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // Bytes that arrived before the deadline would have been read above.
                    if is_late() {
                        return Err(timed_out());
                    }
                    self.stream.wait_io();
                    self.turn.record_wait();
                    self.waited_until = Instant::now();
                }
                done => {
                    self.turn.record_operation();
                    return done;
                }
            }
        }
    }

    /// When the last wait for bytes ended: what was read since arrived later than the one before it. At first, when
    /// the connection came.
    pub fn waited_until(&self) -> Instant {
        self.waited_until
    }

    /// Counts reads by others towards this connection's turn.
    pub fn record_reads(&self, count: u32) {
        (0..count).for_each(|_| self.turn.record_operation());
    }

    /// Waits for this connection's next turn if the current one is used up. For loops that answer messages
    /// which have been read already; reads do this by themselves.
    pub fn wait_for_turn(&self) {
        self.turn.wait_if_used_up();
    }

    /// Writes all bytes before `deadline`. Never waits for a turn, since a caller may have checked right before
    /// that it may send, but counts towards the turn of the next read. An error carries the number of bytes that were handed to the
    /// kernel.
    ///
    /// # Errors
    /// As the write fails, or `TimedOut`.
    pub fn write(&self, bytes: &[u8], deadline: Instant) -> Result<(), (usize, io::Error)> {
        let (mut done, mut wait) = (0, Duration::from_micros(200));
        while done < bytes.len() {
            match self.stream.inner().write(&bytes[done..]) {
                Ok(0) => return Err((done, ErrorKind::WriteZero.into())),
                Ok(n) => {
                    done += n;
                    self.turn.record_operation();
                    wait = Duration::from_micros(200);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // The peer reads slowly. Polls, since a coroutine that waits for buffer space would need
                    // exclusive access to the stream.
                    if Instant::now() >= deadline {
                        return Err((done, timed_out()));
                    }
                    sleep(wait);
                    self.turn.record_wait();
                    wait = (wait * 2).min(Duration::from_millis(10));
                }
                Err(e) => return Err((done, e)),
            }
        }
        Ok(())
    }

    /// Writes a head and a body before `deadline`, as [`Socket::write`] does. A long body is not copied.
    ///
    /// # Errors
    /// As [`Socket::write`].
    pub fn write_message(
        &self, mut head: Vec<u8>, body: &[u8], deadline: Instant,
    ) -> Result<(), (usize, io::Error)> {
        if body.len() <= MAX_COPIED_BODY_BYTES {
            head.extend_from_slice(body);
            return self.write(&head, deadline);
        }
        let head_length = head.len();
        self.write(&head, deadline)?;
        drop(head);
        self.write(body, deadline).map_err(|(written, e)| (head_length + written, e))
    }

    /// See [`SocketHandle::peer_closed`].
    pub fn peer_closed(&self) -> bool {
        self.handle.peer_closed()
    }

    /// Whether the connection is open and has no unread bytes, as an idle connection must.
    pub fn is_idle(&self) -> bool {
        self.handle.is_idle()
    }

    /// See [`SocketHandle::shutdown`].
    pub fn shutdown(&self) {
        self.handle.shutdown();
    }

    /// Closes the write side, then reads and discards for at most `timeout`: closing with unread bytes would
    /// reset the connection and lose the last answer (RFC 9112, section 9.6).
    pub fn close_with_drain(&mut self, timeout: Duration) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let (deadline, mut sink) = (Instant::now() + timeout, [0; 4096]);
        for _ in 0..4096 {
            if !matches!(self.read(&mut sink, Some(deadline)), Ok(n) if n > 0) {
                break;
            }
        }
    }
}

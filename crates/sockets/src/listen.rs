//! Listening on an address exclusively.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, FromRawFd, IntoRawFd};

use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Type};

use crate::fair_share::{Turn, TurnClass};
use crate::socket::Socket;

/// Length of the listen backlog.
const LISTEN_BACKLOG: i32 = 1024;

/// Listens on an address exclusively. may's own bind sets SO_REUSEPORT, with which a second marshal on the
/// same address would silently take a share of the clients.
///
/// # Errors
/// If the address cannot be bound, for example because another process listens on it.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    #[allow(unsafe_code)]
    // SAFETY: the descriptor is an open listening socket, handed over here and used nowhere else.
    Ok(unsafe { TcpListener::from_raw_fd(socket.into_raw_fd()) })
}

/// A listener with a non-blocking accept and a separate wait, so that whoever closes it can first drain the
/// backlog. may's own accept only waits, and connections left in the backlog are reset when the listener
/// closes.
pub struct Listener {
    listener: TcpListener,
    turn: Turn,
}

/// Wakes the coroutine that waits on a listener.
pub struct Waker(WaitIoWaker);

impl Waker {
    /// Wakes the waiting coroutine.
    pub fn wake(&self) {
        self.0.wakeup();
    }
}

impl Listener {
    /// Binds a listener to an address.
    ///
    /// # Errors
    /// As [`listen`].
    pub fn bind(addr: SocketAddr) -> io::Result<Listener> {
        let listener = listen(addr)?;
        Ok(Listener { listener, turn: Turn::new(TurnClass::Listener) })
    }

    /// The address that the listener is bound to.
    ///
    /// # Errors
    /// As reported by the system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts a connection from the backlog, or returns `None` if it is empty. Waits for its next turn where
    /// clients connect faster than they are accepted.
    ///
    /// # Errors
    /// Usually because no descriptors are left; connections keep their place in the backlog.
    #[allow(unsafe_code)]
    pub fn accept(&self) -> io::Result<Option<Socket>> {
        self.turn.wait_if_used_up();
        // SAFETY: the descriptor is open as long as the listener, which outlives the call.
        let fd = unsafe { BorrowedFd::borrow_raw(self.listener.as_raw_fd()) };
        loop {
            match SockRef::from(&fd).accept() {
                Ok((socket, _)) => {
                    self.turn.record_operation();
                    socket.set_nonblocking(true)?;
                    // SAFETY: the descriptor is an open socket, handed over here and used nowhere else.
                    let stream = unsafe { TcpStream::from_raw_fd(socket.into_raw_fd()) };
                    return Ok(Some(Socket::new(stream)));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                // A client that disconnected while it was in the backlog is not an error.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until a connection may have arrived or a [`Waker`] is used.
    pub fn wait(&self) {
        self.listener.wait_io();
        self.turn.record_wait();
    }

    /// A handle that ends a [`Listener::wait`] from elsewhere.
    pub fn waker(&self) -> Waker {
        Waker(self.listener.waker())
    }
}

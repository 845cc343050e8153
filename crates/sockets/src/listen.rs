//! Listening on an address that nobody else has.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, FromRawFd, IntoRawFd};

use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Type};

use crate::socket::Socket;

/// Connections that wait to be accepted.
const QUEUE: i32 = 1024;

/// Listens on an address for itself alone. may's own bind sets SO_REUSEPORT, with which a second marshal on the
/// same address would silently share its clients.
///
/// # Errors
/// When the address cannot be had, another listener's among others.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(QUEUE)?;
    #[allow(unsafe_code)]
    // SAFETY: the descriptor is an open listening socket that is handed over and used nowhere else.
    Ok(unsafe { TcpListener::from_raw_fd(socket.into_raw_fd()) })
}

/// A listener that tells apart "none waits" from "wait for one": who ends it can first take all that wait. may's
/// own accept only waits, and a connection in its queue is reset when the listener closes.
pub struct Listener(TcpListener);

/// Wakes who waits at a listener.
pub struct Waker(WaitIoWaker);

impl Waker {
    pub fn wake(&self) {
        self.0.wakeup();
    }
}

impl Listener {
    /// # Errors
    /// As [`listen`].
    pub fn bind(addr: SocketAddr) -> io::Result<Listener> {
        listen(addr).map(Listener)
    }

    /// # Errors
    /// As the system says.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// A connection that waits; none where none does.
    ///
    /// # Errors
    /// Out of descriptors, most likely; what waits keeps its place.
    #[allow(unsafe_code)]
    pub fn accept(&self) -> io::Result<Option<Socket>> {
        // SAFETY: the descriptor is open as long as the listener, which outlives the call.
        let fd = unsafe { BorrowedFd::borrow_raw(self.0.as_raw_fd()) };
        loop {
            match SockRef::from(&fd).accept() {
                Ok((socket, _)) => {
                    socket.set_nonblocking(true)?;
                    // SAFETY: the descriptor is an open socket that is handed over and used nowhere else.
                    let stream = unsafe { TcpStream::from_raw_fd(socket.into_raw_fd()) };
                    return Ok(Some(Socket::new(stream)));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                // A client that has gone again while it waited is no failure of ours.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until one may have come, or somebody wakes.
    pub fn wait(&self) {
        self.0.wait_io();
    }

    pub fn waker(&self) -> Waker {
        Waker(self.0.waker())
    }
}

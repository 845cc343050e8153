//! Listening on an address that nobody else has.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};

use may::net::TcpListener;
use socket2::{Domain, Socket, Type};

/// Connections that wait to be accepted.
const QUEUE: i32 = 1024;

/// Listens on an address for itself alone. may's own bind sets SO_REUSEPORT, with which a second marshal on the
/// same address would silently share its clients.
///
/// # Errors
/// When the address cannot be had, another listener's among others.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(QUEUE)?;
    #[allow(unsafe_code)]
    // SAFETY: the descriptor is an open listening socket that is handed over and used nowhere else.
    Ok(unsafe { TcpListener::from_raw_fd(socket.into_raw_fd()) })
}

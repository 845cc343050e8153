//! Blocking servers and HTTP messages on loopback, with the standard library's threads.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A loopback address that no other fleet of this process uses. Fleets run at the same time, and the port of a
/// process that is stopped for a while must not go to another one.
pub fn unused_ip() -> IpAddr {
    static LAST: AtomicU8 = AtomicU8::new(0);
    let network = LAST.fetch_add(1, Ordering::SeqCst) + 1;
    IpAddr::V4(Ipv4Addr::new(127, 0, network, 1))
}

/// A port that no socket of this machine is given as a free one while this value lives. Others may listen on it
/// by its number; until they do, connections are refused.
pub struct ReservedPort {
    pub addr: SocketAddr,
    _bound: socket2::Socket,
}

impl ReservedPort {
    pub fn new(ip: IpAddr) -> Self {
        let bound = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        bound.set_reuse_address(true).unwrap();
        bound.bind(&SocketAddr::new(ip, 0).into()).unwrap();
        let addr = bound.local_addr().unwrap().as_socket().unwrap();
        ReservedPort { addr, _bound: bound }
    }
}

/// Starts a server that handles each connection on its own thread.
pub fn listen(ip: IpAddr, serve: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let (addr, serve) = (listener.local_addr().unwrap(), Arc::new(serve));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let serve = serve.clone();
            std::thread::spawn(move || serve(&mut stream));
        }
    });
    addr
}

/// Interval at which [`listen_while`] looks for new connections and for its condition.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Like [`listen`], but connections are refused while `is_open` returns false.
pub fn listen_while(
    ip: IpAddr, is_open: impl Fn() -> bool + Send + 'static,
    serve: impl Fn(&mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let (port, serve) = (ReservedPort::new(ip), Arc::new(serve));
    let addr = port.addr;
    let mut listener = Some(TcpListener::bind(addr).unwrap());
    std::thread::spawn(move || loop {
        std::thread::sleep(ACCEPT_INTERVAL);
        if !is_open() {
            listener = None;
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(port.addr).ok();
        }
        let Some(listener) = &listener else { continue };
        listener.set_nonblocking(true).unwrap();
        while let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            let serve = serve.clone();
            std::thread::spawn(move || serve(&mut stream));
        }
    });
    addr
}

/// Reads one message, framed by its Content-Length; `None` if the stream ends or fails first.
pub fn read_message(stream: &mut TcpStream) -> Option<String> {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).to_lowercase();
    let length = number_after(&head, "content-length: ").unwrap_or(0);
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).ok()?;
    text.extend_from_slice(&body);
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// The number that directly follows the first occurrence of `word` in the text.
pub fn number_after(text: &str, word: &str) -> Option<u64> {
    let rest = &text[text.find(word)? + word.len()..];
    let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..digits].parse().ok()
}

/// Writes the text; false if the connection has failed.
pub fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes a 200 answer with this body.
pub fn write_ok(stream: &mut TcpStream, body: &str) -> bool {
    write_text(stream, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Makes the connection end in a reset, not in an orderly close, once the stream is dropped. Always returns
/// false: the connection must not be used again.
pub fn reset_on_close(stream: &TcpStream) -> bool {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    false
}

/// Waits until the peer closes, for this time at most. Always returns false: the connection must not be used
/// again.
pub fn wait_for_close(stream: &mut TcpStream, within: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(within));
    let mut buffer = [0; 64];
    while matches!(stream.read(&mut buffer), Ok(n) if n > 0) {}
    false
}

/// Whether a read failed because of its time-out.
pub fn is_timeout(e: &std::io::Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

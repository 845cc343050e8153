//! Blocking servers and HTTP messages on loopback, with the standard library's threads.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Starts a server that handles each connection on its own thread.
pub fn listen(serve: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
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
    is_open: impl Fn() -> bool + Send + 'static, serve: impl Fn(&mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, serve) = (listener.local_addr().unwrap(), Arc::new(serve));
    let mut listener = Some(listener);
    std::thread::spawn(move || loop {
        std::thread::sleep(ACCEPT_INTERVAL);
        if !is_open() {
            listener = None;
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(addr).ok();
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

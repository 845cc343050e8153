//! A client as the operators' pages describe it, which has to be served whatever others do.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::platform_scene::read_request;
use crate::scene::*;

/// What a usual client got.
pub struct Service {
    /// RPCs that were answered with 200: all that it sent.
    pub served: usize,
    /// The longest wait for an answer.
    pub longest: Duration,
}

/// Sends one RPC after the other until `until`, on one connection for as long as that stays open. If the
/// connection ends without an answer, the RPC is sent once more on a new one.
pub fn run_usual_client(to: SocketAddr, name: &str, until: Instant) -> Service {
    let (mut stream, mut service) = (connect(to), Service { served: 0, longest: Duration::ZERO });
    while Instant::now() < until {
        let (began, text) = (Instant::now(), read_request(&format!("{name}-{}", service.served)));
        write_text(&mut stream, &text);
        let answered = answer(&mut stream).or_else(|| {
            stream = connect(to);
            write_text(&mut stream, &text);
            answer(&mut stream)
        });
        let status = answered.as_ref().map(|answer| answer.status);
        assert_eq!(
            status,
            Some(200),
            "{name}: RPC {}, {:?} after it was sent",
            service.served,
            began.elapsed()
        );
        if answered.is_some_and(|answer| answer.field("connection") == Some("close")) {
            stream = connect(to);
        }
        service.longest = service.longest.max(began.elapsed());
        service.served += 1;
        std::thread::sleep(ms(20));
    }
    service
}

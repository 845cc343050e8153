//! Clients that leave with more on their connection than the marshal has read, and a record of when they left.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::clients::{request_text, ClientName};
use crate::net;
use crate::random::Random;

/// The number of the departing client among those of its marshal.
pub const CLIENT: usize = 1000;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// What a client sends beyond the length that it states.
const BEYOND_BYTES: usize = 16 * 1024;
/// Further requests that fit into the buffers on the way.
const FURTHER_REQUESTS: usize = 100;

/// A client that has left, and the requests that it had sent.
pub struct Departure {
    pub marshal: usize,
    /// Its requests have the numbers from here to `end_number`.
    pub first_number: usize,
    pub end_number: usize,
    pub left: Instant,
    /// What it sent behind its first request, and how it left.
    pub behind: Behind,
    pub leaving: Leaving,
}

/// The marshal and the number of a request of a departing client; `None` for requests of others.
pub fn marshal_and_number(id: &str) -> Option<(usize, usize)> {
    let mut parts = id.split('-').map(str::parse);
    let (marshal, client, number) = (parts.next()?.ok()?, parts.next()?.ok()?, parts.next()?.ok()?);
    (client == CLIENT).then_some((marshal, number))
}

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
pub enum Leaving {
    Close,
    Reset,
    /// It ends its sending, and closes a moment later.
    EndOfSending,
}

const LEAVING: [Leaving; 3] = [Leaving::Close, Leaving::Reset, Leaving::EndOfSending];

/// What a client sends behind its first request.
#[derive(Clone, Copy, Debug)]
pub enum Behind {
    /// Another request in the same segment.
    SameSegment,
    /// Another request a moment later.
    LaterSegment,
    /// More bytes than it stated.
    Beyond,
    FurtherRequests,
    /// As much as the buffers of both sides take.
    Full,
}

const BEHIND: [Behind; 5] =
    [Behind::SameSegment, Behind::LaterSegment, Behind::Beyond, Behind::FurtherRequests, Behind::Full];

/// Sends requests to one marshal and leaves, again and again until `stop` is set, and records each departure.
pub fn run_departing_client(
    name: ClientName, addr: SocketAddr, seed: u64, stop: &AtomicBool, departures: &Arc<Mutex<Vec<Departure>>>,
) {
    let mut random = Random::new(seed);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(random.millis(50, 300));
        let first_number = number;
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) else { continue };
        let behind = BEHIND[random.below(BEHIND.len())];
        send(&mut stream, behind, name, &mut number, &mut random);
        std::thread::sleep(random.millis(1, 120));
        let leaving = LEAVING[random.below(LEAVING.len())];
        let still_reads = leave(stream, leaving);
        let left = Instant::now();
        let (marshal, end_number) = (name.marshal, number);
        let departure = Departure { marshal, first_number, end_number, left, behind, leaving };
        departures.lock().unwrap().push(departure);
        drop(still_reads);
    }
}

/// Sends a request and something behind it. `number` counts the requests.
fn send(stream: &mut TcpStream, behind: Behind, name: ClientName, number: &mut usize, random: &mut Random) {
    let mut next_request = |non_idempotent: bool| {
        *number += 1;
        request_text(&name.request_id(*number - 1), non_idempotent)
    };
    let first = next_request(random.chance(50));
    match behind {
        Behind::SameSegment => {
            net::write_text(stream, &(first + &next_request(true)));
        }
        Behind::LaterSegment => {
            net::write_text(stream, &first);
            std::thread::sleep(random.millis(1, 20));
            net::write_text(stream, &next_request(true));
        }
        Behind::Beyond => {
            net::write_text(stream, &(first + &"x".repeat(BEYOND_BYTES)));
        }
        Behind::FurtherRequests => {
            let further: String = (0..FURTHER_REQUESTS).map(|_| next_request(true)).collect();
            net::write_text(stream, &(first + &further));
        }
        Behind::Full => {
            net::write_text(stream, &first);
            let _ = stream.set_nonblocking(true);
            loop {
                match stream.write(next_request(true).as_bytes()) {
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return,
                }
            }
        }
    }
}

/// Closes, resets or ends the sending. A stream that comes back still reads.
fn leave(stream: TcpStream, leaving: Leaving) -> Option<TcpStream> {
    match leaving {
        Leaving::Close => None,
        Leaving::Reset => {
            net::reset_on_close(&stream);
            None
        }
        Leaving::EndOfSending => {
            let _ = stream.shutdown(Shutdown::Write);
            Some(stream)
        }
    }
}

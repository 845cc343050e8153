//! Measures the cost of the client library: time per call compared with bare sockets, and memory of an idle
//! app.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivydrift_client::{Call, Channel, Kind};
use ivydrift_wire::message;
use serde_json::json;

use crate::part::Part;

/// Calls per round, and rounds of each subject.
const CALLS: usize = 500;
const TURNS: usize = 8;

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times.get(times.len() / 2).map_or(f64::NAN, |t| t.as_secs_f64() * 1e6)
}

fn bare(stream: &mut TcpStream) -> io::Result<Duration> {
    let began = Instant::now();
    stream.write_all(b"POST /calendar-read HTTP/1.1\r\nHost: m\r\nContent-Length: 1\r\n\r\nx")?;
    let mut part = [0; 4096];
    message::response(&mut Vec::new(), 4096, |buf| {
        let n = stream.read(&mut part)?;
        buf.extend_from_slice(&part[..n]);
        Ok(n > 0)
    })?;
    Ok(began.elapsed())
}

/// Measures the client library and prints the result as text or JSON.
///
/// # Errors
/// If a process can't be started or a call fails.
pub fn run(clients: usize, as_json: bool) -> io::Result<()> {
    let (_nodes, addrs) = Part::listening(&["node".into(), "--ports".into(), "16".into()])?;
    let (_edge, at) = Part::listening(&["edge".into(), addrs[0].clone()])?;
    let channel = Channel::builder()
        .marshal(at[0].parse().map_err(io::Error::other)?)
        .method("calendar-read", Kind::Idempotent, Duration::from_secs(2))
        .build()
        .map_err(io::Error::other)?;
    let mut stream = TcpStream::connect(&at[0])?;
    stream.set_nodelay(true)?;
    let (mut by_library, mut by_socket) = (Vec::new(), Vec::new());
    // The subjects alternate so that both see the same machine conditions; the first round of each is a
    // warm-up.
    for turn in 0..TURNS {
        for _ in 0..CALLS {
            let began = Instant::now();
            channel.call(Call::new("calendar-read", b"x")).map_err(io::Error::other)?;
            by_library.push(began.elapsed());
        }
        for _ in 0..CALLS {
            by_socket.push(bare(&mut stream)?);
        }
        if turn == 0 {
            by_library.clear();
            by_socket.clear();
        }
    }
    let (library, socket) = (median(by_library), median(by_socket));
    // Runs the same process with few and with many apps, each with an open connection and one completed call.
    let mut held = Vec::new();
    for apps in [100, 100 + clients] {
        let zero = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + Duration::from_secs(4);
        let args: Vec<String> = [
            "apps",
            "--manner",
            "library",
            "--warm",
            "--seconds",
            "5",
            "--ramp",
            "3",
            "--first",
            "0",
            "--rate",
            "0.01",
        ]
        .map(str::to_owned)
        .to_vec();
        let more =
            ["--apps".to_owned(), apps.to_string(), "--zero-ms".to_owned(), zero.as_millis().to_string()];
        let part = Part::start(&[args, more.to_vec(), vec![at[0].clone()]].concat())?;
        std::thread::sleep(Duration::from_secs(7));
        held.push(part.resident()?);
    }
    let each = (held[1] - held[0]) / clients as f64;
    if as_json {
        println!(
            "{}",
            json!({ "library_us": library, "socket_us": socket, "idle_kib": each, "clients": clients })
        );
        return Ok(());
    }
    println!(
        "a call, median of {}: {library:.0} us by the library, {socket:.0} us on a bare socket",
        CALLS * (TURNS - 1)
    );
    println!("the library adds {:.0} us", library - socket);
    println!("{clients} resting apps with a standing connection: {each:.1} KiB each");
    Ok(())
}

//! Measures the cost of the client library: time per call compared with bare sockets, and memory of an idle
//! app.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivydrift_client::{Call, Channel, Kind};
use ivydrift_wire::message;
use serde_json::json;

use crate::child::ChildProcess;

/// Calls per round, and rounds of each subject.
const CALLS_PER_ROUND: usize = 500;
const ROUNDS: usize = 8;

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times.get(times.len() / 2).map_or(f64::NAN, |t| t.as_secs_f64() * 1e6)
}

fn call_on_socket(stream: &mut TcpStream) -> io::Result<Duration> {
    let started = Instant::now();
    stream.write_all(b"POST /calendar-read HTTP/1.1\r\nHost: m\r\nContent-Length: 1\r\n\r\nx")?;
    let mut chunk = [0; 4096];
    message::read_response(&mut Vec::new(), 4096, |buf| {
        let n = stream.read(&mut chunk)?;
        buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    })?;
    Ok(started.elapsed())
}

/// Measures the client library and prints the result as text or JSON.
///
/// # Errors
/// If a process can't be started or a call fails.
pub fn run(clients: usize, as_json: bool) -> io::Result<()> {
    let (_nodes, addrs) = ChildProcess::listening(&["node".into(), "--ports".into(), "16".into()])?;
    let (_edge, at) = ChildProcess::listening(&["edge".into(), addrs[0].clone()])?;
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
    for round in 0..ROUNDS {
        for _ in 0..CALLS_PER_ROUND {
            let started = Instant::now();
            channel.call(Call::new("calendar-read", b"x")).map_err(io::Error::other)?;
            by_library.push(started.elapsed());
        }
        for _ in 0..CALLS_PER_ROUND {
            by_socket.push(call_on_socket(&mut stream)?);
        }
        if round == 0 {
            by_library.clear();
            by_socket.clear();
        }
    }
    let (library, socket) = (median(by_library), median(by_socket));
    // Runs the same process with few and with many apps, each with an open connection and one completed call.
    let mut resident_kib = Vec::new();
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
        let process_args =
            ["--apps".to_owned(), apps.to_string(), "--zero-ms".to_owned(), zero.as_millis().to_string()];
        let child = ChildProcess::start(&[args, process_args.to_vec(), vec![at[0].clone()]].concat())?;
        std::thread::sleep(Duration::from_secs(7));
        resident_kib.push(child.resident()?);
    }
    let kib_per_app = (resident_kib[1] - resident_kib[0]) / clients as f64;
    if as_json {
        println!(
            "{}",
            json!({ "library_us": library, "socket_us": socket, "idle_kib": kib_per_app, "clients": clients })
        );
        return Ok(());
    }
    println!(
        "a call, median of {}: {library:.0} us by the library, {socket:.0} us on a bare socket",
        CALLS_PER_ROUND * (ROUNDS - 1)
    );
    println!("the library adds {:.0} us", library - socket);
    println!("{clients} resting apps with a standing connection: {kib_per_app:.1} KiB each");
    Ok(())
}

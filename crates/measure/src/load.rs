//! Generates load from one process: closed loop for throughput, open loop for latency. Open-loop latency
//! counts from the time each RPC was due, so that a stall shows in every RPC it delays.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ivydrift_sockets::coroutine::{go, pause_until, prepare};
use ivydrift_sockets::Socket;
use ivydrift_wire::http::{self, Framing};

const RPC: &[u8] = b"POST /calendar-read HTTP/1.1\r\nHost: m\r\nContent-Length: 16\r\n\r\n0123456789abcdef";

fn call(socket: &mut Socket, buf: &mut Vec<u8>) -> Option<u16> {
    let by = Instant::now() + Duration::from_secs(5);
    socket.write(RPC, by).ok()?;
    let mut part = [0; 4096];
    buf.clear();
    loop {
        if let Some((head, used)) = http::response(buf, false).ok()? {
            let Framing::Length(length) = head.framing else { return None };
            if buf.len() >= used + length as usize {
                return Some(head.status);
            }
        }
        let n = socket.read(&mut part, Some(by)).ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&part[..n]);
    }
}

/// Runs the load and prints counts and latencies as JSON.
///
/// # Errors
/// If the histogram can't be created.
pub fn run(to: &[SocketAddr], connections: usize, seconds: f64, rate: Option<f64>) -> io::Result<()> {
    prepare(1);
    let times = Arc::new(Mutex::new(
        Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).map_err(io::Error::other)?,
    ));
    let (ok, bad, done) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicUsize::new(0)));
    // The connections are open and have carried one RPC before the clock starts.
    let begin = Instant::now() + Duration::from_millis(500);
    // Early RPCs don't count: a proxy opens its connections to the nodes in that time.
    let from = begin + Duration::from_millis(1500);
    let end = from + Duration::from_secs_f64(seconds);
    for n in 0..connections {
        let (addr, times) = (to[n % to.len()], times.clone());
        let (ok, bad, done) = (ok.clone(), bad.clone(), done.clone());
        go(move || {
            let mut own = Vec::new();
            let mut buf = Vec::new();
            if let Ok(mut socket) = Socket::connect(addr, Duration::from_secs(2)) {
                call(&mut socket, &mut buf);
                pause_until(begin);
                for i in 0u64.. {
                    let due = match rate {
                        Some(rate) => {
                            begin + Duration::from_secs_f64((i as f64 * connections as f64 + n as f64) / rate)
                        }
                        None => Instant::now(),
                    };
                    if due >= end {
                        break;
                    }
                    pause_until(due);
                    match call(&mut socket, &mut buf) {
                        Some(200) if due < from => {}
                        Some(200) => {
                            ok.fetch_add(1, Ordering::Relaxed);
                            own.push(due.elapsed().as_nanos() as u64);
                        }
                        Some(_) => _ = bad.fetch_add(1, Ordering::Relaxed),
                        None => {
                            bad.fetch_add(1, Ordering::Relaxed);
                            break;
                        }
                    }
                }
            }
            let mut times = times.lock().unwrap();
            own.into_iter().for_each(|t| times.saturating_record(t));
            done.fetch_add(1, Ordering::Release);
        });
    }
    while done.load(Ordering::Acquire) < connections && Instant::now() < end + Duration::from_secs(8) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let times = times.lock().unwrap();
    let us = |q| times.value_at_quantile(q) as f64 / 1000.0;
    let (ok, bad) = (ok.load(Ordering::Relaxed), bad.load(Ordering::Relaxed));
    println!(
        "{}",
        serde_json::json!({ "ok": ok, "bad": bad, "per_s": ok as f64 / seconds,
                            "p50_us": us(0.5), "p99_us": us(0.99), "p999_us": us(0.999) })
    );
    Ok(())
}

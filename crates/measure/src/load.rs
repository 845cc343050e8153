//! Generates load from one process: closed loop for throughput, open loop for latency. Open-loop latency
//! counts from the time each RPC was due, so that a stall shows in every RPC it delays.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ivydrift_sockets::coroutine::{configure_runtime, sleep_until, spawn};
use ivydrift_sockets::Socket;
use ivydrift_wire::http::{self, Framing};

const RPC: &[u8] = b"POST /calendar-read HTTP/1.1\r\nHost: m\r\nContent-Length: 16\r\n\r\n0123456789abcdef";

fn call(socket: &mut Socket, buf: &mut Vec<u8>) -> Option<u16> {
    let deadline = Instant::now() + Duration::from_secs(5);
    socket.write(RPC, deadline).ok()?;
    let mut chunk = [0; 4096];
    buf.clear();
    loop {
        if let Some((head, used)) = http::parse_response(buf, false).ok()? {
            let Framing::Length(length) = head.framing else { return None };
            if buf.len() >= used + length as usize {
                return Some(head.status);
            }
        }
        let n = socket.read(&mut chunk, Some(deadline)).ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&chunk[..n]);
    }
}

/// Runs the load and prints counts and latencies as JSON.
///
/// # Errors
/// If the histogram can't be created.
pub fn run(to: &[SocketAddr], connections: usize, seconds: f64, rate: Option<f64>) -> io::Result<()> {
    configure_runtime(1);
    let histogram = Arc::new(Mutex::new(
        Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).map_err(io::Error::other)?,
    ));
    let (ok, bad, finished) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicUsize::new(0)));
    // The connections are open and have carried one RPC before the clock starts.
    let start_at = Instant::now() + Duration::from_millis(500);
    // Early RPCs don't count: a proxy opens its connections to the nodes in that time.
    let count_from = start_at + Duration::from_millis(1500);
    let end = count_from + Duration::from_secs_f64(seconds);
    for n in 0..connections {
        let (addr, histogram) = (to[n % to.len()], histogram.clone());
        let (ok, bad, finished) = (ok.clone(), bad.clone(), finished.clone());
        spawn(move || {
            let mut latencies = Vec::new();
            let mut buf = Vec::new();
            if let Ok(mut socket) = Socket::connect(addr, Duration::from_secs(2)) {
                call(&mut socket, &mut buf);
                sleep_until(start_at);
                for i in 0u64.. {
                    let due = match rate {
                        Some(rate) => {
                            start_at
                                + Duration::from_secs_f64((i as f64 * connections as f64 + n as f64) / rate)
                        }
                        None => Instant::now(),
                    };
                    if due >= end {
                        break;
                    }
                    sleep_until(due);
                    match call(&mut socket, &mut buf) {
                        Some(200) if due < count_from => {}
                        Some(200) => {
                            ok.fetch_add(1, Ordering::Relaxed);
                            latencies.push(due.elapsed().as_nanos() as u64);
                        }
                        Some(_) => _ = bad.fetch_add(1, Ordering::Relaxed),
                        None => {
                            bad.fetch_add(1, Ordering::Relaxed);
                            break;
                        }
                    }
                }
            }
            let mut histogram = histogram.lock().unwrap();
            latencies.into_iter().for_each(|t| histogram.saturating_record(t));
            finished.fetch_add(1, Ordering::Release);
        });
    }
    while finished.load(Ordering::Acquire) < connections && Instant::now() < end + Duration::from_secs(8) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let histogram = histogram.lock().unwrap();
    let us = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
    let (ok, bad) = (ok.load(Ordering::Relaxed), bad.load(Ordering::Relaxed));
    println!(
        "{}",
        serde_json::json!({ "ok": ok, "bad": bad, "per_s": ok as f64 / seconds,
                            "p50_us": us(0.5), "p99_us": us(0.99), "p999_us": us(0.999) })
    );
    Ok(())
}

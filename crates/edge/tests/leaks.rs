//! Coroutine leaks: every coroutine ends with the connection or RPC it was started for, whatever clients and
//! nodes do. Coroutines are counted per process, so this test has a process of its own.

#[allow(dead_code)]
#[path = "hard/scene.rs"]
mod scene;

use std::io::Read;
use std::net::Shutdown;

use ivydrift_sockets::coroutine::live_count;
use scene::*;

#[test]
fn every_coroutine_ends_with_what_it_was_started_for() {
    let answers = node(Box::new(|nth, s| match nth % 4 {
        0 => write_text(s, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
        1 => false,
        2 => {
            std::thread::sleep(ms(30));
            write_ok(s, "slow")
        }
        _ => write_ok(s, "fine"),
    }));
    let silent = node(Box::new(|_, s| !closes_within(s, ms(5000))));
    let scene =
        Scene::with(&[answers.addr, silent.addr, unreachable_addr()], "bounds {\n  body_kib = 1\n}\n");
    // The timer, discovery and the rollout controller keep coroutines of their own: they are running by now.
    wait_for("a first RPC", ms(3000), || {
        scene.rpc("calendar-read", "grpc-timeout: 300m\r\n", "x").status > 0
    });
    std::thread::sleep(ms(300));
    let before = live_count();
    let whole = message("calendar-read", "grpc-timeout: 400m\r\n", "x");
    let long = message("calendar-save", "grpc-timeout: 400m\r\nIdempotency-Key: k\r\n", &"y".repeat(50_000));
    let mut streams = Vec::new();
    for n in 0..120 {
        let mut stream = scene.connect();
        match n % 8 {
            // Never used, truncated in the head or body, ambiguous, half-closed, and complete RPCs that wait.
            0 => {}
            1 => _ = write_text(&mut stream, &whole[..20]),
            2 => _ = write_text(&mut stream, &long[..30_000]),
            3 => _ = write_text(&mut stream, "GET / HTTP/1.1\nHost: m\n\n"),
            4 => {
                write_text(&mut stream, &whole);
                let _ = stream.shutdown(Shutdown::Write);
            }
            5 => _ = write_text(&mut stream, &long),
            6 => _ = write_text(&mut stream, &whole.repeat(3)),
            _ => _ = write_text(&mut stream, &whole),
        }
        if n % 3 > 0 {
            streams.push(stream);
        }
    }
    wait_for("the connections' coroutines", ms(3000), || live_count() > before + 20);
    for stream in &mut streams {
        let _ = stream.set_read_timeout(Some(ms(20)));
        let _ = stream.read(&mut [0; 64]);
    }
    drop(streams);
    wait_for("the end of all coroutines", ms(6000), || live_count() <= before);
    let counts = scene.running.counts();
    assert_eq!(counts.held, 0, "{counts:?}");
    assert!(counts.rpcs > 50, "{counts:?}");
    assert!(scene.running.stop());
}

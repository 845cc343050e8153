//! Ended coroutines leave little memory behind, however many there were.

use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ivydrift_sockets::coroutine::{configure_runtime, live_count, spawn};

fn resident_kib() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4
}

static DONE: AtomicUsize = AtomicUsize::new(0);

fn run_one_coroutine() {
    spawn(|| {
        // Uses as much stack as a connection's buffers and the calls below it.
        black_box([1u8; 24 * 1024]);
        DONE.fetch_add(1, Ordering::Relaxed);
    });
    while live_count() > 0 {
        std::thread::sleep(Duration::from_micros(50));
    }
}

#[test]
fn stacks_of_ended_coroutines_are_not_all_kept() {
    configure_runtime(1);
    (0..50).for_each(|_| run_one_coroutine());
    let before = resident_kib();
    (0..3000).for_each(|_| run_one_coroutine());
    assert_eq!(DONE.load(Ordering::Relaxed), 3050);
    let growth = resident_kib().saturating_sub(before);
    assert!(
        growth < 4 * 1024,
        "resident memory grew by {growth} KiB over 3000 short coroutines run one after the other"
    );
}

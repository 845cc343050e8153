//! A task that panics is restarted until it returns by itself.

use std::sync::mpsc;
use std::time::Duration;

use ivydrift_sockets::coroutine::{configure_runtime, restart_on_panic, sleep, spawn};

#[test]
fn a_task_that_panics_is_restarted() {
    configure_runtime(1);
    let (tx, rx) = mpsc::channel();
    spawn(move || {
        let mut rounds = 0;
        restart_on_panic(|| {
            rounds += 1;
            sleep(Duration::from_millis(5));
            assert!(rounds > 2, "round {rounds} of the test panics");
        });
        let _ = tx.send(rounds);
    });
    assert_eq!(rx.recv_timeout(Duration::from_secs(3)), Ok(3));
}

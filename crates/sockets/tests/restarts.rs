//! A task that panics is restarted until it returns by itself.

use std::sync::mpsc;
use std::time::Duration;

use ivydrift_sockets::coroutine::{go, pause, prepare, restart_on_panic};

#[test]
fn a_task_that_panics_is_restarted() {
    prepare(1);
    let (tx, rx) = mpsc::channel();
    go(move || {
        let mut rounds = 0;
        restart_on_panic(|| {
            rounds += 1;
            pause(Duration::from_millis(5));
            assert!(rounds > 2, "round {rounds} of the test panics");
        });
        let _ = tx.send(rounds);
    });
    assert_eq!(rx.recv_timeout(Duration::from_secs(3)), Ok(3));
}

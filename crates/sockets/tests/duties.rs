//! A task that panics is restarted until it returns by itself.

use std::sync::mpsc;
use std::time::Duration;

use ivydrift_sockets::coroutine::{go, insist, pause, prepare};

#[test]
fn a_duty_that_panics_is_begun_again() {
    prepare(1);
    let (tell, told) = mpsc::channel();
    go(move || {
        let mut rounds = 0;
        insist(|| {
            rounds += 1;
            pause(Duration::from_millis(5));
            assert!(rounds > 2, "round {rounds} of the test panics");
        });
        let _ = tell.send(rounds);
    });
    assert_eq!(told.recv_timeout(Duration::from_secs(3)), Ok(3));
}

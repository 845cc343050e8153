//! Stand-ins for the review's cases: clients, nodes, discovery and the release desk of the operators'
//! platform, and the marshal as a process of its own. Standard library only, loopback only.

pub mod client;
pub mod desk;
pub mod discovery;
pub mod http;
pub mod marshal;
pub mod node;
pub mod record;

/// Whether the case plays its disruption (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps for this many milliseconds.
pub fn wait(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// Waits until `done`, for at most `ms` milliseconds. Returns whether it came.
pub fn wait_for(ms: u64, mut done: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + std::time::Duration::from_millis(ms);
    while std::time::Instant::now() < end {
        if done() {
            return true;
        }
        wait(5);
    }
    done()
}

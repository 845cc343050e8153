//! What strangers send costs nobody else the worker or the memory. These tests load the machine, so they have a
//! process of their own and run one at a time.

mod floods;
mod memory;
#[allow(dead_code)]
#[path = "../hard/platform_scene.rs"]
mod platform_scene;
#[allow(dead_code)]
#[path = "../hard/process.rs"]
mod process;
#[allow(dead_code)]
#[path = "../hard/scene.rs"]
mod scene;
mod usual_client;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Waits until no other test of this process runs.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The only place that starts coroutines. `may` marks this unsafe for two reasons, and both conditions are
//! met here: a coroutine must not use thread-locals across a yield (none does), nor overflow its stack (set
//! once in [`configure_runtime`] to eight times may's default, and nothing here recurses).

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Semphore;

use crate::clock::post_at;

/// Stack size of a coroutine in words: 256 KiB of address space, of which only touched pages use memory.
const STACK_WORDS: usize = 0x8000;

/// Stacks of ended coroutines kept for reuse. may's default keeps 1000 and hands them out in turn, so that
/// each comes to hold the pages of the deepest call so far: 22 MiB in a marshal with 100 clients.
const SPARE_STACKS: usize = 32;

/// Configures the runtime; must be called before the first coroutine starts.
pub fn configure_runtime(workers: usize) {
    let config = may::config();
    config.set_workers(workers).set_stack_size(STACK_WORDS).set_pool_capacity(SPARE_STACKS);
    // may pins its nth worker to the nth core, so several processes on one machine would all compete for the
    // first cores.
    config.set_worker_pin(false);
}

/// Coroutines that have begun and not ended.
static ALIVE_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Decrements `ALIVE_COUNT` however the coroutine ends: may catches panics.
struct AliveGuard;

impl Drop for AliveGuard {
    fn drop(&mut self) {
        ALIVE_COUNT.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts a coroutine.
pub fn spawn(body: impl FnOnce() + Send + 'static) {
    ALIVE_COUNT.fetch_add(1, Ordering::Relaxed);
    let alive = AliveGuard;
    spawn_uncounted(move || {
        let _alive = alive;
        body();
    });
}

/// Starts a coroutine of this crate that lives as long as the process and is not part of [`live_count`].
#[allow(unsafe_code)]
pub(crate) fn spawn_uncounted(body: impl FnOnce() + Send + 'static) {
    // SAFETY: see the module documentation.
    let _detached = unsafe { may::coroutine::spawn(body) };
}

/// Delay before a task that panicked is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a task of the process until it returns. may silently drops a coroutine that panics; a task that
/// nothing else would take over, such as accepting connections or running timers, is restarted instead. The
/// panic itself has been reported by then.
pub fn restart_on_panic(mut task: impl FnMut()) {
    while catch_unwind(AssertUnwindSafe(&mut task)).is_err() {
        sleep(RESTART_DELAY);
    }
}

/// Number of coroutines of this process that have not ended.
pub fn live_count() -> usize {
    ALIVE_COUNT.load(Ordering::Relaxed)
}

/// Waits until the given time. On a thread that runs no coroutines this blocks the thread.
pub fn sleep_until(at: Instant) {
    if at > Instant::now() {
        let woken = Arc::new(Semphore::new(0));
        post_at(at, woken.clone());
        woken.wait();
    }
}

/// Waits for this long. On a thread that runs no coroutines this blocks the thread.
pub fn sleep(span: Duration) {
    sleep_until(Instant::now() + span);
}

/// Waits for a post, for at most this long. The clock posts too, and may do so late, so the caller has to
/// check why it was woken.
pub fn wait_timeout(semaphore: &Arc<Semphore>, span: Duration) {
    post_at(Instant::now() + span, semaphore.clone());
    semaphore.wait();
}

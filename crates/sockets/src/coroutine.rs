//! The one place that starts coroutines. `may` calls this unsafe for two reasons, and each is kept here: a
//! coroutine must not use thread-locals across a yield (none of ours does), nor outgrow its stack (ours is
//! eight times may's, set once in [`prepare`], and nothing here recurses).

/// Words of stack a coroutine gets: 256 KiB of address space, of which only touched pages cost memory.
const STACK_WORDS: usize = 0x8000;

pub fn prepare(workers: usize) {
    let config = may::config();
    config.set_workers(workers).set_stack_size(STACK_WORDS);
    // may pins its nth worker to the nth core: several processes on one machine would all crowd the first.
    config.set_worker_pin(false);
}

#[allow(unsafe_code)]
pub fn go(work: impl FnOnce() + Send + 'static) {
    // SAFETY: see the head of this file.
    let _detached = unsafe { may::coroutine::spawn(work) };
}

pub fn pause(span: std::time::Duration) {
    may::coroutine::sleep(span);
}

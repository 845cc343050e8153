//! Remembers recently used idempotency tokens, so that reuse of a token for a different call is reported here.
//! A node would silently drop the second call as a repeat of the first.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Maximum number of tokens remembered; beyond it the oldest are forgotten.
const MAX_TOKENS: usize = 4096;

#[derive(Default)]
pub struct Tokens {
    /// Hash of the token to hash of its call (method and body) and expiry time.
    calls: HashMap<u64, (u64, Duration)>,
    /// Expiry time and token hash, in order of use.
    by_age: VecDeque<(Duration, u64)>,
}

fn hash_of(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

impl Tokens {
    /// Records the use of a token; returns false if it is in use for a different call.
    pub fn record(
        &mut self, now: Duration, window: Duration, token: &str, method: &str, body: &[u8],
    ) -> bool {
        while let Some(&(expiry, token)) = self.by_age.front() {
            if expiry > now && self.by_age.len() <= MAX_TOKENS {
                break;
            }
            self.by_age.pop_front();
            if self.calls.get(&token).is_some_and(|k| k.1 == expiry) {
                self.calls.remove(&token);
            }
        }
        let (token, call, expiry) = (hash_of(token), hash_of((method, body)), now + window);
        if self.calls.get(&token).is_some_and(|k| k.0 != call && k.1 > now) {
            return false;
        }
        self.calls.insert(token, (call, expiry));
        self.by_age.push_back((expiry, token));
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_token_is_bound_to_one_call_within_its_window_and_memory_is_bounded() {
        let (s, window) = (Duration::from_secs, Duration::from_secs(5));
        let mut tokens = Tokens::default();
        assert!(tokens.record(s(0), window, "a", "save", b"1"));
        assert!(tokens.record(s(1), window, "a", "save", b"1"), "the caller may repeat its own call");
        assert!(!tokens.record(s(2), window, "a", "save", b"2"));
        assert!(!tokens.record(s(2), window, "a", "book", b"1"));
        assert!(!tokens.record(s(5), window, "a", "save", b"2"), "the repeat at 1 s extends the window");
        assert!(tokens.record(s(7), window, "a", "save", b"2"));
        for n in 0..20_000 {
            tokens.record(s(8), window, &n.to_string(), "save", b"1");
        }
        assert!(tokens.calls.len() <= MAX_TOKENS + 1 && tokens.by_age.len() <= MAX_TOKENS + 1);
    }
}

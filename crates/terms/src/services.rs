//! Terms on many services in one marshal: whose method is whose, and how many are held at once.

use std::sync::Arc;
use std::time::Duration;

use crate::sheet::Sheet;

/// A name stands in the path and the query of what list and desk are asked.
const NAME: usize = 100;

/// Bounds on the services that are held beside [`crate::Places::service`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicesTerms {
    pub most: usize,
    /// One that no RPC comes for is dropped after this.
    pub rest: Duration,
    /// Reckoned bytes of all of them.
    pub bytes: usize,
}

impl Default for ServicesTerms {
    fn default() -> Self {
        ServicesTerms { most: 64, rest: Duration::from_secs(120), bytes: 16_384 * 1024 }
    }
}

/// The service that a method's block names, or the one of `places`.
pub fn of(method: &Sheet, home: &str) -> Arc<str> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let read = |name: &str| {
        let fits = (1..=NAME).contains(&name.len()) && name.chars().all(plain);
        fits.then(|| Arc::from(name))
    };
    let form = "a service's name in the node list: letters, digits, - _ or ., at most 100";
    method.parsed("service", Some(home.into()), form, read).unwrap_or_else(|| home.into())
}

/// The block `services`, and whether `places.service` has a method.
pub fn read(top: &Sheet, home: &str, serves: &[Arc<str>]) -> ServicesTerms {
    if !serves.is_empty() && serves.iter().all(|name| **name != *home) {
        let what = format!(
            "no method is of places.service {home:?}: leave `service` out of at least one method, or name in places.service \
             one that has a method"
        );
        top.complain(None, what);
    }
    let usual = ServicesTerms::default();
    top.block("services", |s| {
        let rest = s.span("rest", Some(usual.rest));
        if rest < Duration::from_secs(1) && s.has("rest") {
            s.complain(Some("rest"), "rest is under a second: write a span of \"1s\" or more");
        }
        ServicesTerms {
            most: s.whole("most", Some(usual.most as u64), 1..=10_000) as usize,
            rest,
            bytes: s.whole("kib", Some(usual.bytes as u64 / 1024), 64..=16 << 20) as usize * 1024,
        }
    })
}

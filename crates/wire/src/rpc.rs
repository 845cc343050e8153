//! Header fields of an RPC and of its answers: deadline, idempotency token, key, trace, and the kind of final answer.

use std::time::Duration;

use crate::http::Fields;

/// Time left until the client's deadline, in the format of gRPC over HTTP/2: up to 8 digits and a unit.
pub const TIMEOUT: &str = "grpc-timeout";
/// Number of earlier tries by the client, as in gRPC's retry design.
pub const PREVIOUS_ATTEMPTS: &str = "grpc-previous-rpc-attempts";
/// Token by which nodes recognize a repeated RPC (IETF draft Idempotency-Key header).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Routing key: RPCs with the same key concern the same subject.
pub const ROUTING_KEY: &str = "ivydrift-key";
/// Tenant of the caller.
pub const TENANT: &str = "ivydrift-tenant";
/// Kind of the final answer: `ok`, `pushed-back` or `aborted`.
pub const ANSWER: &str = "ivydrift-answer";
/// Number of picks made for the RPC.
pub const PICKS: &str = "ivydrift-picks";
/// Build of the node that answered.
pub const BUILD: &str = "ivydrift-build";
/// Reason for an answer other than `ok`, in one word.
pub const REASON: &str = "ivydrift-why";
/// Set by a node that rejected the RPC without processing it: it never ran and never will.
pub const NEVER_RAN: &str = "ivydrift-never-ran";
/// Identifier of the client's try, forwarded unchanged to the node.
pub const TRACE: &str = "ivydrift-trace";
/// Set by a marshal with many clients: milliseconds over which they should spread their reconnects if it stops.
pub const RECONNECT_SPREAD_MS: &str = "ivydrift-spread-ms";
/// Milliseconds after which the client may retry. `Retry-After` allows only whole seconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Parses `grpc-timeout`: at most 8 digits and one of H, M, S, m, u, n.
///
/// # Errors
/// Returns a sentence on what to write instead.
pub fn parse_timeout(text: &str) -> Result<Duration, &'static str> {
    const FORM: &str = "grpc-timeout must be 1 to 8 digits and a unit of H, M, S, m, u or n, as in 800m";
    let (digits, unit) = text.split_at_checked(text.len().saturating_sub(1)).ok_or(FORM)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(FORM);
    }
    let count: u64 = digits.parse().map_err(|_| FORM)?;
    Ok(match unit {
        "H" => Duration::from_secs(count * 3600),
        "M" => Duration::from_secs(count * 60),
        "S" => Duration::from_secs(count),
        "m" => Duration::from_millis(count),
        "u" => Duration::from_micros(count),
        "n" => Duration::from_nanos(count),
        _ => return Err(FORM),
    })
}

/// Formats `grpc-timeout`, rounded down so that a node never gets more time than is left.
pub fn format_timeout(span: Duration) -> String {
    match span.as_micros() {
        micros if micros < 100_000_000 => format!("{micros}u"),
        micros if micros / 1000 < 100_000_000 => format!("{}m", micros / 1000),
        micros => format!("{}S", (micros / 1_000_000).min(99_999_999)),
    }
}

/// Returns the method of an RPC: the path without query, leading and trailing slashes.
pub fn method_from_target(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or("");
    path.trim_start_matches('/').trim_end_matches('/')
}

/// Converts a key to a number: a decimal number is used as is, any other text is hashed (FNV-1a). 0 means no key.
pub fn parse_key(text: &str) -> Option<u64> {
    let fnv1a_step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = || text.bytes().fold(0xcbf2_9ce4_8422_2325, fnv1a_step);
    Some(text.parse().unwrap_or_else(|_| hash())).filter(|&key| key != 0 && !text.is_empty())
}

/// Kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Ok,
    PushedBack,
    Aborted,
}

impl AnswerKind {
    /// Name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            AnswerKind::Ok => "ok",
            AnswerKind::PushedBack => "pushed-back",
            AnswerKind::Aborted => "aborted",
        }
    }

    /// Reads the kind from the fields of a response; none if a marshal did not produce it.
    pub fn read(fields: &Fields) -> Option<AnswerKind> {
        [AnswerKind::Ok, AnswerKind::PushedBack, AnswerKind::Aborted]
            .into_iter()
            .find(|k| fields.get(ANSWER) == Some(k.as_str()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn malformed_timeouts_are_rejected() {
        for malformed in ["", "m", "12", "123456789m", "1.5S", "-1S", "5s", "5 m", "5m "] {
            assert!(parse_timeout(malformed).is_err(), "{malformed:?}");
        }
        assert_eq!(parse_timeout("800m"), Ok(Duration::from_millis(800)));
        assert_eq!(parse_timeout("2H"), Ok(Duration::from_secs(7200)));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::default() })]
        #[test]
        fn a_forwarded_timeout_is_never_longer(us in 0u64..90_000_000_000_000) {
            let span = Duration::from_micros(us);
            let read = parse_timeout(&format_timeout(span)).unwrap();
            prop_assert!(read <= span && span - read <= span / 1000 + Duration::from_secs(1));
        }
    }
}

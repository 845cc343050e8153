//! Header fields of an RPC and of its answers in the platform's dialect.

use std::time::Duration;

use ivydrift_wire::http::{Fields, Framing, HeadWriter, ParseError, Request, Response};
use ivydrift_wire::orca::Metrics;

use crate::start::MAX_BODY_BYTES;

/// Unique id of an RPC.
pub const ID: &str = "x-request-id";
/// Tenant of the caller.
pub const TENANT: &str = "x-tenant-id";
/// Time the client waits, in milliseconds.
pub const TIMEOUT: &str = "x-timeout-ms";
/// `1` if the client has tried before.
pub const RETRIED: &str = "x-retried";
/// `1` if the node rejected the RPC without processing it.
pub const NOT_PROCESSED: &str = "x-not-processed";
/// A node's load report, see [`parse_load`].
pub const LOAD: &str = "x-server-load";
/// Path of the readiness check.
pub const HEALTH: &str = "/_health";

/// Longest accepted id.
const MAX_ID_BYTES: usize = 128;

/// An RPC as described by its request head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RpcHead<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub tenant: Option<&'a str>,
    /// How long the client waits, counted from when it sent the RPC.
    pub time_left: Duration,
    /// The client says that it has tried before.
    pub is_retry: bool,
}

/// Returns the method's name: the first segment of the path.
pub fn method_of(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or("");
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

/// Returns the tenant, and whether the client says that it has tried before.
pub fn tenant_and_retried(fields: &Fields) -> (Option<&str>, bool) {
    (fields.get(TENANT), fields.get(RETRIED) == Some("1"))
}

/// Whether the request is a readiness check.
pub fn is_readiness_check(request: &Request) -> bool {
    request.http_method == "GET" && request.target == HEALTH
}

/// Validates an RPC's request head. `safe` says whether its method may run more than once; none for an unknown method.
///
/// # Errors
/// Returns the HTTP status and reason for a head that does not follow the platform's protocol. Such a request must not
/// be forwarded to a node.
pub fn validate_request<'a>(request: &'a Request, safe: Option<bool>) -> Result<RpcHead<'a>, ParseError> {
    let refuse = |status, reason| Err(ParseError { status, reason });
    let single_value = |name| {
        let mut values = request.fields.values(name);
        values.next().filter(|_| values.next().is_none()).and_then(|v| std::str::from_utf8(v).ok())
    };
    let valid_id =
        |id: &&str| (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
    let Some(id) = single_value(ID).filter(valid_id) else {
        return refuse(400, "there must be one X-Request-ID of 1 to 128 visible characters");
    };
    let all_digits = |text: &&str| (1..=9).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    let time_left =
        single_value(TIMEOUT).filter(all_digits).and_then(|text| text.parse().ok()).filter(|ms| *ms > 0);
    let Some(time_left) = time_left.map(Duration::from_millis) else {
        return refuse(400, "there must be one X-Timeout-Ms, a whole number over 0, as in 480");
    };
    match safe {
        None => return refuse(404, "no such class: the first part of the path names it"),
        Some(true) if request.http_method != "GET" => return refuse(405, "this class uses GET"),
        Some(false) if request.http_method != "POST" => return refuse(405, "this class uses POST"),
        Some(true) if request.framing != Framing::Length(0) => return refuse(400, "a GET has no body here"),
        Some(_) => {}
    }
    let (tenant, is_retry) = tenant_and_retried(&request.fields);
    Ok(RpcHead { id, method: method_of(&request.target), tenant, time_left, is_retry })
}

/// Interprets a node's response head: status, whether the node says that it did not process the RPC, and load report.
pub fn interpret_response(head: &Response) -> (u16, bool, Metrics) {
    let load = head.fields.get(LOAD).map(parse_load).unwrap_or_default();
    match head.status {
        503 | 504 if head.fields.get(NOT_PROCESSED) == Some("1") => (503, true, load),
        200 => (200, false, load),
        // The platform defines no other status; anything else counts as an error.
        _ => (500, false, load),
    }
}

/// Whether an answer is unusable: delimited only by the close of the connection, or longer than [`MAX_BODY_BYTES`].
pub fn is_unusable(framing: Framing) -> bool {
    match framing {
        Framing::Length(n) => n > MAX_BODY_BYTES as u64,
        Framing::Chunked => false,
        Framing::UntilClose => true,
    }
}

/// Parses a load report such as `inflight=7,queue=2,util=0.61`. Malformed and unknown entries are ignored.
pub fn parse_load(text: &str) -> Metrics {
    let mut metrics = Metrics::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        let Some(value) = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0) else { continue };
        match name {
            "inflight" | "concurrent" => metrics.in_flight = Some(value),
            "queue" | "depth" => metrics.queue = Some(value),
            "util" | "load_share" => metrics.cpu_utilization = Some(value),
            "latency_ms" | "mean_ms" => metrics.latency_ms = Some(value),
            "qps" | "tps" => metrics.rps = Some(value),
            "eps" | "err_ps" => metrics.eps = Some(value),
            _ => {}
        }
    }
    metrics
}

/// Formats the timeout sent to a node: whole milliseconds, at least 1.
pub fn format_timeout(timeout: Duration) -> String {
    timeout.as_millis().max(1).to_string()
}

/// Builds the head of a pushed-back answer, which tells the client that a retry is harmless.
pub fn pushed_back_head(retry_after: Option<Duration>) -> HeadWriter {
    let head = HeadWriter::response(503);
    match retry_after.filter(|delay| !delay.is_zero()) {
        Some(delay) => head.field("retry-after", format!("{:.3}", delay.as_secs_f64())),
        None => head,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ivydrift_wire::http;

    fn request(text: &str) -> Request {
        http::parse_request(text.as_bytes()).unwrap().unwrap().0
    }

    fn status(text: &str, safe: Option<bool>) -> u16 {
        validate_request(&request(text), safe).map_or_else(|error| error.status, |_| 200)
    }

    #[test]
    fn the_example_rpc_of_the_protocol_parses() {
        let text =
            "POST /checkout/7?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n\
                    X-Tenant-Id: acme\r\nX-Timeout-Ms: 480\r\nX-Retried: 1\r\nContent-Length: 212\r\n\r\n";
        let request = request(text);
        let rpc = validate_request(&request, Some(false)).unwrap();
        assert_eq!((rpc.id, rpc.method, rpc.tenant), ("9b1f03aa5c7e2d41", "checkout", Some("acme")));
        assert_eq!((rpc.time_left, rpc.is_retry), (Duration::from_millis(480), true));
    }

    #[test]
    fn malformed_rpcs_are_rejected() {
        let get = |fields: &str| format!("GET /r HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
        let valid = "X-Request-ID: a1\r\nX-Timeout-Ms: 480\r\n";
        assert_eq!(status(&get(valid), Some(true)), 200);
        assert_eq!(status(&get("X-Timeout-Ms: 480\r\n"), Some(true)), 400);
        assert_eq!(status(&get("X-Request-ID: \r\nX-Timeout-Ms: 480\r\n"), Some(true)), 400);
        assert_eq!(status(&get(&format!("X-Request-ID: b2\r\n{valid}")), Some(true)), 400);
        assert_eq!(status(&get("X-Request-ID: a 1\r\nX-Timeout-Ms: 480\r\n"), Some(true)), 400);
        for time_left in ["soon", "-5", "0", "1e3", "99999999999", "4.5", ""] {
            assert_eq!(
                status(&get(&format!("X-Request-ID: a1\r\nX-Timeout-Ms: {time_left}\r\n")), Some(true)),
                400
            );
        }
        assert_eq!(status(&get(valid), None), 404);
        assert_eq!(status(&get(valid), Some(false)), 405);
        assert_eq!(status(&get(&format!("{valid}Content-Length: 3\r\n")), Some(true)), 400);
        assert_eq!(status(&get(&format!("{valid}Transfer-Encoding: chunked\r\n")), Some(true)), 400);
    }

    #[test]
    fn not_processed_counts_only_with_503_and_504() {
        let interpreted = |text: &str| {
            let head = http::parse_response(
                format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
                false,
            );
            let (status, never_ran, load) = interpret_response(&head.unwrap().unwrap().0);
            (status, never_ran, load.in_flight)
        };
        assert_eq!(interpreted("200 OK\r\nX-Server-Load: inflight=7,queue=x,util"), (200, false, Some(7.0)));
        assert_eq!(interpreted("503 Full\r\nX-Not-Processed: 1"), (503, true, None));
        assert_eq!(interpreted("504 Over\r\nX-Not-Processed: 1"), (503, true, None));
        assert_eq!(interpreted("500 Oh\r\nX-Not-Processed: 1"), (500, false, None));
        assert_eq!(interpreted("503 Full"), (500, false, None));
        assert_eq!(interpreted("204 None"), (500, false, None));
        assert!(is_unusable(Framing::Length(3_000_000_000)) && !is_unusable(Framing::Length(65_536)));
    }

    #[test]
    fn retry_after_of_a_push_back_has_fractions_of_a_second() {
        let text = |wait| String::from_utf8(pushed_back_head(wait).finish()).unwrap();
        assert!(text(Some(Duration::from_millis(340))).contains("retry-after: 0.340\r\n"));
        assert!(!text(None).contains("retry-after"));
        assert!(text(None).starts_with("HTTP/1.1 503 "));
    }
}

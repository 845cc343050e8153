//! Protocol dialects: the native protocol and the operators' platform. The shell calls these methods and is
//! otherwise the same for both; the encodings are in `wire` and `platform`.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use ivydrift_marshal::{Call, FailureReason};
use ivydrift_platform::members::Catalog;
use ivydrift_platform::rpc as platform_rpc;
use ivydrift_platform::start::MAX_BODY_BYTES;
use ivydrift_wire::http::{Fields, Framing, HeadWriter, ParseError, Request, Response};
use ivydrift_wire::orca::{self, Metrics};
use ivydrift_wire::rpc;

use crate::request_ids::{IdClaim, RequestIds};
use crate::Settings;

/// The protocol spoken with clients, nodes, discovery and rollout controller.
pub enum Dialect {
    Native,
    Platform(Platform),
}

/// State that only the platform's dialect needs.
#[derive(Default)]
pub struct Platform {
    /// The node list as last received.
    pub catalog: Mutex<Catalog>,
    /// Request ids in use.
    ids: RequestIds,
}

impl Platform {
    /// Starts from a known node list.
    pub fn new(catalog: Catalog) -> Self {
        Platform { catalog: Mutex::new(catalog), ..Platform::default() }
    }
}

/// Header fields that the marshal sets itself, or that only concern client and marshal.
const NOT_FORWARDED: [&str; 7] =
    ["host", "via", rpc::TIMEOUT, rpc::ANSWER, rpc::PICKS, rpc::BUILD, rpc::REASON];
const NOT_FORWARDED_PLATFORM: [&str; 2] = ["host", platform_rpc::TIMEOUT];
const NOT_RETURNED: [&str; 8] = [
    orca::LOAD_FIELD,
    rpc::ANSWER,
    rpc::PICKS,
    rpc::BUILD,
    rpc::REASON,
    rpc::NEVER_RAN,
    rpc::RECONNECT_SPREAD_MS,
    "via",
];
const NOT_RETURNED_PLATFORM: [&str; 2] = [platform_rpc::LOAD, platform_rpc::NOT_PROCESSED];

impl Dialect {
    /// The platform's state, or `None` in the native dialect.
    pub fn platform(&self) -> Option<&Platform> {
        match self {
            Dialect::Native => None,
            Dialect::Platform(platform) => Some(platform),
        }
    }

    /// Whether this is a health check rather than an RPC.
    pub fn is_health_check(&self, request: &Request) -> bool {
        self.platform().is_some() && platform_rpc::is_readiness_check(request)
    }

    /// Reads the client's timeout, if given, and claims the request id.
    pub fn read_timeout_and_id(
        &self, request: &Request, settings: &Settings,
    ) -> Result<(Option<Duration>, Option<IdClaim<'_>>), ParseError> {
        match self {
            Dialect::Native => match request.fields.get(rpc::TIMEOUT).map(rpc::parse_timeout) {
                None => Ok((None, None)),
                Some(Ok(left)) => Ok((Some(left), None)),
                Some(Err(why)) => Err(ParseError { status: 400, reason: why }),
            },
            Dialect::Platform(platform) => {
                let name = platform_rpc::method_of(&request.target);
                let repeatable = settings.methods.find(name).map(|method| settings.repeatable[method]);
                let parsed = platform_rpc::validate_request(request, repeatable)?;
                let why = "an RPC with this X-Request-ID was taken already";
                let claim = platform.ids.claim(parsed.id, parsed.time_left.min(settings.longest_deadline));
                let claim = claim.ok_or(ParseError { status: 409, reason: why })?;
                Ok((Some(parsed.time_left), Some(claim)))
            }
        }
    }

    /// The RPC's properties that the core decides by, from the request head.
    pub fn call<'a>(&self, target: &'a str, fields: &'a Fields, left: Option<Duration>) -> Call<'a> {
        match self {
            Dialect::Native => Call {
                method: rpc::method_from_target(target),
                tenant: fields.get(rpc::TENANT),
                key: fields.get(rpc::ROUTING_KEY).and_then(rpc::parse_key),
                has_idempotency_key: fields.get(rpc::IDEMPOTENCY_KEY).is_some_and(|t| !t.is_empty()),
                time_left: left,
                is_retry: fields.get(rpc::PREVIOUS_ATTEMPTS).is_some_and(|n| n != "0"),
            },
            Dialect::Platform(_) => {
                let (tenant, is_retry) = platform_rpc::tenant_and_retried(fields);
                Call {
                    method: platform_rpc::method_of(target),
                    tenant,
                    key: None,
                    has_idempotency_key: false,
                    time_left: left,
                    is_retry,
                }
            }
        }
    }

    /// The request head for a node, without its framing fields.
    pub fn request_head(
        &self, http_method: &str, target: &str, fields: &Fields, via: &str, node: SocketAddr,
        time_left: Duration,
    ) -> HeadWriter {
        let head = HeadWriter::request(http_method, target).field("host", node.to_string());
        match self {
            Dialect::Native => head
                .copy_end_to_end(fields, &NOT_FORWARDED)
                .field(rpc::TIMEOUT, rpc::format_timeout(time_left))
                .field("via", via),
            Dialect::Platform(_) => head
                .copy_end_to_end(fields, &NOT_FORWARDED_PLATFORM)
                .field(platform_rpc::TIMEOUT, platform_rpc::format_timeout(time_left)),
        }
    }

    /// Whether a node runs only complete requests, so that a send that failed before its last byte proves
    /// that nothing ran. In the native protocol a node may begin earlier.
    pub fn runs_only_complete(&self) -> bool {
        self.platform().is_some()
    }

    /// Reads a node's response head: the status, whether the node says that the RPC never ran, and its load.
    pub fn interpret_response(&self, head: &Response) -> (u16, bool, Metrics) {
        match self {
            Dialect::Native => {
                let load = head.fields.get(orca::LOAD_FIELD).map(Metrics::read).unwrap_or_default();
                (head.status, head.fields.get(rpc::NEVER_RAN) == Some("1"), load)
            }
            Dialect::Platform(_) => platform_rpc::interpret_response(head),
        }
    }

    /// Whether an answer with this framing is invalid.
    pub fn is_invalid_framing(&self, framing: Framing) -> bool {
        self.platform().is_some() && platform_rpc::is_unusable(framing)
    }

    /// The longest valid answer in bytes, if there is a limit.
    pub fn max_answer_bytes(&self) -> Option<usize> {
        self.platform().map(|_| MAX_BODY_BYTES)
    }

    /// The response head of a successful RPC, without its framing fields.
    pub fn ok_head(&self, head: &Response, picks: usize, build: u32) -> HeadWriter {
        let writer = HeadWriter::response(head.status);
        match self {
            Dialect::Native => writer
                .copy_end_to_end(&head.fields, &NOT_RETURNED)
                .field(rpc::ANSWER, rpc::AnswerKind::Ok.as_str())
                .field(rpc::PICKS, picks.to_string())
                .field(rpc::BUILD, build.to_string()),
            Dialect::Platform(_) => writer.copy_end_to_end(&head.fields, &NOT_RETURNED_PLATFORM),
        }
    }

    /// The response head of a pushed-back RPC, without its framing fields.
    pub fn push_back_head(
        &self, picks: usize, retry_after: Option<Duration>, why: FailureReason,
    ) -> HeadWriter {
        match self {
            Dialect::Native => {
                let head = answer_head(503, rpc::AnswerKind::PushedBack, picks, why.as_str());
                match retry_after.filter(|wait| !wait.is_zero()) {
                    Some(wait) => head
                        .field("retry-after", wait.as_secs_f64().ceil().to_string())
                        .field(rpc::RETRY_AFTER_MS, wait.as_millis().to_string()),
                    None => head,
                }
            }
            Dialect::Platform(_) => platform_rpc::pushed_back_head(retry_after),
        }
    }

    /// The response head of an aborted RPC, without its framing fields.
    pub fn abort_head(&self, picks: usize, why: FailureReason) -> HeadWriter {
        let status = if why == FailureReason::TimedOut { 504 } else { 502 };
        match self {
            Dialect::Native => answer_head(status, rpc::AnswerKind::Aborted, picks, why.as_str()),
            Dialect::Platform(_) => HeadWriter::response(status),
        }
    }
}

fn answer_head(status: u16, kind: rpc::AnswerKind, picks: usize, why: &str) -> HeadWriter {
    HeadWriter::response(status)
        .field("content-type", "text/plain")
        .field(rpc::ANSWER, kind.as_str())
        .field(rpc::PICKS, picks.to_string())
        .field(rpc::REASON, why)
}

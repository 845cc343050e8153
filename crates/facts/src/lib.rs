//! Parses the operators' start settings into [`RolloutTerms`]. Two input forms are accepted: `path=value` lines, as
//! the simulator sends them, and a JSON object, as in the platform's config file. Unknown keys are ignored.
#![forbid(unsafe_code)]

mod check;

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use ivydrift_policy::port::*;
use serde_json::Value;

/// Parsed start settings, with the column layout of load reports.
pub struct Facts {
    pub terms: RolloutTerms,
    /// Column names of a load report, in order.
    pub columns: Vec<String>,
    /// Names of methods, by the indices used in `terms`. The next three lists do the same for their kind.
    pub methods: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Timeout for establishing a connection to a node.
    pub connect: Duration,
}

/// A parse or validation error: one sentence without its full stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong(pub String);

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Connect timeout used when the settings give none.
const DIAL: Duration = Duration::from_millis(250);

pub type Result<T> = std::result::Result<T, Wrong>;

fn malformed<T>(what: impl Into<String>) -> Result<T> {
    Err(Wrong(what.into()))
}

/// Settings flattened into a map from key path to text value.
struct Pairs(HashMap<String, String>);

impl Pairs {
    /// Parses lines of `path=value`.
    fn lines(text: &[u8]) -> Result<Self> {
        let Ok(text) = std::str::from_utf8(text) else {
            return malformed("the start settings are not UTF-8");
        };
        let mut pairs = HashMap::new();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match line.split_once('=') {
                Some((key, value)) => pairs.insert(key.to_owned(), value.to_owned()),
                None => return malformed(format!("a line of the start settings has no '=': {line:?}")),
            };
        }
        Ok(Pairs(pairs))
    }

    /// Flattens a JSON object. Path segments are joined by dots, lists of scalars by commas; the elements of other
    /// lists are numbered from 0, next to a `count`.
    fn object(value: &Value) -> Self {
        let mut pairs = HashMap::new();
        flatten(String::new(), value, &mut pairs);
        Pairs(pairs)
    }

    fn text(&self, key: &str) -> Result<&str> {
        match self.0.get(key) {
            Some(value) => Ok(value),
            None => malformed(format!("the start settings have no {key}")),
        }
    }

    fn read<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Ok(value),
            Err(_) => malformed(format!("the start setting {key} cannot be read: {text:?}")),
        }
    }

    /// Reads a non-negative whole number; `3.0` is accepted.
    fn whole(&self, key: &str) -> Result<u64> {
        let value: f64 = self.number(key)?;
        if value < 0.0 || value.fract() != 0.0 {
            return malformed(format!("the start setting {key} is not a whole number: {value}"));
        }
        Ok(value as u64)
    }

    fn number(&self, key: &str) -> Result<f64> {
        let value: f64 = self.read(key)?;
        if !value.is_finite() {
            return malformed(format!("the start setting {key} is not a number: {value}"));
        }
        Ok(value)
    }

    /// Reads a duration given in microseconds.
    fn span(&self, key: &str) -> Result<Duration> {
        Ok(Duration::from_micros(self.whole(key)?))
    }

    fn has(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Reads an optional number; an absent key counts as zero.
    fn number_or_zero(&self, key: &str) -> Result<f64> {
        if self.has(key) {
            self.number(key)
        } else {
            Ok(0.0)
        }
    }

    /// Reads an optional boolean; an absent key counts as false.
    fn flag(&self, key: &str) -> Result<bool> {
        match self.0.get(key).map(String::as_str) {
            None => Ok(false),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(other) => malformed(format!("the start setting {key} is neither true nor false: {other:?}")),
        }
    }

    /// Reads a comma-separated list; an absent key counts as empty.
    fn words(&self, key: &str) -> Vec<&str> {
        self.0.get(key).map_or_else(Vec::new, |v| v.split(',').filter(|w| !w.is_empty()).collect())
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>> {
        self.text(key)?;
        let read = |w: &&str| match w.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ => malformed(format!("the start setting {key} has a value that cannot be read: {w:?}")),
        };
        self.words(key).iter().map(read).collect()
    }

    /// Reads the length of a numbered list; an absent list is empty.
    fn count(&self, list: &str) -> Result<usize> {
        let key = format!("{list}.count");
        if self.has(&key) {
            Ok(self.whole(&key)? as usize)
        } else {
            Ok(0)
        }
    }
}

/// Formats a scalar; lists, objects and null have no text form.
fn plain(value: &Value) -> Option<String> {
    match value {
        Value::Bool(b) => Some(b.to_string()),
        Value::Number(n) => Some(n.to_string()),
        Value::String(s) => Some(s.clone()),
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    }
}

fn flatten(path: String, value: &Value, pairs: &mut HashMap<String, String>) {
    let under = |part: &str| if path.is_empty() { part.to_owned() } else { format!("{path}.{part}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(under(key), value, pairs)),
        Value::Array(list) if list.iter().any(|one| plain(one).is_none()) => {
            pairs.insert(under("count"), list.len().to_string());
            for (i, one) in list.iter().enumerate() {
                flatten(under(&i.to_string()), one, pairs);
            }
        }
        Value::Array(list) => {
            let words: Vec<String> = list.iter().filter_map(plain).collect();
            pairs.insert(path, words.join(","));
        }
        other => {
            pairs.extend(plain(other).map(|text| (path, text)));
        }
    }
}

/// Reads settings from the `path=value` lines of the simulator's start message.
///
/// # Errors
/// Returns the first key that is missing, malformed or out of range.
pub fn read(salt: u64, text: &[u8]) -> Result<Facts> {
    facts(salt, &Pairs::lines(text)?)
}

/// Reads settings from a JSON object with the same keys.
///
/// # Errors
/// Returns the first key that is missing, malformed or out of range.
pub fn read_object(salt: u64, value: &Value) -> Result<Facts> {
    facts(salt, &Pairs::object(value))
}

fn facts(salt: u64, p: &Pairs) -> Result<Facts> {
    let methods = (0..p.count("request_classes")?).map(|i| method(p, i)).collect::<Result<Vec<_>>>()?;
    if methods.is_empty() {
        return malformed("the start settings name no request_classes");
    }
    let tenants = (0..p.count("tenants")?)
        .map(|i| {
            Ok(TenantTerms {
                quota: p.number_or_zero(&format!("tenants.{i}.quota_per_s"))?,
                share: p.number_or_zero(&format!("tenants.{i}.share"))?,
            })
        })
        .collect::<Result<Vec<_>>>()?;
    let retry_after =
        if p.flag("bounds.retry_after")? { Some(p.span("bounds.max_retry_after")?) } else { None };
    let asked = match p.text("discovery")? {
        "subscribe" => true,
        "automatic" => false,
        other => {
            return malformed(format!(
                "the start setting discovery is {other:?}: write \"subscribe\" or \"automatic\""
            ))
        }
    };
    let terms = RolloutTerms {
        seed: salt,
        marshal: p.whole("slot_no")? as usize,
        marshals: p.whole("siblings")? as usize,
        zone: p.number_or_zero("zone")? as usize,
        ask_discovery: asked,
        methods,
        tenants,
        over_share_utility: p.number_or_zero("over_share_worth")?,
        warm_keys: p.flag("family_info.warm_keys")?,
        kinds: p.words("models").len(),
        release: release(p)?,
        rules: RuleTerms {
            drain_grace: p.span("rules.drain_grace")?,
            cold_from: p.number("rules.cold_from")?,
            warm_within: p.span("rules.warm_within")?,
            fall_multiple: p.number("rules.fall_multiple")?,
            fall_window: p.span("rules.fall")?,
            ask_within: Duration::from_micros(p.number_or_zero("rules.ask_within")? as u64),
            list_lease: None,
        },
        limits: LimitTerms {
            most_picks: p.whole("bounds.most_tries")? as usize,
            second_copies: p.flag("bounds.second_copies")?,
            cancel: p.flag("bounds.cancel")?,
            probes: p.flag("bounds.probes")?,
            peers: p.flag("bounds.peers")?,
            idle_kept: p.span("bounds.conn_idle")?,
            retry_after,
        },
    };
    let words = |key: &str| p.words(key).into_iter().map(str::to_owned).collect();
    let names = |list: &str| -> Result<Vec<String>> {
        (0..p.count(list)?).map(|i| p.text(&format!("{list}.{i}.name")).map(str::to_owned)).collect()
    };
    let facts = Facts {
        terms,
        columns: words("load_report.columns"),
        methods: names("request_classes")?,
        tenants: names("tenants")?,
        zones: words("azs"),
        kinds: words("models"),
        connect: if p.has("bounds.dial_timeout") { p.span("bounds.dial_timeout")? } else { DIAL },
    };
    check::whole(&facts)?;
    Ok(facts)
}

fn method(p: &Pairs, i: usize) -> Result<MethodTerms> {
    let key = |name: &str| format!("request_classes.{i}.{name}");
    let repeat = match p.text(&key("idempotency"))? {
        "retryable" => Repeat::Idempotent,
        "fragile" => Repeat::NonIdempotent,
        "dedup" => Repeat::Tokened {
            group: match p.text(&key("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return malformed(format!("the group of class {i} is unknown: {other:?}")),
            },
            window: p.span(&key("repeat_window"))?,
        },
        other => return malformed(format!("the idempotency of class {i} is unknown: {other:?}")),
    };
    Ok(MethodTerms {
        repeat,
        soft_deadline: p.span(&key("objective"))?,
        stretch: p.number_or_zero(&key("aim_stretch"))?,
        deadline: p.span(&key("give_up"))?,
        utility: p.number(&key("value"))?,
        late_utility: p.number_or_zero(&key("late_value"))?,
        streamed: p.flag(&key("stream"))?,
    })
}

fn release(p: &Pairs) -> Result<ReleaseTerms> {
    let key = |name: &str| format!("family_info.{name}");
    let control = match p.text(&key("control"))? {
        "any" | "share" => Control::Votes,
        "timer" => Control::Clock,
        other => return malformed(format!("the start setting family_info.control is unknown: {other:?}")),
    };
    let by_method = match p.text(&key("counts"))? {
        "all" => false,
        "class" => true,
        other => return malformed(format!("the start setting family_info.counts is unknown: {other:?}")),
    };
    Ok(ReleaseTerms {
        control,
        on_votes: p.whole(&key("on_votes"))? as usize,
        back_votes: p.whole(&key("votes_to_revert"))? as usize,
        shares: p.numbers(&key("shares"))?,
        caps: p.numbers(&key("exposure_caps"))?,
        window: p.span(&key("span"))?,
        free: p.number(&key("free"))?,
        by_method,
        guarded_stages: p.number_or_zero(&key("safe_only_stages"))? as usize,
        one_way: p.flag(&key("forward_only"))?,
        in_place: p.text(&key("replace_mode"))? == "in_place",
        bake: p.span(&key("min_dwell"))?,
        vote_life: p.span(&key("vote_stands"))?,
        vote_wait: p.span(&key("answer_wait"))?,
        vote_rate: p.number(&key("api_rate"))?,
        flag_share: p.number_or_zero(&key("flag_share"))?,
    })
}

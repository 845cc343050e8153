//! Parses the operators' start settings into [`RolloutConfig`]. Two input forms are accepted: `path=value` lines, as
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
pub struct StartSettings {
    pub rollout: RolloutConfig,
    /// Column names of a load report, in order.
    pub columns: Vec<String>,
    /// Names of methods, by the indices used in `rollout`. The next three lists do the same for their kind.
    pub methods: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Timeout for establishing a connection to a node.
    pub connect_timeout: Duration,
}

/// A parse or validation error: one sentence without its full stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Connect timeout used when the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

pub type Result<T> = std::result::Result<T, SettingsError>;

fn malformed<T>(message: impl Into<String>) -> Result<T> {
    Err(SettingsError(message.into()))
}

/// Settings flattened into a map from key path to text value.
struct Settings(HashMap<String, String>);

impl Settings {
    /// Parses lines of `path=value`.
    fn from_lines(text: &[u8]) -> Result<Self> {
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
        Ok(Settings(pairs))
    }

    /// Flattens a JSON object. Path segments are joined by dots, lists of scalars by commas; the elements of other
    /// lists are numbered from 0, next to a `count`.
    fn from_json(value: &Value) -> Self {
        let mut pairs = HashMap::new();
        flatten(String::new(), value, &mut pairs);
        Settings(pairs)
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
    fn whole_number(&self, key: &str) -> Result<u64> {
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
    fn duration(&self, key: &str) -> Result<Duration> {
        Ok(Duration::from_micros(self.whole_number(key)?))
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
    fn items(&self, key: &str) -> Vec<&str> {
        self.0.get(key).map_or_else(Vec::new, |v| v.split(',').filter(|item| !item.is_empty()).collect())
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>> {
        self.text(key)?;
        let read = |item: &&str| match item.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ => malformed(format!("the start setting {key} has a value that cannot be read: {item:?}")),
        };
        self.items(key).iter().map(read).collect()
    }

    /// Reads the length of a numbered list; an absent list is empty.
    fn count(&self, list: &str) -> Result<usize> {
        let key = format!("{list}.count");
        if self.has(&key) {
            Ok(self.whole_number(&key)? as usize)
        } else {
            Ok(0)
        }
    }
}

/// Formats a scalar; lists, objects and null have no text form.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::Bool(b) => Some(b.to_string()),
        Value::Number(n) => Some(n.to_string()),
        Value::String(s) => Some(s.clone()),
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    }
}

fn flatten(path: String, value: &Value, pairs: &mut HashMap<String, String>) {
    let child = |part: &str| if path.is_empty() { part.to_owned() } else { format!("{path}.{part}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(child(key), value, pairs)),
        Value::Array(list) if list.iter().any(|element| scalar_text(element).is_none()) => {
            pairs.insert(child("count"), list.len().to_string());
            for (i, element) in list.iter().enumerate() {
                flatten(child(&i.to_string()), element, pairs);
            }
        }
        Value::Array(list) => {
            let items: Vec<String> = list.iter().filter_map(scalar_text).collect();
            pairs.insert(path, items.join(","));
        }
        other => {
            pairs.extend(scalar_text(other).map(|text| (path, text)));
        }
    }
}

/// Reads settings from the `path=value` lines of the simulator's start message.
///
/// # Errors
/// Returns the first key that is missing, malformed or out of range.
pub fn parse_lines(seed: u64, text: &[u8]) -> Result<StartSettings> {
    from_settings(seed, &Settings::from_lines(text)?)
}

/// Reads settings from a JSON object with the same keys.
///
/// # Errors
/// Returns the first key that is missing, malformed or out of range.
pub fn parse_json(seed: u64, value: &Value) -> Result<StartSettings> {
    from_settings(seed, &Settings::from_json(value))
}

fn from_settings(seed: u64, settings: &Settings) -> Result<StartSettings> {
    let methods =
        (0..settings.count("request_classes")?).map(|i| method(settings, i)).collect::<Result<Vec<_>>>()?;
    if methods.is_empty() {
        return malformed("the start settings name no request_classes");
    }
    let tenants = (0..settings.count("tenants")?)
        .map(|i| {
            Ok(TenantConfig {
                quota: settings.number_or_zero(&format!("tenants.{i}.quota_per_s"))?,
                share: settings.number_or_zero(&format!("tenants.{i}.share"))?,
            })
        })
        .collect::<Result<Vec<_>>>()?;
    let retry_after = if settings.flag("bounds.retry_after")? {
        Some(settings.duration("bounds.max_retry_after")?)
    } else {
        None
    };
    let polls_discovery = match settings.text("discovery")? {
        "subscribe" => true,
        "automatic" => false,
        other => {
            return malformed(format!(
                "the start setting discovery is {other:?}: write \"subscribe\" or \"automatic\""
            ))
        }
    };
    let rollout = RolloutConfig {
        seed,
        marshal: settings.whole_number("slot_no")? as usize,
        marshals: settings.whole_number("siblings")? as usize,
        zone: settings.number_or_zero("zone")? as usize,
        polls_discovery,
        methods,
        tenants,
        over_share_utility: settings.number_or_zero("over_share_worth")?,
        warm_keys: settings.flag("family_info.warm_keys")?,
        kinds: settings.items("models").len(),
        release: release(settings)?,
        rules: RuleConfig {
            drain_grace: settings.duration("rules.drain_grace")?,
            cold_start_part: settings.number("rules.cold_from")?,
            warm_up: settings.duration("rules.warm_within")?,
            slow_start_multiple: settings.number("rules.fall_multiple")?,
            slow_start_window: settings.duration("rules.fall")?,
            max_call_gap: Duration::from_micros(settings.number_or_zero("rules.ask_within")? as u64),
            list_lease: None,
        },
        limits: LimitConfig {
            max_picks: settings.whole_number("bounds.most_tries")? as usize,
            hedging: settings.flag("bounds.second_copies")?,
            cancel: settings.flag("bounds.cancel")?,
            probes: settings.flag("bounds.probes")?,
            peers: settings.flag("bounds.peers")?,
            idle_timeout: settings.duration("bounds.conn_idle")?,
            retry_after,
        },
    };
    let items = |key: &str| settings.items(key).into_iter().map(str::to_owned).collect();
    let names = |list: &str| -> Result<Vec<String>> {
        (0..settings.count(list)?)
            .map(|i| settings.text(&format!("{list}.{i}.name")).map(str::to_owned))
            .collect()
    };
    let parsed = StartSettings {
        rollout,
        columns: items("load_report.columns"),
        methods: names("request_classes")?,
        tenants: names("tenants")?,
        zones: items("azs"),
        kinds: items("models"),
        connect_timeout: if settings.has("bounds.dial_timeout") {
            settings.duration("bounds.dial_timeout")?
        } else {
            DEFAULT_CONNECT_TIMEOUT
        },
    };
    check::validate(&parsed)?;
    Ok(parsed)
}

fn method(settings: &Settings, i: usize) -> Result<MethodConfig> {
    let key = |name: &str| format!("request_classes.{i}.{name}");
    let repeat = match settings.text(&key("idempotency"))? {
        "retryable" => Repeat::Idempotent,
        "fragile" => Repeat::NonIdempotent,
        "dedup" => Repeat::Tokened {
            group: match settings.text(&key("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return malformed(format!("the group of class {i} is unknown: {other:?}")),
            },
            window: settings.duration(&key("repeat_window"))?,
        },
        other => return malformed(format!("the idempotency of class {i} is unknown: {other:?}")),
    };
    Ok(MethodConfig {
        repeat,
        soft_deadline: settings.duration(&key("objective"))?,
        stretch: settings.number_or_zero(&key("aim_stretch"))?,
        deadline: settings.duration(&key("give_up"))?,
        utility: settings.number(&key("value"))?,
        late_utility: settings.number_or_zero(&key("late_value"))?,
        streamed: settings.flag(&key("stream"))?,
    })
}

fn release(settings: &Settings) -> Result<ReleaseConfig> {
    let key = |name: &str| format!("family_info.{name}");
    let control = match settings.text(&key("control"))? {
        "any" | "share" => Control::Votes,
        "timer" => Control::Clock,
        other => return malformed(format!("the start setting family_info.control is unknown: {other:?}")),
    };
    let by_method = match settings.text(&key("counts"))? {
        "all" => false,
        "class" => true,
        other => return malformed(format!("the start setting family_info.counts is unknown: {other:?}")),
    };
    Ok(ReleaseConfig {
        control,
        promote_votes: settings.whole_number(&key("on_votes"))? as usize,
        rollback_votes: settings.whole_number(&key("votes_to_revert"))? as usize,
        shares: settings.numbers(&key("shares"))?,
        exposure_caps: settings.numbers(&key("exposure_caps"))?,
        exposure_window: settings.duration(&key("span"))?,
        free_picks: settings.number(&key("free"))?,
        exposure_by_method: by_method,
        guarded_stages: settings.number_or_zero(&key("safe_only_stages"))? as usize,
        one_way: settings.flag(&key("forward_only"))?,
        in_place: settings.text(&key("replace_mode"))? == "in_place",
        min_stage_time: settings.duration(&key("min_dwell"))?,
        vote_life: settings.duration(&key("vote_stands"))?,
        vote_wait: settings.duration(&key("answer_wait"))?,
        vote_rate: settings.number(&key("api_rate"))?,
        flag_share: settings.number_or_zero(&key("flag_share"))?,
    })
}

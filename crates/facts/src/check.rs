//! Validates start settings before a marshal runs with them. Values out of range would otherwise surface later, for
//! example as a division by zero. Each error names the key and the expected value.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{malformed, Facts, Result};

/// Longest accepted duration, 1000 days (about three years). The sum of two such durations cannot overflow a clock.
const LONGEST: Duration = Duration::from_secs(1000 * 24 * 3600);

/// Checks every field and returns the first violation.
pub fn whole(facts: &Facts) -> Result<()> {
    let terms = &facts.terms;
    let (release, rules, limits) = (&terms.release, &terms.rules, &terms.limits);
    let held = |key: String, holds: bool, instead: &str| match holds {
        true => Ok(()),
        false => malformed(format!("the start setting {key} is invalid: write {instead}")),
    };
    let span = |key: String, span: Duration| held(key, span <= LONGEST, "at most 1000 days, in microseconds");
    let over = |key: String, at: Duration| held(key, !at.is_zero(), "a whole number of microseconds over 0");
    let named = |list: &str, names: &[String]| -> Result<()> {
        let mut known = BTreeSet::new();
        for (i, name) in names.iter().enumerate() {
            let single = !name.is_empty() && known.insert(name);
            held(format!("{list}.{i}.name"), single, "a unique, non-empty name")?;
        }
        Ok(())
    };
    named("request_classes", &facts.methods)?;
    named("tenants", &facts.tenants)?;
    for (i, m) in terms.methods.iter().enumerate() {
        let key = |name: &str| format!("request_classes.{i}.{name}");
        for (name, at) in [("objective", m.soft_deadline), ("give_up", m.deadline)] {
            over(key(name), at)?;
            span(key(name), at)?;
        }
        held(key("value"), m.utility >= 0.0, "a number of 0 or more")?;
        held(key("late_value"), m.late_utility >= 0.0, "a number of 0 or more")?;
    }
    let worth: f64 = terms.methods.iter().map(|m| m.utility).sum();
    held("request_classes.0.value".into(), worth > 0.0, "a number over 0 for one class at least")?;
    for (i, t) in terms.tenants.iter().enumerate() {
        held(format!("tenants.{i}.quota_per_s"), t.quota >= 0.0, "a number of 0 or more")?;
        held(format!("tenants.{i}.share"), (0.0..=1.0).contains(&t.share), "a number from 0 to 1")?;
    }
    held("siblings".into(), (1..=100_000).contains(&terms.marshals), "the number of marshals, 1 to 100000")?;
    held("slot_no".into(), terms.marshal < terms.marshals, "a number below that of siblings")?;
    held("zone".into(), terms.zone < facts.zones.len().max(1), "an index into azs, from 0")?;
    held("over_share_worth".into(), terms.over_share_utility >= 0.0, "a number of 0 or more")?;
    held("bounds.most_tries".into(), limits.most_picks >= 1, "a whole number over 0")?;
    let key = |name: &str| format!("family_info.{name}");
    let stages = release.caps.len();
    held(key("exposure_caps"), stages > 0, "one cap for each stage")?;
    held(key("shares"), release.shares.len() == stages, "one share for each of the exposure_caps")?;
    for (name, parts) in [("exposure_caps", &release.caps), ("shares", &release.shares)] {
        held(key(name), parts.iter().all(|p| (0.0..=1.0).contains(p)), "numbers from 0 to 1")?;
    }
    held(key("free"), release.free >= 0.0, "a number of 0 or more")?;
    held(key("api_rate"), release.vote_rate > 0.0, "a number over 0")?;
    held("rules.cold_from".into(), rules.cold_from > 0.0 && rules.cold_from <= 1.0, "a number over 0, to 1")?;
    held("rules.fall_multiple".into(), rules.fall_multiple > 0.0, "a number over 0")?;
    over("rules.fall".into(), rules.fall_window)?;
    over(key("span"), release.window)?;
    over("bounds.conn_idle".into(), limits.idle_kept)?;
    over("bounds.dial_timeout".into(), facts.connect)?;
    let spans = [
        ("rules.drain_grace", rules.drain_grace),
        ("rules.warm_within", rules.warm_within),
        ("rules.fall", rules.fall_window),
        ("rules.ask_within", rules.ask_within),
        ("family_info.span", release.window),
        ("family_info.min_dwell", release.bake),
        ("family_info.vote_stands", release.vote_life),
        ("family_info.answer_wait", release.vote_wait),
        ("bounds.conn_idle", limits.idle_kept),
        ("bounds.dial_timeout", facts.connect),
        ("bounds.max_retry_after", limits.retry_after.unwrap_or_default()),
    ];
    spans.into_iter().try_for_each(|(key, at)| span(key.to_owned(), at))
}

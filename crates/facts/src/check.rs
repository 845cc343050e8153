//! Validates start settings before a marshal runs with them. Values out of range would otherwise surface later, for
//! example as a division by zero. Each error names the key and the expected value.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{malformed, Result, StartSettings};

/// Longest accepted duration, 1000 days (about three years). The sum of two such durations cannot overflow a clock.
const MAX_DURATION: Duration = Duration::from_secs(1000 * 24 * 3600);

/// Checks every field and returns the first violation.
pub fn validate(settings: &StartSettings) -> Result<()> {
    let rollout = &settings.rollout;
    let (release, rules, limits) = (&rollout.release, &rollout.rules, &rollout.limits);
    let require = |key: String, valid: bool, expected: &str| match valid {
        true => Ok(()),
        false => malformed(format!("the start setting {key} is invalid: write {expected}")),
    };
    let bounded = |key: String, duration: Duration| {
        require(key, duration <= MAX_DURATION, "at most 1000 days, in microseconds")
    };
    let positive = |key: String, duration: Duration| {
        require(key, !duration.is_zero(), "a whole number of microseconds over 0")
    };
    let unique_names = |list: &str, names: &[String]| -> Result<()> {
        let mut seen = BTreeSet::new();
        for (i, name) in names.iter().enumerate() {
            let unique = !name.is_empty() && seen.insert(name);
            require(format!("{list}.{i}.name"), unique, "a unique, non-empty name")?;
        }
        Ok(())
    };
    unique_names("request_classes", &settings.methods)?;
    unique_names("tenants", &settings.tenants)?;
    for (i, method) in rollout.methods.iter().enumerate() {
        let key = |name: &str| format!("request_classes.{i}.{name}");
        for (name, duration) in [("objective", method.soft_deadline), ("give_up", method.deadline)] {
            positive(key(name), duration)?;
            bounded(key(name), duration)?;
        }
        require(key("value"), method.utility >= 0.0, "a number of 0 or more")?;
        require(key("late_value"), method.late_utility >= 0.0, "a number of 0 or more")?;
    }
    let total_utility: f64 = rollout.methods.iter().map(|method| method.utility).sum();
    require("request_classes.0.value".into(), total_utility > 0.0, "a number over 0 for one class at least")?;
    for (i, tenant) in rollout.tenants.iter().enumerate() {
        require(format!("tenants.{i}.quota_per_s"), tenant.quota >= 0.0, "a number of 0 or more")?;
        require(format!("tenants.{i}.share"), (0.0..=1.0).contains(&tenant.share), "a number from 0 to 1")?;
    }
    require(
        "siblings".into(),
        (1..=100_000).contains(&rollout.marshals),
        "the number of marshals, 1 to 100000",
    )?;
    require("slot_no".into(), rollout.marshal < rollout.marshals, "a number below that of siblings")?;
    require("zone".into(), rollout.zone < settings.zones.len().max(1), "an index into azs, from 0")?;
    require("over_share_worth".into(), rollout.over_share_utility >= 0.0, "a number of 0 or more")?;
    require("bounds.most_tries".into(), limits.max_picks >= 1, "a whole number over 0")?;
    let key = |name: &str| format!("family_info.{name}");
    let stages = release.exposure_caps.len();
    require(key("exposure_caps"), stages > 0, "one cap for each stage")?;
    require(key("shares"), release.shares.len() == stages, "one share for each of the exposure_caps")?;
    for (name, fractions) in [("exposure_caps", &release.exposure_caps), ("shares", &release.shares)] {
        require(
            key(name),
            fractions.iter().all(|fraction| (0.0..=1.0).contains(fraction)),
            "numbers from 0 to 1",
        )?;
    }
    require(key("free"), release.free_picks >= 0.0, "a number of 0 or more")?;
    require(key("api_rate"), release.vote_rate > 0.0, "a number over 0")?;
    require(
        "rules.cold_from".into(),
        rules.cold_start_part > 0.0 && rules.cold_start_part <= 1.0,
        "a number over 0, to 1",
    )?;
    require("rules.fall_multiple".into(), rules.slow_start_multiple > 0.0, "a number over 0")?;
    positive("rules.fall".into(), rules.slow_start_window)?;
    positive(key("span"), release.exposure_window)?;
    positive("bounds.conn_idle".into(), limits.idle_timeout)?;
    positive("bounds.dial_timeout".into(), settings.connect_timeout)?;
    let durations = [
        ("rules.drain_grace", rules.drain_grace),
        ("rules.warm_within", rules.warm_up),
        ("rules.fall", rules.slow_start_window),
        ("rules.ask_within", rules.max_call_gap),
        ("family_info.span", release.exposure_window),
        ("family_info.min_dwell", release.min_stage_time),
        ("family_info.vote_stands", release.vote_life),
        ("family_info.answer_wait", release.vote_wait),
        ("bounds.conn_idle", limits.idle_timeout),
        ("bounds.dial_timeout", settings.connect_timeout),
        ("bounds.max_retry_after", limits.retry_after.unwrap_or_default()),
    ];
    durations.into_iter().try_for_each(|(key, duration)| bounded(key.to_owned(), duration))
}

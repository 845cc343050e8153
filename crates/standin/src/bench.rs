//! Translates a day file of the external benchmark (JSON) into a script for the fakes: the same kinds, times
//! and sizes of faults, on a fleet of the same shape. What the fakes cannot represent is reported, never
//! approximated silently.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::Value;

/// The highest rate that one machine runs, in RPCs per second. Larger days are scaled down, fleet and traffic
/// alike.
pub const MAX_RATE: f64 = 400.0;

/// The translated script as HCL.
pub struct Translation {
    pub script: String,
    /// Descriptions of what could not be translated.
    pub lost: Vec<String>,
    /// The part of the original fleet and traffic that is kept.
    pub scale: f64,
}

/// The day file, and what could not be translated from it.
struct DayFile<'a> {
    day: &'a Value,
    lost: Vec<String>,
}

impl DayFile<'_> {
    fn value(&self, path: &str) -> Result<&Value, String> {
        self.day
            .pointer(path)
            .ok_or_else(|| format!("the day file has no {path}: is it a benchmark day file?"))
    }
    fn number(&self, path: &str) -> Result<f64, String> {
        self.value(path)?.as_f64().ok_or_else(|| format!("{path} is not a number"))
    }
    fn list(&self, path: &str) -> Result<&Vec<Value>, String> {
        self.value(path)?.as_array().ok_or_else(|| format!("{path} is not a list"))
    }
    fn note_lost(&mut self, what: impl Into<String>) {
        self.lost.push(what.into());
    }
}

fn number(value: &Value, key: &str) -> Result<f64, String> {
    value.get(key).and_then(Value::as_f64).ok_or_else(|| format!("{key} is missing or not a number"))
}

fn text<'a>(value: &'a Value, key: &str) -> Result<&'a str, String> {
    value.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key} is missing or not a string"))
}

fn duration_text(us: f64) -> String {
    format!("\"{}us\"", us.max(0.0).round())
}

/// Translates a benchmark day file.
///
/// # Errors
/// When something is missing or malformed; the message says what.
pub fn read(json: &str) -> Result<Translation, String> {
    let day: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
    let mut file = DayFile { day: &day, lost: Vec::new() };
    if file.value("/family")? != "rollout" {
        return Err("the day file's family is not \"rollout\"".to_owned());
    }
    let zones: Vec<String> =
        file.list("/zones")?.iter().map(|z| z.as_str().unwrap_or("zone").to_owned()).collect();
    let node_count = file.number("/fam/places")? as usize;
    let servers: Vec<Value> = file.list("/servers")?.iter().take(node_count).cloned().collect();
    let kinds = file.list("/tiers/0/kinds")?.clone();
    let classes = file.list("/classes")?.clone();
    let marshals = file.list("/balancers")?.len();

    let mut speeds: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for server in &servers {
        speeds.entry(number(server, "kind")? as usize).or_default().push(number(server, "speed")?);
    }
    let cores = number(&kinds[0], "cores")?;
    if kinds.iter().any(|k| number(k, "cores") != Ok(cores)) {
        file.note_lost("machine kinds with different numbers of cores: all get that of the first kind");
    }
    let capacity: f64 = speeds.values().flatten().sum::<f64>() * cores;
    let shares: f64 = classes.iter().map(|c| number(c, "share").unwrap_or(0.0)).sum();
    let mut work = 0.0;
    for class in &classes {
        work += number(class, "share")? / shares * number(class, "work")? / 1e6;
    }
    let rate = file.number("/traffic/load")? * capacity / work;
    let scale = (MAX_RATE / rate).min(1.0);
    let (nodes, rate) = (((node_count as f64 * scale).round() as usize).max(2), rate * scale);

    let mut out = String::new();
    let length = file.number("/length")?;
    let settle_us = 4e6;
    let _ = writeln!(out, "seed = {}", (file.number("/noise")? as u64) % 1_000_000);
    let _ = writeln!(out, "lasts = {}", duration_text(length + settle_us));
    let _ = writeln!(out, "marshals = {marshals}");
    let _ =
        writeln!(out, "zones = [{}]", zones.iter().map(|z| format!("{z:?}")).collect::<Vec<_>>().join(", "));
    let _ = writeln!(out, "peers = {}", file.value("/allow/peers")?.as_bool().unwrap_or(false));
    let _ = writeln!(out, "list_lag = {}", duration_text(file.number("/discovery/add")?));
    let _ = writeln!(out, "desk_lag = {}", duration_text(file.number("/fam/told_late")?));
    let sampling = |path: &str| file.number(path).unwrap_or(0.0);
    let _ = writeln!(
        out,
        "tally {{\n  every = {}\n  share = {}\n  late = {}\n}}",
        duration_text(sampling("/fam/tally")),
        sampling("/fam/tally_sample").clamp(0.0, 1.0),
        duration_text(sampling("/fam/tally_late"))
    );
    for class in &classes {
        write_method(&mut out, &mut file, class, shares)?;
    }
    for (kind, speeds) in &speeds {
        let name = text(&kinds[*kind], "name")?;
        let mean = speeds.iter().sum::<f64>() / speeds.len() as f64;
        let share = speeds.len() as f64 / servers.len() as f64;
        let _ = writeln!(out, "machine {name:?} {{\n  share = {share:.4}\n  speed = {mean:.4}\n}}");
    }
    let smallest = |key: &str| kinds.iter().filter_map(|k| number(k, key).ok()).fold(f64::INFINITY, f64::min);
    let largest = |key: &str| kinds.iter().filter_map(|k| number(k, key).ok()).fold(0.0, f64::max);
    if kinds.iter().any(|k| text(k, "cancel") != Ok("none")) {
        file.note_lost("work that stops when its pick is cancelled: it runs to its end");
    }
    let _ = writeln!(
        out,
        "fleet {{\n  nodes = {nodes}\n  cores = {cores}\n  start = {}\n  leave = {}\n  queue = {}\n}}",
        duration_text(file.number("/fam/boot")?),
        duration_text(file.number("/fam/drain")?),
        smallest("queue") as u64,
    );
    let _ = writeln!(
        out,
        "traffic {{\n  rate = {rate:.3}\n  retries = {}\n  retry_wait = {}\n  patience = {:.4}\n  near = {}\n  far = {}\n}}",
        file.number("/clients/retries")? as u64,
        duration_text(file.number("/clients/backoff_us")?),
        file.number("/clients/try_share")?.clamp(0.05, 1.0),
        duration_text(file.number("/net/same")?),
        duration_text(file.number("/net/cross")?),
    );
    let votes = file.list("/fam/votes")?.clone();
    let votes_needed =
        |i: usize| (votes[i].as_f64().unwrap_or(0.5) * marshals as f64).ceil().max(1.0) as usize;
    let figures = |path: &str| -> Result<String, String> {
        Ok(file.list(path)?.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "))
    };
    let flag = |path: &str| -> Result<bool, String> { Ok(file.value(path)?.as_bool().unwrap_or(false)) };
    let _ = writeln!(
        out,
        "release {{\n  shares = [{}]\n  caps = [{}]\n  on_votes = {}\n  back_votes = {}\n  window = {}\n  free = {}\n  \
         by_method = {}\n  guarded_stages = {}\n  one_way = {}\n  in_place = {}\n  bake = {}\n  vote_life = {}\n  \
         vote_wait = {}\n  vote_rate = {}\n  flag_share = {}\n}}",
        figures("/fam/stages")?,
        figures("/fam/caps")?,
        votes_needed(0).min(marshals),
        votes_needed(2).min(marshals),
        duration_text(file.number("/fam/window")?),
        file.number("/fam/free")?,
        flag("/fam/by_class")?,
        file.number("/fam/guarded")? as u64,
        flag("/fam/one_way")?,
        !flag("/fam/beside")?,
        duration_text(file.number("/fam/bake")?),
        duration_text(file.number("/fam/vote_life")?),
        duration_text(file.number("/fam/call_timeout")?),
        file.number("/fam/calls_per_s")?,
        file.number("/fam/flag_share")?,
    );
    let _ = writeln!(
        out,
        "rules {{\n  drain_grace = {}\n  cold_from = {:.4}\n  warm_within = {}\n  fall_multiple = {}\n  fall_window = {}\n}}",
        duration_text(file.number("/drain_grace")?),
        smallest("cold_from"),
        duration_text(largest("cold")),
        file.number("/fall_multiple")?,
        duration_text(file.number("/fall_for")?),
    );
    write_rollouts(&mut out, &mut file, &classes)?;
    write_faults(&mut out, &mut file, &servers, &zones, &classes)?;
    if file.number("/clients/impatient")? > 0.0 {
        let much = file.number("/clients/impatient")?;
        let _ = writeln!(
            out,
            "trouble \"impatient\" {{\n  kind = \"give-up\"\n  at = \"0s\"\n  lasts = {}\n  much = {much}\n}}",
            duration_text(length)
        );
    }
    file.note_lost("traffic that varies over the day and between zones and marshals: it is uniform");
    file.note_lost("tenants, health probes and the cost of connections");
    file.note_lost("node slots and thrashing: a core runs one RPC at a time");
    file.note_lost("the node list's capacity and its detection of dead nodes: both are as late as the report of new nodes");
    Ok(Translation { script: out, lost: file.lost, scale })
}

fn write_method(out: &mut String, file: &mut DayFile, class: &Value, shares: f64) -> Result<(), String> {
    let name = text(class, "name")?;
    let repeat = match text(class, "effect")? {
        "safe" => "repeat = \"idempotent\"".to_owned(),
        "unsafe" => "repeat = \"non-idempotent\"".to_owned(),
        _ => {
            let (group, window) = (text(class, "group")?, duration_text(number(class, "window")?));
            format!("repeat = \"tokened\"\n  group = {group:?}\n  window = {window}")
        }
    };
    let _ = writeln!(
        out,
        "method {name:?} {{\n  {repeat}\n  soft_deadline = {}\n  deadline = {}\n  utility = {}\n  late_utility = {}\n}}",
        duration_text(number(class, "aim")?),
        duration_text(number(class, "deadline")?),
        number(class, "worth")?,
        number(class, "late_worth")?,
    );
    // A uniform distribution of half width w has a coefficient of variation of w / sqrt(3).
    let spread = (number(class, "cv")? * 3f64.sqrt()).min(0.95);
    if spread >= 0.95 {
        file.note_lost(format!("{name}: the long tail of its work distribution"));
    }
    let _ = writeln!(
        out,
        "work {name:?} {{\n  share = {:.4}\n  mean = {}\n  spread = {spread:.3}\n}}",
        number(class, "share")? / shares,
        duration_text(number(class, "work")?),
    );
    Ok(())
}

fn write_rollouts(out: &mut String, file: &mut DayFile, classes: &[Value]) -> Result<(), String> {
    for (i, release) in file.list("/fam/releases")?.clone().iter().enumerate() {
        let strength = number(release, "strength")?;
        // The benchmark's documented ranges, from the mildest to the most severe.
        let scaled_to = |from: f64, to: f64| from + strength * (to - from);
        let (fault, much) = match text(release, "bad")? {
            "" => ("none", 0.0),
            "errors" => ("errors", scaled_to(0.04, 0.36)),
            "slow" => ("slow", scaled_to(1.7, 3.7)),
            "class" => ("one-method", scaled_to(0.25, 0.9)),
            "load" => ("under-load", scaled_to(0.3, 0.6)),
            "late" => ("late", scaled_to(0.1, 0.5)),
            "wrong" => ("wrong", scaled_to(0.04, 0.36)),
            "shared" => ("shared", scaled_to(0.7, 2.0)),
            other => {
                file.note_lost(format!("a build with the defect {other:?}: it has none"));
                ("none", 0.0)
            }
        };
        let _ = writeln!(
            out,
            "build \"{}\" {{\n  at = {}\n  fault = {fault:?}",
            i + 2,
            duration_text(number(release, "at")?)
        );
        if fault != "none" {
            let _ = writeln!(out, "  much = {much:.4}");
        }
        if fault == "one-method" {
            let class = &classes[(number(release, "class")? as usize).min(classes.len() - 1)];
            let _ = writeln!(out, "  method = {:?}", text(class, "name")?);
        }
        let _ = writeln!(out, "}}");
    }
    Ok(())
}

fn write_faults(
    out: &mut String, file: &mut DayFile, servers: &[Value], zones: &[String], classes: &[Value],
) -> Result<(), String> {
    for (i, trouble) in file.list("/troubles")?.clone().iter().enumerate() {
        let (kind, size, extra) =
            (text(trouble, "kind")?, number(trouble, "size")?, number(trouble, "extra")?);
        let affected: Vec<usize> = trouble
            .get("on")
            .and_then(Value::as_array)
            .map(|on| {
                on.iter()
                    .filter_map(Value::as_u64)
                    .map(|n| n as usize)
                    .filter(|n| *n < servers.len())
                    .collect()
            })
            .unwrap_or_default();
        let affected_share = affected.len() as f64 / servers.len() as f64;
        let variant = text(trouble, "how").unwrap_or("");
        let mut extra_fields = String::new();
        let (fault_kind, much) = match kind {
            "bad_build" => continue,
            "crash" => ("crash", affected_share),
            "hang" => ("hang", affected_share),
            "fast_errors" => ("fast-errors", size),
            "neighbour" => {
                file.note_lost("a noisy neighbour that is active intermittently: it is active throughout");
                ("neighbour", 1.0 / (1.0 - size.min(0.95)))
            }
            "report_late" => ("late-reports", size),
            "control_down" if variant == "stale" => ("late-reports", size),
            "control_down" => ("desk-down", 0.0),
            "burst" => {
                file.note_lost("the gradual rise and fall of a burst: it is abrupt");
                ("burst", size)
            }
            "heavy_tail" => {
                let class = &classes[(number(trouble, "which")? as usize).min(classes.len() - 1)];
                let _ = write!(extra_fields, "  times = {size:.3}\n  method = {:?}\n", text(class, "name")?);
                ("heavy-tail", extra)
            }
            "shared_slow" => ("shared-slow", size),
            "give_up" => ("give-up", size.min(1.0)),
            "zone_loss" => {
                if size > 0.5 {
                    file.note_lost("a lost zone that takes its marshals with it: they keep running");
                }
                let zone =
                    affected.first().and_then(|&n| number(&servers[n], "zone").ok()).unwrap_or(0.0) as usize;
                let _ = writeln!(extra_fields, "  zone = {:?}", zones[zone.min(zones.len() - 1)]);
                ("lost-zone", 0.0)
            }
            other => {
                file.note_lost(format!("trouble of the kind {other:?}"));
                continue;
            }
        };
        let _ = writeln!(
            out,
            "trouble \"{kind}-{i}\" {{\n  kind = {fault_kind:?}\n  at = {}\n  lasts = {}\n  much = {much:.4}\n  nodes = {affected_share:.4}\n{extra_fields}}}",
            duration_text(number(trouble, "at")?),
            duration_text(number(trouble, "len")?),
        );
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A minimal benchmark day file.
    fn sample() -> Value {
        serde_json::json!({
            "family": "rollout", "noise": 7, "length": 20_000_000, "zones": ["x", "y"],
            "net": { "same": 200.0, "cross": 900.0 },
            "traffic": { "load": 0.5 },
            "clients": { "retries": 1, "try_share": 0.5, "backoff_us": 1000.0, "impatient": 0.01 },
            "discovery": { "add": 500_000 },
            "allow": { "peers": true },
            "drain_grace": 1_000_000, "fall_multiple": 3.0, "fall_for": 1_000_000,
            "classes": [
                { "name": "a", "share": 1.0, "work": 50_000.0, "cv": 0.5, "aim": 800_000, "deadline": 2_000_000,
                  "worth": 1.0, "late_worth": 0.1, "effect": "safe", "group": "all", "window": 1 },
                { "name": "b", "share": 1.0, "work": 50_000.0, "cv": 2.0, "aim": 800_000, "deadline": 2_000_000,
                  "worth": 1.0, "late_worth": 0.1, "effect": "keyed", "group": "all", "window": 4_000_000 }
            ],
            "tiers": [{ "kinds": [{ "name": "k", "cores": 2, "queue": 20, "cold_from": 0.5, "cold": 4_000_000,
                                    "cancel": "all" }] }],
            "servers": (0..10).map(|i| serde_json::json!({ "zone": i % 2, "kind": 0, "speed": 1.0 })).collect::<Vec<_>>(),
            "balancers": [{}, {}, {}],
            "troubles": [
                { "kind": "crash", "at": 5_000_000, "len": 3_000_000, "size": 0.0, "extra": 0.0, "on": [0, 9, 33], "which": 0 },
                { "kind": "sandstorm", "at": 5_000_000, "len": 3_000_000, "size": 0.0, "extra": 0.0, "on": [], "which": 0 }
            ],
            "fam": {
                "places": 8, "boot": 1_000_000, "drain": 1_000_000, "told_late": 300_000, "votes": [0.5, 0.2, 0.35],
                "stages": [0.1, 1.0], "caps": [0.2, 1.0], "window": 2_000_000, "free": 2.0, "by_class": false,
                "guarded": 0, "one_way": false, "beside": true, "bake": 1_000_000, "vote_life": 4_000_000,
                "call_timeout": 800_000, "calls_per_s": 10.0, "flag_share": 0.1,
                "releases": [{ "at": 3_000_000, "bad": "errors", "class": 0, "speed": 1.0, "strength": 0.5 }]
            }
        })
    }

    #[test]
    fn bench_day_becomes_a_playable_script_and_losses_are_reported() {
        let translation = read(&sample().to_string()).unwrap();
        let day = crate::day::read("bench", &translation.script).unwrap();
        // Load 0.5 of 8 nodes with 2 cores each, at 50 ms per RPC.
        assert!((day.traffic.rate - 160.0).abs() < 1.0, "{}", day.traffic.rate);
        assert_eq!(
            (day.marshals, day.fleet.nodes, day.release.promote_votes, day.release.rollback_votes),
            (3, 8, 2, 2)
        );
        assert!((day.faults[0].severity - 0.125).abs() < 1e-6, "one of eight nodes crashes");
        assert!((day.rollouts[0].severity - 0.2).abs() < 1e-6);
        assert!(translation.lost.iter().any(|l| l.contains("sandstorm")), "{:?}", translation.lost);
        assert!(crate::sim::run(day, false).unwrap().report.is_clean());
    }

    #[test]
    fn malformed_bench_day_is_rejected_with_the_missing_field() {
        assert!(read("{").err().unwrap().contains("not JSON"));
        let mut other = sample();
        other["family"] = "cache".into();
        assert!(read(&other.to_string()).err().unwrap().contains("family"));
        let mut without = sample();
        without["fam"].as_object_mut().unwrap().remove("places");
        assert!(read(&without.to_string()).err().unwrap().contains("/fam/places"));
    }
}

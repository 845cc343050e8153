//! The rollout controller's line protocol: words separated by single spaces, lines terminated by CRLF.

#[cfg(test)]
mod tests;

use ivydrift_wire::controller::{ControllerCounts, Counted, RolloutState, Stage, Verdict, Vote};
use serde_json::Value;

/// Line length limit in bytes; a line of this length or more closes the connection.
pub const MAX_LINE_BYTES: usize = 8 * 1024;

/// Request that subscribes to events.
pub const SUBSCRIBE_REQUEST: &[u8] = b"follow\r\n";

/// One line received from the rollout controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// `OK`: the vote was counted, with the current rollout stage. Without a stage it acknowledges `follow`.
    Ok(Option<Stage>),
    /// `ERR`: the vote was not counted, with the reason.
    Refused(Counted),
    /// The rollout stage changed.
    Stage(Stage),
    /// Sampled totals of one build and method.
    Sums(ControllerCounts),
    /// A client disputed an answer of the member whose id is `unit`.
    Disputed { unit: String, method: String, age_ms: u64 },
    /// Keep-alive.
    KeepAlive,
}

/// Formats a vote.
pub fn format_vote(vote: &Vote) -> Vec<u8> {
    let verdict = match vote.verdict {
        Verdict::None => "none",
        Verdict::On => "on",
        Verdict::Hold => "hold",
        Verdict::Back => "back",
    };
    format!("judge {} {} {verdict}\r\n", vote.build, vote.stage).into_bytes()
}

fn rollout_state(word: &str) -> Option<RolloutState> {
    Some(match word {
        "testing" => RolloutState::OnTrial,
        "recalling" => RolloutState::GoingBack,
        "live" => RolloutState::Released,
        "recalled" => RolloutState::Withdrawn,
        _ => return None,
    })
}

/// Parses a finite number of 0 or more.
fn number(word: &str) -> Option<f64> {
    word.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

fn stage(words: &[&str]) -> Option<Stage> {
    let [build, stage, state_word, cap, age_ms] = words else { return None };
    let cap = number(cap).filter(|cap| *cap <= 1.0)?;
    let (build, stage) = (build.parse().ok()?, stage.parse().ok()?);
    Some(Stage { build, stage, course: rollout_state(state_word)?, cap, age_ms: number(age_ms)? as u64 })
}

/// Reads the rollout stage from the platform's config file.
///
/// # Errors
/// Returns a sentence that names the keys and an example.
pub fn stage_from_json(news: &Value) -> Result<Stage, String> {
    const KEYS: [&str; 5] = ["release", "tranche", "mode", "exposure", "old_ms"];
    let word = |key: &str| match &news[key] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let words = KEYS.map(word);
    stage(&words.each_ref().map(String::as_str))
        .ok_or_else(|| format!("write {}, as in 42, 1, \"testing\", 0.28, 310", KEYS.join(", ")))
}

/// Parses a line, given without its CRLF.
///
/// # Errors
/// Returns a sentence that quotes the line if it is malformed.
pub fn parse_line(text: &[u8]) -> Result<Line, String> {
    let malformed =
        || format!("malformed line from the rollout controller: {:?}", String::from_utf8_lossy(text));
    let Ok(text) = std::str::from_utf8(text) else { return Err(malformed()) };
    let words: Vec<&str> = text.split(' ').collect();
    let parsed = match &words[..] {
        ["OK"] => Some(Line::Ok(None)),
        ["OK", words @ ..] => stage(words).map(|s| Line::Ok(Some(s))),
        ["ERR", "limit"] => Some(Line::Refused(Counted::Full)),
        ["ERR", "moot"] => Some(Line::Refused(Counted::Moot)),
        ["ERR", "error" | "malformed"] => Some(Line::Refused(Counted::Error)),
        ["*"] => Some(Line::KeepAlive),
        ["*", "ROLLOUT", words @ ..] => stage(words).map(Line::Stage),
        ["*", "SAMPLE", words @ ..] => sums(words).map(Line::Sums),
        ["*", "DISPUTE", unit, method, age_ms] => number(age_ms).map(|age_ms| {
            let (unit, method) = ((*unit).to_owned(), (*method).to_owned());
            Line::Disputed { unit, method, age_ms: age_ms as u64 }
        }),
        _ => None,
    };
    parsed.ok_or_else(malformed)
}

fn sums(words: &[&str]) -> Option<ControllerCounts> {
    let [build, method, picks, failed, mean_ms, age_ms] = words else { return None };
    Some(ControllerCounts {
        build: build.parse().ok()?,
        method: (*method).to_owned(),
        picks: picks.parse().ok()?,
        failed: failed.parse().ok()?,
        mean_ms: number(mean_ms)?,
        age_ms: number(age_ms)? as u64,
    })
}

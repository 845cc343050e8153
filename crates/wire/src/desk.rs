//! The release desk: `GET /v1/stage?index=N&wait=10s` (held until there is newer news), `POST /v1/votes`, and
//! in the news the platform's sums and the answers that clients found wrong.

use serde::{Deserialize, Serialize};

/// The longest message taken from the desk.
pub const NEWS_BYTES: usize = 256 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Course {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

/// The standing of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    pub build: u32,
    pub stage: u32,
    pub course: Course,
    /// Cap of the rule on exposure, 0 to 1.
    pub cap: f64,
    /// Time since this state began.
    pub age_ms: u64,
}

/// The platform's count of a sample of all picks in one past period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    pub build: u32,
    pub method: String,
    pub picks: u32,
    pub failed: u32,
    pub mean_ms: f64,
    pub age_ms: u64,
}

/// A client found an answer of this marshal wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Disputed {
    /// `host:port` of the node that answered.
    pub node: String,
    pub method: String,
    pub age_ms: u64,
}

/// One answer of the desk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// To be asked for with `index=` next time.
    pub index: u64,
    pub stage: Option<Stage>,
    #[serde(default)]
    pub sums: Vec<Sums>,
    #[serde(default)]
    pub disputed: Vec<Disputed>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    None,
    On,
    Hold,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub marshal: u32,
    pub verdict: Verdict,
    pub stage: u32,
    pub build: u32,
}

/// A vote on a service. None is named in that of a marshal's own, `places.service`: so it was when there was but one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVote {
    #[serde(flatten)]
    pub vote: Vote,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// Where news is asked for, of `service` where it is not the marshal's own.
pub fn path(index: u64, wait_s: u64, marshal: usize, service: Option<&str>) -> String {
    let path = format!("/v1/stage?index={index}&wait={wait_s}s&marshal={marshal}");
    service.map_or(path.clone(), |name| format!("{path}&service={name}"))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Counted {
    Counts,
    Moot,
    Full,
    Error,
}

/// The desk's answer to a vote: whether it counts, and how things stand.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteAnswer {
    pub counted: Counted,
    pub stage: Stage,
}

/// Checks news whole before any of it is believed.
///
/// # Errors
/// A sentence on what is wrong.
pub fn read_news(bytes: &[u8]) -> Result<News, String> {
    let news: News = read(bytes)?;
    if let Some(stage) = news.stage {
        check(&stage)?;
    }
    Ok(news)
}

/// # Errors
/// A sentence on what is wrong.
pub fn read_vote_answer(bytes: &[u8]) -> Result<VoteAnswer, String> {
    let answer: VoteAnswer = read(bytes)?;
    check(&answer.stage)?;
    Ok(answer)
}

/// # Errors
/// A sentence on what is wrong.
pub fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    if bytes.len() > NEWS_BYTES {
        return Err(format!("the desk's message has {} bytes, over {NEWS_BYTES}", bytes.len()));
    }
    serde_json::from_slice(bytes).map_err(|e| format!("the desk's message: {e}"))
}

/// A message as JSON.
pub fn write<T: Serialize>(message: &T) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

fn check(stage: &Stage) -> Result<(), String> {
    if !(0.0..=1.0).contains(&stage.cap) {
        return Err(format!("the desk's cap is {}, not within 0 to 1", stage.cap));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_service_is_asked_and_voted_on_in_the_words_of_before_there_were_many() {
        let vote = Vote { marshal: 3, verdict: Verdict::Back, stage: 1, build: 42 };
        let plain = ServiceVote { vote, service: None };
        assert_eq!(write(&plain), write(&vote));
        assert_eq!(path(7, 5, 3, None), "/v1/stage?index=7&wait=5s&marshal=3");
        let named = ServiceVote { vote, service: Some("relay".into()) };
        assert_eq!(path(7, 5, 3, Some("relay")), "/v1/stage?index=7&wait=5s&marshal=3&service=relay");
        assert_eq!(read::<ServiceVote>(&write(&named)).unwrap(), named);
        assert_eq!(read::<ServiceVote>(&write(&vote)).unwrap(), plain);
        assert_eq!(read::<Vote>(&write(&named)).unwrap(), vote, "a desk of one service reads on");
    }

    #[test]
    fn a_cap_out_of_range_is_not_believed() {
        let news = |cap: f64| {
            let stage = Stage { build: 2, stage: 0, course: Course::OnTrial, cap, age_ms: 1 };
            let news = News { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] };
            serde_json::to_vec(&news).unwrap()
        };
        assert!(read_news(&news(0.5)).is_ok());
        assert!(read_news(&news(1.5)).unwrap_err().contains("cap is 1.5"));
        assert!(read_news(b"{").is_err());
    }
}

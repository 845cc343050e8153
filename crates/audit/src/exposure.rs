//! Rule 5 for one marshal and one service: what it was told of the newest build, what it took and what it sent.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::trace::{Course, Law, Method, Repeat};

/// Build, stage, course and cap, as the desk told them.
type News = (u32, u32, Course, f64);

#[derive(Default)]
pub struct Exposure {
    /// The latest news and, where a cap was lowered, the older one with the time from which it no longer holds.
    news: Option<News>,
    lowered: Option<(u64, f64)>,
    /// Sends at a build on trial are counted from here.
    afresh: BTreeMap<u32, u64>,
    taken: HashMap<usize, VecDeque<u64>>,
    sent: HashMap<(u32, usize), VecDeque<u64>>,
    /// Keys, the latest build that answered them, and since when.
    crossed: HashMap<u64, (u64, u32)>,
}

/// What one send showed.
#[derive(Default)]
pub struct Found {
    /// How near it came to the cap, where that binds: 1 is the limit.
    pub part: Option<f64>,
    pub breaches: Vec<String>,
}

fn trim(times: &mut VecDeque<u64>, before: u64) {
    while times.front().is_some_and(|&t| t < before) {
        times.pop_front();
    }
}

impl Exposure {
    /// The marshal took an RPC.
    pub fn took(&mut self, now: u64, slot: usize) {
        self.taken.entry(slot).or_default().push_back(now);
    }

    /// The desk told it of the newest build.
    pub fn told(&mut self, now: u64, law: &Law, (build, stage, course, cap): News) {
        let cap = if matches!(course, Course::GoingBack | Course::Withdrawn) { 0.0 } else { cap };
        if let Some((old, _, _, was)) = self.news.filter(|n| n.0 == build && n.3 > cap) {
            self.lowered = Some((now + law.drain_grace_us, was));
            self.afresh.insert(old, now + law.drain_grace_us);
        }
        self.news = Some((build, stage, course, cap));
    }

    /// A key had its answer from a build.
    pub fn answered(&mut self, now: u64, key: u64, build: u32) {
        let known = self.crossed.get(&key).copied().filter(|c| c.1 >= build);
        self.crossed.insert(key, known.unwrap_or((now, build)));
    }

    /// A node of this build got an RPC of it.
    pub fn sends(
        &mut self, now: u64, law: &Law, (build, slot): (u32, usize), method: &Method, key: u64,
    ) -> Found {
        let mut found = Found::default();
        let Some((newest, stage, course, told)) = self.news else { return found };
        let sent = self.sent.entry((build, slot)).or_default();
        sent.push_back(now);
        // Times of nodes and clients lie a little apart: the narrow side counts sends, the wide one RPCs.
        let wide = law.window_us + law.slack_us;
        trim(sent, now.saturating_sub(wide));
        let taken = self.taken.entry(slot).or_default();
        trim(taken, now.saturating_sub(wide));
        let (stage, mut cap) = match build {
            b if b > newest => (0, law.first_cap),
            b if b == newest && course != Course::Released => (stage, told),
            _ => {
                let crossed = self.crossed.get(&key).filter(|c| build < c.1 && now > c.0 + law.slack_us);
                let binds = matches!(course, Course::OnTrial | Course::Released);
                if crossed.is_some() && binds {
                    found
                        .breaches
                        .push(format!("key {key}, which a later build answered, went to build {build}"));
                }
                return found;
            }
        };
        if let Some((_, was)) = self.lowered.filter(|l| now <= l.0 + law.slack_us) {
            cap = cap.max(was);
        }
        let from = self.afresh.get(&build).copied().unwrap_or(0);
        let from = from.max((now + law.slack_us).saturating_sub(law.window_us));
        let used = sent.iter().filter(|&&t| t >= from).count() as f64;
        let allowed = law.free + cap * taken.len() as f64;
        found.part = Some(used / allowed.max(1.0));
        if cap <= 0.0 {
            found.breaches.push(format!("build {build} got an RPC at cap 0"));
        } else if used > allowed {
            found.breaches.push(format!(
                "build {build} got {used} RPCs in the window of a marshal where {allowed:.1} are allowed"
            ));
        }
        if stage < law.guarded && method.repeat != Repeat::Idempotent {
            found
                .breaches
                .push(format!("build {build} got {} in stage {stage}, which is guarded", method.name));
        }
        found
    }

    /// Forgets what no window reaches back to.
    pub fn trim(&mut self, now: u64, law: &Law) {
        let before = now.saturating_sub(law.window_us + law.slack_us);
        self.taken.values_mut().chain(self.sent.values_mut()).for_each(|times| trim(times, before));
    }
}

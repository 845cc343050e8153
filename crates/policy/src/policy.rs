//! All decisions of one marshal. Made by `Marshal::new(&terms)`, then called when something has happened as
//! `handle(now, events) -> actions`; the interface is in `port.rs`, the reasons are in `docs/design.md`.
//! Each node is a small actor; front (RPCs), judge (builds, votes) and scout (the list) are the other parts.
//! They talk only by notes in inboxes, which the loop in `Marshal::settle` empties: nodes first, front last.
//! What they keep is laid out in `state.rs`; whatever is decided, or tuned, is here.

use std::time::Duration;

use crate::port::*;
use crate::state::*;

/// Waits and silences are looked at every beat, verdicts and idle marshals every look.
const BEAT: Duration = ms(20);
const LOOK: Duration = ms(100);
const ALPHA: f64 = 2.0;
const DELTA: f64 = 0.05;
const LEAST_SAMPLE: f64 = 10.0;
/// An arm's most, against its share of the ready nodes, and the most picks it may be behind or ahead.
const SHARE_LIMIT: [f64; 2] = [1.1, 3.0];
/// A node counts for neither arm's payoff before this age; records are halved this often.
const YOUNG: Duration = ms(5000);
const HALVE: Duration = ms(5000);
/// Payoff is halved this often too: the older arm's must not rest on a calmer time than the build's.
const RENEW: Duration = ms(2000);
/// Vote on after this from a stage's machines running; a stage counts as begun this long after its launch.
const ON_WAIT: Duration = ms(2500);
const STAGE_LATEST: Duration = ms(9000);
/// How much worse the new arm must be: payoff (the design's), soundness, pace (and more for few machines).
const MARGIN: [f64; 4] = [0.05, 0.01, 0.16, 0.25];
/// A node errs by itself beyond this multiple of its arm's part of errors.
const ODD: f64 = 2.0;
/// Evidence must stand against a build this long, for trouble in the fleet to show itself first: unsound;
/// late or slow on trial; late or slow when alone, with no older arm beside it.
const PONDER: [Duration; 3] = [ms(800), ms(3000), ms(15_000)];
/// The part of the older arm's answers that is brisk when calm, how far it falls under strain, how much it
/// must rise without the build, and the part of the fleet that must be sound for the test to tell anything.
const CALM: f64 = 0.75;
const STRAINED: f64 = 0.08;
const EASED: f64 = 0.02;
const WHOLE: f64 = 0.85;
/// The test by abstention: how long the build gets nothing, the first part not counted, and then is watched.
const ABSTAIN: [Duration; 3] = [ms(4000), ms(1500), ms(5000)];
/// Peers' counts are told this often, and say nothing when older than the second figure.
const TELL: [Duration; 2] = [ms(1000), ms(3200)];
/// The most marshals that tell one another directly, and so many log their votes: more would say the same.
const RING: usize = 8;
const SERVED_OVER: f64 = 3.0; // Seconds that the served rate is averaged over.
/// Repeats of picks that may have run: earned per RPC taken, the seconds' worth in store, its least and most.
const RETRIES: [f64; 4] = [0.2, 4.0, 2.0, 20.0];
/// An RPC that errs at so many nodes is bad itself; the repeat that showed it costs nothing.
const BAD: usize = 2;
/// The part of the soft deadline that an answer is taken to need before any has come.
const FIRST_GUESS: f64 = 1.0 / 6.0;
/// A pick that times out before this part of the soft deadline was cut short by its client.
const HASTY: f64 = 0.5;
/// An RPC with less time than its soft deadline is sent by lot: the square of so many times the part of late
/// picks answered in such time, and never by less than the second figure, or nothing would be learnt.
const ODDS: [f64; 2] = [2.0, 0.05];
/// How many answers its kind and zone weigh in a node's pace, and its own at the most.
const MET: [f64; 2] = [6.0, 12.0];
/// Each node used is met so often while an idle connection is kept; fewest nodes used; seconds of the rate.
const KEPT: [f64; 3] = [20.0, 6.0, 10.0];
/// The fleet is crowded when even this part of the latest answers, the quickest, took this part of their soft
/// deadline (queues delay all alike, far zones, ill nodes only some); how many; the part at clients' repeats.
const CROWDED: [f64; 4] = [0.25, 0.25, 24.0, 0.5];
/// Earlier nodes help in the last stage for this long after room was last cut: a backlog passes meanwhile.
const RELIEF: Duration = ms(6000);
/// Own picks in flight always allowed for each unit of power in this marshal's part of the fleet.
const FAIR: f64 = 2.0;
/// Keys that met the newest build are kept up to so many, once no earlier node is left.
const MOST_KEYS: usize = 1 << 20;
/// How much earlier an RPC of mean utility ranks among those that wait, in seconds.
const HEAD_START: f64 = 0.2;
/// What a key's own node may cost beside another, as a part.
const AT_HOME: f64 = 0.75;
const SPARE: f64 = 1.5; // Usual times before the soft deadline at which an RPC is given up.

/// ε of the design for `n` outcomes of variance `var`, at confidence `delta`.
fn width(n: f64, var: f64, delta: f64) -> f64 {
    let n = n.max(3.0);
    (2.0 * var / n * (3.0 * n.ln().powi(2) / delta).ln()).sqrt()
}

/// mean + α·ε, with the design's σ² of 1/4; an arm short of the least sample ranks first.
fn index(t: Tally) -> f64 {
    t.mean() + if t.n < LEAST_SAMPLE { f64::INFINITY } else { ALPHA * width(t.n, 0.25, DELTA) }
}

/// What was sent to a node then counts for no payoff.
fn young(entry: &NodeEntry, at: Duration) -> bool {
    entry.started.is_some_and(|start| at < start + YOUNG)
}

/// Arm `a` lies below `b` by more than the margin and the given part of both widths. σ² is what outcomes
/// would have if the new build paid as the older one does, plus one outcome's doubt.
fn below(a: Tally, b: Tally, margin: f64, part: f64, spread: f64, delta: f64) -> bool {
    let eps = |t: Tally| part * width(t.n, (spread + 1.0 / t.n).min(0.25), delta);
    a.n.min(b.n) >= LEAST_SAMPLE && a.mean() + eps(a) < b.mean() - eps(b) - margin
}

// ---- node ------------------------------------------------------------------------------------------------

impl Node {
    fn act(&mut self, note: Note, cx: &mut Cx) {
        let shown = self.card;
        match note {
            Note::Listed(entry) => {
                if (entry.started, entry.build) != (self.card.entry.started, self.card.entry.build) {
                    // A new process: what the earlier one did says nothing of it.
                    let out = std::mem::take(&mut self.out);
                    *self = Node { out, took: FIRST_GUESS * cx.law.least_soft, ..Node::default() };
                }
                (self.card.ready, self.card.entry) = (entry.readiness == Readiness::Ready, entry);
            }
            Note::Sent { rpc, pick, method } => self.out.push((rpc, pick, method, cx.now, self.card.entry)),
            Note::Told(Event::PickEnded { rpc, pick, outcome, took, .. }) => {
                if let Some(i) = self.out.iter().position(|o| (o.0, o.1) == (rpc, pick)) {
                    let ((.., method, at, entry), took) = (self.out.swap_remove(i), took.as_secs_f64());
                    // A client that leaves early says nothing of node or build.
                    let early = outcome == Outcome::Timeout && took < HASTY * cx.law.duties[method].soft;
                    let outcome = if early { Outcome::Cancelled } else { outcome };
                    self.learn(cx.now, outcome, took);
                    // Repeats are RPCs that failed elsewhere: no fair sample of what a build does.
                    if pick == 0 {
                        cx.put(JUDGE, Note::Booked { entry, method, at, outcome, took });
                    }
                }
            }
            _ => {}
        }
        // Silence: the oldest pick is overdue and nothing has been heard since it went out.
        let soft = cx.law.least_soft;
        let patience = secs((5.0 * self.took).clamp(0.3 * soft, 0.6 * soft));
        let oldest = self.out.iter().map(|o| o.3).min();
        let silent = oldest.is_some_and(|at| cx.now > at + patience && self.heard < at);
        self.card.in_flight = self.out.len();
        self.card.resting = silent || cx.now < self.rest_until;
        self.card.gentle = self.rests > 0;
        self.card.pace = self.took * (1.0 + 4.0 * self.ill);
        if self.card != shown {
            cx.show(self.card);
        }
        cx.rouse(self.card.entry.node, !self.out.is_empty() || self.card.resting);
    }

    /// Health from own outcomes: failures rest the node for growing spans, then it is tried gently. Guards
    /// against dead, silent and quickly failing nodes; once most nodes rest, the front looks past it.
    fn learn(&mut self, now: Duration, outcome: Outcome, took: f64) {
        let failed = match outcome {
            Outcome::Ok => 0.0,
            Outcome::Error | Outcome::Garbled | Outcome::Timeout => 1.0,
            Outcome::Reset | Outcome::NoConnection => 3.0,
            Outcome::Full | Outcome::Cancelled | Outcome::Moot => return, // Full is not ill.
        };
        if outcome != Outcome::Timeout {
            self.heard = now;
        }
        self.ill += 0.2 * (failed - self.ill);
        if failed > 0.0 && self.ill > 0.4 && now >= self.rest_until {
            self.rest_until = now + secs(0.5 * f64::from(1 << self.rests.min(3)));
            (self.rests, self.ill) = (self.rests + 1, 0.3);
        } else if self.ill < 0.1 {
            self.rests = 0;
        }
        if outcome == Outcome::Ok {
            self.took += 0.15 * (took - self.took);
            self.card.met = (self.card.met + 1.0).min(MET[1]);
        }
    }
}

// ---- gate: the one place that every send passes ----------------------------------------------------------

impl Gate {
    /// Stage and cap if the build is on trial for this marshal; an unannounced one counts as in stage 0.
    fn trial(&self, cx: &Cx, build: Build) -> Option<(usize, f64)> {
        let news = self.news?;
        if build > news.build {
            return Some((0, cx.law.exposure.first_cap));
        }
        (build == news.build && news.course != Course::Released).then_some((news.stage, news.cap))
    }

    /// Rule 1 (time left), rule 2 (repeats), rule 3 (drains), rule 5 (exposure), rule 4 (cold).
    fn admits(&self, cx: &Cx, rpc: &Rpc, card: &Card) -> bool {
        (card.ready && cx.now < rpc.until)
            && self.may_repeat(cx, rpc, &card.entry)
            && self.exposable(cx, rpc, &card.entry)
            && self.warm_enough(cx, &card.entry)
    }

    fn may_repeat(&self, cx: &Cx, rpc: &Rpc, entry: &NodeEntry) -> bool {
        let barred = rpc.streaming || rpc.picks.len() >= cx.law.most_picks;
        if barred || (!cx.law.copies && rpc.picks.iter().any(|p| p.out)) {
            return false;
        }
        let mut ran = rpc.picks.iter().filter(|p| !p.never_ran).peekable();
        let Some(first) = ran.peek().map(|p| p.at) else { return true };
        match cx.law.duties[rpc.method].repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Tokened { group, window } => {
                let near = |p: &Pick| same_group(group, &p.entry, entry);
                ran.all(near) && cx.now + secs(0.25) < first + window
            }
        }
    }

    fn may_push_back(cx: &Cx, rpc: &Rpc) -> bool {
        let repeat = cx.law.duties[rpc.method].repeat;
        let harmless = matches!(repeat, Repeat::Idempotent | Repeat::Tokened { group: Group::All, .. });
        harmless || rpc.picks.iter().all(|p| p.never_ran)
    }

    fn exposable(&self, cx: &Cx, rpc: &Rpc, entry: &NodeEntry) -> bool {
        let (duty, rule) = (&cx.law.duties[rpc.method], &cx.law.exposure);
        let crossed = rpc.key.and_then(|key| self.crossed.get(&key));
        if !self.news.is_some_and(|n| n.back()) && crossed.is_some_and(|&build| entry.build < build) {
            return false;
        }
        let Some((stage, cap)) = self.trial(cx, entry.build) else { return true };
        if cap <= 0.0 || (stage < rule.guarded && duty.repeat != Repeat::Idempotent) {
            return false;
        }
        let counted = || (0..cx.law.duties.len()).filter(|m| cx.law.duties[*m].slot == duty.slot);
        let (late, early) = (rule.window + BEAT, rule.window.saturating_sub(BEAT));
        let used: f64 = counted().map(|m| recent(self.sent.get(&(entry.build, m)), cx.now, late)).sum();
        let taken: f64 = counted().map(|m| recent(self.taken.get(&m), cx.now, early)).sum();
        used + 1.0 <= rule.free + cap * taken
    }

    /// Peers are taken to send in proportion to what each has had answered: less than the fleet can do.
    /// Budgets between whole RPCs are rounded by lot each window: hundreds of marshals add up to them.
    fn warm_enough(&self, cx: &Cx, entry: &NodeEntry) -> bool {
        let (age, law) = (cx.age(entry), &cx.law);
        if law.warm(age) {
            return true;
        }
        let least = law.present(age.saturating_sub(law.fall_window));
        let budget = law.fall_budget * least * self.served * power(entry);
        let window = (age.as_secs_f64() / law.fall_window.as_secs_f64().max(0.001) + law.phase) as u64;
        let lot = lot(law.seed, 1 << 63 | (entry.node as u64) << 32 | window);
        let used = recent(self.cold_sent.get(&entry.node), cx.now, law.fall_window);
        used + 1.0 <= (budget + lot).floor()
    }
}

// ---- front: RPCs, picks, waits ---------------------------------------------------------------------------

impl Front {
    fn act(&mut self, note: Note, cx: &mut Cx) {
        match note {
            Note::Card(card) => self.file(card),
            Note::Favour { newest, new_first, starved } => {
                if self.newest != newest {
                    // Low-traffic marshals take turns: else all of them try a new build at once.
                    (self.stale, self.due) = (true, [1.0, cx.law.phase]);
                }
                (self.newest, self.new_first, self.starved) = (newest, new_first, starved);
            }
            Note::Told(Event::Rpc { rpc, method, key, left, repeated, .. }) => {
                let duty = &cx.law.duties[method];
                self.gate.taken.entry(method).or_default().push_back(cx.now);
                self.pulse[0] += 1.0;
                let store = RETRIES[0] * RETRIES[1] * self.pulse[0] / self.pulse[1].max(1.0);
                self.retries += if repeated { 0.0 } else { RETRIES[0] };
                self.retries = self.retries.min(store.clamp(RETRIES[2], RETRIES[3]));
                let slim = self.slim(left.as_secs_f64() / duty.soft, repeated, cx);
                let (soft, until) = (cx.now + secs(duty.soft).min(left), cx.now + left);
                let rank = soft.saturating_sub(secs(HEAD_START * duty.worth));
                self.rpcs.insert(rpc, Rpc { method, key, soft, until, rank, ..Rpc::default() });
                // Where the build's nodes took earlier ones' places, the rest must not be burdened more while
                // it gets nothing, or the test would show only that: its part is asked to come back.
                self.spare += if self.starved && cx.law.rehearse.is_none() { self.lent() } else { 0.0 };
                if slim || self.spare >= 1.0 {
                    self.spare -= if slim { 0.0 } else { 1.0 };
                    self.give_up(rpc, cx);
                } else {
                    self.serve(rpc, cx);
                }
            }
            Note::Told(Event::PickEnded { rpc, pick, node, outcome, took, done, .. }) => {
                self.oks += f64::from(u8::from(outcome == Outcome::Ok));
                let NodeEntry { build, kind, zone, .. } = self.cards[node].entry;
                let lost = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::NoConnection);
                if lost || outcome == Outcome::Ok {
                    let took = took.as_secs_f64().max(if lost { cx.law.least_soft } else { 0.0 });
                    let usual = self.groups.entry((kind, zone)).or_insert(FIRST_GUESS * cx.law.least_soft);
                    *usual += 0.1 * (took - *usual);
                }
                if outcome == Outcome::Ok && cx.law.exposure.one_way {
                    let left = self.gate.left.get(&rpc).copied();
                    let sent =
                        self.rpcs.get(&rpc).and_then(|r| Some((r.key?, r.picks.get(pick)?.entry.build)));
                    left.or(sent).into_iter().for_each(|(key, sent)| self.gate.cross(key, sent.max(build)));
                }
                self.heed(rpc, outcome, took, cx);
                if let Some(r) = self.rpcs.get_mut(&rpc) {
                    if outcome == Outcome::Ok {
                        self.usual[r.method] += 0.05 * (took.as_secs_f64() - self.usual[r.method]);
                    }
                    if let Some(p) = r.picks.get_mut(pick) {
                        (p.out, p.never_ran, p.erred) =
                            (false, outcome.never_ran(), outcome == Outcome::Error);
                    }
                    r.burnt |= build == self.newest;
                    if done {
                        self.forget(rpc);
                    } else if !r.streaming && r.picks.iter().all(|p| !p.out) {
                        self.again(rpc, outcome.never_ran(), cx);
                    }
                } else {
                    self.gate.left.remove(&rpc);
                }
                self.make_room(took, cx);
                cx.put(FRONT, Note::Pump);
            }
            Note::Told(Event::StreamBegun { rpc, .. }) => {
                self.rpcs.entry(rpc).and_modify(|r| r.streaming = true);
            }
            Note::Told(Event::ClientLeft { rpc }) => {
                // Its pick may still be answered ok, and its key has then met that build.
                let out = self.rpcs.get(&rpc).and_then(|r| Some((r.key?, r.picks.iter().rfind(|p| p.out)?)));
                self.gate.left.extend(out.map(|(key, pick)| (rpc, (key, pick.entry.build))));
                self.forget(rpc);
            }
            Note::Told(event) => {
                if let Some((news, VoteReply::Unasked | VoteReply::Counts)) = News::read(cx, &event) {
                    self.gate.news = Some(news);
                    if news.back() {
                        self.gate.crossed.retain(|_, build| *build != news.build);
                    }
                }
            }
            Note::Beat if cx.now >= self.counted + LOOK => {
                let power = (self.weights[0] + self.weights[1]).max(1.0);
                let step = (cx.now - self.counted).as_secs_f64().min(SERVED_OVER);
                // Where nothing could be sent nothing was learnt, or cold nodes alone would stay barred.
                if self.out(cx) + self.oks > 0.0 || !std::mem::take(&mut self.barred) {
                    self.gate.served += step / SERVED_OVER * (self.oks / step / power - self.gate.served);
                }
                (self.oks, self.counted, self.stale) = (0.0, cx.now, true);
                let over = self.gate.news.is_some_and(|n| n.course == Course::Released);
                if over && self.arms[0].is_empty() && self.gate.crossed.len() > MOST_KEYS {
                    self.gate.crossed.clear(); // No earlier node is left that a key could go back to.
                }
                self.pulse = self.pulse.map(|x| x * (1.0 - step / KEPT[2]));
                self.pulse[1] += step;
                self.ghosts.retain(|until| cx.now < *until);
                let keep = cx.law.exposure.window.max(cx.law.fall_window) + 2 * LOOK;
                self.gate.forget(cx.now.saturating_sub(keep));
                cx.put(FRONT, Note::Pump);
            }
            Note::Beat | Note::Pump => self.pump(cx),
            _ => {}
        }
    }

    /// What a pick's end says of load. One cut short would have taken longer, a full queue takes longest;
    /// what was given up may still stand in a node's queue, and takes room until its soft deadline.
    fn heed(&mut self, rpc: RpcIx, outcome: Outcome, took: Duration, cx: &Cx) {
        let soft = self.rpcs.get(&rpc).map_or(cx.law.least_soft, |r| cx.law.duties[r.method].soft);
        let part = took.as_secs_f64() / soft;
        let at = match outcome {
            Outcome::Ok => bin(part),
            Outcome::Full => bin(f64::MAX),
            Outcome::Timeout | Outcome::Cancelled => {
                self.ghosts.push_back(cx.now + secs(soft).saturating_sub(took));
                (bin(part) + 1).min(bin(f64::MAX))
            }
            _ => return,
        };
        self.odds.meet(at, CROWDED[2] / 2.0);
        if part > HASTY || matches!(outcome, Outcome::Ok | Outcome::Full) {
            self.lags.meet(at, CROWDED[2]);
        }
    }

    /// Not worth a pick now, by the time left as a part of its soft deadline. Guards against clients that
    /// leave early and come again at once: in a crowd all nodes would work for them alone. A new RPC of
    /// normal time always passes. May refuse some whose method is quicker than the others.
    fn slim(&mut self, left: f64, repeated: bool, cx: &Cx) -> bool {
        let (odds, draw) = (self.odds.upto(bin(left)), lot(cx.law.seed, cx.now.as_nanos() as u64));
        let part = (ODDS[0] * odds.mean()).powi(2).max(ODDS[1]);
        let late = self.lags.edge(CROWDED[3], CROWDED[2] / 6.0).is_some_and(|e| e >= bin(CROWDED[1]));
        // A client that comes again is a repeat like our own, and spends from the same store.
        let paid = !repeated || !late || self.retries >= 1.0;
        let short = left < 1.0 && odds.n >= CROWDED[2] / 6.0 && draw > part;
        self.retries -= f64::from(u8::from(repeated && late && paid && !short));
        short || !paid
    }

    /// Limits own picks in flight, not below this marshal's part of the fleet: with many marshals a node's
    /// queue grows though each has but one pick there. Guards against overload where time-outs stop no work.
    fn make_room(&mut self, took: Duration, cx: &mut Cx) {
        let crowded = self.lags.edge(CROWDED[0], CROWDED[2] / 3.0).is_some_and(|e| e >= bin(CROWDED[1]));
        if crowded && cx.now > self.cut + took {
            if self.last_stage(cx) {
                self.relief = cx.now + RELIEF;
                cx.put(JUDGE, Note::Relieved);
            }
            (self.room, self.cut) = ((0.8 * self.out(cx)).max(FAIR * self.fair).max(1.0), cx.now);
        } else if !crowded && self.out(cx) + 2.0 > self.room {
            self.room += 1.0 / self.room;
        }
    }

    fn pump(&mut self, cx: &mut Cx) {
        let late = |r: &Rpc| cx.now + secs(SPARE * self.usual[r.method]) > r.soft;
        let hopeless = |w: &&(Duration, RpcIx)| self.rpcs.get(&w.1).is_some_and(late);
        let lost: Vec<RpcIx> = self.waiting.iter().filter(hopeless).map(|w| w.1).collect();
        lost.into_iter().for_each(|rpc| self.give_up(rpc, cx));
        let first: Vec<RpcIx> = self.waiting.iter().take(3).map(|w| w.1).collect();
        if first.into_iter().any(|rpc| self.send(rpc, cx)) {
            cx.put(FRONT, Note::Pump);
        }
    }

    fn serve(&mut self, rpc: RpcIx, cx: &mut Cx) {
        if !self.waiting.is_empty() || !self.send(rpc, cx) {
            self.barred = true;
            self.waiting.extend(self.rpcs.get(&rpc).map(|r| (r.rank, rpc)));
            cx.put(FRONT, Note::Pump);
        }
    }

    fn give_up(&mut self, rpc: RpcIx, cx: &mut Cx) {
        let Some(r) = self.rpcs.get(&rpc) else { return };
        let come_back = secs(2.0 * self.usual[r.method]);
        let retry_after = cx.law.retry_after.map(|most| come_back.min(most));
        let harmless = Gate::may_push_back(cx, r);
        cx.out.push(if harmless { Action::PushBack { rpc, retry_after } } else { Action::Abort { rpc } });
        self.forget(rpc);
    }

    /// Another pick only where there is time; those that may have run spend from a small store, so that
    /// failing nodes or an overload are not answered with a storm of repeats.
    fn again(&mut self, rpc: RpcIx, never_ran: bool, cx: &mut Cx) {
        let (r, spent) = (&self.rpcs[&rpc], if never_ran { 0.0 } else { 1.0 });
        let bad = r.picks.iter().filter(|p| p.erred).count() >= BAD;
        // It errs anywhere, or no repeat may show it: says nothing of node or build. First picks were booked.
        let doubted = bad || (self.retries < spent && cx.law.repeatable(r.method));
        if let Some(&Pick { entry, at, .. }) = r.picks.first().filter(|p| p.erred && doubted) {
            cx.put(JUDGE, Note::Excused { entry, method: r.method, at });
        }
        self.retries += f64::from(u8::from(bad));
        let in_time = cx.now + secs(0.5 * self.usual[r.method]) < r.until && self.retries >= spent && !bad;
        if in_time && self.cards.iter().any(|c| self.gate.may_repeat(cx, r, &c.entry)) {
            self.retries -= spent;
            self.serve(rpc, cx);
        } else {
            self.give_up(rpc, cx);
        }
    }

    /// A node's pace; while it was met seldom, that of its kind and zone (slow machines, lossy links).
    fn pace(&self, c: &Card, cx: &Cx) -> f64 {
        let usual = self.groups.get(&(c.entry.kind, c.entry.zone));
        let usual = usual.copied().unwrap_or(FIRST_GUESS * cx.law.least_soft);
        (MET[0] * usual + c.met * c.pace) / (MET[0] + c.met) / cx.law.present(cx.age(&c.entry))
    }

    /// A node of the arm of larger index within its limits, then of the other; wary of ill ones first.
    fn choose(&self, r: &Rpc, cx: &Cx) -> Option<(usize, [f64; 2], NodeEntry)> {
        let all = self.arms[0].len() + self.arms[1].len();
        // Rehearsal in the last stage beside earlier machines: each new node gets the load of the release. In
        // a crowd idle nodes would stand beside RPCs pushed back. Harms where the new nodes are too few.
        let rehearsal = cx.now >= self.relief && self.last_stage(cx);
        let [old, new] = self.weights;
        let whole = if rehearsal { new.max(old) } else { new + old };
        // Nothing falls due to a build that gets nothing: many marshals would make it good all at once.
        let share = if self.starved { 0.0 } else { new / whole.max(1e-9) };
        let reach = (self.pulse[0] / self.pulse[1].max(1.0) * cx.law.kept / KEPT[0]).max(KEPT[1]);
        let most_rest = 5 * self.resting >= 4 * all;
        let due = [SHARE_LIMIT[0] * (1.0 - share), SHARE_LIMIT[0] * share];
        let within = [self.due[0] + due[0] >= 1.0, self.due[1] + due[1] >= 1.0 && !self.starved];
        let first = usize::from(self.new_first && !r.burnt && !self.starved); // Repeats: older first.
        let mut arms = [first, 1 - first];
        arms.sort_by_key(|&arm| !within[arm]);
        // Cold nodes have budgets: the arm's picks are split between them and the warm ones by what each can
        // do, or the marshals without budget would send the cold ones' part to the few warm.
        let split = [0, 1].map(|arm: usize| {
            let part = self.cold[arm] / self.weights[arm].max(1e-9);
            usize::from(lot(cx.law.seed, self.draws + 8) >= part)
        });
        let mut charged = None;
        for (wary, apart) in [(true, true), (true, false), (false, false)] {
            for arm in arms {
                let fits = |c: &&Card| {
                    let unsure = c.in_flight > 0 || cx.law.duties[r.method].repeat == Repeat::NonIdempotent;
                    let failed = || r.picks.iter().any(|p| p.entry.node == c.entry.node);
                    let doubt = c.resting || (c.gentle && unsure) || failed();
                    (if wary { !doubt } else { !c.resting || most_rest }) && self.gate.admits(cx, r, c)
                };
                // Two random choices among the first of this marshal's own order of nodes; the rest are next.
                let (cold, warm) = self.arms[arm].split_at(self.chill[arm]);
                let list = if apart { [cold, warm][split[arm]] } else { &self.arms[arm] };
                let near = (reach * list.len() as f64 / all as f64).ceil().max(2.0) as usize;
                let near = near.min(list.len());
                let draw = |nth: u64| {
                    let die = |i: u64| chance(cx.law.seed, self.draws + i) as usize % near.max(1);
                    let walk = (0..near).map(|i| (die(nth) + i) % near).chain(near..list.len());
                    let tries = (nth..nth + 4).map(die).filter(|_| near > 0).chain(walk);
                    tries.map(|i| &self.cards[list[i]]).find(fits)
                };
                let cost = |c: &Card| (c.in_flight + 1) as f64 * self.pace(c, cx);
                // Where nodes work less for a key that they met lately, all marshals agree on its node: one
                // of the two choices, and taken unless clearly busier. Harms where one key is most of all.
                let home = |key: u64| list.iter().max_by_key(|n| chance(key, self.cards[**n].entry.name));
                let home = r.key.filter(|_| cx.law.warm_keys).and_then(home).map(|&n| &self.cards[n]);
                let (a, b, part) = match home.filter(fits) {
                    Some(home) => (Some(home), draw(0), AT_HOME),
                    None => (draw(0), draw(4), 1.0),
                };
                if let (Some(a), Some(b)) = (a, b) {
                    let entry = if cost(b) < part * cost(a) { b.entry } else { a.entry };
                    return Some((charged.unwrap_or(arm), due, entry));
                }
                // What cold nodes cannot take is not saved up for warm ones.
                charged = charged.or((apart && split[arm] == 0 && within[arm]).then_some(arm));
            }
        }
        None
    }

    fn send(&mut self, rpc: RpcIx, cx: &mut Cx) -> bool {
        if self.stale {
            self.muster(cx);
        }
        if self.out(cx) + 1.0 > self.room {
            return false;
        }
        let Some((arm, due, entry)) = self.rpcs.get(&rpc).and_then(|r| self.choose(r, cx)) else {
            return false;
        };
        self.draws += 9;
        let pace = self.pace(&self.cards[entry.node], cx);
        let Some(r) = self.rpcs.get_mut(&rpc) else { return false };
        self.waiting.remove(&(r.rank, rpc));
        self.gate.book(cx, r.method, &entry);
        let most = SHARE_LIMIT[1];
        self.due = [0, 1].map(|i| (self.due[i] + due[i]).clamp(-most, most));
        self.due[arm] -= 1.0;
        // A first pick that may be repeated leaves room for another; at a slow node, waiting is better.
        let (left, duty) = (r.until.saturating_sub(cx.now), &cx.law.duties[r.method]);
        let early = (0.6 * duty.soft).max(4.0 * self.usual[r.method].max(pace));
        let repeatable = duty.repeat != Repeat::NonIdempotent && self.retries >= 1.0;
        let leave_room = repeatable && r.picks.is_empty() && early < 0.8 * duty.soft;
        let within = if leave_room { secs(early).min(left) } else { left };
        r.picks.push(Pick { entry, at: cx.now, out: true, never_ran: false, erred: false });
        let (node, pick, method) = (entry.node, r.picks.len() - 1, r.method);
        cx.out.push(Action::Pick { rpc, node, within });
        cx.put(NODES + node, Note::Sent { rpc, pick, method });
        true
    }
}

// ---- judge: arms, verdicts, votes ------------------------------------------------------------------------

/// Tells a build that slows all nodes in step with its traffic from other strain: while the older arm is
/// slower than before the trial, the build gets nothing for a while. If that arm mostly recovers and is
/// slowed again with the build's return, the build is guilty; else cleared for the stage. Hurts by its delay.
impl Strain {
    fn book(&mut self, at: Duration, method: usize, one: Tally) {
        let most = self.lately.len().max(method + 1);
        self.lately.resize(most, Tally::default());
        self.off.resize(most, Tally::default());
        // What was sent before the build's return, and is slow, ends after it: not counted.
        match (self.since, self.relieved) {
            (None, Some(relieved)) if at < relieved + 5 * LOOK => {}
            (None, _) => self.lately[method].add(one, 1.0),
            (Some(since), _) if at >= since + ABSTAIN[1] => self.off[method].add(one, 1.0),
            _ => {}
        }
    }

    /// All methods but the one that fares worst, if there are others: what slows one alone slows no nodes.
    fn pool(mut each: Vec<Pair>) -> Pair {
        let brisk = |p: &Pair| (p[0].good + p[1].good) / (p[0].n + p[1].n).max(1e-9);
        let met = |p: &Pair| p[0].n + p[1].n > 0.0;
        each.retain(met);
        each.sort_by(|a, b| brisk(a).total_cmp(&brisk(b)));
        let mut sum = Pair::default();
        each.iter().skip(usize::from(each.len() > 1)).for_each(|p| join(&mut sum, p));
        sum
    }

    /// Whether the build is held for strain, and whether it is guilty of it.
    fn weigh(
        &mut self, now: Duration, trial: (Build, usize), nodes: usize, [apart, lost]: [bool; 2],
        [off, on]: Pair,
    ) -> (bool, bool) {
        let calm = Tally { n: 1000.0, good: 1000.0 * CALM };
        let (var, joined) = (CALM * (1.0 - CALM), std::mem::take(&mut self.joined));
        // Pooled: alone, a marshal may see too little.
        let strained = below(on, calm, STRAINED, 0.5, var, DELTA);
        if strained && nodes == 0 {
            self.cleared = Some(trial); // Slowed before the build had any node here.
        }
        if self.stage.replace(trial) != Some(trial) {
            (self.since, self.relieved) = (None, None); // Another share of traffic: not comparable.
        }
        if self.cleared == Some(trial) {
            return (false, false);
        }
        let eased = below(on, off, EASED, 0.2, var, DELTA);
        let again = !lost && strained && eased && 2.0 * on.mean() < self.level + off.mean();
        match (self.since, self.relieved) {
            (None, Some(_)) if again => return (true, true),
            (None, Some(at)) if now >= at + ABSTAIN[2] => (self.relieved, self.cleared) = (None, Some(trial)),
            (None, None) if (strained || joined) && apart && nodes > 0 => {
                self.since = Some(now);
                self.off.fill(Tally::default());
            }
            (Some(since), _) if now >= since + ABSTAIN[0] => {
                // Recovery by more than half counts: other troubles ease by themselves, and by less.
                let relief = eased && off.mean() > on.mean() + 0.4 * (CALM - on.mean());
                self.relieved = relief.then_some(now);
                (self.level, self.cleared) = (on.mean(), (!relief).then_some(trial));
                self.since = None;
                self.lately.fill(Tally::default());
            }
            _ => {}
        }
        if self.since.is_none() {
            self.lately.iter_mut().for_each(|t| t.add(*t, -0.05));
        }
        // Where no test can be made, holding the build teaches nothing.
        (strained && apart || self.since.is_some() || self.relieved.is_some(), false)
    }
}

impl Judge {
    fn act(&mut self, note: Note, cx: &mut Cx) {
        match note {
            Note::Card(card) => {
                self.listed(&card, cx);
                self.newer(if card.ready { card.entry.build } else { 0 });
            }
            Note::Booked { entry, method, at, outcome, took } => {
                let Some(book) = self.books.get_mut(entry.node).filter(|b| b.is(&entry)) else { return };
                let (soft, ok) = (cx.law.duties[method].soft, outcome == Outcome::Ok);
                let (ledger, kind) = (&mut book.methods[method], book.entry.kind);
                if matches!(outcome, Outcome::Ok | Outcome::Error) {
                    ledger.sound.add(Tally::one(ok), 1.0);
                }
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Garbled) {
                    ledger.whole.add(Tally::one(outcome != Outcome::Garbled), 1.0);
                }
                let fair = at >= self.relieved && !young(&entry, at);
                if fair && !outcome.never_ran() && outcome != Outcome::Cancelled {
                    ledger.paid.add(Tally::one(ok && took <= soft), 1.0);
                    let bin = bin(took / soft);
                    ledger.times[bin] += Tally::one(ok).good;
                    let calm = &self.before[kind * cx.law.duties.len() + method];
                    // Its time says nothing of strain where it erred, nor that of nodes on trial.
                    let erred = matches!(outcome, Outcome::Error | Outcome::Garbled);
                    let asked = entry.build < self.newest && !erred;
                    let edge = calm.edge(CALM, LEAST_SAMPLE / 3.0).filter(|_| asked);
                    if let Some(edge) = edge {
                        self.strain.book(at, method, Tally::one(ok && bin <= edge));
                    }
                }
            }
            Note::Relieved => {
                // A crowd in the last stage: what is known of lateness was met at unlike load, and is void.
                self.relieved = cx.now;
                let all = self.books.iter_mut().flat_map(|b| &mut b.methods).chain(&mut self.past);
                all.for_each(Ledger::forget_lateness);
            }
            Note::Excused { entry, method, at } => {
                if let Some(book) = self.books.get_mut(entry.node).filter(|b| b.is(&entry)) {
                    book.methods[method].excuse(young(&entry, at));
                }
            }
            Note::Told(Event::Disputed { node, method, age }) => {
                if let Some(book) = self.books.get_mut(node).filter(|b| cx.age(&b.entry) > age) {
                    book.methods[method].dispute();
                }
            }
            Note::Told(Event::Sums { build, picks, failed, .. }) if build <= self.newest => {
                let sum = Tally { n: picks.into(), good: picks.saturating_sub(failed).into() };
                self.sums[usize::from(build != self.newest)].add(sum, 1.0);
            }
            Note::Told(Event::Peer { from, text }) => {
                let Some((build, abstains, level, pairs)) = read_pairs(&text) else { return };
                let Some(place) = self.place(from, level, &cx.law) else { return };
                self.heard.insert((level, place), (cx.now, build, pairs));
                self.strain.joined |= abstains && build == self.newest; // All abstain together.
            }
            Note::Told(event) => {
                let Some((news, reply)) = News::read(cx, &event) else { return };
                if let Some(cast) = &mut self.cast {
                    cast.2 |= matches!(reply, VoteReply::Counts | VoteReply::Moot);
                    // Else said again.
                }
                if matches!(reply, VoteReply::Unasked | VoteReply::Counts) {
                    self.newer(news.build);
                    self.news = Some(news);
                }
            }
            Note::Beat if cx.now >= self.looked + LOOK => self.look(cx),
            _ => {}
        }
    }

    /// A newer build begins its trial. A released one's record becomes the older arm's; else it is struck.
    fn newer(&mut self, build: Build) {
        if build <= self.newest {
            return;
        }
        let released = self.news.is_none_or(|n| n.build == self.newest && n.course == Course::Released);
        if released {
            self.past.fill(Ledger::default());
        }
        self.before = self.arm(released, self.past.clone(), false).0;
        let void = |b: &&mut Book| b.entry.build == build || (b.entry.build == self.newest && !released);
        self.books.iter_mut().filter(void).for_each(|b| b.methods.fill(Ledger::default()));
        self.newest = build;
        self.sums = Pair::default();
        self.strain = Strain::default();
        self.places = self.books.iter().filter(|b| b.ready && b.entry.build < build).count() as f64;
    }

    /// An arm's ledgers by kind and method, without the quarter of its nodes that failed most: trouble of a
    /// few nodes convicts no build. Too few on trial are held against the older arm's worst quarter instead.
    fn arm(&self, new: bool, mut sums: Vec<Ledger>, few: bool) -> (Vec<Ledger>, usize) {
        let mine = |b: &&Book| b.ready && (b.entry.build == self.newest) == new;
        let faults = |b| (Book::faults(b), b);
        let mut books: Vec<(f64, &Book)> = self.books.iter().filter(mine).map(faults).collect();
        let quarter = books.len() / 4;
        books.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.entry.node.cmp(&b.1.entry.node)));
        // Its errors are a node's own only beyond what all its arm meets: a lone one, or bad RPCs, are not.
        let mut total = Pair::default();
        books.iter().for_each(|b| join(&mut total, &b.1.sums()));
        let normal = |own: &Tally, all: &Tally| own.missed() <= 1.0 + ODD * own.n * (1.0 - all.mean());
        let usual = |b: &Book| b.sums().iter().zip(&total).all(|(own, all)| normal(own, all));
        let stays = |i: usize, b: &Book| if few { i < quarter.max(1) } else { i >= quarter || usual(b) };
        let kept = books.iter().enumerate().filter(|(i, b)| b.1.used() && stays(*i, b.1));
        kept.for_each(|(_, b)| b.1.add_to(&mut sums));
        (sums, books.len())
    }

    /// Released, or nearly all of the fleet: then it is watched against the record from before its trial.
    fn alone(&self) -> bool {
        let released = self.news.is_some_and(|n| n.build == self.newest && n.course == Course::Released);
        released || 4 * self.ready(false) < self.ready(true)
    }

    /// Questions to both arms: payoff, soundness by method, pace, spoilt answers, strain; and nodes on trial.
    fn own_pairs(&self, cx: &Cx) -> (Vec<Pair>, usize) {
        let (new, nodes) = self.arm(true, vec![Ledger::default(); self.past.len()], false);
        let alone = self.alone();
        let old = match alone {
            true => self.before.clone(),
            false => self.arm(false, self.past.clone(), nodes < 4).0,
        };
        let count = cx.law.duties.len();
        let mut pairs = vec![Pair::default(); count + 3];
        let strain =
            |m| [&self.strain.off, &self.strain.lately].map(|t| t.get(m).copied().unwrap_or_default());
        pairs.extend((0..count).map(strain));
        for (i, (n, o)) in new.iter().zip(&old).enumerate() {
            join(&mut pairs[0], &[n.paid, o.paid]);
            join(&mut pairs[count + 2], &[n.whole, o.whole]);
            // Alone, errors of methods that are not repeated may be those of bad RPCs, and nothing tells.
            if !alone || cx.law.repeatable(i % count) {
                join(&mut pairs[1 + i % count], &[n.sound, o.sound]);
            }
            if let Some(edge) = o.edge(CALM, LEAST_SAMPLE) {
                join(&mut pairs[count + 1], &[n.upto(edge), o.upto(edge)]);
            }
        }
        (pairs, nodes)
    }

    fn look(&mut self, cx: &mut Cx) {
        self.looked = cx.now;

        if cx.now >= self.halved + HALVE {
            self.halved = cx.now;
            self.halve();
        }
        if cx.now >= self.renewed + RENEW {
            self.renewed = cx.now;
            self.books.iter_mut().flat_map(|b| &mut b.methods).for_each(|l| l.paid.add(l.paid, -0.5));
            self.past.iter_mut().for_each(|l| l.paid.add(l.paid, -0.5));
        }
        let (mut pairs, nodes) = self.own_pairs(cx);
        let (new_first, starved) = (index(pairs[0][0]) >= index(pairs[0][1]), self.strain.since.is_some());
        cx.put(FRONT, Note::Favour { newest: self.newest, new_first, starved });
        // Votes rest on own evidence, the platform's sums and fresh peers': at level k a marshal tells ring -
        // 1 others what ring^k marshals up to itself counted, so that each is counted once.
        let due = cx.now >= self.told + TELL[0] || starved != std::mem::replace(&mut self.said, starved);
        let tell = cx.law.peers && due && self.before.iter().any(|l| l.paid.n > 0.0);
        for level in 0..self.levels {
            let span = self.ring.pow(level);
            if tell && pairs.iter().any(|p| p[0].n >= 1.0) {
                self.told = cx.now;
                let text = write_pairs(self.newest, starved, level, &pairs);
                let to = (1..self.ring).map(|j| Some((cx.law.marshal + j * span) % cx.law.crowd));
                cx.out.extend(to.map(|to| Action::Tell { to, text: text.clone() }));
            }
            for (at, build, theirs) in self.heard.range((level, 0)..(level + 1, 0)).map(|h| h.1) {
                if *build == self.newest && cx.now < *at + TELL[1] && theirs.len() == pairs.len() {
                    pairs.iter_mut().zip(theirs).for_each(|(a, b)| join(a, b));
                }
            }
        }
        join(&mut pairs[0], &self.sums); // They count full nodes as failures: payoff, not soundness.
        self.vote(pairs, nodes, cx);
    }

    fn vote(&mut self, mut pairs: Vec<Pair>, nodes: usize, cx: &mut Cx) {
        let live = |n: &News| matches!(n.course, Course::Released | Course::OnTrial);
        let Some(news) = self.news.filter(|n| n.build == self.newest && live(n)) else { return };
        let released = news.course == Course::Released;
        // Its test ends with the trial, or nothing is sent to it, and all pushed back where it is alone.
        self.strain.since = self.strain.since.filter(|_| !released);
        // Questions: soundness by method, of all, spoilt answers, payoff, pace; with margin and variance.
        let (mut sound, payoff) = (Pair::default(), pairs.remove(0));
        let strain = Strain::pool(pairs.split_off(cx.law.duties.len() + 2));
        let (whole, pace) = (pairs.pop().unwrap_or_default(), pairs.pop().unwrap_or_default());
        pairs.iter().for_each(|p| join(&mut sound, p));
        let var = |p: &Pair| p[1].mean() * (1.0 - p[1].mean());
        // Any node may spoil answers, and the older arm's few are left out with its worst nodes: σ² is that
        // of both arms if they are alike. Costs power against a build that spoils few.
        let alike = (whole[0].good + whole[1].good) / (whole[0].n + whole[1].n).max(1e-9);
        let slower = MARGIN[2] + MARGIN[3] / (nodes.max(1) as f64).sqrt();
        let asked: Vec<(Pair, f64, f64)> = (pairs.iter().chain([&sound]))
            .map(|p| (*p, MARGIN[1], var(p)))
            .chain([(whole, MARGIN[1], alike * (1.0 - alike))])
            .chain([(payoff, MARGIN[0], 0.25), (pace, slower, var(&pace))])
            .collect();
        // Where few of many marshals can send a build back, each must be the surer: any of them may err.
        let delta = DELTA * cx.law.back_part;
        let worse = |part: f64| asked.iter().position(|(p, m, v)| below(p[0], p[1], *m, part, *v, delta));
        let sound_nodes = self.books.iter().filter(|b| b.ready && !b.ill).count() as f64;
        // Before all of the stage's machines run, the test would clear it at an earlier stage's traffic.
        let runs = cx.now >= self.begun(news, cx);
        let apart = runs && !self.alone() && sound_nodes >= WHOLE * self.places;
        let lost = ((self.ready(false) + nodes) as f64) < WHOLE * self.places;
        let trial = Some((news.build, news.stage)).filter(|_| !released);
        let (held, shared) =
            trial.map_or((false, false), |t| self.strain.weigh(cx.now, t, nodes, [apart, lost], strain));
        let found = worse(1.0).or(shared.then_some(asked.len()));
        // Lateness passes with a backlog, which lasts while nodes come and go.
        let late = usize::from(found >= Some(asked.len() - 2));
        let alone = late * usize::from(self.alone());
        let calm = (self.stirred * alone as u32).max((self.relieved + RENEW) * late as u32);
        let ponder = PONDER[late + alone];
        self.guilty = found.and(self.guilty.or(Some(cx.now)));
        let guilty = self.guilty.is_some_and(|since| cx.now >= since.max(calm) + ponder);
        let better = below(payoff[1], payoff[0], 0.0, 1.0, 0.25, DELTA);
        let wait = if sound[0].n < LEAST_SAMPLE { 2 * ON_WAIT } else { ON_WAIT };
        let ripe = better || cx.now >= self.begun(news, cx).max(self.relieved) + wait;
        let verdict = match found.or(worse(0.4)) {
            Some(_) if guilty => Verdict::Back,
            lean if held || lean.is_some() => Verdict::None, // A vote on is taken back while it leans.
            // Votes that can never stand together would only keep the desk from those back.
            _ if ripe && !released && cx.law.by_votes && cx.law.on_votes <= cx.law.standing => Verdict::On,
            _ => return,
        };
        let (stage, build, life) = (news.stage, news.build, cx.law.vote_life);
        let wish = (verdict, stage, build);
        // Where all marshals' votes are more than the desk takes, one that stands is renewed as it lapses,
        // and who was turned away asks again by lot: slots for all come too late for the few that are needed.
        let draw = lot(cx.law.seed, cx.now.as_nanos() as u64);
        let gap = secs((2.0 * cx.law.vote_gap).max(0.3)).min(life.mul_f64(0.25 + 0.5 * draw));
        let pause = match self.cast.filter(|c| c.0 == wish) {
            Some((.., true)) => life.mul_f64(0.6).max(secs(cx.law.vote_gap).min(life)),
            Some(_) => cx.law.vote_wait.max(gap),
            None => gap,
        };
        let idle =
            verdict == Verdict::None && self.cast.is_none_or(|(c, ..)| c != (Verdict::On, stage, build));
        if idle || self.cast.is_some_and(|(_, at, _)| cx.now < at + pause) {
            return;
        }
        let teller = cx.law.marshal < RING || verdict == Verdict::Back;
        if self.cast.is_none_or(|(cast, ..)| cast != wish) && teller {
            let told = |q: usize| beside(&asked.get(q).map_or(payoff, |a| a.0));
            let why = found.or(worse(0.4)).map_or(String::new(), |q| format!(", question {q}: {}", told(q)));
            cx.out.push(Action::Log(format!("build {build} stage {stage}: vote {verdict:?}{why}")));
        }
        self.cast = Some((wish, cx.now, false));
        cx.out.push(Action::Vote { verdict, stage, build });
    }

    /// When the present stage's machines have all started, as far as the list tells, or must have.
    fn begun(&self, news: News, cx: &Cx) -> Duration {
        let trial = self.books.iter().filter(|b| b.ready && b.entry.build == news.build);
        // Nodes from before the last release may have drained only after the trial began.
        let successors = if cx.law.rehearse.is_none() { self.ready(true) } else { 0 };
        let stay = (self.ready(false) + successors) as f64;
        let share = cx.law.shares.get(news.stage).copied().unwrap_or(0.0);
        let due = (share * self.places.min(stay)).round().max(1.0);
        let last = trial.filter_map(|b| b.entry.started).max().filter(|_| self.ready(true) as f64 >= due);
        let late = news.launched + STAGE_LATEST;
        last.map_or(late, |at| at.clamp(news.launched, late))
    }
}

// ---- scout: the list of nodes, where it must be asked for ------------------------------------------------

impl Scout {
    fn act(&mut self, note: Note, cx: &mut Cx) {
        let Some(pause) = cx.law.ask_pause else { return };
        let wait = |s: f64| secs(s).min(cx.law.ask_within / 2);
        match note {
            Note::Told(Event::Nodes { scope: Scope::Failed, .. }) => {
                (self.subscribed, self.failures) = (false, (self.failures + 1).min(3));
                self.ask_at = cx.now + wait(0.4 * pause * 2f64.powi(self.failures));
            }
            Note::Told(Event::Nodes { scope, .. }) if scope != Scope::Cached => {
                (self.subscribed, self.failures) = (true, 0);
            }
            Note::Beat if !self.subscribed && cx.now >= self.ask_at => {
                self.ask_at = cx.now + wait(4.0 * pause);
                cx.out.push(Action::Subscribe(true));
            }
            _ => {}
        }
    }
}

pub struct Marshal {
    cx: Cx,
    nodes: Vec<Node>,
    front: Front,
    judge: Judge,
    scout: Scout,
    beat_at: Duration,
}

impl Marshal {
    pub fn new(terms: &RolloutTerms) -> Self {
        let law = Charter::new(terms);
        let usual = law.duties.iter().map(|d| FIRST_GUESS * d.soft).collect();
        let front = Front { usual, new_first: true, retries: RETRIES[2], room: f64::MAX, ..Front::default() };
        let mut judge = Judge::default();
        judge.lay_out(&law, rings(&law, RING));
        let (nodes, scout, beat_at) = (Vec::new(), Scout::default(), Duration::ZERO);
        Marshal { cx: Cx::new(law), nodes, front, judge, scout, beat_at }
    }

    /// Takes new terms between two calls of `handle`. Methods and kinds keep their places, new ones come
    /// after the old; RPCs in hand, accounts of the rules, health and evidence all stay.
    pub fn renew(&mut self, terms: &RolloutTerms) {
        self.cx.law = Charter::new(terms);
        let soft = self.cx.law.duties.iter().map(|d| FIRST_GUESS * d.soft);
        self.front.usual.extend(soft.skip(self.front.usual.len()));
        self.front.stale = true;
        self.judge.lay_out(&self.cx.law, rings(&self.cx.law, RING));
    }

    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.cx.now = now;
        for event in events {
            self.cx.sort(event);
            self.settle();
        }
        let due = now >= self.beat_at;
        if due {
            let awake = self.cx.awake.iter().map(|node| NODES + node).chain([FRONT, JUDGE, SCOUT]);
            awake.collect::<Vec<_>>().into_iter().for_each(|to| self.cx.put(to, Note::Beat));
            self.settle();
        }
        let idle = self.front.rpcs.is_empty() && self.cx.awake.is_empty();
        let next = if idle { LOOK } else { BEAT };
        if due || self.beat_at > now + next {
            self.beat_at = now + next;
            self.cx.out.push(Action::Wake { after: next, tag: 0 });
        }
        std::mem::take(&mut self.cx.out)
    }

    fn settle(&mut self) {
        self.nodes.resize_with(self.cx.boxes.len() - NODES, Node::default);
        while let Some((to, note)) = self.cx.next() {
            match to {
                FRONT => self.front.act(note, &mut self.cx),
                JUDGE => self.judge.act(note, &mut self.cx),
                SCOUT => self.scout.act(note, &mut self.cx),
                _ => self.nodes[to - NODES].act(note, &mut self.cx),
            }
        }
    }
}

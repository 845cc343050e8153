//! Canary analysis: gathers the evidence on both arms.

use super::*;

/// Interval at which all records are halved.
pub const HALVE: Duration = ms(5000);
/// Interval at which counts are sent to peers, and the age beyond which received ones are ignored.
const PEER_COUNTS_TIMES: [Duration; 2] = [ms(1000), ms(3200)];
/// A node counts as failing on its own beyond this multiple of its arm's error rate.
const OUTLIER_MULTIPLE: f64 = 2.0;

impl CanaryAnalysis {
    /// Handles one message.
    pub fn act(&mut self, note: Message, cx: &mut Context) {
        match note {
            Message::NodeStatus(card) => {
                self.listed(&card, cx);
                self.newer(if card.ready { card.entry.build } else { 0 });
            }
            Message::PickEnded { outcome, .. } if outcome.never_ran() || outcome == Outcome::Cancelled => {}
            Message::PickEnded { entry, method, at, outcome, took } => {
                let Some(book) = self.books.get_mut(entry.node).filter(|b| b.is(&entry)) else { return };
                let (soft, ok) = (cx.law.duties[method].soft, outcome == Outcome::Ok);
                let (slot, kind) = (self.seen.slot(method), book.entry.kind);
                let ledger = book.at(method, slot);
                if matches!(outcome, Outcome::Ok | Outcome::Error) {
                    ledger.sound.add(Tally::one(ok), 1.0);
                }
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Garbled) {
                    ledger.whole.add(Tally::one(outcome != Outcome::Garbled), 1.0);
                }
                if at >= self.relieved && !young(&entry, at) {
                    ledger.paid.add(Tally::one(ok && took <= soft), 1.0);
                    let bin = bin(took / soft);
                    ledger.times[bin] += Tally::one(ok).good;
                    let calm = self.before.get(kind, slot);
                    // The latency of a failed pick, or of a node on trial, tells nothing about a slowdown of
                    // the older arm.
                    let erred = matches!(outcome, Outcome::Error | Outcome::Garbled);
                    let asked = entry.build < self.newest && !erred;
                    let edge = calm.edge(QUICK_PART, LEAST_SAMPLE / 3.0).filter(|_| asked);
                    if let Some(edge) = edge {
                        self.strain.book(at, slot, Tally::one(ok && bin <= edge));
                    }
                }
            }
            Message::CongestionRelief => {
                // Congestion in the last stage: the latencies so far were measured at a different load and no
                // longer apply.
                self.relieved = cx.now;
                let all = self.books.iter_mut().flat_map(NodeRecord::ledgers).chain(self.past.iter_mut());
                all.for_each(OutcomeStats::forget_lateness);
            }
            Message::ErrorExcused { entry, method, at } => {
                let book = self.books.get_mut(entry.node).filter(|b| b.is(&entry));
                book.and_then(|b| b.known(method)).into_iter().for_each(|l| l.excuse(young(&entry, at)));
            }
            Message::Event(Event::Disputed { node, method, age }) => {
                let book = self.books.get_mut(node).filter(|b| cx.age(&b.entry) > age);
                book.and_then(|b| b.known(method)).into_iter().for_each(OutcomeStats::dispute);
            }
            Message::Event(Event::Sums { build, picks, failed, age, .. }) if build <= self.newest => {
                let sum = Tally { n: picks.into(), good: picks.saturating_sub(failed).into() };
                let whole = build == self.newest && cx.now >= self.manned + age;
                self.tried += if whole { sum.n } else { 0.0 };
                self.sums[usize::from(build != self.newest)].add(sum, 1.0);
            }
            Message::Event(Event::Peer { from, text }) => {
                let Some((build, abstains, level, pairs)) = read_pairs(&text) else { return };
                let Some(place) = self.place(from, level, &cx.law) else { return };
                self.hear((level, place), (cx.now, build, pairs));
                self.strain.joined |= abstains && build == self.newest; // All marshals abstain together.
            }
            Message::Event(event) => {
                let Some((news, reply)) = RolloutStatus::read(cx, &event) else { return };
                if let Some(cast) = self.cast.as_mut().filter(|_| reply != VoteReply::Unasked) {
                    cast.2 = reply;
                }
                if matches!(reply, VoteReply::Unasked | VoteReply::Counts) {
                    self.newer(news.build);
                    self.news = Some(news);
                }
            }
            Message::Tick if cx.now >= self.looked + EVALUATION_INTERVAL => self.look(cx),
            _ => {}
        }
    }

    /// Starts the trial of a newer build. The record of the previous one becomes the older arm's if that was
    /// released, and is discarded otherwise.
    fn newer(&mut self, build: Build) {
        if build <= self.newest {
            return;
        }
        let released = self.news.is_none_or(|n| n.build == self.newest && n.course == Course::Released);
        if released {
            self.past.clear();
        }
        self.arm(released, true, false);
        self.before = std::mem::take(&mut self.arms)[usize::from(released)].sums.clone();
        let void =
            |b: &&mut NodeRecord| b.entry.build == build || (b.entry.build == self.newest && !released);
        self.books.iter_mut().filter(void).for_each(NodeRecord::clear);
        self.newest = build;
        self.sums = ArmPair::default();
        self.strain = AbstentionTest::default();
        self.places = self.older(build);
    }

    /// StatsTable up an arm by kind and method, without the quarter of its nodes that failed most: trouble at a few
    /// nodes convicts no build. With `few` nodes on trial, they are compared with the older arm's worst
    /// quarter instead. `past` includes the nodes that are gone. Returns the number of the arm's nodes.
    fn arm(&mut self, new: bool, past: bool, few: bool) -> usize {
        let mine = |b: &&NodeRecord| b.ready && (b.entry.build == self.newest) == new;
        let faults = |b| (NodeRecord::faults(b), b);
        let mut books: Vec<(f64, &NodeRecord)> = self.books.iter().filter(mine).map(faults).collect();
        let quarter = books.len() / 4;
        books.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.entry.node.cmp(&b.1.entry.node)));
        // A node's errors are its own only beyond the rate of its whole arm: those of a single node in an
        // arm, or of bad RPCs, are not.
        let mut total = ArmPair::default();
        books.iter().for_each(|b| join(&mut total, &b.1.sums()));
        let normal =
            |own: &Tally, all: &Tally| own.missed() <= 1.0 + OUTLIER_MULTIPLE * own.n * (1.0 - all.mean());
        let usual = |b: &NodeRecord| b.sums().iter().zip(&total).all(|(own, all)| normal(own, all));
        let stays =
            |i: usize, b: &NodeRecord| if few { i < quarter.max(1) } else { i >= quarter || usual(b) };
        let kept = books.iter().enumerate().filter(|(i, b)| b.1.used() && stays(*i, b.1));
        let kept: Vec<&NodeRecord> = kept.map(|(_, b)| b.1).collect();
        self.arms[usize::from(new)].sum(past.then_some(&self.past), &kept);
        books.len()
    }

    /// Whether the newest build is released or runs on nearly the whole fleet, and so is compared with the
    /// record from before its trial.
    pub fn alone(&self) -> bool {
        let released = self.news.is_some_and(|n| n.build == self.newest && n.course == Course::Released);
        released || 4 * self.ready(false) < self.ready(true)
    }

    /// Collects the evidence of this marshal as a pair per question (payoff, soundness by method, pace,
    /// corrupt answers, slowdown by method), and the number of nodes on trial.
    fn own_pairs(&mut self, cx: &Context) -> (Vec<ArmPair>, usize) {
        let (nodes, alone) = (self.arm(true, false, false), self.alone());
        if !alone {
            self.arm(false, true, nodes < 4);
        }
        let [old, new] = [if alone { &self.before } else { &self.arms[0].sums }, &self.arms[1].sums];
        let count = self.seen.len();
        let mut pairs = vec![ArmPair::default(); count + 3];
        let [off, on] = [&self.strain.off, &self.strain.lately];
        let strain = |slot| [off, on].map(|t| t.get(slot).copied().unwrap_or_default());
        pairs.extend(self.seen.iter().map(|(_, slot)| strain(slot)));
        for (at, method, n, o) in self.seen.cells(new, old) {
            join(&mut pairs[0], &[n.paid, o.paid]);
            join(&mut pairs[count + 2], &[n.whole, o.whole]);
            // Without an older arm, nothing tells whether the errors of methods that are not repeated come
            // from bad RPCs.
            if !alone || cx.law.repeatable(method) {
                join(&mut pairs[1 + at], &[n.sound, o.sound]);
            }
            if let Some(edge) = o.edge(QUICK_PART, LEAST_SAMPLE) {
                join(&mut pairs[count + 1], &[n.upto(edge), o.upto(edge)]);
            }
        }
        (pairs, nodes)
    }

    /// Ages the records, tells dispatch which arm comes first, exchanges counts with peers, and votes.
    fn look(&mut self, cx: &mut Context) {
        self.looked = cx.now;

        if cx.now >= self.halved + HALVE {
            self.halved = cx.now;
            self.halve();
        }
        if cx.now >= self.renewed + PAYOFF_HALVING_INTERVAL {
            self.renewed = cx.now;
            self.books.iter_mut().flat_map(NodeRecord::ledgers).for_each(|l| l.paid.add(l.paid, -0.5));
            self.past.iter_mut().for_each(|l| l.paid.add(l.paid, -0.5));
        }
        let (mut pairs, nodes) = self.own_pairs(cx);
        let (new_first, starved) = (index(pairs[0][0]) >= index(pairs[0][1]), self.strain.since.is_some());
        cx.put(DISPATCHER, Message::ArmOrder { newest: self.newest, new_first, starved });
        // A vote rests on own evidence, the controller's counts, and recent counts of peers. At level k a
        // marshal sends the sums over the ring^k marshals up to itself to ring - 1 others, so that each
        // marshal is counted once.
        let due = cx.now >= self.told + PEER_COUNTS_TIMES[0]
            || starved != std::mem::replace(&mut self.said, starved);
        let tell = due && self.tells(&cx.law);
        for level in 0..self.levels {
            let span = self.ring.pow(level);
            if tell && pairs.iter().any(|p| p[0].n >= 1.0) {
                self.told = cx.now;
                let text = write_pairs(self.newest, starved, level, &self.whole(&pairs));
                let to = (1..self.ring).map(|j| Some((cx.law.marshal + j * span) % cx.law.crowd));
                cx.out.extend(to.map(|to| Action::Tell { to, text: text.clone() }));
            }
            for (at, build, theirs) in self.heard.range((level, 0)..(level + 1, 0)).map(|h| h.1) {
                if *build == self.newest && cx.now < *at + PEER_COUNTS_TIMES[1] {
                    self.join(&mut pairs, theirs);
                }
            }
        }
        // The controller's counts include refusals by full nodes as failures: they are evidence of payoff,
        // not soundness.
        join(&mut pairs[0], &self.sums);
        self.vote(pairs, nodes, cx);
    }
}

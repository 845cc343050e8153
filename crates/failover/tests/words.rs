//! Hand-written message sequences to one marshal, one for each rule that keeps two leaders from leasing the
//! same capacity.

use std::time::Duration;

use ivydrift_failover::message::{Instruction, Message, ZoneReport};
use ivydrift_failover::observation::{AggregatedObservation, Observation};
use ivydrift_failover::{Failover, MemberIndex, Out, Site, Snapshot, TICK_INTERVAL};
use ivydrift_leases::message::{Lease, Report};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One marshal under test. Zone 0 has marshals 0 to 3, zone 1 has 4 and 5.
struct Harness {
    failover: Failover,
    now: u64,
    /// Power of each zone's ready nodes, and the busy fraction of zone 0.
    power: [f32; 2],
    busy: f32,
    absent: Vec<MemberIndex>,
}

/// The order that all marshals agree on, found by checking which one leads when the earlier ones are absent.
fn marshal_order() -> Vec<MemberIndex> {
    let mut all = Vec::new();
    while all.len() < 4 {
        let next = (0..4).find(|n| {
            let mut harness = Harness::new(*n, 0);
            harness.absent = all.clone();
            !all.contains(n) && harness.tick().iter().all(|(_, m)| !matches!(m, Message::Up(_)))
        });
        all.push(next.expect("one marshal leads"));
    }
    all
}

impl Harness {
    fn new(me: MemberIndex, now: u64) -> Harness {
        let marshals = vec![vec![0, 1, 2, 3], vec![4, 5]];
        let (distance, warm) = (vec![0, 1], Duration::from_secs(5));
        let site = Site { me, life: 7, zone: 0, marshals, distance, warm, fan_out: 16 };
        let failover = Failover::new(site, at(now)).expect("the configuration is valid");
        Harness { failover, now, power: [10.0, 10.0], busy: 0.5, absent: vec![] }
    }

    fn observation(&self, zone: usize) -> Observation {
        let (capacity, busy) = (self.power[zone], Some(if zone == 0 { self.busy } else { 0.2 }));
        Observation {
            capacity,
            cost: Some(0.1),
            busy,
            answered_fraction: None,
            sent: if zone == 0 { 50.0 } else { 0.0 },
        }
    }

    /// Messages that it sends at its next tick.
    fn tick(&mut self) -> Vec<(MemberIndex, Message)> {
        self.now += TICK_INTERVAL.as_millis() as u64;
        let snapshot = Snapshot { demand: 50.0, zones: vec![self.observation(0), self.observation(1)] };
        let absent = &self.absent;
        let outs = self.failover.tick(at(self.now), &snapshot, &|n| !absent.contains(&n));
        let read = |out| match out {
            Out::Send { to, bytes } => Some((to, Message::read(&bytes).expect("the message decodes"))),
            Out::Log(_) => None,
        };
        outs.into_iter().filter_map(read).collect()
    }

    fn receive(&mut self, from: MemberIndex, message: &Message) {
        self.failover.receive(at(self.now), from, &message.write());
    }

    fn report_message(&self, echo: u64, voices: u16, holds: u32, demand: f32) -> Message {
        let observation = |z| {
            AggregatedObservation::of(&Observation {
                sent: if z == 0 { demand } else { 0.0 },
                ..self.observation(z)
            })
        };
        let observations = vec![observation(0), observation(1)];
        let (stamp, promise) = (self.now, 3500);
        let body = ZoneReport { demand, sights: observations };
        Message::Up(Report { life: 9, stamp, echo, of: 7, promise, voices, holds, body })
    }

    fn ask(&mut self, wish: f32) {
        let (life, stamp) = (3, self.now);
        self.receive(4, &Message::Ask { life, stamp, zone: 1, wish, using: 0.0, holds: 0 });
    }

    fn grant(&mut self, version: u32, rate: f32) {
        let (echo, valid) = (self.now, 2500);
        let granter = if self.asked_marshal() == 5 { 5 } else { 4 };
        self.receive(granter, &Message::Grant { echo, of: 7, zone: 1, version, rate, valid });
    }

    /// The marshal that it asks for spare capacity.
    fn asked_marshal(&mut self) -> MemberIndex {
        let outs = self.tick();
        outs.iter().find(|(_, m)| matches!(m, Message::Ask { .. })).map_or(0, |o| o.0)
    }
}

fn granted_rate(outs: &[(MemberIndex, Message)]) -> f32 {
    let rate = |m: &Message| if let Message::Grant { rate, .. } = m { Some(*rate) } else { None };
    outs.iter().find_map(|(_, m)| rate(m)).unwrap_or(0.0)
}

fn lease_sent(outs: &[(MemberIndex, Message)]) -> Option<(u32, f32)> {
    let lease = |m: &Message| {
        if let Message::Down(Lease { version, rates, .. }) = m {
            Some((*version, rates[1]))
        } else {
            None
        }
    };
    outs.iter().find_map(|(_, m)| lease(m))
}

fn votes_sent(outs: &[(MemberIndex, Message)]) -> Option<u16> {
    let wire_value =
        |m: &Message| if let Message::Up(Report { voices, .. }) = m { Some(*voices) } else { None };
    outs.iter().find_map(|(_, m)| wire_value(m))
}

/// The leader's answer to the child's last report.
fn leader_answer(harness: &Harness, child_stamp: u64) -> Message {
    let (stamp, echo) = (harness.now, child_stamp);
    let rates = vec![0.0, 0.0];
    Message::Down(Lease {
        life: 8,
        stamp,
        echo,
        of: 7,
        version: 1,
        valid: 1000,
        rates,
        body: Instruction::default(),
    })
}

#[test]
fn a_vote_counts_from_the_echoed_stamp_and_only_if_it_outlasts_its_use() {
    let first = marshal_order()[0];
    let child = marshal_order()[1];
    // Spare capacity is (0.8 - 0.5) of 10 nodes at 0.1 s per RPC, 30 RPCs/s: a quarter of it for each of the
    // zone's four votes.
    for (ago, expected) in [(250, 15.0), (700, 15.0), (1500, 7.5), (3400, 7.5)] {
        let mut harness = Harness::new(first, 0);
        harness.now = 20_000;
        harness.tick();
        let echo = harness.now - ago;
        let up = harness.report_message(echo, 1, 0, 0.0);
        harness.receive(child, &up);
        harness.ask(100.0);
        let rate = granted_rate(&harness.tick());
        assert!((rate - expected).abs() < 0.1, "a vote that echoes a time stamp {ago} ms old: {rate} leased");
    }
}

#[test]
fn a_new_life_neither_votes_nor_leases_until_earlier_votes_have_expired() {
    let marshal_order = marshal_order();
    let mut child = Harness::new(marshal_order[2], 0);
    while child.now < 9000 {
        let outs = child.tick();
        let votes_given = votes_sent(&outs).expect("it reports to its leader");
        assert!(votes_given == 0 || child.now >= 7000, "{votes_given} votes at {}", child.now);
        assert!(votes_given == 1 || child.now < 7500, "none at {}", child.now);
        let answer = leader_answer(&child, child.now);
        child.receive(marshal_order[0], &answer);
    }
    let mut leader = Harness::new(marshal_order[0], 0);
    while leader.now < 9000 {
        let up = leader.report_message(leader.now.max(1), 1, 0, 0.0);
        leader.receive(marshal_order[1], &up);
        leader.ask(100.0);
        let rate = granted_rate(&leader.tick());
        assert!(rate == 0.0 || leader.now >= 7000, "{rate} leased at {}", leader.now);
    }
    assert!(
        granted_rate(&{
            leader.ask(100.0);
            leader.tick()
        }) > 0.0
    );
}

#[test]
fn a_leader_gives_its_vote_away_only_after_its_grants_have_expired() {
    let marshal_order = marshal_order();
    let mut harness = Harness::new(marshal_order[1], 0);
    harness.absent = vec![marshal_order[0]];
    harness.now = 20_000;
    harness.ask(100.0);
    assert!(granted_rate(&harness.tick()) > 0.0, "alone it is the leader");
    let leased_at = harness.now;
    harness.absent.clear();
    while harness.now < leased_at + 4000 {
        let outs = harness.tick();
        let votes_given = votes_sent(&outs).expect("it reports to the other");
        assert!(
            votes_given == 0 || harness.now >= leased_at + 2500,
            "{votes_given} votes {} ms after it leased",
            harness.now - leased_at
        );
        let answer = leader_answer(&harness, harness.now);
        harness.receive(marshal_order[0], &answer);
    }
    assert_eq!(votes_sent(&harness.tick()), Some(1));
}

/// A leader whose zone has lost its nodes, with a child that reports to it.
fn leader_of_failed_zone(now: u64) -> (Harness, MemberIndex) {
    let marshal_order = marshal_order();
    let mut harness = Harness::new(marshal_order[0], now);
    harness.power[0] = 0.0;
    (harness, marshal_order[1])
}

#[test]
fn a_new_life_leases_nothing_out_while_earlier_leases_may_be_in_use() {
    let (mut harness, child) = leader_of_failed_zone(0);
    let mut leases_sent = 0;
    while harness.now < 4000 {
        let up = harness.report_message(0, 0, 0, 50.0);
        harness.receive(child, &up);
        let asked = harness.now;
        harness.grant(1 + harness.now as u32, 60.0);
        let outs = harness.tick();
        if lease_sent(&outs).is_some_and(|d| d.1 > 0.0) {
            assert!(harness.now >= 2000, "leased at {}, asked at {asked}", harness.now);
            leases_sent += 1;
        }
    }
    assert!(leases_sent > 0);
}

#[test]
fn a_smaller_grant_is_confirmed_only_once_the_subtree_keeps_to_it() {
    let (mut harness, child) = leader_of_failed_zone(0);
    let (mut confirmed_version, mut max_lease) = (0, 0.0f32);
    let holds = |outs: &[(MemberIndex, Message)]| {
        let wire_value = |m: &Message| if let Message::Ask { holds, .. } = m { Some(*holds) } else { None };
        outs.iter().find_map(|(_, m)| wire_value(m))
    };
    while harness.now < 6000 {
        let up = harness.report_message(0, 0, confirmed_version, 50.0);
        harness.receive(child, &up);
        harness.grant(harness.now as u32, 60.0);
        let lease = lease_sent(&harness.tick());
        (confirmed_version, max_lease) =
            lease.map_or((confirmed_version, max_lease), |d| (d.0, max_lease.max(d.1)));
    }
    assert!(max_lease > 20.0, "{max_lease}");
    // The child is silent from here on: it may use its half of the 60 until that lease expires.
    let smaller = harness.now as u32;
    harness.grant(smaller, 6.0);
    let from = harness.now;
    let mut confirmed = None;
    while harness.now < from + 3000 {
        let outs = harness.tick();
        if holds(&outs) == Some(smaller) {
            confirmed.get_or_insert(harness.now - from);
        }
    }
    assert!(confirmed.is_none_or(|after| after >= 1000), "confirmed after {confirmed:?} ms");
}

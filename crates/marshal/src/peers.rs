//! Membership among the marshals: which others are present, and what this one publishes about itself.

use std::time::Duration;

use ivydrift_commons::level::{Level, LevelRange, SUPPORTED};
use ivydrift_commons::sections::{Sections, LEVELS, PROGRAM};
use ivydrift_members::{Action, Input, Members, State, Timing};
use ivydrift_terms::Config;
use ivydrift_wire::peer::{self, Kind, PeerStatus, Row, View, ViewExtension};

use crate::Command;

/// Minimum interval between updates of this marshal's record.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Validity of the sections with the protocol levels and the program name: in effect as long as the marshal
/// is present, whichever peer relays the record.
const SECTION_VALIDITY: Duration = Duration::from_secs(24 * 3600);
/// Maximum length of a program name, in bytes.
const MAX_PROGRAM_NAME_BYTES: usize = 40;

// Membership must carry a record whose sections are full.
const _: () = assert!(ivydrift_commons::sections::RECORD_BYTES <= ivydrift_members::message::RECORD_BYTES);

/// This marshal's side of the membership protocol.
pub struct Peers {
    members: Members,
    number: u16,
    count: u16,
    own_sections: Sections,
    level: Level,
    begun: Duration,
    last_published: Duration,
    /// RPCs accepted up to `last_published`.
    rpcs_at_publish: u64,
}

impl Peers {
    /// Returns `None` where the config allows no peers. `life` increases with each start; `program` is the
    /// name of this program.
    pub fn new(config: &Config, program: &str, life: u64, now: Duration) -> Option<Self> {
        if !config.rollout.limits.peers || config.addresses.peers.is_empty() {
            return None;
        }
        let (number, count) = (config.rollout.marshal as u16, config.addresses.peers.len() as u16);
        let members = Members::new(number, count, life, config.rollout.seed ^ life, now, Timing::default());
        let mut own_sections = Sections::default();
        // Cannot fail: both are far below the size limits of sections and records.
        let _ = own_sections.put(LEVELS, SECTION_VALIDITY, &SUPPORTED.encode(), 0);
        let _ = own_sections.put(
            PROGRAM,
            SECTION_VALIDITY,
            program.as_bytes().get(..MAX_PROGRAM_NAME_BYTES).unwrap_or(program.as_bytes()),
            0,
        );
        let (last_published, level) = (Duration::ZERO, Level::default());
        Some(Peers {
            members,
            number,
            count,
            own_sections,
            level,
            begun: now,
            last_published,
            rpcs_at_publish: 0,
        })
    }

    /// Takes the number of marshals from a new config.
    pub fn resize(&mut self, config: &Config) {
        self.count = config.addresses.peers.len() as u16;
        self.members.resize(self.count);
    }

    pub fn next_tick(&self) -> Duration {
        self.members.next_tick_at()
    }

    /// `about`: this marshal's record without its RPC rate; `rpcs_accepted`: RPCs accepted since the start.
    pub fn tick(
        &mut self, now: Duration, about: impl Fn() -> PeerStatus, rpcs_accepted: u64,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if now >= self.last_published + PUBLISH_INTERVAL {
            let span = now.saturating_sub(self.last_published.max(self.begun)).as_secs_f64().max(0.001);
            let rate = (rpcs_accepted.saturating_sub(self.rpcs_at_publish) as f64 / span) as f32;
            (self.last_published, self.rpcs_at_publish) = (now, rpcs_accepted);
            // First the fields of the first program version, then the sections; together far below the record
            // size limit.
            let _ = self.members.publish(
                [peer::serialize(&PeerStatus { rate, ..about() }), self.own_sections.encode()].concat(),
            );
            commands.extend(self.update_level(now));
        }
        let actions =
            if now >= self.members.next_tick_at() { self.members.handle(now, Input::Tick) } else { vec![] };
        commands.extend(self.commands(actions));
        commands
    }

    /// Updates the protocol level that all present marshals have in common, from their records.
    fn update_level(&mut self, now: Duration) -> Option<Command> {
        let unknown = LevelRange { least: 0, most: self.level.get() };
        let others = self.members.members(now).filter(|v| v.number != self.number && v.state.is_present());
        // A marshal whose record has not arrived yet neither raises nor lowers the level.
        let level_range =
            |v: ivydrift_members::MemberView| v.record.map_or(unknown, |r| protocol_levels(r.0, r.2));
        let (level, was_apart) = (self.level.get(), self.level.is_incompatible());
        let changed = self.level.step(now, others.map(level_range));
        if self.level.is_incompatible() && !was_apart {
            let line = "a marshal is present that has no protocol level in common with this one";
            return Some(Command::Log(line.to_owned()));
        }
        changed.then(|| Command::Log(format!("protocol level: {level} to {}", self.level.get())))
    }

    pub fn receive(&mut self, now: Duration, from: u16, bytes: &[u8]) -> Vec<Command> {
        let actions = self.members.handle(now, Input::Received { from, bytes });
        self.commands(actions)
    }

    pub fn leave(&mut self, now: Duration) -> Vec<Command> {
        let actions = self.members.leave(now);
        self.commands(actions)
    }

    fn commands(&self, actions: Vec<Action>) -> Vec<Command> {
        let command = |action| match action {
            Action::Send { to, bytes } => {
                let datagram = peer::write(Kind::Members, self.number, &bytes)?;
                Some(Command::Tell { to: to.into(), datagram })
            }
            Action::StateChanged { number, from, to, life } => {
                let (from, to) = (from.word(), to.word());
                Some(Command::Log(format!("marshal {number}: {from} to {to}, life {life}")))
            }
        };
        actions.into_iter().filter_map(command).collect()
    }

    /// Numbers of the marshals that have been dead, or have left, for at least `after`.
    pub fn dead(&self, now: Duration, after: Duration) -> Vec<usize> {
        let gone = |v: &ivydrift_members::MemberView| matches!(v.state, State::Dead | State::Left);
        let long = self.members.members(now).filter(|v| gone(v) && v.in_state_for >= after);
        long.map(|v| v.number.into()).collect()
    }

    /// One page of this marshal's view of the membership, from row `first`, and the sections of the same
    /// rows.
    pub fn view(&self, now: Duration, first: u16) -> (View, ViewExtension) {
        let ms = |span: Duration| span.as_millis() as u64;
        let row = |v: ivydrift_members::MemberView| Row {
            number: v.number,
            state: v.state.word().to_owned(),
            life: v.life,
            since: ms(v.in_state_for),
            heard: v.heard_ago.map(ms),
            about: v.record.and_then(|(bytes, _, age)| Some((peer::deserialize(bytes)?, ms(age)))),
        };
        let age = now.saturating_sub(self.begun).as_secs_f64().max(0.001);
        let shown = || self.members.members(now).skip(first.into()).take(peer::ROWS_PER_PAGE);
        let sections_of = |v: ivydrift_members::MemberView| {
            let (bytes, _, age) = v.record?;
            let sections = sections(bytes)?;
            let program = sections.get(PROGRAM, age).map(|s| String::from_utf8_lossy(&s.bytes).into_owned());
            Some((protocol_levels(bytes, age).most, program.unwrap_or_default()))
        };
        let rows = shown().map(sections_of).collect();
        let more = ViewExtension { level: self.level.get(), apart: self.level.is_incompatible(), rows };
        let view = View {
            number: self.number,
            of: self.count,
            first,
            doubt: self.members.health_multiplier() as u8,
            sent: (self.members.traffic().sent_bytes as f64 / age) as f32,
            rows: shown().map(row).collect(),
        };
        (view, more)
    }
}

/// The sections that follow the fields of a record; `None` from a program version that writes none.
fn sections(record: &[u8]) -> Option<Sections> {
    Sections::decode(peer::deserialize_prefix::<PeerStatus>(record)?.1)
}

fn protocol_levels(record: &[u8], age: Duration) -> LevelRange {
    let sections = sections(record);
    LevelRange::decode(sections.as_ref().and_then(|s| s.get(LEVELS, age)).map(|s| &s.bytes[..]))
}

#[cfg(test)]
mod tests {
    use super::*;
    use ivydrift_members::message::RECORD_BYTES;
    use ivydrift_terms::{parse, EXAMPLE};

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn about() -> PeerStatus {
        PeerStatus { zone: 1, region: 0, rate: 12.5, ready: 9 }
    }

    /// A marshal of this program version, and one of the earlier version, whose records have no sections.
    struct MixedVersions {
        new: Peers,
        old: Members,
        now: Duration,
        /// The old marshal is running.
        old_running: bool,
    }

    impl MixedVersions {
        fn new() -> MixedVersions {
            let mut config = parse("edge.hcl", EXAMPLE).unwrap();
            (config.rollout.limits.peers, config.rollout.marshal) = (true, 0);
            config.addresses.peers = (0..2).map(|n| ([127, 0, 0, 1], 7100 + n).into()).collect();
            let new = Peers::new(&config, "0.1.0-0123abcd", 5, ms(0)).unwrap();
            let old = Members::new(1, 2, 7, 3, ms(0), Timing::default());
            MixedVersions { new, old, now: ms(0), old_running: true }
        }

        fn run(&mut self, span: Duration) {
            let end = self.now + span;
            while self.now < end {
                self.now += ms(25);
                let mut commands = self.new.tick(self.now, about, 0);
                let mut actions = vec![];
                if self.old_running {
                    self.old.publish(peer::serialize(&about())).unwrap();
                    actions = if self.now >= self.old.next_tick_at() {
                        self.old.handle(self.now, Input::Tick)
                    } else {
                        vec![]
                    };
                }
                for _ in 0..4 {
                    let theirs = std::mem::take(&mut actions);
                    for command in std::mem::take(&mut commands) {
                        let Command::Tell { datagram, .. } = command else { continue };
                        let (kind, from, bytes) = peer::read(&datagram).unwrap();
                        assert_eq!(
                            (kind, from),
                            (Kind::Members, 0),
                            "a datagram that the earlier version does not know"
                        );
                        if self.old_running {
                            actions.extend(self.old.handle(self.now, Input::Received { from: 0, bytes }));
                        }
                    }
                    for out in theirs {
                        if let Action::Send { bytes, .. } = out {
                            commands.extend(self.new.receive(self.now, 1, &bytes));
                        }
                    }
                }
            }
        }
    }

    #[test]
    fn the_earlier_version_reads_our_fields_relays_our_sections_and_holds_the_level_down() {
        let mut versions = MixedVersions::new();
        versions.run(ms(60_000));
        let seen = versions.old.members(versions.now).find(|v| v.number == 0).unwrap();
        let (record, ..) = seen.record.unwrap();
        let ours = PeerStatus { rate: 0.0, ..about() };
        assert_eq!(
            (seen.state, peer::deserialize::<PeerStatus>(record)),
            (State::Alive, Some(ours)),
            "as the earlier version reads them"
        );
        assert!(record.len() <= RECORD_BYTES);
        let carried = sections(record).unwrap();
        assert_eq!(carried.get(PROGRAM, ms(0)).map(|s| &s.bytes[..]), Some(&b"0.1.0-0123abcd"[..]));
        let (view, more) = versions.new.view(versions.now, 0);
        assert_eq!(
            view.rows[1].about.as_ref().map(|a| a.0.clone()),
            Some(about()),
            "this version reads the record of the earlier one"
        );
        assert_eq!((more.level, &more.rows[1]), (0, &None));
        assert_eq!(more.rows[0], Some((1, "0.1.0-0123abcd".into())));
        // The old marshal stops: the level rises once it has been absent for long, and falls when it returns.
        versions.old_running = false;
        versions.run(ms(25_000));
        assert_eq!(versions.new.view(versions.now, 0).1.level, 0);
        versions.run(ms(25_000));
        assert_eq!(versions.new.view(versions.now, 0).1.level, 1);
        (versions.old_running, versions.old) =
            (true, Members::new(1, 2, 8, 4, versions.now, Timing::default()));
        versions.run(ms(10_000));
        assert_eq!(versions.new.view(versions.now, 0).1.level, 0);
    }
}

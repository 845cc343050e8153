//! Protocol level of a fleet in which several program versions run side by side: the highest level that all
//! present members support. It drops as soon as a member appears that supports less, and rises only after no
//! such member has been present for a while.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The lowest and highest levels that this program supports. Records have no sections at level 0; they have
/// sections at level 1.
pub const SUPPORTED: LevelRange = LevelRange { least: 0, most: 1 };
/// How long no member of a lower level may be present before the level rises. It is longer than a restart
/// takes, from the time a marshal is declared dead until it is back, so that restarting an old member does
/// not raise and lower the level.
pub const RAISE_DELAY: Duration = Duration::from_secs(30);

/// The range of levels that a program supports, as published in section [`crate::sections::LEVELS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRange {
    /// Lowest supported level.
    pub least: u8,
    /// Highest supported level.
    pub most: u8,
}

/// Range of a program that publishes none: such programs predate sections.
const UNANNOUNCED: LevelRange = LevelRange { least: 0, most: 0 };

impl LevelRange {
    /// Encodes the range for its section.
    pub fn encode(self) -> Vec<u8> {
        vec![self.least, self.most]
    }

    /// Decodes a section; if it is absent or malformed, the program supports only the first level.
    pub fn decode(bytes: Option<&[u8]>) -> LevelRange {
        match bytes {
            Some([least, most, ..]) if least <= most => LevelRange { least: *least, most: *most },
            _ => UNANNOUNCED,
        }
    }
}

/// The protocol level currently in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Level {
    current: u8,
    /// The higher level that all present members support, and since when.
    pending: Option<(u8, Duration)>,
    /// A member is present with which we have no level in common.
    incompatible: bool,
}

impl Default for Level {
    /// No other member is known yet: the lowest level that this program supports.
    fn default() -> Self {
        Level { current: SUPPORTED.least, pending: None, incompatible: false }
    }
}

impl Level {
    /// The level to use.
    pub fn get(&self) -> u8 {
        self.current
    }

    /// Whether a member is present that supports none of our levels.
    pub fn is_incompatible(&self) -> bool {
        self.incompatible
    }

    /// Recomputes the level; true if it changed. `present`: the ranges of the other members that are present.
    pub fn step(&mut self, now: Duration, present: impl Iterator<Item = LevelRange>) -> bool {
        let mut common_range = SUPPORTED;
        for other in present {
            (common_range.least, common_range.most) =
                (common_range.least.max(other.least), common_range.most.min(other.most));
        }
        self.incompatible = common_range.least > common_range.most;
        let (before, common_level) = (self.current, common_range.most);
        if common_level <= self.current {
            (self.current, self.pending) = (common_level, None);
        } else {
            // A drop of the common level restarts the wait; an equal or higher common level does not.
            let since = self.pending.filter(|h| h.0 <= common_level).map_or(now, |h| h.1);
            self.pending = Some((common_level, since));
            if now >= since + RAISE_DELAY {
                (self.current, self.pending) = (common_level, None);
            }
        }
        self.current != before
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD_PROGRAM: LevelRange = UNANNOUNCED;

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    #[test]
    fn the_level_rises_after_the_delay_and_drops_at_once() {
        let mut level = Level::default();
        for s in 0..100 {
            assert!(!level.step(at(s), [SUPPORTED, OLD_PROGRAM].into_iter()));
        }
        for s in 100..130 {
            assert!(!level.step(at(s), [SUPPORTED, SUPPORTED].into_iter()), "{s}");
        }
        assert!(level.step(at(130), [SUPPORTED, SUPPORTED].into_iter()));
        assert_eq!(level.get(), 1);
        assert!(level.step(at(131), [OLD_PROGRAM].into_iter()));
        assert_eq!((level.get(), level.is_incompatible()), (0, false));
    }

    #[test]
    fn a_repeatedly_restarted_old_member_keeps_the_level_down() {
        let mut level = Level::default();
        for s in 0..600 {
            let old = (s % 20 < 3).then_some(OLD_PROGRAM);
            level.step(at(s), [SUPPORTED].into_iter().chain(old));
            assert_eq!(level.get(), 0, "{s}");
        }
    }

    #[test]
    fn a_later_program_raises_the_level_only_to_ours_and_incompatibility_is_reported() {
        let mut level = Level::default();
        let later = LevelRange { least: 1, most: 7 };
        for s in 0..=30 {
            level.step(at(s), [later].into_iter());
        }
        assert_eq!((level.get(), level.is_incompatible()), (1, false));
        level.step(at(31), [LevelRange { least: 3, most: 7 }].into_iter());
        assert!(level.is_incompatible());
    }

    #[test]
    fn a_malformed_section_means_the_first_level() {
        for bytes in [None, Some(&[][..]), Some(&[3][..]), Some(&[3, 1][..])] {
            assert_eq!(LevelRange::decode(bytes), OLD_PROGRAM);
        }
        assert_eq!(LevelRange::decode(Some(&[1, 4, 9, 9])), LevelRange { least: 1, most: 4 });
    }
}

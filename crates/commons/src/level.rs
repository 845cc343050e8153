//! The level of speech of a fleet in which several programs run side by side: the lowest of those present. It goes down
//! the moment that one comes who speaks less, and up only once none such has been present for a while.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The highest level that this program speaks, and the lowest. At 0 records have no sections; at 1 they have.
pub const SPOKEN: Speech = Speech { least: 0, most: 1 };
/// For so long nobody may be present who speaks less, before the level goes up. Longer than a marshal takes to be told
/// dead and to come back after a restart: an old one that is restarted brings nothing up and down again.
pub const HOLD: Duration = Duration::from_secs(30);

/// What a program speaks, in the section of that name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speech {
    pub least: u8,
    pub most: u8,
}

/// What a program spoke that says nothing of it: there were no sections then.
const FIRST: Speech = Speech { least: 0, most: 0 };

impl Speech {
    pub fn write(self) -> Vec<u8> {
        vec![self.least, self.most]
    }

    /// What a section says; a program that says nothing, or nothing that can be read, speaks the first level.
    pub fn read(bytes: Option<&[u8]>) -> Speech {
        match bytes {
            Some([least, most, ..]) if least <= most => Speech { least: *least, most: *most },
            _ => FIRST,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Level {
    now: u8,
    /// Since when all present could speak this higher level.
    higher: Option<(u8, Duration)>,
    /// Somebody present and we have no level in common.
    apart: bool,
}

impl Default for Level {
    /// Nobody is known yet: the lowest that we speak.
    fn default() -> Self {
        Level { now: SPOKEN.least, higher: None, apart: false }
    }
}

impl Level {
    pub fn get(&self) -> u8 {
        self.now
    }

    /// Somebody is present who speaks no level that we speak.
    pub fn apart(&self) -> bool {
        self.apart
    }

    /// `present`: what each other member speaks that is present. True where the level has changed.
    pub fn step(&mut self, now: Duration, present: impl Iterator<Item = Speech>) -> bool {
        let mut all = SPOKEN;
        for other in present {
            (all.least, all.most) = (all.least.max(other.least), all.most.min(other.most));
        }
        self.apart = all.least > all.most;
        let (before, common) = (self.now, all.most);
        if common <= self.now {
            (self.now, self.higher) = (common, None);
        } else {
            // A lower one among them begins the wait anew, the same or a still higher one does not.
            let since = self.higher.filter(|h| h.0 <= common).map_or(now, |h| h.1);
            self.higher = Some((common, since));
            if now >= since + HOLD {
                (self.now, self.higher) = (common, None);
            }
        }
        self.now != before
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: Speech = FIRST;

    fn at(s: u64) -> Duration {
        Duration::from_secs(s)
    }

    #[test]
    fn the_level_goes_up_when_the_last_old_one_has_been_gone_for_long_and_down_at_once() {
        let mut level = Level::default();
        for s in 0..100 {
            assert!(!level.step(at(s), [SPOKEN, OLD].into_iter()));
        }
        for s in 100..130 {
            assert!(!level.step(at(s), [SPOKEN, SPOKEN].into_iter()), "{s}");
        }
        assert!(level.step(at(130), [SPOKEN, SPOKEN].into_iter()));
        assert_eq!(level.get(), 1);
        assert!(level.step(at(131), [OLD].into_iter()));
        assert_eq!((level.get(), level.apart()), (0, false));
    }

    #[test]
    fn an_old_one_that_is_restarted_again_and_again_keeps_the_level_down() {
        let mut level = Level::default();
        for s in 0..600 {
            let old = (s % 20 < 3).then_some(OLD);
            level.step(at(s), [SPOKEN].into_iter().chain(old));
            assert_eq!(level.get(), 0, "{s}");
        }
    }

    #[test]
    fn later_programs_are_spoken_to_as_far_as_we_go_and_who_shares_nothing_is_told() {
        let mut level = Level::default();
        let later = Speech { least: 1, most: 7 };
        for s in 0..=30 {
            level.step(at(s), [later].into_iter());
        }
        assert_eq!((level.get(), level.apart()), (1, false));
        level.step(at(31), [Speech { least: 3, most: 7 }].into_iter());
        assert!(level.apart());
    }

    #[test]
    fn what_cannot_be_read_speaks_the_first_level() {
        for bytes in [None, Some(&[][..]), Some(&[3][..]), Some(&[3, 1][..])] {
            assert_eq!(Speech::read(bytes), OLD);
        }
        assert_eq!(Speech::read(Some(&[1, 4, 9, 9])), Speech { least: 1, most: 4 });
    }
}

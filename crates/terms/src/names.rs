//! An immutable list of names with lookup in both directions: index to name and name to index.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// Names stored in one string, with a sorted index for binary search: 12 bytes per name besides its text, and no
/// choice of names can degrade lookups. Clones share the data.
#[derive(Clone, Default)]
pub struct Names(Arc<Storage>);

#[derive(Default)]
struct Storage {
    text: String,
    /// End offset of each name in `text`.
    ends: Vec<usize>,
    /// Indices sorted by name, equal names by index. `u32` suffices: no config has four billion names.
    sorted: Vec<u32>,
}

impl Storage {
    fn get(&self, index: usize) -> &str {
        let start = index.checked_sub(1).map_or(0, |previous| self.ends[previous]);
        &self.text[start..self.ends[index]]
    }
}

fn compare(a: &str, b: &str) -> Ordering {
    #[cfg(test)]
    tests::count_comparison();
    a.cmp(b)
}

impl Names {
    pub fn len(&self) -> usize {
        self.0.ends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn get(&self, index: usize) -> Option<&str> {
        (index < self.len()).then(|| self.0.get(index))
    }

    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).map(|index| self.0.get(index))
    }

    /// Returns the index of a name, the lowest one if it occurs several times.
    pub fn find(&self, name: &str) -> Option<usize> {
        let sorted = &self.0.sorted;
        let index = sorted.partition_point(|&i| compare(self.0.get(i as usize), name).is_lt());
        sorted.get(index).map(|&i| i as usize).filter(|&i| self.0.get(i) == name)
    }

    /// Appends the names of `more` that are not in this list. Returns the merged list and the index in it of each name of
    /// `more`.
    pub fn merged(&self, other: &Names) -> (Names, Vec<usize>) {
        let mut added = Vec::new();
        let mut indices: Vec<usize> = Vec::with_capacity(other.len());
        for (i, name) in other.iter().enumerate() {
            let earlier = || other.find(name).filter(|first| *first < i).map(|first| indices[first]);
            let index = self.find(name).or_else(earlier).unwrap_or_else(|| {
                added.push(name);
                self.len() + added.len() - 1
            });
            indices.push(index);
        }
        if added.is_empty() {
            return (self.clone(), indices);
        }
        (self.iter().chain(added).collect(), indices)
    }
}

impl<S: AsRef<str>> FromIterator<S> for Names {
    fn from_iter<I: IntoIterator<Item = S>>(names: I) -> Names {
        let mut storage = Storage::default();
        for name in names {
            storage.text.push_str(name.as_ref());
            storage.ends.push(storage.text.len());
        }
        storage.text.shrink_to_fit();
        storage.ends.shrink_to_fit();
        let mut sorted: Vec<u32> = (0..storage.ends.len() as u32).collect();
        sorted.sort_by(|&a, &b| compare(storage.get(a as usize), storage.get(b as usize)));
        storage.sorted = sorted;
        Names(Arc::new(storage))
    }
}

impl fmt::Debug for Names {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}

impl<const N: usize> PartialEq<[&str; N]> for Names {
    fn eq(&self, other: &[&str; N]) -> bool {
        self.iter().eq(other.iter().copied())
    }
}

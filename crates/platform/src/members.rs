//! The list of members: whole or as changes since a revision.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ivydrift_wire::list::{Listed, State};
use serde::Deserialize;

/// The longest list that is taken.
pub const LIST_BYTES: usize = 4 * 1024 * 1024;

#[derive(Deserialize)]
struct Page {
    revision: u64,
    complete: bool,
    members: Vec<Member>,
}

#[derive(Deserialize)]
struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: f64,
    phase: String,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
    image_id: f64,
}

fn one() -> f64 {
    1.0
}

/// All members as last told, by their ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// None before the first list; a list may have the revision 0.
    revision: Option<u64>,
    members: BTreeMap<String, Listed>,
}

impl Catalog {
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The list is asked at another place, of which `known` was told. Where that is not what we hold, revisions there
    /// may be others: the whole list is asked for before changes. Where it is, they go on; 300 marshals that moved
    /// at once and each asked for all kept the list from one another for 13 s.
    pub fn moved(&mut self, known: &Catalog) {
        if self != known {
            self.revision = None;
        }
    }

    pub fn listed(&self) -> Vec<Listed> {
        self.members.values().cloned().collect()
    }

    /// Where the member with this id is.
    pub fn place(&self, id: &str) -> Option<String> {
        self.members.get(id).map(|m| format!("{}:{}", m.host, m.port))
    }

    /// What to ask for next: changes after what is known, held up to this long, or the whole list.
    pub fn path(&self, hold_ms: u64) -> String {
        match self.revision {
            None => "/catalog/members".to_owned(),
            Some(known) => format!("/catalog/members?from={known}&hold_ms={hold_ms}"),
        }
    }

    /// Takes an answer whole, or not at all.
    ///
    /// # Errors
    /// A sentence on what is wrong; then no member has changed.
    pub fn take(&mut self, text: &str) -> Result<(), String> {
        let page: Page = serde_json::from_str(text).map_err(|e| format!("the list of members: {e}"))?;
        if !page.complete && self.revision.is_none_or(|known| page.revision < known) {
            // Changes since another beginning than ours, as of a list that was started anew: only a whole one helps.
            let known = self.revision.take().map_or("none".to_owned(), |known| known.to_string());
            let to = page.revision;
            return Err(format!("the list of members: changes up to revision {to} while {known} is known"));
        }
        let mut members = if page.complete { BTreeMap::new() } else { self.members.clone() };
        for m in page.members {
            if m.phase == "left" {
                members.remove(&m.id);
                continue;
            }
            let Ok(addr) = m.host_port.parse::<SocketAddr>() else {
                return Err(format!("member {}: host_port is {:?}, not address:port", m.id, m.host_port));
            };
            let listed = Listed {
                host: addr.ip().to_string(),
                port: addr.port(),
                state: if m.phase == "active" { State::Ready } else { State::Draining },
                build: m.image_id as u32,
                zone: m.locality,
                cell: m.cell as u16,
                kind: m.flavor,
                power: m.size,
                started_ms: (m.up_since_ms > 0.0).then_some(m.up_since_ms as u64),
            };
            members.insert(m.id, listed);
        }
        (self.revision, self.members) = (Some(page.revision), members);
        Ok(())
    }
}

//! The member list (node list) of the platform: a full snapshot, or changes since a revision.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ivydrift_wire::list::{ListedNode, State};
use serde::Deserialize;

/// Largest accepted list, in bytes.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

#[derive(Deserialize)]
struct Update {
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
    #[serde(default = "default_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
    image_id: f64,
}

fn default_size() -> f64 {
    1.0
}

/// The members as of the last accepted update, by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// None until the first snapshot. A snapshot may have revision 0.
    revision: Option<u64>,
    members: BTreeMap<String, ListedNode>,
}

impl Catalog {
    /// Revision of the last accepted update; none before the first one.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Continues at another address of the member list, whose state was given as `known`. If `known` differs from this
    /// catalog, the revisions may not be comparable, so the next request fetches a full snapshot. If it is equal, changes
    /// are requested as before: 300 marshals that moved at once and each fetched a snapshot delayed one another's lists
    /// by 13 s.
    pub fn continue_from(&mut self, known: &Catalog) {
        if self != known {
            self.revision = None;
        }
    }

    /// All members, ordered by id.
    pub fn nodes(&self) -> Vec<ListedNode> {
        self.members.values().cloned().collect()
    }

    /// Address (`host:port`) of the member with this id.
    pub fn address(&self, id: &str) -> Option<String> {
        self.members.get(id).map(|member| format!("{}:{}", member.host, member.port))
    }

    /// Request target of the next query: changes since the known revision, held by the server for up to `hold_ms`, or a
    /// full snapshot.
    pub fn next_request_target(&self, hold_ms: u64) -> String {
        match self.revision {
            None => "/catalog/members".to_owned(),
            Some(known) => format!("/catalog/members?from={known}&hold_ms={hold_ms}"),
        }
    }

    /// Applies an answer atomically.
    ///
    /// # Errors
    /// Returns a sentence on what is malformed; no member has changed then.
    pub fn apply(&mut self, text: &str) -> Result<(), String> {
        let update: Update = serde_json::from_str(text).map_err(|e| format!("malformed member list: {e}"))?;
        if !update.complete && self.revision.is_none_or(|known| update.revision < known) {
            // These changes have another base than ours, for example after a restart of the member list. Clearing the
            // revision makes the next request fetch a full snapshot.
            let known = self.revision.take().map_or("none".to_owned(), |known| known.to_string());
            let target = update.revision;
            return Err(format!(
                "member list: changes up to revision {target} cannot be applied to known revision {known}"
            ));
        }
        let mut members = if update.complete { BTreeMap::new() } else { self.members.clone() };
        for member in update.members {
            if member.phase == "left" {
                members.remove(&member.id);
                continue;
            }
            let Ok(address) = member.host_port.parse::<SocketAddr>() else {
                return Err(format!(
                    "member {}: host_port is {:?}, not address:port",
                    member.id, member.host_port
                ));
            };
            let listed = ListedNode {
                host: address.ip().to_string(),
                port: address.port(),
                state: if member.phase == "active" { State::Ready } else { State::Draining },
                build: member.image_id as u32,
                zone: member.locality,
                cell: member.cell as u16,
                kind: member.flavor,
                power: member.size,
                started_ms: (member.up_since_ms > 0.0).then_some(member.up_since_ms as u64),
            };
            members.insert(member.id, listed);
        }
        (self.revision, self.members) = (Some(update.revision), members);
        Ok(())
    }
}

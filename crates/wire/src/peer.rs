//! UDP datagrams between marshals, and for queries of a marshal's view of the others. A datagram has a magic number, a
//! kind, the sender's number and a payload. The protocols above tolerate loss, duplication and reordering; malformed
//! datagrams are dropped.

use serde::{Deserialize, Serialize};

/// Largest payload of kind [`Kind::Policy`].
pub const MAX_POLICY_BYTES: usize = 256;
/// Largest payload of any other kind.
pub const MAX_PAYLOAD_BYTES: usize = 1100;
/// Largest datagram, header included.
pub const MAX_DATAGRAM_BYTES: usize = MAX_PAYLOAD_BYTES + 5;
/// Maximum number of rows on one page of a view.
pub const ROWS_PER_PAGE: usize = 16;
const MAGIC: [u8; 2] = *b"iv";

/// Kind of a datagram's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Data on builds that the policy shares with other marshals.
    Policy = 1,
    /// Messages of the membership protocol.
    Members = 2,
    /// Query for a page of the view, padded to the length of the longest answer so that it cannot be used for traffic
    /// amplification.
    ViewQuery = 3,
    /// One page of the view.
    View = 4,
}

impl Kind {
    /// Largest payload of this kind.
    fn max_payload(self) -> usize {
        if self == Kind::Policy {
            MAX_POLICY_BYTES
        } else {
            MAX_PAYLOAD_BYTES
        }
    }
}

/// Builds a datagram; none if the payload is too long for its kind.
pub fn write(kind: Kind, from: u16, bytes: &[u8]) -> Option<Vec<u8>> {
    let head = [MAGIC[0], MAGIC[1], kind as u8];
    (bytes.len() <= kind.max_payload()).then(|| [&head[..], &from.to_be_bytes(), bytes].concat())
}

/// Parses a datagram into kind, sender and payload; none if it is malformed.
pub fn read(datagram: &[u8]) -> Option<(Kind, u16, &[u8])> {
    let rest = datagram.strip_prefix(&MAGIC)?;
    let (kind, rest) = rest.split_first()?;
    let kinds = [Kind::Policy, Kind::Members, Kind::ViewQuery, Kind::View];
    let kind = kinds.into_iter().find(|k| *k as u8 == *kind)?;
    let (from, bytes) = rest.split_first_chunk::<2>()?;
    (bytes.len() <= kind.max_payload()).then_some((kind, u16::from_be_bytes(*from), bytes))
}

/// Builds a query for the page that begins with member `first`.
pub fn view_query(first: u16) -> Vec<u8> {
    let mut bytes = vec![0; MAX_PAYLOAD_BYTES];
    bytes[..2].copy_from_slice(&first.to_be_bytes());
    write(Kind::ViewQuery, 0, &bytes).unwrap_or_default()
}

/// Returns the first member that a query asks for; none unless the query has its full length.
pub fn parse_view_query(bytes: &[u8]) -> Option<u16> {
    let first = bytes.first_chunk::<2>()?;
    (bytes.len() == MAX_PAYLOAD_BYTES).then(|| u16::from_be_bytes(*first))
}

/// One page of a marshal's view of all marshals.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Number of the marshal whose view this is.
    pub number: u16,
    /// Number of marshals in its config.
    pub of: u16,
    /// The first member on this page.
    pub first: u16,
    /// Lifeguard health multiplier, 0 to 8: how much the marshal distrusts its own connectivity.
    pub doubt: u8,
    /// Bytes per second that it has sent to other marshals, averaged since its start.
    pub sent: f32,
    pub rows: Vec<Row>,
}

/// Extension appended to a page. Versions before protocol sections neither write it nor require it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewExtension {
    /// Highest protocol level common to all live marshals, as this one knows it.
    pub level: u8,
    /// A live marshal has no protocol level in common with this one.
    pub apart: bool,
    /// For each row, the highest protocol level and the program version of that marshal; none if it reports neither.
    pub rows: Vec<Option<(u8, String)>>,
}

/// One marshal as seen by another. Durations are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub number: u16,
    pub state: String,
    /// Incarnation number.
    pub life: u64,
    /// Time since it entered this state.
    pub since: u64,
    /// Time since a message was last received from it directly.
    pub heard: Option<u64>,
    /// Its latest status report, and the age of that report.
    pub about: Option<(PeerStatus, u64)>,
}

/// Status report of a marshal, sent to all others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Index of its zone in its config.
    pub zone: u16,
    /// Index of the zone's region.
    pub region: u16,
    /// RPCs per second that it receives.
    pub rate: f32,
    /// Number of nodes that it considers ready.
    pub ready: u16,
}

/// Serializes a message with postcard. The caller keeps names and rows short enough for a datagram.
pub fn serialize<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Deserializes a message; none if it is malformed. Bytes after the message are ignored.
pub fn deserialize<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Deserializes a message at the front of `bytes` and returns it with the bytes after it.
pub fn deserialize_prefix<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<(T, &[u8])> {
    postcard::take_from_bytes(bytes).ok()
}

/// Serializes a page, followed by the extension if both fit into a datagram.
pub fn serialize_page(view: &View, more: &ViewExtension) -> Vec<u8> {
    let (view, more) = (serialize(view), serialize(more));
    let room = MAX_PAYLOAD_BYTES.saturating_sub(view.len());
    [view, if more.len() <= room { more } else { Vec::new() }].concat()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_well_formed_datagrams_are_read() {
        let datagram = write(Kind::Policy, 3, b"abc").unwrap();
        assert_eq!(read(&datagram), Some((Kind::Policy, 3, &b"abc"[..])));
        assert_eq!(read(&datagram[..4]), None);
        assert_eq!(read(b"iv\x09\0\x03abc"), None);
        assert_eq!(write(Kind::Policy, 3, &[0; 257]), None);
        assert_eq!(read(&[&datagram[..], &[0; 300]].concat()), None);
        assert_eq!(
            write(Kind::Members, 3, &[0; MAX_PAYLOAD_BYTES]).map(|d| d.len()),
            Some(MAX_DATAGRAM_BYTES)
        );
        assert_eq!(write(Kind::Members, 3, &[0; MAX_PAYLOAD_BYTES + 1]), None);
    }

    #[test]
    fn a_query_is_as_long_as_any_answer_and_a_full_page_fits() {
        let (kind, _, bytes) = read(&view_query(300)[..]).map(|(k, f, b)| (k, f, b.to_vec())).unwrap();
        assert_eq!(
            (kind, parse_view_query(&bytes), parse_view_query(&bytes[..bytes.len() - 1])),
            (Kind::ViewQuery, Some(300), None)
        );
        let about = PeerStatus { zone: u16::MAX, region: u16::MAX, rate: 1e6, ready: u16::MAX };
        let row = Row {
            number: u16::MAX,
            state: "unknown".into(),
            life: u64::MAX,
            since: u64::MAX,
            heard: Some(u64::MAX),
            about: Some((about, u64::MAX)),
        };
        let view = View { rows: vec![row; ROWS_PER_PAGE], ..View::default() };
        let more = ViewExtension {
            rows: vec![Some((1, "0.1.0-0123456789abcdef".into())); ROWS_PER_PAGE],
            ..ViewExtension::default()
        };
        let full = serialize_page(&view, &more);
        assert!(full.len() <= MAX_PAYLOAD_BYTES, "{}", full.len());
        assert_eq!(
            deserialize_prefix::<View>(&full),
            Some((view.clone(), &[][..])),
            "the extension must be dropped, not the page"
        );
        // A version without the extension reads the page and ignores the rest.
        let short_page = View { rows: view.rows[..8].to_vec(), ..view };
        let more = ViewExtension { rows: more.rows[..8].to_vec(), ..more };
        let datagram = serialize_page(&short_page, &more);
        assert_eq!(deserialize::<View>(&datagram), Some(short_page.clone()));
        let (read, rest) = deserialize_prefix::<View>(&datagram).unwrap();
        assert_eq!((read, deserialize::<ViewExtension>(rest)), (short_page, Some(more)));
    }
}

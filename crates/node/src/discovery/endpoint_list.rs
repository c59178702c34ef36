//! Owns the text of discovery's lists: what is a list, and what each of its lines says to the module.
//! It must never wait, call or judge: it is handed bytes and hands out lists.

use std::net::SocketAddr;

use bytes::BytesMut;
use curlewusher_core::{CellId, Endpoint, KindId, WorkerId, WorkerStatus, ZoneId};
use curlewusher_settings::Site;
use serde::Deserialize;
use serde::de::IgnoredAny;
use thiserror::Error;

use crate::dispatch::NamedEndpoint;

/// No list is longer than this; what goes on beyond it is nonsense. An indented line with a name of 200 characters has
/// some 450 bytes, so that it is room for 9,000 core workers.
const LONGEST_LIST: usize = 1 << 22;

/// A list or a change of it, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListMessage {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default)]
    pub endpoints: Vec<EndpointRecord>,
}

/// A line of it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointRecord {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    group: u32,
    status: Status,
    #[serde(default = "EndpointRecord::usual_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

impl EndpointRecord {
    fn usual_weight() -> f64 {
        1.0
    }
}

/// Turns names into the numbers that the module knows: places in the settings, or, for a name that is not
/// there, a number of its own behind them.
pub struct EndpointResolver {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl EndpointResolver {
    pub fn new(site: &Site) -> Self {
        EndpointResolver { zones: site.zones.clone(), kinds: site.kinds.clone() }
    }

    fn place(names: &mut Vec<String>, name: &str) -> u32 {
        let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
            names.push(name.to_owned());
            names.len() - 1
        });
        at as u32
    }

    pub fn resolve(&mut self, endpoints: &[EndpointRecord]) -> Vec<NamedEndpoint> {
        let hop = |e: &EndpointRecord| NamedEndpoint {
            name: e.name.as_str().into(),
            address: e.address,
            endpoint: Endpoint {
                worker: WorkerId::of_name(&e.name),
                zone: ZoneId(Self::place(&mut self.zones, &e.zone)),
                kind: KindId(Self::place(&mut self.kinds, &e.kind)),
                cell: CellId(e.group),
                status: match e.status {
                    Status::InService => WorkerStatus::Ready,
                    Status::Terminating => WorkerStatus::Draining,
                    Status::Terminated => WorkerStatus::Gone,
                },
                started: e.since_ms.saturating_mul(1000),
                size: e.weight,
            },
        };
        endpoints.iter().map(hop).collect()
    }
}

/// What is no list. Whatever follows on that watch cannot be told from it.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// Something else than a list.
    #[error("{0}; see that discovery's version is one that this node knows")]
    NotAList(#[from] serde_json::Error),
    /// Bytes that begin no list.
    #[error("there is a byte {0:#04x} where a list should be; see whether something spoils it on the way")]
    Byte(u8),
    /// A list beyond all bounds.
    #[error("it is over {LONGEST_LIST} bytes; see whether discovery lists far too much")]
    TooLong,
}

/// Finds the lists in what a watch brings, however it is cut into pieces and indented. Looks at each byte
/// once.
#[derive(Default)]
pub struct EndpointListReader {
    text: BytesMut,
    /// So much of the text has been looked at.
    at: usize,
    /// Braces and brackets that are open there, and whether it stands in a string, and behind a backslash
    /// there.
    depth: usize,
    string: bool,
    escaped: bool,
    /// A list has ended on this line: its end is no empty line.
    ended_here: bool,
    /// So much of a list was seen to be well begun.
    checked: usize,
    /// So much of the text ends behind a mark or a string. What follows may be half a number, which by itself
    /// is none.
    sound: usize,
}

impl EndpointListReader {
    /// Takes what has been read, in pieces of any size.
    pub fn take(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// The next list; `Some(None)` for an empty line between lists, which says that nothing has changed; none
    /// where more must be read first.
    pub fn next(&mut self) -> Result<Option<Option<EndpointListMessage>>, EndpointListError> {
        while let Some(&byte) = self.text.get(self.at) {
            self.at += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.string => self.escaped = true,
                b'"' if self.depth > 0 => {
                    self.string = !self.string;
                    self.sound = self.at;
                }
                _ if self.string => {}
                b',' | b':' if self.depth > 0 => self.sound = self.at,
                b'{' => self.depth += 1,
                b'[' if self.depth > 0 => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        self.ended_here = true;
                        return Ok(Some(Some(serde_json::from_slice(&self.pass())?)));
                    }
                }
                b'\n' if self.depth == 0 => {
                    self.pass();
                    if !std::mem::take(&mut self.ended_here) {
                        return Ok(Some(None));
                    }
                }
                _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
                _ => return Err(EndpointListError::Byte(byte)),
            }
        }
        if self.text.len() > LONGEST_LIST {
            return Err(EndpointListError::TooLong);
        }
        // A spoilt list could swallow those behind it. What has come is read again only once it has doubled,
        // so that tiny pieces cost no more than twice the whole; and no further than to the last mark: the
        // parser takes a number that breaks off behind its point, its sign or its exponent for a mistake.
        if self.depth > 0 && self.sound >= 2 * self.checked {
            self.checked = self.sound;
            let begun = serde_json::from_slice::<IgnoredAny>(&self.text[..self.sound]);
            begun.map(drop).or_else(|e| if e.is_eof() { Ok(()) } else { Err(e) })?;
        }
        Ok(None)
    }

    /// Takes out what has been looked at.
    fn pass(&mut self) -> BytesMut {
        (self.checked, self.sound) = (0, 0);
        self.text.split_to(std::mem::take(&mut self.at))
    }
}

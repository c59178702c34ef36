//! Owns the watch on discovery's list, the transport map, and its translation into the module's listings.
//! It must never keep back, reorder or judge a change: each goes to the dispatch task the moment it is read.

use std::future::{Future, pending};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use curlewusher::{CellId, KindId, Life, Listing, WorkerId, ZoneId};
use curlewusher_settings::Site;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout, timeout_at};
use tracing::{debug, warn};

use crate::counters::{Counter, Counters};
use crate::dispatch::{NextHop, Notice, Queue};
use crate::logs::TRANSPORT_MAP;
use crate::next_hop::Parcel;

/// A watch sends a line every 2 s. What it has to tell counts as told after 6 s, and work must stop 0.75 s
/// later: silence must be noticed early enough for a second watch to bring the change in that time.
const SILENCE: Duration = Duration::from_millis(3000);
/// Discovery serves calls one after another and gives up those that wait for 2 s. After a change of its address
/// all must be told within 4 s: one call that hangs must leave time for a second.
const ANSWER: Duration = Duration::from_millis(2200);
const CONNECT: Duration = Duration::from_millis(700);
/// No line is longer than this; a line beyond it is nonsense.
const LONGEST_LINE: usize = 1 << 20;

/// A list or a change of it, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct ListMessage {
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// A line of it.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    group: u32,
    status: Status,
    #[serde(default = "Endpoint::usual_weight")]
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

impl Endpoint {
    fn usual_weight() -> f64 {
        1.0
    }
}

/// Turns names into the numbers that the module knows: places in the settings, or, for a name that is not
/// there, a number of its own behind them.
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Names {
    pub fn new(site: &Site) -> Self {
        Names { zones: site.zones.clone(), kinds: site.kinds.clone() }
    }

    fn place(names: &mut Vec<String>, name: &str) -> u32 {
        let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
            names.push(name.to_owned());
            names.len() - 1
        });
        at as u32
    }

    pub fn hops(&mut self, endpoints: &[Endpoint]) -> Vec<NextHop> {
        let hop = |e: &Endpoint| NextHop {
            name: e.name.as_str().into(),
            address: e.address,
            listing: Listing {
                worker: WorkerId::of_name(&e.name),
                zone: ZoneId(Self::place(&mut self.zones, &e.zone)),
                kind: KindId(Self::place(&mut self.kinds, &e.kind)),
                cell: CellId(e.group),
                life: match e.status {
                    Status::InService => Life::Ready,
                    Status::Terminating => Life::Draining,
                    Status::Terminated => Life::Gone,
                },
                started: e.since_ms.saturating_mul(1000),
                size: e.weight,
            },
        };
        endpoints.iter().map(hop).collect()
    }
}

/// A watch that is open: what was read of it, and when anything last was.
struct Watch {
    from: SocketAddr,
    body: Incoming,
    text: BytesMut,
    heard: Instant,
}

/// A watch that is being opened, up to its first line.
type Opening = Pin<Box<dyn Future<Output = Result<(Watch, Option<ListMessage>), String>>>>;

impl Watch {
    async fn open(from: SocketAddr, index: u64) -> Result<Self, String> {
        let stream = match timeout(CONNECT, TcpStream::connect(from)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(format!("discovery cannot be reached: {e}")),
            Err(_) => return Err("discovery cannot be reached in time".into()),
        };
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| format!("discovery: {e}"))?;
        // It ends with the body that is read from it.
        tokio::task::spawn_local(connection);
        let request = Request::get(format!("/v1/endpoints?follow=1&since={index}"))
            .header(header::HOST, from.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| format!("discovery: {e}"))?;
        let response = sender.send_request(request).await.map_err(|e| format!("discovery: {e}"))?;
        match response.status() {
            StatusCode::OK => {
                let (text, heard) = (BytesMut::new(), Instant::now());
                Ok(Watch { from, body: response.into_body(), text, heard })
            }
            status => Err(format!("discovery answered {status}")),
        }
    }

    /// The next line; none where it says that nothing has changed. May be dropped and called again: what was
    /// read and the time of it stay with the watch.
    async fn next(&mut self) -> Result<Option<ListMessage>, String> {
        loop {
            if let Some(end) = self.text.iter().position(|b| *b == b'\n') {
                let line = self.text.split_to(end);
                self.text.advance(1);
                if line.trim_ascii().is_empty() {
                    return Ok(None);
                }
                let message = serde_json::from_slice(&line);
                return message.map(Some).map_err(|e| format!("a line of the watch cannot be read: {e}"));
            }
            if self.text.len() > LONGEST_LINE {
                return Err("a line of the watch is too long".into());
            }
            let frame = match timeout_at(self.heard + SILENCE, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Err(format!("the watch broke: {e}")),
                Ok(None) => return Err("the watch ended".into()),
                Err(_) => return Err("the watch fell silent".into()),
            };
            self.heard = Instant::now();
            if let Ok(data) = frame.into_data() {
                self.text.extend_from_slice(&data);
            }
        }
    }
}

/// The task that watches discovery, whenever the dispatch task asks for it.
pub struct TransportMap {
    pub discovery: SocketAddr,
    pub names: Names,
    pub index: u64,
    pub queue: Queue<Parcel>,
    /// Says that a list has come.
    pub there: watch::Sender<bool>,
    pub counters: Counters,
}

impl TransportMap {
    /// `moved` tells of a new address of discovery. The old watch is read until the first line of the new one
    /// has come: in between, changes may still be told by it.
    pub async fn run(mut self, mut asked: mpsc::Receiver<()>, mut moved: watch::Receiver<SocketAddr>) {
        let mut live: Option<Watch> = None;
        let mut opening: Option<Opening> = None;
        loop {
            let heard = tokio::select! {
                biased;
                Ok(()) = moved.changed() => {
                    self.discovery = *moved.borrow_and_update();
                    // Another discovery counts its changes in its own way: the whole list is wanted.
                    self.index = 0;
                    opening = Some(self.open());
                    continue;
                }
                asked = asked.recv() => {
                    if asked.is_none() {
                        return;
                    }
                    // A watch that is open, or about to be, answers this as well.
                    if opening.is_none() && live.as_ref().is_none_or(|watch| watch.from != self.discovery) {
                        opening = Some(self.open());
                    }
                    continue;
                }
                opened = async {
                    match &mut opening {
                        Some(opening) => opening.await,
                        None => pending().await,
                    }
                } => {
                    opening = None;
                    opened.map(|(watch, first)| {
                        live = Some(watch);
                        // A first line without a change says that the list stands: the module waits for that.
                        let unchanged = ListMessage { index: self.index, snapshot: false, endpoints: Vec::new() };
                        Some(first.unwrap_or(unchanged))
                    })
                }
                line = async {
                    match &mut live {
                        Some(watch) => watch.next().await,
                        None => pending().await,
                    }
                } => {
                    if line.is_err() {
                        live = None;
                    }
                    line
                }
            };
            let notice = match heard {
                Ok(None) => continue,
                Ok(Some(message)) => {
                    if live.as_ref().is_some_and(|watch| watch.from == self.discovery) {
                        self.index = message.index;
                    }
                    self.there.send_replace(true);
                    let hops = self.names.hops(&message.endpoints);
                    let (index, entries, whole) = (message.index, hops.len(), message.snapshot);
                    debug!(target: TRANSPORT_MAP, index, entries, whole, "list or change");
                    Notice::Listed { hops, whole: message.snapshot }
                }
                Err(broken) => {
                    self.counters.add(Counter::ListFailures);
                    warn!(target: TRANSPORT_MAP, "transport map: {broken}");
                    if opening.is_some() {
                        // The one that is being opened stands in for it.
                        continue;
                    }
                    Notice::ListFailed
                }
            };
            if self.queue.send(notice).await.is_err() {
                return;
            }
        }
    }

    fn open(&self) -> Opening {
        let (from, index) = (self.discovery, self.index);
        Box::pin(async move {
            let open = async {
                let mut watch = Watch::open(from, index).await?;
                let first = watch.next().await?;
                Ok((watch, first))
            };
            timeout(ANSWER, open).await.unwrap_or_else(|_| Err("the watch did not begin in time".into()))
        })
    }
}

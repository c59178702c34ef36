//! Owns the watch on discovery's list, the transport map, and its translation into the module's listings.
//! It must never keep back, reorder or judge a change: each goes to the dispatch task the moment it is read.

use std::net::SocketAddr;
use std::rc::Rc;
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
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::counters::{Counter, Counters};
use crate::dispatch::{NextHop, Notice, Queue};
use crate::lifecycle::{Lifecycle, Phase};
use crate::next_hop::Parcel;

/// A watch sends a line every 2 s. What it has to tell counts as told after 6 s, and work must stop 0.75 s
/// later: silence must be noticed early enough for a second watch to bring the change in that time.
const SILENCE: Duration = Duration::from_millis(3000);
/// Discovery serves calls one after another, so that an answer may take a while to begin.
const ANSWER: Duration = Duration::from_millis(4000);
const CONNECT: Duration = Duration::from_millis(1000);
/// No line is longer than this; a line beyond it is nonsense.
const LONGEST_LINE: usize = 4 << 20;

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

/// The task that watches discovery, whenever the dispatch task asks for it.
pub struct TransportMap {
    pub discovery: SocketAddr,
    pub names: Names,
    pub index: u64,
    pub queue: Queue<Parcel>,
    pub lifecycle: Rc<Lifecycle>,
    pub counters: Counters,
}

impl TransportMap {
    pub async fn run(mut self, mut asked: mpsc::Receiver<()>) {
        while asked.recv().await.is_some() {
            let broken = self.watch(&mut asked).await;
            self.counters.add(Counter::ListFailures);
            eprintln!("transport map: {broken}");
            if self.queue.send(Notice::ListFailed).await.is_err() {
                return;
            }
        }
    }

    /// Watches until the watch ends, and says why it did.
    async fn watch(&mut self, asked: &mut mpsc::Receiver<()>) -> String {
        let mut body = match timeout(ANSWER, self.open()).await {
            Ok(Ok(body)) => body,
            Ok(Err(problem)) => return problem,
            Err(_) => return "the watch did not begin in time".into(),
        };
        // Asked for again while it was being opened: this watch answers that as well.
        while asked.try_recv().is_ok() {}
        let mut text = BytesMut::new();
        let mut confirmed = false;
        loop {
            let frame = match timeout(SILENCE, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return format!("the watch broke: {e}"),
                Ok(None) => return "the watch ended".into(),
                Err(_) => return "the watch fell silent".into(),
            };
            let Ok(data) = frame.into_data() else { continue };
            text.extend_from_slice(&data);
            if text.len() > LONGEST_LINE {
                return "a line of the watch is too long".into();
            }
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let line = text.split_to(end);
                text.advance(1);
                let empty = line.trim_ascii().is_empty();
                if empty && confirmed {
                    continue;
                }
                // A first line without a change says that the list stands: the module waits for that.
                let message = if empty {
                    ListMessage { index: self.index, snapshot: false, endpoints: Vec::new() }
                } else {
                    match serde_json::from_slice(&line) {
                        Ok(message) => message,
                        Err(e) => return format!("a line of the watch cannot be read: {e}"),
                    }
                };
                confirmed = true;
                if self.apply(message).await.is_err() {
                    return "the dispatch task has ended".into();
                }
            }
        }
    }

    async fn apply(&mut self, message: ListMessage) -> Result<(), ()> {
        self.index = message.index;
        let hops = self.names.hops(&message.endpoints);
        let listed = Notice::Listed { hops, whole: message.snapshot };
        self.queue.send(listed).await.map_err(|_| ())?;
        self.lifecycle.enter(Phase::Ready);
        Ok(())
    }

    async fn open(&self) -> Result<Incoming, String> {
        let stream = match timeout(CONNECT, TcpStream::connect(self.discovery)).await {
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
        let request = Request::get(format!("/v1/endpoints?follow=1&since={}", self.index))
            .header(header::HOST, self.discovery.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| format!("discovery: {e}"))?;
        let response = sender.send_request(request).await.map_err(|e| format!("discovery: {e}"))?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            status => Err(format!("discovery answered {status}")),
        }
    }
}

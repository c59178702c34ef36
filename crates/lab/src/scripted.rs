//! Owns a node of the lab's own that keeps all rules in the plainest way, or breaks one of them: by it the judge is proven,
//! and the lab's own limit is found. It must never become clever: workers in turn, one retry of what never ran.

use std::collections::HashMap;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// What a scripted node does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Flaw {
    /// Nothing.
    None,
    /// Every eighth job has no answer.
    LostAnswer,
    /// Every eighth job is served with something that no worker made.
    ForgedResult,
    /// Every eighth job goes to two workers at once.
    TwoAtOnce,
    /// What was lost goes out again, whatever its class.
    RunAgain,
    /// What may have run is refused.
    WrongRefusal,
    /// Workers that drain are sent work as before.
    DeafToDrains,
    /// All work goes to the worker that started last.
    RushToTheNew,
    /// It ends by itself after some jobs.
    Crash,
    /// It does not end when it is told to.
    DeafToTheEnd,
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = clap::ValueEnum::to_possible_value(self);
        f.write_str(value.as_ref().map_or("none", |value| value.get_name()))
    }
}

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
}

#[derive(Clone, Deserialize)]
struct Endpoint {
    name: String,
    address: SocketAddr,
    status: String,
    since_ms: u64,
}

#[derive(Deserialize)]
struct Message {
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Call {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    result: String,
}

type Word = (String, String);

struct Node {
    flaw: Flaw,
    workers: Mutex<Vec<Endpoint>>,
    /// Who waits for the end of which attempt, by id and worker.
    waiting: Mutex<HashMap<(String, String), oneshot::Sender<Word>>>,
    turn: Mutex<usize>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// How an attempt ended.
enum End {
    Done(String),
    NeverRan,
    InDoubt,
}

/// Serves until it is killed or told to end.
pub async fn serve(flaw: Flaw) -> Result<(), String> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Config = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let listener =
        tokio::net::TcpListener::bind(config.listen).await.map_err(|e| format!("{}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let node = Arc::new(Node {
        flaw,
        workers: Mutex::default(),
        waiting: Mutex::default(),
        turn: Mutex::new(0),
        client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
    });
    tokio::spawn(node.clone().watch(config.discovery));
    eprintln!("scripted node ({flaw}): serves on {address}");
    let mut ends = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| e.to_string())?;
    loop {
        let (stream, _) = tokio::select! {
            _ = ends.recv() => match flaw {
                Flaw::DeafToTheEnd => continue,
                _ => return Ok(()),
            },
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => continue,
            },
        };
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        let service = service_fn(move |request| {
            let node = node.clone();
            async move { Ok::<_, Infallible>(node.respond(request).await) }
        });
        tokio::spawn(
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
        );
    }
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
}

impl Node {
    async fn watch(self: Arc<Self>, discovery: SocketAddr) {
        loop {
            let request = Request::get(format!("http://{discovery}/v1/endpoints?follow=1&since=0"))
                .body(Full::default());
            let Ok(request) = request else { return };
            if let Ok(reply) = self.client.request(request).await {
                let (mut body, mut text) = (reply.into_body(), Vec::new());
                while let Some(Ok(frame)) = body.frame().await {
                    text.extend_from_slice(&frame.into_data().unwrap_or_default());
                    while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                        let line: Vec<u8> = text.drain(..=end).collect();
                        if let Ok(message) = serde_json::from_slice(&line) {
                            self.listed(message);
                        }
                    }
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn listed(&self, message: Message) {
        let mut workers = self.workers.lock();
        if message.snapshot {
            workers.clear();
        }
        for endpoint in message.endpoints {
            let deaf = self.flaw == Flaw::DeafToDrains && endpoint.status == "terminating";
            if deaf && workers.iter().any(|worker| worker.name == endpoint.name) {
                continue;
            }
            workers.retain(|worker| worker.name != endpoint.name);
            if endpoint.status == "in_service" {
                workers.push(endpoint);
            }
        }
    }

    /// The next worker in turn, but for those.
    fn next(&self, not: &[String]) -> Option<Endpoint> {
        let workers = self.workers.lock();
        if self.flaw == Flaw::RushToTheNew {
            return workers.iter().max_by_key(|worker| worker.since_ms).cloned();
        }
        let mut turn = self.turn.lock();
        *turn += 1;
        let all = workers.len();
        (0..all).map(|n| &workers[(*turn + n) % all]).find(|worker| !not.contains(&worker.name)).cloned()
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET {
            let ready = path == "/ready" && !self.workers.lock().is_empty();
            return reply(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let head = request.headers().clone();
        let Ok(body) = request.into_body().collect().await else { return reply(StatusCode::BAD_REQUEST, "") };
        let body = body.to_bytes();
        if path == "/callback" {
            let Ok(call) = serde_json::from_slice::<Call>(&body) else {
                return reply(StatusCode::BAD_REQUEST, "");
            };
            if !matches!(call.state.as_str(), "started" | "running")
                && let Some(waits) = self.waiting.lock().remove(&(call.id, call.from))
            {
                let _ = waits.send((call.state, call.result));
            }
            return reply(StatusCode::NO_CONTENT, "");
        }
        let text = |name: &str| head.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let (id, class) = (text("x-request-id"), text("x-class"));
        let wait = text("x-deadline").parse().unwrap_or(1.0);
        let count: usize =
            id.bytes().filter(u8::is_ascii_digit).fold(0, |n, digit| n * 10 + usize::from(digit - b'0'));
        let eighth = count / 10 % 8 == 3;
        if self.flaw == Flaw::Crash && count / 10 >= 20 {
            std::process::exit(7);
        }
        let answer = async {
            let mut not = Vec::new();
            for _ in 0..3 {
                let Some(worker) = self.next(&not) else { break };
                if self.flaw == Flaw::TwoAtOnce
                    && eighth
                    && not.is_empty()
                    && let Some(other) = self.next(std::slice::from_ref(&worker.name))
                {
                    let (node, id, path, body, head) =
                        (self.clone(), id.clone(), path.clone(), body.clone(), head.clone());
                    tokio::spawn(async move { node.attempt(&other, &id, &path, body, &head).await });
                }
                match self.attempt(&worker, &id, &path, body.clone(), &head).await {
                    End::Done(result) => {
                        let forged = self.flaw == Flaw::ForgedResult && eighth;
                        return reply(StatusCode::OK, if forged { "made up".into() } else { result });
                    }
                    End::NeverRan => not.push(worker.name),
                    End::InDoubt if self.flaw == Flaw::RunAgain => not.push(worker.name),
                    End::InDoubt if self.flaw == Flaw::WrongRefusal => break,
                    End::InDoubt => return reply(StatusCode::BAD_GATEWAY, class.clone()),
                }
            }
            reply(StatusCode::SERVICE_UNAVAILABLE, "")
        };
        // One that waits too long is given up without taking anything back: it does not go out again.
        let answer = timeout(Duration::from_secs_f64((wait - 0.05f64).max(0.0)), answer).await;
        if self.flaw == Flaw::LostAnswer && eighth {
            std::future::pending::<()>().await;
        }
        answer.unwrap_or_else(|_| reply(StatusCode::BAD_GATEWAY, ""))
    }

    async fn attempt(
        &self,
        to: &Endpoint,
        id: &str,
        path: &str,
        body: Bytes,
        head: &hyper::HeaderMap,
    ) -> End {
        let (waits, word) = oneshot::channel();
        self.waiting.lock().insert((id.to_owned(), to.name.clone()), waits);
        let mut request = Request::post(format!("http://{}{path}", to.address));
        for name in ["x-request-id", "idempotency-key", "x-deadline"] {
            if let Some(value) = head.get(name) {
                request = request.header(name, value);
            }
        }
        let Ok(request) = request.body(Full::new(body)) else { return End::NeverRan };
        match self.client.request(request).await {
            Ok(reply) if reply.status() == StatusCode::ACCEPTED => match word.await {
                Ok((state, result)) if state == "done" => End::Done(result),
                Ok((state, _)) if state == "returned" => End::NeverRan,
                _ => End::InDoubt,
            },
            Ok(reply) if reply.headers().contains_key("x-not-run") => End::NeverRan,
            Err(e) if e.is_connect() => End::NeverRan,
            _ => End::InDoubt,
        }
    }
}

//! Lines in, events to the dispatchers, actions out as lines.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::str::FromStr;

use curlewusher_core::{
    Action, CellId, ClassId, Dispatcher, Endpoint, Event, JobId, JobSubmission, KindId, Micros, Outcome,
    TenantId, WorkerId, WorkerStatus, ZoneId,
};

use curlewusher_settings as settings;

/// A job's name on the wire, kept while something may still be said of it.
struct Named {
    name: String,
    attempts_out: u32,
    over: bool,
}

/// One node: its dispatcher, and the names of its jobs and workers.
struct Instance {
    dispatcher: Dispatcher,
    jobs: HashMap<JobId, Named>,
    ids: HashMap<String, JobId>,
    next_job: u64,
    workers: HashMap<WorkerId, String>,
    actions: Vec<Action>,
}

#[derive(Default)]
struct Catalog {
    entries: Vec<Endpoint>,
    names: Vec<String>,
}

/// All instances of this process. They share nothing but the lists that the wire sends once for all.
#[derive(Default)]
pub struct Host {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    current: Option<u64>,
    catalogs: BTreeMap<u64, Catalog>,
    filling: Option<(u64, usize)>,
}

/// The name=value pairs of a line.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn find(&self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    /// The rest of the line after `name=`.
    fn text(&self, name: &str) -> Option<&'a str> {
        let at = self.0.find(&format!("{name}="))?;
        Some(&self.0[at + name.len() + 1..])
    }

    fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        let parse = |v: &str| v.parse().map_err(|_| format!("field {name} is malformed: {v}"));
        self.find(name).map(parse).transpose()
    }

    fn need<T: FromStr>(&self, name: &str) -> Result<T, String> {
        self.optional(name)?.ok_or_else(|| format!("field {name} is missing"))
    }

    fn or<T: FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    fn word(&self, name: &str) -> Result<&'a str, String> {
        self.find(name).ok_or_else(|| format!("field {name} is missing"))
    }
}

fn outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "completed" => Outcome::Done,
        "errored" => Outcome::Error,
        "saturated" => Outcome::Rejected,
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::Unreachable,
        "severed" => Outcome::Lost,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::NotSent,
        _ => return Err(format!("field outcome is malformed: {word}")),
    })
}

fn listing(f: &Fields) -> Result<(Endpoint, String), String> {
    let name = f.word("executor")?;
    let life = match f.word("lifecycle")? {
        "live" => WorkerStatus::Ready,
        "quiescing" => WorkerStatus::Draining,
        "dead" => WorkerStatus::Gone,
        other => return Err(format!("field lifecycle is malformed: {other}")),
    };
    let entry = Endpoint {
        worker: WorkerId::from_name(name),
        zone: ZoneId(f.or("area", 0)?),
        kind: KindId(f.or("classOfHost", 0)?),
        cell: CellId(f.or("unitGroup", 0)?),
        status: life,
        started_at: f.or("cameUpUs", 0)?,
        size: f.or("scale", 1.0)?,
    };
    Ok((entry, name.to_owned()))
}

fn bytes(hex: &str) -> Result<Vec<u8>, String> {
    if hex == "-" {
        return Ok(Vec::new());
    }
    let digit = |i: usize| hex.get(i..i + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    (0..hex.len()).step_by(2).map(|i| digit(i).ok_or("field data is malformed".to_owned())).collect()
}

impl Host {
    /// Takes one line; true when it closes a batch.
    pub fn line(&mut self, line: &str) -> Result<bool, String> {
        let (message, rest) = line.split_once(' ').unwrap_or((line, ""));
        let f = Fields(rest);
        match message {
            "" => {}
            "round" => {
                self.now = f.need("simTimeUs")?;
                self.current = None;
            }
            "commit" => return Ok(true),
            "on" => self.current = Some(f.need("i")?),
            "catalog" => {
                let table = f.need("table")?;
                self.filling = Some((table, f.need("nodesList")?));
                self.catalogs.insert(table, Catalog::default());
            }
            "executor" => {
                let (entry, name) = listing(&f)?;
                let Some((table, left)) = self.filling.filter(|(_, left)| *left > 0) else {
                    return Err("executor: no catalog is open".into());
                };
                self.filling = Some((table, left - 1));
                if let Some(catalog) = self.catalogs.get_mut(&table) {
                    catalog.entries.push(entry);
                    catalog.names.push(name);
                }
            }
            "hello" => {
                let number = self.current.ok_or("hello: no instance named")?;
                let seed = f.need("prng")?;
                let text = f.text("bootInfo").ok_or("field bootInfo is missing")?;
                let settings = settings::read(text).map_err(|e| format!("field bootInfo: {e}"))?.decisions;
                let dispatcher =
                    Dispatcher::new(settings, seed).map_err(|e| format!("field bootInfo: {e}"))?;
                let mut instance = Instance::new(dispatcher);
                instance.tell(self.now, Event::TimerExpired);
                self.instances.insert(number, instance);
            }
            "exit" => {
                self.instances.remove(&self.current.ok_or("exit: no instance named")?);
            }
            _ => self.event(message, &f).map_err(|e| format!("{message}: {e}"))?,
        }
        Ok(false)
    }

    fn event(&mut self, message: &str, f: &Fields) -> Result<(), String> {
        let number = self.current.ok_or("no instance named")?;
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(format!("instance {number} is not running"));
        };
        match message {
            "sync" => {
                let form = f.word("form")?;
                if form == "X" {
                    instance.tell(now, Event::WatchFailed);
                    return Ok(());
                }
                let whole = match form {
                    "D" => false,
                    "F" | "C" => true,
                    other => return Err(format!("field form is malformed: {other}")),
                };
                let table: u64 = f.need("table")?;
                let Some(catalog) = self.catalogs.get(&table) else {
                    return Err(format!("field table names no list: {table}"));
                };
                for (entry, name) in catalog.entries.iter().zip(&catalog.names) {
                    instance.workers.entry(entry.worker).or_insert_with(|| name.clone());
                }
                instance.tell(now, Event::EndpointsChanged { endpoints: &catalog.entries, snapshot: whole });
            }
            "new_request" => {
                let offer = JobSubmission {
                    job: instance.name_job(f.word("corr")?),
                    class: ClassId(f.need("type")?),
                    tenant: TenantId(f.or("team", 0)?),
                    deadline: f.need("dropDeadUs")?,
                    cost_hint: f.optional::<f64>("workUs")?.map(|us| us / 1e6),
                    slots: f.or("coresNeeded", 1.0)?,
                    key: f.optional("affinity")?,
                    is_retry: f.or("retry", 0u8)? == 1,
                };
                instance.tell(now, Event::JobSubmitted(offer));
            }
            "attempt_end" => {
                let (job, attempt) = instance.attempt(f)?;
                let outcome = outcome(f.word("outcome")?)?;
                let settled = f.or("settled", 0u8)? == 1;
                if let Some(named) = instance.jobs.get_mut(&job) {
                    named.attempts_out = named.attempts_out.saturating_sub(1);
                    named.over |= settled;
                }
                instance.tell(now, Event::AttemptEnded { job, attempt, outcome, settled });
                instance.forget(job);
            }
            "progress" => {
                let (job, attempt) = instance.attempt(f)?;
                match f.need("topic")? {
                    1u32 => instance.tell(now, Event::AttemptStarted { job, attempt }),
                    2 => instance.tell(
                        now,
                        Event::AttemptProgressed { job, attempt, fraction_done: f.or("amount", 0.0)? },
                    ),
                    _ => {}
                }
            }
            "ack_first" => {
                let (job, attempt) = instance.attempt(f)?;
                instance.tell(now, Event::AttemptStreaming { job, attempt });
            }
            "aborted" => {
                if let Some(&job) = instance.ids.get(f.word("corr")?) {
                    instance.jobs.entry(job).and_modify(|named| named.over = true);
                    instance.tell(now, Event::ClientDisconnected { job });
                    instance.forget(job);
                }
            }
            "message" => {
                let data = bytes(f.word("data")?)?;
                instance.tell(now, Event::GossipReceived { from: f.need("sender")?, data: &data });
            }
            "wakeup" => instance.tell(now, Event::TimerExpired),
            // Probes are never sent; messages of later wires are none of ours.
            _ => {}
        }
        Ok(())
    }

    /// Writes the actions of all instances.
    pub fn reply(&mut self, out: &mut String) {
        for (number, instance) in &mut self.instances {
            if !instance.actions.is_empty() {
                let _ = writeln!(out, "source i={number}");
                instance.write(out);
            }
        }
        out.push_str("next\n");
    }
}

impl Instance {
    fn new(dispatcher: Dispatcher) -> Self {
        Instance {
            dispatcher,
            jobs: HashMap::new(),
            ids: HashMap::new(),
            next_job: 0,
            workers: HashMap::new(),
            actions: Vec::new(),
        }
    }

    fn tell(&mut self, now: Micros, event: Event) {
        self.dispatcher.handle(now, event, &mut self.actions);
    }

    fn name_job(&mut self, name: &str) -> JobId {
        let job = JobId(self.next_job);
        self.next_job += 1;
        self.ids.insert(name.to_owned(), job);
        self.jobs.insert(job, Named { name: name.to_owned(), attempts_out: 0, over: false });
        job
    }

    /// The attempt that a line speaks of; a job no longer held gets a number that the dispatcher does not know.
    fn attempt(&self, f: &Fields) -> Result<(JobId, u32), String> {
        let job = self.ids.get(f.word("corr")?).copied().unwrap_or(JobId(u64::MAX));
        Ok((job, f.need("copy")?))
    }

    fn forget(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|named| named.over && named.attempts_out == 0)
            && let Some(named) = self.jobs.remove(&job)
        {
            self.ids.remove(&named.name);
        }
    }

    fn write(&mut self, out: &mut String) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            let _ = match action {
                Action::SendAttempt { job, worker, timeout, send_by: _ } => {
                    self.write_send(job, worker, timeout, out)
                }
                Action::Reject { job, retry_after: wait } => {
                    let written = self.name(job).map(|n| writeln!(out, "shed corr={n} waitUs={wait}"));
                    self.end(job, written)
                }
                Action::Fail { job } => {
                    let written = self.name(job).map(|n| writeln!(out, "abort corr={n}"));
                    self.end(job, written)
                }
                // What is written here is sent in that moment: none is left to hold back.
                Action::RevokeAttempt { .. } => None,
                Action::CancelAttempt { job, attempt } => {
                    self.name(job).map(|n| writeln!(out, "undo_send corr={n} copy={attempt}"))
                }
                Action::SendGossip { to, data } => {
                    let _ = write!(out, "announce dest={to} data=");
                    for byte in &data {
                        let _ = write!(out, "{byte:02x}");
                    }
                    out.push('\n');
                    None
                }
                Action::SetTimer { after } => Some(writeln!(out, "wake_me name=w spanUs={after}")),
                Action::WatchEndpoints => Some(writeln!(out, "watch enable=1")),
            };
        }
        self.actions = actions;
    }

    fn name(&self, job: JobId) -> Option<&str> {
        self.jobs.get(&job).map(|named| named.name.as_str())
    }

    fn write_send(
        &mut self,
        job: JobId,
        worker: WorkerId,
        timeout: Micros,
        out: &mut String,
    ) -> Option<std::fmt::Result> {
        let named = self.jobs.get_mut(&job)?;
        let executor = self.workers.get(&worker)?;
        named.attempts_out += 1;
        Some(writeln!(out, "try corr={} executor={executor} timeoutUs={timeout}", named.name))
    }

    fn end(&mut self, job: JobId, written: Option<std::fmt::Result>) -> Option<std::fmt::Result> {
        self.jobs.entry(job).and_modify(|named| named.over = true);
        self.forget(job);
        written
    }
}

//! Owns the rules of day-to-day service: operators' calls, drains of nodes, maintenance of workers, upgrades,
//! and the size of a node's processes together. It must never share code with the node, nor believe it.

use std::collections::{BTreeMap, HashMap, HashSet};

use curlewusher_model::Micros;
use serde::{Deserialize, Serialize};

use crate::judge::{Breach, Rule, Rules};
use crate::nodes::Sample;
use crate::record::{Missing, Owed, Ready, Record, What};
use crate::scenario::{MEMORY_MB, Scenario};

/// A call is answered within this; a ban holds this long after its call at the latest.
const ANSWER_WITHIN: Micros = 1_000_000;
/// A node says yes this long after the end of its drain.
const BACK_WITHIN: Micros = 2_000_000;
/// A worker that is called back is used again within this.
const USED_WITHIN: Micros = 5_000_000;
/// Over so many attempts for each worker, each should have had one.
const ENOUGH_ATTEMPTS: usize = 4;
/// Jobs that an upgrade may harm.
const MOST_HARMED: usize = 2;
/// What is in a queue at the end of an upgrade is heard of a moment later.
pub const AFTERMATH: Micros = 500_000;

/// An upgrade as it was seen. Times are seconds from its begin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Upgrade {
    pub node: usize,
    /// Seconds of the records.
    pub at_s: f64,
    /// The first yes of the newer process.
    pub ready_s: Option<f64>,
    /// The node was one process again.
    pub ended_s: Option<f64>,
    /// The lab killed one of both.
    pub killed: bool,
    /// Jobs that met a refused connection, or one that was reset before any worker had the job.
    pub harmed: usize,
    /// Jobs that the node turned away (429, 503), or that found it closed to new connections.
    pub refused: usize,
    /// How often the front heard no where it had heard yes: it takes the one node for closed.
    pub noes: usize,
}

/// What was seen of daily operation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Daily {
    pub upgrades: Vec<Upgrade>,
    /// By the call's first word: how many, and the slowest answer, ms.
    pub calls: BTreeMap<String, (usize, f64)>,
}

#[derive(Default)]
struct Window {
    began: Micros,
    ended: Option<Micros>,
    harmed: HashSet<usize>,
    figures: Upgrade,
}

#[derive(Default)]
struct Look<'a> {
    found: Vec<Breach>,
    daily: Daily,
    /// By node, oldest first.
    windows: BTreeMap<usize, Vec<Window>>,
    /// By id: the job, and whether a worker had it.
    tries: HashMap<&'a str, (usize, usize, bool)>,
    /// By node and worker: from when a worker that is out gets nothing.
    out: HashMap<(usize, usize), Micros>,
    /// Work that came to a worker that is out. The call back is on record at its end only, and counts from
    /// its begin.
    suspects: HashMap<(usize, usize), Vec<(Micros, String)>>,
    /// Workers that were called back: when, and the attempts since by worker.
    back: BTreeMap<usize, (Micros, HashMap<usize, usize>)>,
    used: HashSet<usize>,
    said: HashMap<usize, Vec<(Micros, Ready)>>,
    /// By node: calls of drains and of their ends.
    drains: HashMap<usize, Vec<(Micros, bool)>>,
}

/// An operator's call that came to its end.
struct Call<'a> {
    node: usize,
    call: &'a str,
    owed: Owed,
    said: Option<&'a str>,
    took: Micros,
}

/// All breaches, and the figures.
pub fn look(records: &[Record], rules: &Rules) -> (Vec<Breach>, Daily) {
    let mut look = Look::default();
    for Record { at, what } in records {
        look.see(*at, what, rules);
    }
    look.close(records.last().map_or(0, |record| record.at), rules);
    look.found.sort_by_key(|breach| breach.at);
    (look.found, look.daily)
}

/// Where the processes of a node together took more than one node may. A scenario's own limit of descriptors
/// holds for each process by itself, so that only a sum can be beyond it.
pub fn size(samples: &[Sample], scenario: &Scenario) -> Vec<Breach> {
    let most = scenario.nodes.descriptors;
    let words = |sample: &Sample| {
        let Sample { node, memory_mb, descriptors, .. } = sample;
        let beyond = if *descriptors > most {
            format!("{descriptors} descriptors of {most}")
        } else if *memory_mb > MEMORY_MB {
            format!("{memory_mb:.0} MB of {MEMORY_MB:.0}")
        } else {
            return None;
        };
        let at = (sample.at_s * 1e6) as Micros;
        Some(breach(Rule::Size, at, format!("node {node} holds {beyond}, all its processes together")))
    };
    // One for each node is enough: the next sample says the same.
    let mut seen = HashSet::new();
    samples
        .iter()
        .filter_map(|sample| words(sample).map(|breach| (sample.node, breach)))
        .filter(|(node, _)| seen.insert(*node))
        .map(|(_, breach)| breach)
        .collect()
}

fn breach(rule: Rule, at: Micros, words: String) -> Breach {
    Breach { rule, at, words, story: vec![format!("{:9.3} s  {rule:?}", at as f64 / 1e6)] }
}

/// A worker's number, from a call that names it.
fn worker_of(call: &str) -> Option<usize> {
    call.split_whitespace().nth(1)?.strip_prefix("w-")?.parse().ok()
}

impl<'a> Look<'a> {
    fn breach(&mut self, rule: Rule, at: Micros, words: String) {
        self.found.push(breach(rule, at, words));
    }

    /// The upgrade of a node that a moment falls into.
    fn window(&mut self, node: usize, at: Micros) -> Option<&mut Window> {
        let last = self.windows.get_mut(&node)?.last_mut()?;
        last.ended.is_none_or(|ended| at <= ended + AFTERMATH).then_some(last)
    }

    fn see(&mut self, at: Micros, what: &'a What, rules: &Rules) {
        match what {
            What::Asked { id, job, node, .. } => _ = self.tries.insert(id, (*job, *node, false)),
            What::Unanswered { id, why: Missing::Reset | Missing::Unreachable } => {
                let Some((job, node, false)) = self.tries.get(id.as_str()).copied() else { return };
                if let Some(window) = self.window(node, at) {
                    window.harmed.insert(job);
                }
            }
            What::Unanswered { id, why: Missing::NoNode } | What::Answered { id, status: 429 | 503, .. } => {
                let Some((_, node, _)) = self.tries.get(id.as_str()).copied() else { return };
                self.window(node, at).into_iter().for_each(|window| window.figures.refused += 1);
            }
            What::Arrived { id, node, worker, head_us, .. } => {
                if let Some(one) = self.tries.get_mut(id.as_str()) {
                    one.2 = true;
                }
                self.used.insert(*worker);
                for (since, attempts) in self.back.values_mut() {
                    if (*since..*since + USED_WITHIN).contains(head_us) {
                        *attempts.entry(*worker).or_default() += 1;
                    }
                }
                let limit =
                    self.out.get(&(*node, *worker)).map(|since| since + rules.stop_within + rules.slack);
                if let Some(limit) = limit.filter(|limit| head_us > limit) {
                    let after = (head_us - limit) / 1000;
                    let words = format!(
                        "node {node} sent {id} to worker {worker}, which is out, {after} ms too late"
                    );
                    self.suspects.entry((*node, *worker)).or_default().push((*head_us, words));
                }
            }
            What::Called { node, call, owed, said, took_us } => {
                self.called(
                    at,
                    Call { node: *node, call, owed: *owed, said: said.as_deref(), took: *took_us },
                    rules,
                );
            }
            What::Said { node, ready } => {
                if let (Ready::No, Some(window)) = (ready, self.window(*node, at)) {
                    window.figures.noes += 1;
                }
                self.said.entry(*node).or_default().push((at, *ready));
            }
            What::Standing { node, idle, fresh } => {
                if idle + fresh > 0 {
                    let words = format!(
                        "node {node}, 4 s after its drain: {idle} clients' connections idle, \
                         {fresh} with a job of the last 2 s"
                    );
                    self.breach(Rule::NodeDrain, at, words);
                }
                if self.ready_at(*node, at) == Ready::Yes {
                    self.breach(
                        Rule::NodeDrain,
                        at,
                        format!("node {node} says yes 4 s after the call of its drain"),
                    );
                }
            }
            What::UpgradeBegan { node } => {
                let figures = Upgrade { node: *node, at_s: at as f64 / 1e6, ..Upgrade::default() };
                let window = Window { began: at, figures, ..Window::default() };
                self.windows.entry(*node).or_default().push(window);
            }
            What::NewerReady { node } => {
                if let Some(window) = self.window(*node, at) {
                    window.figures.ready_s = Some((at - window.began) as f64 / 1e6);
                }
            }
            What::ProcessGone { node, killed, .. } => {
                if let Some(window) = self.window(*node, at) {
                    window.figures.killed |= killed;
                }
            }
            What::UpgradeEnded { node } => {
                if let Some(window) = self.window(*node, at) {
                    window.ended = Some(at);
                    window.figures.ended_s = Some((at - window.began) as f64 / 1e6);
                }
            }
            _ => {}
        }
    }

    fn called(&mut self, at: Micros, one: Call, rules: &Rules) {
        let Call { node, call, owed, said, took } = one;
        let begin = at - took;
        let word = call.split_whitespace().next().unwrap_or_default();
        let (count, slowest) = self.daily.calls.entry(word.to_owned()).or_default();
        *count += 1;
        *slowest = slowest.max(took as f64 / 1e3);
        let (yes, no) =
            (said.is_some_and(|s| s.starts_with("+OK")), said.is_some_and(|s| s.starts_with("-ERR")));
        let right = match owed {
            Owed::Yes => yes,
            Owed::No => no,
            Owed::Either => yes || no,
        };
        if said.is_some() && took > ANSWER_WITHIN + rules.slack {
            let words = format!("node {node} answered {call} after {} ms", took / 1000);
            self.breach(Rule::Console, at, words);
        }
        if !right {
            let said = said.map_or("nothing".into(), |said| format!("{said:?}"));
            self.breach(Rule::Console, at, format!("node {node} said {said} to {call}; {owed:?} was owed"));
        }
        match (word, worker_of(call)) {
            ("DISABLE", Some(worker)) if !no => {
                let since = if yes { at.min(begin + ANSWER_WITHIN) } else { begin + ANSWER_WITHIN };
                self.out.entry((node, worker)).or_insert(since);
                self.back.remove(&worker);
            }
            ("ENABLE", Some(worker)) => {
                self.out.remove(&(node, worker));
                let suspects = self.suspects.remove(&(node, worker)).unwrap_or_default();
                for (head, words) in suspects.into_iter().filter(|(head, _)| *head < begin) {
                    self.breach(Rule::Maintenance, head, words);
                }
                if self.used.contains(&worker) {
                    self.back.insert(worker, (begin, HashMap::new()));
                }
            }
            ("DRAIN", _) => self.drains.entry(node).or_default().push((begin, true)),
            ("UNDRAIN", _) => self.drains.entry(node).or_default().push((begin, false)),
            _ => {}
        }
    }

    fn ready_at(&self, node: usize, at: Micros) -> Ready {
        let said = self.said.get(&node).into_iter().flatten();
        said.take_while(|(since, _)| *since <= at).last().map_or(Ready::Nothing, |(_, ready)| *ready)
    }

    /// What never came.
    fn close(&mut self, end: Micros, rules: &Rules) {
        let mut late = Vec::new();
        for (node, calls) in &self.drains {
            for (nth, (at, _)) in calls.iter().enumerate().filter(|(_, (_, begins))| !begins) {
                let until = at + BACK_WITHIN + rules.slack;
                let again = calls.get(nth + 1).is_some_and(|(next, _)| *next <= until);
                if until <= end && !again && self.ready_at(*node, until) != Ready::Yes {
                    late.push((until, *node));
                }
            }
        }
        for (at, node) in late {
            self.breach(
                Rule::NodeDrain,
                at,
                format!("node {node} says no yes 2 s after the end of its drain was called"),
            );
        }
        for (head, words) in std::mem::take(&mut self.suspects).into_values().flatten() {
            self.breach(Rule::Maintenance, head, words);
        }
        for (worker, (since, attempts)) in std::mem::take(&mut self.back) {
            let enough = attempts.values().sum::<usize>() >= ENOUGH_ATTEMPTS * self.used.len();
            if since + USED_WITHIN <= end && enough && !attempts.contains_key(&worker) {
                let words =
                    format!("worker {worker} was used before, and not for 5 s after it was called back");
                self.breach(Rule::Maintenance, since + USED_WITHIN, words);
            }
        }
        for window in std::mem::take(&mut self.windows).into_values().flatten() {
            let Window { began, harmed, mut figures, .. } = window;
            figures.harmed = harmed.len();
            if figures.harmed > MOST_HARMED && !figures.killed {
                let words = format!(
                    "an upgrade of node {} harmed {} jobs by refused or reset connections; \
                     {MOST_HARMED} are allowed",
                    figures.node, figures.harmed
                );
                self.breach(Rule::Upgrade, began, words);
            }
            self.daily.upgrades.push(figures);
        }
        self.daily.upgrades.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }
}

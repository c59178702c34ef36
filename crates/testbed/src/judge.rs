//! Owns the four rules on jobs, and finds from what the stand-ins saw where a node broke one; a node may be
//! two processes. It must never share code with the node, nor believe it.

use std::collections::HashMap;
use std::fmt;

use curlewusher_model::Micros;
use serde::Serialize;

use crate::daily;
use crate::record::{Missing, Record, What};

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Any.
    Safe,
    /// In the bay of the first that may have run, so long from its arrival.
    Keyed { window: Micros },
    /// None.
    Unsafe,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    pub classes: Vec<Repeats>,
    /// Every time limit is longer by this.
    pub slack: Micros,
    /// After a node was told that a worker drains or is gone, it sends nothing new there once this has passed.
    pub stop_within: Micros,
    /// What was taken later than this after SIGTERM may be lost.
    pub drain_grace: Micros,
    pub fall_window: Micros,
    /// What discovery tells binds the newer process of an upgrade so long after its first yes.
    pub newer_learns: Micros,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    OneAnswer,
    OneEffect,
    QuietDrain,
    GentleStart,
    /// Operators' calls are answered rightly and in time.
    Console,
    /// Clients leave a node that is drained, and find it again afterwards.
    NodeDrain,
    /// A worker that is called out gets nothing, and is used again once it is called back.
    Maintenance,
    /// An upgrade harms two jobs at the most.
    Upgrade,
    /// All processes of a node together keep within the limits of one.
    Size,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
    pub at: Micros,
    pub words: String,
    /// All that was seen of that request, a line each.
    pub story: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.words)?;
        self.story.iter().try_for_each(|line| writeln!(f, "    {line}"))
    }
}

struct Attempt {
    number: u64,
    bay: u32,
    arrived: Micros,
    out: bool,
    may_have_run: bool,
}

struct Try {
    asked: Micros,
    give_up: Micros,
    class: usize,
    node: usize,
    answers: usize,
    missing: Option<(Micros, Missing)>,
    attempts: Vec<Attempt>,
}

struct Arrival {
    at: Micros,
    node: usize,
    work_s: f64,
}

struct Window {
    began: Micros,
    ready: Option<Micros>,
    ended: Option<Micros>,
}

#[derive(Default)]
struct Judge<'a> {
    tries: HashMap<&'a str, Try>,
    owners: HashMap<u64, &'a str>,
    /// By node and worker: since when it is known to drain or to be gone, and the start that was told.
    told: HashMap<(usize, usize), (Option<Micros>, Micros)>,
    arrivals: HashMap<usize, Vec<Arrival>>,
    starts: HashMap<usize, Micros>,
    ends: HashMap<usize, Vec<(Micros, bool)>>,
    sigterms: HashMap<usize, Vec<Micros>>,
    /// By node: when the lab killed one of its two processes.
    kills: HashMap<usize, Vec<Micros>>,
    /// By node: upgrades, from their begin, over the first yes, to their end.
    upgrades: HashMap<usize, Vec<Window>>,
    found: Vec<(Rule, Micros, String, Option<&'a str>)>,
}

/// All breaches, in the order in which they came to light.
pub fn judge(records: &[Record], rules: &Rules) -> Vec<Breach> {
    let mut judge = Judge::default();
    for Record { at, what } in records {
        judge.see(*at, what, rules);
    }
    judge.close(rules);
    let story = |id: Option<&str>, at: Micros| match id {
        Some(id) => tell(records, id),
        None => records.iter().filter(|r| r.at.abs_diff(at) < 2_000_000).filter_map(fleet_line).collect(),
    };
    let own =
        judge.found.into_iter().map(|(rule, at, words, id)| Breach { rule, at, words, story: story(id, at) });
    own.chain(daily::look(records, rules).0).collect()
}

impl<'a> Judge<'a> {
    fn breach(&mut self, rule: Rule, at: Micros, id: Option<&'a str>, words: String) {
        self.found.push((rule, at, words, id));
    }

    fn end(&mut self, attempt: u64, never_ran: bool) {
        let Some(one) = self.owners.get(&attempt).and_then(|id| self.tries.get_mut(id)) else { return };
        if let Some(attempt) = one.attempts.iter_mut().find(|a| a.number == attempt) {
            attempt.out = false;
            attempt.may_have_run &= !never_ran;
        }
    }

    fn see(&mut self, at: Micros, what: &'a What, rules: &Rules) {
        match what {
            What::Asked { id, node, class, give_up_us, .. } => {
                let one = Try {
                    asked: at,
                    give_up: *give_up_us,
                    class: *class,
                    node: *node,
                    answers: 0,
                    missing: None,
                    attempts: Vec::new(),
                };
                self.tries.insert(id, one);
            }
            What::Answered { id, status, good } => self.answered(at, id, *status, *good, rules),
            What::Unanswered { id, why } => {
                if let Some(one) = self.tries.get_mut(id.as_str()) {
                    one.missing = Some((at, *why));
                }
            }
            What::Arrived { attempt, id, node, worker, bay, work_s, head_us } => {
                self.owners.insert(*attempt, id);
                self.arrivals.entry(*worker).or_default().push(Arrival { at, node: *node, work_s: *work_s });
                self.arrived(at, *attempt, id, *bay, rules);
                let since = self.told.get(&(*node, *worker)).and_then(|(since, _)| *since);
                let since = since.map(|since| self.binds(*node, since, rules));
                if since.is_some_and(|since| *head_us > since + rules.stop_within + rules.slack) {
                    let after = head_us.saturating_sub(since.unwrap_or_default()) / 1000;
                    let words = format!(
                        "node {node} sent {id} to worker {worker} {after} ms after it was told of its drain or end"
                    );
                    self.breach(Rule::QuietDrain, at, Some(id), words);
                }
            }
            What::TurnedAway { attempt } | What::Returned { attempt } => self.end(*attempt, true),
            What::Done { attempt } | What::Lost { attempt } | What::Withdrawn { attempt } => {
                self.end(*attempt, false);
            }
            What::Told { node, worker, in_service, started_us } => {
                let since = self.told.get(&(*node, *worker)).and_then(|(since, _)| *since);
                let since = if *in_service { None } else { since.or(Some(at)) };
                self.told.insert((*node, *worker), (since, *started_us));
            }
            What::WorkerStarted { worker } => _ = self.starts.insert(*worker, at),
            What::FellOver { worker } => self.fell(at, *worker, rules),
            What::NodeGone { node, killed } => {
                self.ends.entry(*node).or_default().push((at, *killed));
                // Its next process has been told nothing.
                self.told.retain(|(of, _), _| of != node);
            }
            What::ProcessGone { node, killed: true, .. } => self.kills.entry(*node).or_default().push(at),
            What::UpgradeBegan { node } => {
                let window = Window { began: at, ready: None, ended: None };
                self.upgrades.entry(*node).or_default().push(window);
            }
            What::NewerReady { node } => {
                self.upgrade(*node).into_iter().for_each(|window| window.ready = Some(at));
            }
            What::UpgradeEnded { node } => {
                self.upgrade(*node).into_iter().for_each(|window| window.ended = Some(at));
            }
            What::NodeToldToEnd { node } => self.sigterms.entry(*node).or_default().push(at),
            What::TakenOn { .. } | What::Started { .. } | What::NodeReady { .. } | What::Fault { .. } => {}
            What::Said { .. } | What::Called { .. } | What::Standing { .. } | What::ProcessGone { .. } => {}
        }
    }

    fn upgrade(&mut self, node: usize) -> Option<&mut Window> {
        self.upgrades.get_mut(&node)?.last_mut()
    }

    /// From when a node is bound by what it was told: a newer process has 2 s from its first yes.
    fn binds(&self, node: usize, told: Micros, rules: &Rules) -> Micros {
        let Some(last) = self.upgrades.get(&node).and_then(|all| all.last()) else { return told };
        if told < last.began {
            return told;
        }
        match (last.ready, last.ended) {
            (Some(ready), _) => told.max(ready + rules.newer_learns),
            (None, Some(_)) => told,
            (None, None) => Micros::MAX / 2,
        }
    }

    /// Whether a try's connection ended in an upgrade without a loss that anybody is blamed for: a node reset
    /// it unread, which is harm and counted elsewhere, or it ended with the process that the lab killed. What
    /// the other process holds is still to be answered: its connection stays.
    fn harmed(&self, one: &Try) -> bool {
        let Some((at, why @ (Missing::Reset | Missing::Closed))) = one.missing else { return false };
        let of = |window: &Window| {
            window.began <= at && window.ended.is_none_or(|ended| at <= ended + daily::AFTERMATH)
        };
        let within = self.upgrades.get(&one.node).into_iter().flatten().any(of);
        let mut kills = self.kills.get(&one.node).into_iter().flatten();
        within && why == Missing::Reset && one.attempts.is_empty()
            || kills.any(|kill| kill.abs_diff(at) <= daily::AFTERMATH)
    }

    fn answered(&mut self, at: Micros, id: &'a str, status: u16, good: bool, rules: &Rules) {
        let Some(one) = self.tries.get_mut(id) else { return };
        one.answers += 1;
        let (asked, give_up, answers) = (one.asked, one.give_up, one.answers);
        let ran = one.attempts.iter().any(|attempt| attempt.may_have_run);
        let class = rules.classes[one.class];
        if answers > 1 {
            self.breach(Rule::OneAnswer, at, Some(id), format!("{id} was answered {answers} times"));
        }
        if status == 200 && !good {
            let words = format!("{id} was served with something that no worker made for it");
            self.breach(Rule::OneAnswer, at, Some(id), words);
        }
        if at > asked + give_up + rules.slack {
            let late = (at - asked - give_up) / 1000;
            self.breach(Rule::OneAnswer, at, Some(id), format!("{id} was answered {late} ms after its time"));
        }
        if matches!(status, 429 | 503) && ran && class != Repeats::Safe {
            let words = format!("{id} was refused, which calls a repeat harmless, and may have run");
            self.breach(Rule::OneEffect, at, Some(id), words);
        }
    }

    fn arrived(&mut self, at: Micros, number: u64, id: &'a str, bay: u32, rules: &Rules) {
        let Some(one) = self.tries.get_mut(id) else { return };
        let out = one.attempts.iter().filter(|a| a.out).count();
        let ran: Vec<(u32, Micros)> =
            one.attempts.iter().filter(|a| a.may_have_run).map(|a| (a.bay, a.arrived)).collect();
        one.attempts.push(Attempt { number, bay, arrived: at, out: true, may_have_run: true });
        let words = match (rules.classes[one.class], ran.first()) {
            _ if out > 0 => format!("{id} went out while an attempt of it was out"),
            (Repeats::Unsafe, Some(_)) => {
                format!("{id} went out again and may have run; its class allows no repeat")
            }
            (Repeats::Keyed { .. }, Some((first, _))) if *first != bay => {
                format!("{id} went out again in bay {bay} and may have run in bay {first}")
            }
            (Repeats::Keyed { window }, Some((_, first))) if at > first + window + rules.slack => {
                format!("{id} went out again after the time in which its bay drops repeats")
            }
            _ => return,
        };
        self.breach(Rule::OneEffect, at, Some(id), words);
    }

    fn fell(&mut self, at: Micros, worker: usize, rules: &Rules) {
        let start = self.starts.get(&worker).copied().unwrap_or_default();
        let mut work = [0.0, 0.0];
        for arrival in
            self.arrivals.get(&worker).into_iter().flatten().filter(|a| a.at + rules.fall_window >= at)
        {
            // The list tells starts in milliseconds.
            let told = self.told.get(&(arrival.node, worker));
            let knew = told.is_some_and(|(_, started)| started.abs_diff(start) < 2_000);
            work[usize::from(knew)] += arrival.work_s;
        }
        if work[1] >= 2.0 * work[0] && work[1] > 0.0 {
            let words = format!(
                "worker {worker}, just started, was sent {:.1} s of work by nodes that knew",
                work[1]
            );
            self.breach(Rule::GentleStart, at, None, words);
        }
    }

    /// What never came.
    fn close(&mut self, rules: &Rules) {
        let mut missing = Vec::new();
        for (id, one) in &self.tries {
            let reached = !matches!(one.missing, Some((_, Missing::Unreachable | Missing::NoNode)));
            if one.answers > 0 || !reached || self.harmed(one) {
                continue;
            }
            let until = one.asked + one.give_up + rules.slack;
            let ends = self.ends.get(&one.node).into_iter().flatten();
            let lost = ends.filter(|(end, _)| (one.asked..=until).contains(end)).any(|(end, killed)| {
                // A node that is killed loses what it has; one that ends by itself only what came when it was late.
                let told = self.sigterms.get(&one.node).into_iter().flatten().rfind(|told| *told <= end);
                *killed || told.is_some_and(|told| one.asked > told + rules.drain_grace)
            });
            if !lost {
                missing.push((one.asked, *id, one.node, one.missing.map(|(_, why)| why)));
            }
        }
        // A map's order is not the same in every run.
        missing.sort_by_key(|(asked, id, ..)| (*asked, *id));
        for (asked, id, node, why) in missing {
            self.breach(
                Rule::OneAnswer,
                asked,
                Some(id),
                format!("{id} had no answer from node {node}: {why:?}"),
            );
        }
    }
}

/// The story of a request, a line for each thing that was seen of it.
pub fn tell(records: &[Record], id: &str) -> Vec<String> {
    let mut own = Vec::new();
    let mut lines = Vec::new();
    for Record { at, what } in records {
        let at = *at as f64 / 1e6;
        let words = match what {
            What::Asked { id: of, node, class, give_up_us, .. } if of == id => {
                format!("asked of node {node}, class {class}, for {:.2} s", *give_up_us as f64 / 1e6)
            }
            What::Answered { id: of, status, good } if of == id => {
                format!(
                    "answered {status}{}",
                    if *status == 200 && !good { ", not with its result" } else { "" }
                )
            }
            What::Unanswered { id: of, why } if of == id => format!("no answer: {why:?}"),
            What::Arrived { attempt, id: of, node, worker, bay, .. } if of == id => {
                own.push(*attempt);
                format!("attempt {attempt} of node {node} arrived at worker {worker} in bay {bay}")
            }
            What::TakenOn { attempt } if own.contains(attempt) => format!("attempt {attempt} taken on"),
            What::TurnedAway { attempt } if own.contains(attempt) => format!("attempt {attempt} turned away"),
            What::Started { attempt } if own.contains(attempt) => format!("attempt {attempt} started"),
            What::Done { attempt } if own.contains(attempt) => format!("attempt {attempt} done"),
            What::Returned { attempt } if own.contains(attempt) => format!("attempt {attempt} handed back"),
            What::Lost { attempt } if own.contains(attempt) => format!("attempt {attempt} lost"),
            What::Withdrawn { attempt } if own.contains(attempt) => format!("attempt {attempt} withdrawn"),
            _ => continue,
        };
        lines.push(format!("{at:9.3} s  {words}"));
    }
    lines
}

fn fleet_line(record: &Record) -> Option<String> {
    let at = record.at as f64 / 1e6;
    match &record.what {
        What::Told { node, worker, in_service, .. } => {
            Some(format!("{at:9.3} s  node {node} told: worker {worker} in service: {in_service}"))
        }
        What::WorkerStarted { worker } => Some(format!("{at:9.3} s  worker {worker} started")),
        What::FellOver { worker } => Some(format!("{at:9.3} s  worker {worker} fell over")),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules() -> Rules {
        let classes = vec![Repeats::Safe, Repeats::Keyed { window: 40_000_000 }, Repeats::Unsafe];
        Rules {
            classes,
            slack: 50_000,
            stop_within: 750_000,
            drain_grace: 700_000,
            fall_window: 2_000_000,
            newer_learns: 2_000_000,
        }
    }

    fn asked(at: Micros, class: usize) -> (Micros, What) {
        let id = "r".to_owned();
        (at, What::Asked { id, job: 0, node: 0, class, give_up_us: 1_000_000, late_us: 0 })
    }

    fn answered(at: Micros, status: u16) -> (Micros, What) {
        (at, What::Answered { id: "r".into(), status, good: true })
    }

    fn arrived(at: Micros, attempt: u64, bay: u32) -> (Micros, What) {
        let worker = attempt as usize;
        (at, What::Arrived { attempt, id: "r".into(), node: 0, worker, bay, work_s: 1.0, head_us: at })
    }

    fn found(seen: &[(Micros, What)]) -> Vec<Rule> {
        let records: Vec<_> = seen.iter().map(|(at, what)| Record { at: *at, what: what.clone() }).collect();
        judge(&records, &rules()).into_iter().map(|breach| breach.rule).collect()
    }

    #[test]
    fn an_answer_may_be_missing_only_where_its_node_was_killed_or_it_came_late_in_a_drain() {
        let gone = |at, killed| (at, What::NodeGone { node: 0, killed });
        let sigterm = |at| (at, What::NodeToldToEnd { node: 0 });
        let missing = |why| (900_000, What::Unanswered { id: "r".into(), why });
        for (seen, broken) in [
            (vec![asked(0, 0), answered(1_050_000, 200)], false),
            (vec![asked(0, 0), answered(1_050_001, 200)], true),
            (vec![asked(0, 0), answered(1, 502), answered(2, 200)], true),
            (vec![asked(0, 0), missing(Missing::Closed)], true),
            (vec![asked(0, 0)], true),
            (vec![asked(0, 0), missing(Missing::Unreachable)], false),
            (vec![asked(0, 0), gone(500_000, true), missing(Missing::Closed)], false),
            (vec![gone(0, true), asked(100, 0), missing(Missing::Closed)], true),
            (vec![sigterm(0), asked(700_001, 0), gone(800_000, false), missing(Missing::Closed)], false),
            (vec![sigterm(0), asked(700_000, 0), gone(800_000, false), missing(Missing::Closed)], true),
        ] {
            assert_eq!(!found(&seen).is_empty(), broken, "{seen:?}");
        }
    }

    #[test]
    fn what_may_have_run_goes_out_again_only_as_its_class_allows_and_never_beside_itself() {
        let (lost, back) = (|n| (1, What::Lost { attempt: n }), |n| (1, What::Returned { attempt: n }));
        for (class, end, bay, at, broken) in [
            (0, Some(lost(1)), 2, 2, false),
            (0, None, 1, 2, true),
            (1, Some(lost(1)), 1, 2, false),
            (1, Some(lost(1)), 2, 2, true),
            (1, Some(back(1)), 2, 2, false),
            (1, Some(lost(1)), 1, 40_050_002, true),
            (2, Some(lost(1)), 1, 2, true),
            (2, Some(back(1)), 2, 2, false),
        ] {
            let mut seen = vec![asked(0, class), arrived(1, 1, 1)];
            seen.extend(end.clone());
            seen.extend([arrived(at, 2, bay), answered(900_000, 200)]);
            assert_eq!(found(&seen), if broken { vec![Rule::OneEffect] } else { vec![] }, "{seen:?}");
        }
        // A refusal says that a repeat is harmless.
        for (class, end, broken) in
            [(0, lost(1), false), (1, lost(1), true), (2, lost(1), true), (2, back(1), false)]
        {
            let seen = [asked(0, class), arrived(1, 1, 1), end, answered(9, 503)];
            assert_eq!(found(&seen), if broken { vec![Rule::OneEffect] } else { vec![] }, "{seen:?}");
        }
    }

    #[test]
    fn in_an_upgrade_what_was_never_read_is_harm_and_what_a_living_process_holds_is_owed() {
        let missing = |at, why| (at, What::Unanswered { id: "r".into(), why });
        let began = (5, What::UpgradeBegan { node: 0 });
        let ended = |at| (at, What::UpgradeEnded { node: 0 });
        let killed = (200_000, What::ProcessGone { node: 0, newer: false, killed: true });
        for (seen, broken) in [
            (vec![began.clone(), asked(9, 2), missing(99, Missing::Reset)], false),
            (vec![began.clone(), asked(9, 2), missing(99, Missing::Closed)], true),
            (vec![began.clone(), asked(9, 2), arrived(20, 1, 1), missing(99, Missing::Reset)], true),
            (vec![began.clone(), ended(7), asked(9, 2), missing(500_007, Missing::Reset)], false),
            (vec![began.clone(), ended(7), asked(9, 2), missing(500_008, Missing::Reset)], true),
            (vec![began.clone(), asked(9, 2), arrived(20, 1, 1), killed.clone()], true),
            (vec![began.clone(), asked(9, 2), killed.clone(), missing(200_100, Missing::Closed)], false),
            (vec![began.clone(), asked(9, 2), killed.clone(), missing(900_000, Missing::Closed)], true),
            (vec![began, asked(9, 2), killed, missing(900_000, Missing::Late)], true),
        ] {
            assert_eq!(!found(&seen).is_empty(), broken, "{seen:?}");
        }
    }

    #[test]
    fn a_newer_process_is_bound_by_the_list_2_s_after_its_first_yes() {
        let told = (100_000, What::Told { node: 0, worker: 1, in_service: false, started_us: 0 });
        let began = |at| (at, What::UpgradeBegan { node: 0 });
        let ready = (200_000, What::NewerReady { node: 0 });
        for (seen, at, broken) in [
            (vec![began(5), told.clone(), ready.clone()], 3_000_000, false),
            (vec![began(5), told.clone(), ready.clone()], 3_000_001, true),
            (vec![told.clone(), began(150_000), ready.clone()], 950_000, true),
            (vec![began(5), told], 9_000_000, false),
        ] {
            let last = [(at, asked(0, 0).1), arrived(at, 1, 1), answered(at + 9, 200)];
            let seen: Vec<_> = seen.into_iter().chain(last).collect();
            assert_eq!(found(&seen), if broken { vec![Rule::QuietDrain] } else { vec![] }, "{seen:?}");
        }
    }

    #[test]
    fn a_worker_that_drains_is_left_alone_in_time_until_it_is_in_service_again() {
        let told = |at, in_service| (at, What::Told { node: 0, worker: 1, in_service, started_us: 0 });
        for (seen, broken) in [
            (vec![told(0, false), asked(1, 0), arrived(800_000, 1, 1)], false),
            (vec![told(0, false), asked(1, 0), arrived(800_001, 1, 1)], true),
            (vec![told(0, false), told(700_000, false), asked(1, 0), arrived(900_000, 1, 1)], true),
            (vec![told(0, false), told(1, true), asked(1, 0), arrived(900_000, 1, 1)], false),
        ] {
            let seen: Vec<_> = seen.into_iter().chain([answered(950_000, 200)]).collect();
            assert_eq!(found(&seen), if broken { vec![Rule::QuietDrain] } else { vec![] }, "{seen:?}");
        }
    }
}

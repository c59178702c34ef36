//! A model of the processes of one node and of the links between them. Links deliver in order, delay and get
//! lost; processes terminate and are killed. The decisions of each process are those of the crate.

use std::collections::{HashMap, VecDeque};

use curlewusher_control::phase::Phase;
use curlewusher_control::takeover::{
    DescriptorShare, JobClaims, LinkRole, LocalOwnership, RejectReason, Role, Takeover, TakeoverCommand,
    TakeoverEvent,
};
use proptest::prelude::*;

/// Most processes that are started in one run.
pub const MAX_PROCESSES: usize = 3;
/// Ids of the jobs that clients send.
pub const JOB_IDS: [&str; 2] = ["a", "b"];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Message {
    RequestTakeover,
    GrantTakeover,
    HandBack,
    Claim(&'static str),
    ClaimResult { id: &'static str, granted: bool },
}

/// One end of a link.
#[derive(Clone, Debug)]
struct Endpoint {
    process: usize,
    /// Messages in transit to this end.
    in_transit: VecDeque<Message>,
    /// The other end is closed.
    closed: bool,
}

impl Endpoint {
    fn new(process: usize) -> Endpoint {
        Endpoint { process, in_transit: VecDeque::new(), closed: false }
    }
}

/// How a process came to own a job.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ownership {
    /// The other process granted its claim.
    Granted,
    /// There was no other process that could claim the job, or the link was lost.
    Unchecked,
}

#[derive(Clone, Debug)]
struct Process {
    takeover: Takeover,
    claims: JobClaims,
    /// Index of its link, and which end of that is its own.
    link: Option<(usize, usize)>,
    alive: bool,
    accepting: bool,
    share: Option<DescriptorShare>,
    phase: Phase,
    /// It has an endpoint list of its own.
    has_endpoints: bool,
    /// SIGTERM has arrived.
    terminating: bool,
    jobs: HashMap<&'static str, Ownership>,
}

impl Process {
    fn is_predecessor(&self) -> bool {
        matches!(self.takeover.role(), Role::AcceptingPredecessor | Role::SupersededPredecessor)
    }

    fn half_shares(&self) -> usize {
        match self.share {
            None => 0,
            Some(DescriptorShare::Half) => 1,
            Some(DescriptorShare::All) => 2,
        }
    }

    fn has_pending_claim(&self, id: &str) -> bool {
        !self.claims.clone().try_claim(id)
    }

    fn can_serve(&self) -> bool {
        self.has_endpoints && !self.terminating
    }

    fn serves(&self) -> bool {
        self.accepting && !self.terminating
    }
}

/// Processes of one node, in the order of their starts, and the links between them.
#[derive(Clone, Debug, Default)]
pub struct Network {
    processes: Vec<Process>,
    links: Vec<[Endpoint; 2]>,
    /// The process that listens for successors at the node's rendezvous.
    rendezvous: Option<usize>,
    /// A link was lost between two processes that go on, or was never made: neither can know of the other.
    partitioned: bool,
}

impl Network {
    /// Does one thing, as far as it is possible.
    pub fn step(&mut self, action: u8, process: usize, id: usize) {
        let count = self.processes.len();
        if count == 0 || (action == 0 && count < MAX_PROCESSES) {
            return self.start_process();
        }
        let process = process % count;
        if !self.processes[process].alive {
            return;
        }
        match action {
            1 | 2 => _ = self.handle(process, TakeoverEvent::EndpointsAvailable),
            3 => _ = self.handle(process, TakeoverEvent::Terminate),
            4 => self.kill(process),
            5 => self.lose_link_of(process),
            6..=8 => self.submit_job(process, JOB_IDS[id]),
            9 => _ = self.processes[process].jobs.remove(JOB_IDS[id]),
            _ => _ = self.deliver_next(process),
        }
    }

    fn start_process(&mut self) {
        let index = self.processes.len();
        let listener = self.rendezvous.filter(|listener| self.processes[*listener].alive);
        let hello = TakeoverEvent::Hello { node: "n".into(), listen: "l".into() };
        let response = listener.map(|listener| self.handle(listener, hello));
        let is_accepted = response.iter().flatten().any(|command| *command == TakeoverCommand::AcceptHello);
        let predecessor = listener.filter(|_| is_accepted);
        match response.as_deref() {
            // The process has done nothing yet and sends its hello again later.
            Some([TakeoverCommand::RejectHello(RejectReason::Busy)]) => return,
            Some([TakeoverCommand::RejectHello(_)]) => self.partitioned = true,
            // The predecessor was killed, and its successor does not know it yet and does not listen.
            None => self.partitioned = self.partitioned || self.living().next().is_some(),
            _ => {}
        }
        let (takeover, commands) = match predecessor {
            Some(_) => Takeover::with_predecessor("n", "l"),
            None => Takeover::without_predecessor("n", "l"),
        };
        let link = predecessor.map(|predecessor| self.connect(predecessor, index));
        self.processes.push(Process {
            takeover,
            claims: JobClaims::new(LinkRole::Successor),
            link,
            alive: true,
            accepting: false,
            share: None,
            phase: Phase::Starting { drained: false },
            has_endpoints: false,
            terminating: false,
            jobs: HashMap::new(),
        });
        self.carry_out(index, &commands);
    }

    /// Links both processes and returns the successor's end.
    fn connect(&mut self, predecessor: usize, successor: usize) -> (usize, usize) {
        let link = self.links.len();
        self.links.push([Endpoint::new(predecessor), Endpoint::new(successor)]);
        self.processes[predecessor].link = Some((link, 0));
        self.processes[predecessor].claims = JobClaims::new(LinkRole::Predecessor);
        (link, 1)
    }

    fn handle(&mut self, index: usize, event: TakeoverEvent) -> Vec<TakeoverCommand> {
        let process = &mut self.processes[index];
        process.has_endpoints |= event == TakeoverEvent::EndpointsAvailable;
        process.terminating |= event == TakeoverEvent::Terminate;
        let commands = process.takeover.handle(event);
        self.carry_out(index, &commands);
        commands
    }

    fn carry_out(&mut self, index: usize, commands: &[TakeoverCommand]) {
        for command in commands {
            let process = &mut self.processes[index];
            match *command {
                TakeoverCommand::AcceptHello | TakeoverCommand::RejectHello(_) => {}
                TakeoverCommand::RequestTakeover => self.send(index, Message::RequestTakeover),
                TakeoverCommand::GrantTakeover => self.send(index, Message::GrantTakeover),
                TakeoverCommand::HandBack => self.send(index, Message::HandBack),
                TakeoverCommand::CloseLink => {
                    // It has accepted no connection, and accepts none.
                    process.share = None;
                    self.close(index);
                }
                TakeoverCommand::StartAccepting => process.accepting = true,
                TakeoverCommand::StopAccepting => process.accepting = false,
                TakeoverCommand::ApplyPhaseEvent(event) => {
                    process.phase = process.phase.next(event).expect("a transition of the table");
                }
                TakeoverCommand::SetDescriptorShare(share) => process.share = Some(share),
                TakeoverCommand::ListenForSuccessor => self.rendezvous = Some(index),
            }
        }
    }

    fn send(&mut self, index: usize, message: Message) {
        if let Some((link, end)) = self.processes[index].link
            && !self.links[link][end].closed
        {
            self.links[link][1 - end].in_transit.push_back(message);
        }
    }

    /// Closes the end of a process: what it sent still arrives, what is in transit to it does not.
    fn close(&mut self, index: usize) {
        if let Some((link, end)) = self.processes[index].link.take() {
            self.links[link][1 - end].closed = true;
            self.links[link][end].in_transit.clear();
        }
    }

    fn kill(&mut self, index: usize) {
        self.close(index);
        let process = &mut self.processes[index];
        process.alive = false;
        process.accepting = false;
        process.jobs.clear();
    }

    /// Loses a link with all that is in transit on it.
    fn lose_link_of(&mut self, index: usize) {
        let Some((link, _)) = self.processes[index].link else { return };
        self.partitioned |= self.links[link].iter().all(|end| !end.closed);
        // What was granted over it does not bind what is claimed elsewhere from now on.
        for end in &self.links[link] {
            let jobs = &mut self.processes[end.process].jobs;
            for ownership in jobs.values_mut() {
                *ownership = Ownership::Unchecked;
            }
        }
        for end in &mut self.links[link] {
            end.in_transit.clear();
            end.closed = true;
        }
    }

    /// Delivers the next message to a process, or the loss of its link; whether there was one.
    fn deliver_next(&mut self, index: usize) -> bool {
        let Some((link, end)) = self.processes[index].link else { return false };
        match self.links[link][end].in_transit.pop_front() {
            Some(message) => self.receive(index, message),
            None if self.links[link][end].closed => self.receive_link_loss(index),
            None => return false,
        }
        true
    }

    fn receive_link_loss(&mut self, index: usize) {
        self.close(index);
        self.handle(index, TakeoverEvent::LinkLost);
        let process = &mut self.processes[index];
        let pending: Vec<_> = JOB_IDS.into_iter().filter(|id| process.has_pending_claim(id)).collect();
        for id in pending {
            process.claims.release(id);
            process.jobs.insert(id, Ownership::Unchecked);
        }
    }

    fn receive(&mut self, index: usize, message: Message) {
        match message {
            Message::RequestTakeover => _ = self.handle(index, TakeoverEvent::TakeoverRequested),
            Message::GrantTakeover => _ = self.handle(index, TakeoverEvent::TakeoverGranted),
            Message::HandBack => _ = self.handle(index, TakeoverEvent::HandedBack),
            Message::Claim(id) => {
                let process = &self.processes[index];
                let ownership = if process.jobs.contains_key(id) {
                    LocalOwnership::Owned
                } else {
                    LocalOwnership::NotOwned
                };
                let granted = process.claims.allows_peer_claim(id, ownership);
                self.send(index, Message::ClaimResult { id, granted });
            }
            Message::ClaimResult { id, granted } => {
                let process = &mut self.processes[index];
                process.claims.release(id);
                if granted {
                    process.jobs.insert(id, Ownership::Granted);
                }
            }
        }
    }

    /// A client sends a job to a process.
    fn submit_job(&mut self, index: usize, id: &'static str) {
        let process = &mut self.processes[index];
        // A predecessor that has handed over keeps its open connections.
        let reachable = process.accepting || process.is_predecessor();
        if !reachable || process.jobs.contains_key(id) {
            return;
        }
        match process.link {
            None => _ = process.jobs.insert(id, Ownership::Unchecked),
            Some(_) if process.claims.try_claim(id) => self.send(index, Message::Claim(id)),
            Some(_) => {}
        }
    }

    fn living(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.alive)
    }

    /// Checks what holds at any time, and then what holds once all messages are delivered.
    pub fn check(&self) -> Result<(), TestCaseError> {
        for id in JOB_IDS {
            let owners = self.living().filter(|process| process.jobs.get(id) == Some(&Ownership::Granted));
            prop_assert!(owners.count() < 2, "both own {id}: {self:#?}");
        }
        let used: usize = self.living().map(Process::half_shares).sum();
        prop_assert!(used <= 2 || self.partitioned, "{used} half shares in use: {self:#?}");
        for process in self.living() {
            prop_assert_eq!(process.terminating, process.phase.is_shutting_down());
        }
        self.with_all_delivered().check_quiescent()
    }

    /// The network as it becomes when nothing but deliveries happens any more.
    fn with_all_delivered(&self) -> Network {
        let mut network = self.clone();
        while (0..network.processes.len())
            .any(|index| network.processes[index].alive && network.deliver_next(index))
        {}
        network
    }

    fn check_quiescent(&self) -> Result<(), TestCaseError> {
        let is_served = self.living().any(Process::serves);
        prop_assert!(is_served || !self.living().any(Process::can_serve), "nobody accepts: {self:#?}");
        let has_all_descriptors = |process: &Process| process.share == Some(DescriptorShare::All);
        prop_assert!(
            self.living()
                .all(|process| process.link.is_some() || has_all_descriptors(process) || process.terminating),
            "{self:#?}"
        );
        let is_found = self.rendezvous.is_some_and(|index| self.processes[index].alive);
        prop_assert!(is_found || !is_served || self.partitioned, "no successor finds it: {self:#?}");
        Ok(())
    }
}

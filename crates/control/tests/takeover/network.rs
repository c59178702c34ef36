//! Model of the processes of one node and of the links between them. A link delivers messages in order and
//! after any delay, and can be lost with the messages in transit. Processes can terminate and be killed. The
//! crate under test makes the decisions of each process.

use std::collections::{HashMap, VecDeque};

use curlewusher_control::phase::Phase;
use curlewusher_control::takeover::{
    DescriptorShare, JobClaims, LinkRole, LocalOwnership, RejectReason, Role, Takeover, TakeoverCommand,
    TakeoverEvent,
};
use proptest::prelude::*;

/// Maximum number of processes that are started in one run.
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
struct LinkEnd {
    process: usize,
    /// Messages in transit to this end.
    in_transit: VecDeque<Message>,
    /// Whether the other end is closed.
    closed: bool,
}

impl LinkEnd {
    fn new(process: usize) -> LinkEnd {
        LinkEnd { process, in_transit: VecDeque::new(), closed: false }
    }
}

/// Reason for which a process owns a job.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ownership {
    /// The peer granted the claim of the process.
    Granted,
    /// No peer was linked that could claim the job, or the link was lost.
    Unchecked,
}

#[derive(Clone, Debug)]
struct Process {
    takeover: Takeover,
    claims: JobClaims,
    /// Index of the link of the process, and index of its own end of that link.
    link: Option<(usize, usize)>,
    alive: bool,
    accepting: bool,
    share: Option<DescriptorShare>,
    phase: Phase,
    /// Whether the process has its own endpoint list.
    has_endpoints: bool,
    /// Whether SIGTERM has arrived.
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

/// Processes of one node, in the order in which they started, and the links between them.
#[derive(Clone, Debug, Default)]
pub struct Network {
    processes: Vec<Process>,
    links: Vec<[LinkEnd; 2]>,
    /// Index of the process that listens for successors at the node's rendezvous.
    rendezvous: Option<usize>,
    /// Whether a link between two running processes was lost or never established, so that neither can detect
    /// the other. The node excludes the former: a process closes its link only when it gives up the node.
    partitioned: bool,
}

impl Network {
    /// Executes one action if it is possible in the current state.
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
            5 => self.lose_link(process),
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
            // The new process does not serve yet, and sends its hello again later.
            Some([TakeoverCommand::RejectHello(RejectReason::Busy)]) => return,
            Some([TakeoverCommand::RejectHello(_)]) => self.partitioned = true,
            // If another process is alive, its predecessor was killed. The process has not detected the loss
            // yet and does not listen.
            None => self.partitioned = self.partitioned || self.alive_processes().next().is_some(),
            _ => {}
        }
        let (takeover, commands) = match predecessor {
            Some(_) => Takeover::start_successor("n", "l"),
            None => Takeover::start_single("n", "l"),
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
        self.execute(index, &commands);
    }

    /// Links both processes. Returns the index of the link and of the successor's end.
    fn connect(&mut self, predecessor: usize, successor: usize) -> (usize, usize) {
        let link = self.links.len();
        self.links.push([LinkEnd::new(predecessor), LinkEnd::new(successor)]);
        self.processes[predecessor].link = Some((link, 0));
        self.processes[predecessor].claims = JobClaims::new(LinkRole::Predecessor);
        (link, 1)
    }

    fn handle(&mut self, index: usize, event: TakeoverEvent) -> Vec<TakeoverCommand> {
        let process = &mut self.processes[index];
        process.has_endpoints |= event == TakeoverEvent::EndpointsAvailable;
        process.terminating |= event == TakeoverEvent::Terminate;
        let commands = process.takeover.handle(event);
        self.execute(index, &commands);
        commands
    }

    fn execute(&mut self, index: usize, commands: &[TakeoverCommand]) {
        for command in commands {
            let process = &mut self.processes[index];
            match *command {
                TakeoverCommand::AcceptHello | TakeoverCommand::RejectHello(_) => {}
                TakeoverCommand::RequestTakeover => self.send(index, Message::RequestTakeover),
                TakeoverCommand::GrantTakeover => self.send(index, Message::GrantTakeover),
                TakeoverCommand::HandBack => self.send(index, Message::HandBack),
                TakeoverCommand::CloseLink => {
                    // The process has accepted no connection and will accept none.
                    process.share = None;
                    self.close(index);
                }
                TakeoverCommand::StartAccepting => process.accepting = true,
                TakeoverCommand::StopAccepting => process.accepting = false,
                TakeoverCommand::ApplyPhaseEvent(event) => {
                    process.phase =
                        process.phase.next(event).expect("the transition table does not allow the event");
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

    /// Closes a process's end of its link. Messages that the process has sent still arrive. Messages in
    /// transit to the process are lost.
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

    /// Loses the link of a process with all messages in transit on it.
    fn lose_link(&mut self, index: usize) {
        let Some((link, _)) = self.processes[index].link else { return };
        self.partitioned |= self.links[link].iter().all(|end| !end.closed);
        // Claims granted over the lost link do not restrict later claims over other links.
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

    /// Delivers the next message or the loss of the link to a process. Returns whether there was one to
    /// deliver.
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

    /// Sends a client's job to a process.
    fn submit_job(&mut self, index: usize, id: &'static str) {
        let process = &mut self.processes[index];
        // A superseded predecessor keeps its open connections.
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

    fn alive_processes(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.alive)
    }

    /// Checks the invariants of the current state, and those of the state after delivery of all messages.
    pub fn check(&self) -> Result<(), TestCaseError> {
        for id in JOB_IDS {
            let owners =
                self.alive_processes().filter(|process| process.jobs.get(id) == Some(&Ownership::Granted));
            prop_assert!(owners.count() < 2, "two processes own {id}: {self:#?}");
        }
        let used_shares: usize = self.alive_processes().map(Process::half_shares).sum();
        prop_assert!(
            used_shares <= 2 || self.partitioned,
            "{used_shares} half shares of the descriptors are in use: {self:#?}"
        );
        let serving = self.alive_processes().filter(|process| process.serves()).count();
        prop_assert!(serving < 2 || self.partitioned, "{serving} processes serve: {self:#?}");
        for process in self.alive_processes() {
            prop_assert_eq!(process.terminating, process.phase.is_shutting_down());
        }
        self.with_all_delivered().check_quiescent()
    }

    /// Returns the network after delivery of all messages, without any other events.
    fn with_all_delivered(&self) -> Network {
        let mut network = self.clone();
        while (0..network.processes.len())
            .any(|index| network.processes[index].alive && network.deliver_next(index))
        {}
        network
    }

    fn check_quiescent(&self) -> Result<(), TestCaseError> {
        let is_served = self.alive_processes().any(Process::serves);
        prop_assert!(
            is_served || !self.alive_processes().any(Process::can_serve),
            "no process accepts connections: {self:#?}"
        );
        let has_all_descriptors = |process: &Process| process.share == Some(DescriptorShare::All);
        prop_assert!(
            self.alive_processes()
                .all(|process| process.link.is_some() || has_all_descriptors(process) || process.terminating),
            "{self:#?}"
        );
        let can_be_found = self.rendezvous.is_some_and(|index| self.processes[index].alive);
        prop_assert!(
            can_be_found || !is_served || self.partitioned,
            "a successor cannot find the serving process: {self:#?}"
        );
        Ok(())
    }
}

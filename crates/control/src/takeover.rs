//! Owns the decision which of two processes of one node has what, until when: new connections, descriptors,
//! jobs and call-backs. It must never do any of it, and never know how the two reach each other.

use std::collections::HashMap;

pub use crate::frame::RejectReason;
use crate::phase::PhaseEvent;

/// What a process is to the other process of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// There is no other that it can hear.
    Single,
    /// The other came later.
    Predecessor {
        /// New connections are the other's.
        handed_over: bool,
    },
    /// The other was there first.
    Successor {
        /// New connections are this one's.
        took_over: bool,
    },
}

/// What happens to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverEvent {
    /// Another process asks to be the successor.
    Hello {
        /// Name of its node.
        node: String,
        /// Where clients reach its node.
        listen: String,
    },
    /// This process's own list of core workers is there.
    EndpointsAvailable,
    /// The younger one is ready and asks for the new connections.
    TakeoverRequested,
    /// The elder answered: the new connections are this one's.
    TakeoverGranted,
    /// The younger one took over, was told to end, and gives the node back.
    HandedBack,
    /// The other cannot be heard any more.
    LinkLost,
    /// SIGTERM.
    Terminate,
}

/// A share of the descriptors that one node may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorShare {
    /// While both run.
    Half,
    /// For the only one.
    All,
}

/// What a process is to do, in the order given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCommand {
    /// Answer the hello: it is the successor.
    SendWelcome,
    /// Answer the hello: it is not, and why.
    RejectHello(RejectReason),
    /// Ask the elder for the new connections.
    RequestTakeover,
    /// Answer the younger: the new connections are its.
    GrantTakeover,
    /// Tell the elder to take the node back.
    HandBack,
    /// Close the link.
    CloseLink,
    /// Take new connections.
    StartAccepting,
    /// Take no more; the listener stays open, or what waits in its queue would be reset.
    StopAccepting,
    /// Move to another phase.
    ApplyPhaseEvent(PhaseEvent),
    /// Use this share.
    SetDescriptorShare(DescriptorShare),
    /// Wait for the next successor at the known place, whoever waited there before.
    ListenForSuccessor,
}

/// One process's part in the succession.
#[derive(Clone, Debug)]
pub struct Takeover {
    node: String,
    listen: String,
    role: Role,
    mapped: bool,
    /// Its phase has left Starting, with a map of its own or the younger one's.
    listed: bool,
    ending: bool,
}

impl Takeover {
    /// A process that found no other: it serves at once.
    pub fn without_predecessor(node: &str, listen: &str) -> (Takeover, Vec<TakeoverCommand>) {
        let deeds = vec![
            TakeoverCommand::SetDescriptorShare(DescriptorShare::All),
            TakeoverCommand::StartAccepting,
            TakeoverCommand::ListenForSuccessor,
        ];
        (Self::new(node, listen, Role::Single), deeds)
    }

    /// A process whose hello was answered with a welcome: it waits until it has a list of core workers.
    pub fn with_predecessor(node: &str, listen: &str) -> (Takeover, Vec<TakeoverCommand>) {
        let deeds = vec![TakeoverCommand::SetDescriptorShare(DescriptorShare::Half)];
        (Self::new(node, listen, Role::Successor { took_over: false }), deeds)
    }

    fn new(node: &str, listen: &str, role: Role) -> Takeover {
        let (node, listen) = (node.to_owned(), listen.to_owned());
        Takeover { node, listen, role, mapped: false, listed: false, ending: false }
    }

    /// What it is to the other.
    pub fn role(&self) -> Role {
        self.role
    }

    /// What is to be done about an event. One that does not fit the role, as when two cross, asks for
    /// nothing.
    pub fn handle(&mut self, event: TakeoverEvent) -> Vec<TakeoverCommand> {
        match event {
            TakeoverEvent::Hello { node, listen } => self.hello(&node, &listen),
            TakeoverEvent::EndpointsAvailable => self.map_there(),
            TakeoverEvent::TakeoverRequested => self.take_over_asked(),
            TakeoverEvent::TakeoverGranted => self.took_over(),
            TakeoverEvent::HandedBack => self.given_back(),
            TakeoverEvent::LinkLost => self.link_lost(),
            TakeoverEvent::Terminate => self.terminate(),
        }
    }

    fn hello(&mut self, node: &str, listen: &str) -> Vec<TakeoverCommand> {
        let why = if node != self.node || listen != self.listen {
            RejectReason::OtherNode
        } else if self.role != Role::Single {
            RejectReason::Busy
        } else if self.ending {
            RejectReason::ShuttingDown
        } else {
            self.role = Role::Predecessor { handed_over: false };
            return vec![
                TakeoverCommand::SetDescriptorShare(DescriptorShare::Half),
                TakeoverCommand::SendWelcome,
            ];
        };
        vec![TakeoverCommand::RejectHello(why)]
    }

    fn map_there(&mut self) -> Vec<TakeoverCommand> {
        if std::mem::replace(&mut self.mapped, true) || self.ending {
            return vec![];
        }
        match self.role {
            Role::Successor { took_over: false } => vec![TakeoverCommand::RequestTakeover],
            _ => self.list().into_iter().collect(),
        }
    }

    fn list(&mut self) -> Option<TakeoverCommand> {
        let new = !std::mem::replace(&mut self.listed, true);
        new.then_some(TakeoverCommand::ApplyPhaseEvent(PhaseEvent::EndpointsAvailable))
    }

    fn take_over_asked(&mut self) -> Vec<TakeoverCommand> {
        if self.role != (Role::Predecessor { handed_over: false }) {
            return vec![];
        }
        self.role = Role::Predecessor { handed_over: true };
        let mut deeds = vec![TakeoverCommand::StopAccepting];
        // An end is never left.
        if !self.ending {
            self.listed = true;
            deeds.push(TakeoverCommand::ApplyPhaseEvent(PhaseEvent::HandedOver));
        }
        // Last: from here on the other one accepts.
        deeds.push(TakeoverCommand::GrantTakeover);
        deeds
    }

    fn took_over(&mut self) -> Vec<TakeoverCommand> {
        if self.role != (Role::Successor { took_over: false }) {
            return vec![];
        }
        self.role = Role::Successor { took_over: true };
        self.go_on()
    }

    fn given_back(&mut self) -> Vec<TakeoverCommand> {
        if self.ending || self.role != (Role::Predecessor { handed_over: true }) {
            return vec![];
        }
        self.role = Role::Predecessor { handed_over: false };
        Self::take_back()
    }

    fn take_back() -> Vec<TakeoverCommand> {
        vec![
            TakeoverCommand::StartAccepting,
            TakeoverCommand::ApplyPhaseEvent(PhaseEvent::TookBack),
            TakeoverCommand::ListenForSuccessor,
        ]
    }

    fn link_lost(&mut self) -> Vec<TakeoverCommand> {
        let deeds = match std::mem::replace(&mut self.role, Role::Single) {
            Role::Single => return vec![],
            Role::Predecessor { handed_over: true } if !self.ending => Self::take_back(),
            Role::Successor { took_over: false } => self.go_on(),
            Role::Predecessor { .. } | Role::Successor { took_over: true } => vec![],
        };
        [vec![TakeoverCommand::SetDescriptorShare(DescriptorShare::All)], deeds].concat()
    }

    /// A younger process serves from here on.
    fn go_on(&mut self) -> Vec<TakeoverCommand> {
        let listed = if self.mapped { self.list() } else { None };
        [Some(TakeoverCommand::StartAccepting), listed, Some(TakeoverCommand::ListenForSuccessor)]
            .into_iter()
            .flatten()
            .collect()
    }

    fn terminate(&mut self) -> Vec<TakeoverCommand> {
        if std::mem::replace(&mut self.ending, true) {
            return vec![];
        }
        let mut deeds = vec![TakeoverCommand::ApplyPhaseEvent(PhaseEvent::Terminate)];
        match self.role {
            Role::Successor { took_over: true } => deeds.push(TakeoverCommand::HandBack),
            Role::Successor { took_over: false } => {
                // The elder may have handed over in this moment: that the link is gone makes it take back.
                self.role = Role::Single;
                deeds.push(TakeoverCommand::CloseLink);
            }
            Role::Single | Role::Predecessor { .. } => {}
        }
        deeds
    }
}

/// What becomes of a call-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallbackRoute {
    /// Its job is held here.
    Local,
    /// The other process may hold its job, and hears it before the next hop is answered.
    Forward,
    /// Nobody holds its job.
    Unknown,
}

/// Where a call-back goes. For one that the other process has passed on, `linked` is false: it is not sent
/// back.
pub fn route_callback(held_here: bool, linked: bool) -> CallbackRoute {
    match (held_here, linked) {
        (true, _) => CallbackRoute::Local,
        (false, true) => CallbackRoute::Forward,
        (false, false) => CallbackRoute::Unknown,
    }
}

/// Which of the two processes on a link this one is. It stays as it was when the link was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRole {
    /// The process that started first.
    Predecessor,
    /// The process that connected to it.
    Successor,
}

/// Ids of jobs that this process is about to take and claims at the other one first. An id is here from `ask`
/// until `over`, which is when the job counts as held or is not taken after all. What is claimed by answers
/// cannot be held twice, as long as a process's answers and claims arrive in the order in which it made them.
#[derive(Clone, Debug)]
pub struct JobClaims {
    role: LinkRole,
    /// Whether it was granted.
    mine: HashMap<String, bool>,
}

impl JobClaims {
    /// No claims, for a process of that role on its link.
    pub fn new(role: LinkRole) -> JobClaims {
        JobClaims { role, mine: HashMap::new() }
    }

    /// A job of this id came here. Whether it is to be claimed: one that is being claimed already is a second
    /// copy.
    pub fn try_claim(&mut self, id: &str) -> bool {
        if self.mine.contains_key(id) {
            return false;
        }
        self.mine.insert(id.to_owned(), false);
        true
    }

    /// The other said yes, does not answer or is gone: the id is this one's.
    pub fn confirm(&mut self, id: &str) {
        if let Some(granted) = self.mine.get_mut(id) {
            *granted = true;
        }
    }

    /// The job is held here from now on and known as such, or is not taken.
    pub fn release(&mut self, id: &str) {
        self.mine.remove(id);
    }

    /// The other claims this id. Whether it may have it. Where both claim one id at once the elder's claim
    /// stands.
    pub fn allows_peer_claim(&self, id: &str, held_here: bool) -> bool {
        !held_here
            && match self.mine.get(id) {
                Some(granted) => !granted && self.role == LinkRole::Successor,
                None => true,
            }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::phase::Phase;
    use proptest::prelude::*;
    use std::collections::{BTreeSet, VecDeque};

    /// So many processes are started in one run.
    const STARTS: usize = 3;
    const IDS: [&str; 2] = ["a", "b"];

    #[derive(Clone, Debug, PartialEq)]
    enum Said {
        TakeOver,
        Yours,
        GiveBack,
        Claim(&'static str),
        Claimed(&'static str, bool),
    }

    /// One end of a link: whose it is, what is on its way there, and whether the far end is closed.
    #[derive(Clone, Debug)]
    struct End {
        to: usize,
        coming: VecDeque<Said>,
        closed: bool,
    }

    #[derive(Clone, Debug)]
    struct Process {
        succession: Takeover,
        claims: JobClaims,
        /// Its link, and which end of that.
        link: Option<(usize, usize)>,
        alive: bool,
        accepts: bool,
        share: Option<DescriptorShare>,
        phase: Phase,
        /// Jobs held, and whether each was claimed by an answer.
        held: HashMap<&'static str, bool>,
    }

    /// Processes of one node, in the order of their starts, and the links between them.
    #[derive(Clone, Debug, Default)]
    struct World {
        processes: Vec<Process>,
        links: Vec<[End; 2]>,
        seat: Option<usize>,
        /// A link was lost between two that live on, or was not made: neither can know of the other.
        estranged: bool,
    }

    impl World {
        fn start(&mut self) {
            let me = self.processes.len();
            let elder = self.seat.filter(|at| self.processes[*at].alive);
            let hello = TakeoverEvent::Hello { node: "n".into(), listen: "l".into() };
            let said = elder.map(|at| self.happens(at, hello));
            let welcomed =
                elder.filter(|_| said.iter().flatten().any(|deed| *deed == TakeoverCommand::SendWelcome));
            match said.as_deref() {
                // It asks again later, and has done nothing yet.
                Some([TakeoverCommand::RejectHello(RejectReason::Busy)]) => return,
                Some([TakeoverCommand::RejectHello(_)]) => self.estranged = true,
                // The elder has died, and the younger one does not know it yet and has not sat down.
                None => self.estranged = self.estranged || self.living().next().is_some(),
                _ => {}
            }
            let (succession, deeds) = match welcomed {
                Some(_) => Takeover::with_predecessor("n", "l"),
                None => Takeover::without_predecessor("n", "l"),
            };
            let link = welcomed.map(|elder| {
                let end = |to| End { to, coming: VecDeque::new(), closed: false };
                self.links.push([end(elder), end(me)]);
                self.processes[elder].link = Some((self.links.len() - 1, 0));
                self.processes[elder].claims = JobClaims::new(LinkRole::Predecessor);
                (self.links.len() - 1, 1)
            });
            self.processes.push(Process {
                succession,
                claims: JobClaims::new(LinkRole::Successor),
                link,
                alive: true,
                accepts: false,
                share: None,
                phase: Phase::Starting { drained: false },
                held: HashMap::new(),
            });
            self.carry_out(me, &deeds);
        }

        fn happens(&mut self, at: usize, event: TakeoverEvent) -> Vec<TakeoverCommand> {
            let deeds = self.processes[at].succession.handle(event);
            self.carry_out(at, &deeds);
            deeds
        }

        fn carry_out(&mut self, at: usize, deeds: &[TakeoverCommand]) {
            for deed in deeds {
                let process = &mut self.processes[at];
                match *deed {
                    TakeoverCommand::SendWelcome | TakeoverCommand::RejectHello(_) => {}
                    TakeoverCommand::RequestTakeover => self.say(at, Said::TakeOver),
                    TakeoverCommand::GrantTakeover => self.say(at, Said::Yours),
                    TakeoverCommand::HandBack => self.say(at, Said::GiveBack),
                    TakeoverCommand::CloseLink => {
                        // It has taken no connection, and takes none.
                        process.share = None;
                        self.close(at);
                    }
                    TakeoverCommand::StartAccepting => process.accepts = true,
                    TakeoverCommand::StopAccepting => process.accepts = false,
                    TakeoverCommand::ApplyPhaseEvent(by) => {
                        process.phase = process.phase.next(by).expect("a move of the table")
                    }
                    TakeoverCommand::SetDescriptorShare(share) => process.share = Some(share),
                    TakeoverCommand::ListenForSuccessor => self.seat = Some(at),
                }
            }
        }

        fn say(&mut self, at: usize, said: Said) {
            if let Some((link, end)) = self.processes[at].link
                && !self.links[link][end].closed
            {
                self.links[link][1 - end].coming.push_back(said);
            }
        }

        /// Closes its end: what it said still arrives, what is on its way to it does not.
        fn close(&mut self, at: usize) {
            if let Some((link, end)) = self.processes[at].link.take() {
                self.links[link][1 - end].closed = true;
                self.links[link][end].coming.clear();
            }
        }

        fn kill(&mut self, at: usize) {
            self.close(at);
            self.processes[at].alive = false;
            self.processes[at].accepts = false;
            self.processes[at].held.clear();
        }

        /// Loses a link with all that is on its way.
        fn cut(&mut self, at: usize) {
            if let Some((link, _)) = self.processes[at].link {
                self.estranged |= self.links[link].iter().all(|end| !end.closed);
                // What was claimed over it does not bind what is claimed elsewhere from now on.
                for end in &self.links[link] {
                    self.processes[end.to].held.values_mut().for_each(|claimed| *claimed = false);
                }
                for end in &mut self.links[link] {
                    end.coming.clear();
                    end.closed = true;
                }
            }
        }

        /// The next thing reaches a process over its link; whether there was one.
        fn deliver(&mut self, at: usize) -> bool {
            let Some((link, end)) = self.processes[at].link else { return false };
            match self.links[link][end].coming.pop_front() {
                Some(said) => self.hears(at, said),
                None if self.links[link][end].closed => self.loses_link(at),
                None => return false,
            }
            true
        }

        fn loses_link(&mut self, at: usize) {
            self.close(at);
            self.happens(at, TakeoverEvent::LinkLost);
            let process = &mut self.processes[at];
            let left: Vec<_> = IDS.into_iter().filter(|id| process.claims.mine.contains_key(*id)).collect();
            for id in left {
                process.claims.release(id);
                process.held.insert(id, false);
            }
        }

        fn hears(&mut self, at: usize, said: Said) {
            match said {
                Said::TakeOver => _ = self.happens(at, TakeoverEvent::TakeoverRequested),
                Said::Yours => _ = self.happens(at, TakeoverEvent::TakeoverGranted),
                Said::GiveBack => _ = self.happens(at, TakeoverEvent::HandedBack),
                Said::Claim(id) => {
                    let process = &self.processes[at];
                    let free = process.claims.allows_peer_claim(id, process.held.contains_key(id));
                    self.say(at, Said::Claimed(id, free));
                }
                Said::Claimed(id, free) => {
                    let process = &mut self.processes[at];
                    process.claims.release(id);
                    if free {
                        process.held.insert(id, true);
                    }
                }
            }
        }

        /// A client's job comes to a process.
        fn job(&mut self, at: usize, id: &'static str) {
            let process = &mut self.processes[at];
            // One that handed over has connections that are kept.
            let reached = process.accepts || matches!(process.succession.role(), Role::Predecessor { .. });
            if !reached || process.held.contains_key(id) {
                return;
            }
            match process.link {
                None => _ = process.held.insert(id, false),
                Some(_) if process.claims.try_claim(id) => self.say(at, Said::Claim(id)),
                Some(_) => {}
            }
        }

        fn step(&mut self, what: u8, at: usize, id: usize) {
            let count = self.processes.len();
            if count == 0 || (what == 0 && count < STARTS) {
                return self.start();
            }
            let at = at % count;
            if !self.processes[at].alive {
                return;
            }
            match what {
                1 | 2 => _ = self.happens(at, TakeoverEvent::EndpointsAvailable),
                3 => _ = self.happens(at, TakeoverEvent::Terminate),
                4 => self.kill(at),
                5 => self.cut(at),
                6..=8 => self.job(at, IDS[id]),
                9 => _ = self.processes[at].held.remove(IDS[id]),
                _ => _ = self.deliver(at),
            }
        }

        fn living(&self) -> impl Iterator<Item = &Process> {
            self.processes.iter().filter(|process| process.alive)
        }

        fn check(&self) -> Result<(), TestCaseError> {
            for id in IDS {
                let holders = self.living().filter(|p| p.held.get(id) == Some(&true)).count();
                prop_assert!(holders < 2, "both hold {id}: {self:#?}");
            }
            let halves =
                |p: &Process| p.share.map_or(0, |share| if share == DescriptorShare::All { 2 } else { 1 });
            let used: usize = self.living().map(halves).sum();
            prop_assert!(used <= 2 || self.estranged, "{used} halves in use: {self:#?}");
            for process in self.living() {
                prop_assert_eq!(process.succession.ending, process.phase.is_shutting_down());
            }
            self.settled().check_settled()
        }

        /// As it comes to be when nothing more happens.
        fn settled(&self) -> World {
            let mut world = self.clone();
            while (0..world.processes.len()).any(|at| world.processes[at].alive && world.deliver(at)) {}
            world
        }

        fn check_settled(&self) -> Result<(), TestCaseError> {
            let able = |p: &&Process| p.succession.mapped && !p.succession.ending;
            let serves = |p: &&Process| p.accepts && !p.succession.ending;
            let served = self.living().any(|p| serves(&p));
            prop_assert!(served || !self.living().any(|p| able(&p)), "nobody accepts: {self:#?}");
            let all = |p: &Process| p.share == Some(DescriptorShare::All);
            prop_assert!(
                self.living().all(|p| p.link.is_some() || all(p) || p.succession.ending),
                "{self:#?}"
            );
            let found = self.seat.is_some_and(|at| self.processes[at].alive);
            prop_assert!(found || !served || self.estranged, "no successor finds it: {self:#?}");
            Ok(())
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(4000))]

        /// Whatever happens in whatever order, with links that delay and are lost, processes that die and
        /// that are told to end: one that can serve does or is about to, no id is held twice by claims, both
        /// together stay within the descriptors of one node, and phases keep to their table.
        #[test]
        fn nothing_is_lost_between_two_processes(
            steps in prop::collection::vec((0u8..16, 0..STARTS, 0..IDS.len()), 0..80),
        ) {
            let mut world = World::default();
            for (what, at, id) in steps {
                world.step(what, at, id);
                world.check()?;
            }
        }
    }

    #[test]
    fn strangers_and_third_ones_are_turned_away() {
        let hello = |node: &str| TakeoverEvent::Hello { node: node.into(), listen: "l".into() };
        let (mut elder, _) = Takeover::without_predecessor("n", "l");
        assert_eq!(elder.handle(hello("m")), [TakeoverCommand::RejectHello(RejectReason::OtherNode)]);
        assert_eq!(
            elder.handle(hello("n")),
            [TakeoverCommand::SetDescriptorShare(DescriptorShare::Half), TakeoverCommand::SendWelcome]
        );
        assert_eq!(elder.handle(hello("n")), [TakeoverCommand::RejectHello(RejectReason::Busy)]);
        let (mut ending, _) = Takeover::without_predecessor("n", "l");
        ending.handle(TakeoverEvent::Terminate);
        assert_eq!(ending.handle(hello("n")), [TakeoverCommand::RejectHello(RejectReason::ShuttingDown)]);
    }

    #[test]
    fn call_backs_go_where_their_job_is_and_never_back() {
        assert_eq!(route_callback(true, true), CallbackRoute::Local);
        assert_eq!(route_callback(false, true), CallbackRoute::Forward);
        assert_eq!(route_callback(false, false), CallbackRoute::Unknown);
    }

    #[test]
    fn of_two_claims_at_once_the_elders_stands() {
        let (mut elder, mut younger) =
            (JobClaims::new(LinkRole::Predecessor), JobClaims::new(LinkRole::Successor));
        let mut told = BTreeSet::new();
        for claims in [&mut elder, &mut younger] {
            assert!(claims.try_claim("a"));
            told.insert(claims.allows_peer_claim("a", false));
            assert!(!claims.try_claim("a"), "a second copy");
        }
        assert_eq!(
            (elder.allows_peer_claim("a", false), younger.allows_peer_claim("a", false)),
            (false, true)
        );
        elder.confirm("a");
        assert!(
            !elder.allows_peer_claim("a", false)
                && elder.allows_peer_claim("b", false)
                && !elder.allows_peer_claim("b", true)
        );
        elder.release("a");
        younger.release("a");
        assert!(elder.allows_peer_claim("a", false) && younger.try_claim("a"));
    }
}

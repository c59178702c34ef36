//! The state machine of one process while a node changes its process.
//!
//! The successor connects to the predecessor with a hello, obtains an endpoint list of its own, and then
//! requests the takeover; once that is granted it accepts the new connections of the node and the predecessor
//! finishes its jobs. A successor that terminates first hands the node back, and a process whose link is lost
//! continues alone.
//!
//! The state is a [`Role`], with three flags beside it: whether the process has an endpoint list of its own,
//! whether its phase has left `Starting`, and whether it is shutting down (SD). An event without a row, as
//! when two of them cross, changes no role and needs no command.
//!
//! | role | event | if | next role | commands |
//! | --- | --- | --- | --- | --- |
//! | any | `Hello` | of another node | same | `RejectHello(OtherNode)` |
//! | any but `Single` | `Hello` | | same | `RejectHello(Busy)` |
//! | `Single` | `Hello` | SD | same | `RejectHello(ShuttingDown)` |
//! | `Single` | `Hello` | not SD | `AcceptingPredecessor` | `SetDescriptorShare(Half)`, `AcceptHello` |
//! | `WaitingSuccessor` | `EndpointsAvailable` | first | same | `RequestTakeover` |
//! | any other | `EndpointsAvailable` | first, not SD | same | *leave starting* |
//! | `AcceptingPredecessor` | `TakeoverRequested` | not SD | `SupersededPredecessor` | `StopAccepting`, `ApplyPhaseEvent(HandedOver)`, `GrantTakeover` |
//! | `AcceptingPredecessor` | `TakeoverRequested` | SD | `SupersededPredecessor` | `StopAccepting`, `GrantTakeover` |
//! | `WaitingSuccessor` | `TakeoverGranted` | | `AcceptingSuccessor` | *start serving* |
//! | `SupersededPredecessor` | `HandedBack` | not SD | `AcceptingPredecessor` | *take back* |
//! | `SupersededPredecessor` | `LinkLost` | not SD | `Single` | `SetDescriptorShare(All)`, *take back* |
//! | `WaitingSuccessor` | `LinkLost` | | `Single` | `SetDescriptorShare(All)`, *start serving* |
//! | any other but `Single` | `LinkLost` | | `Single` | `SetDescriptorShare(All)` |
//! | `AcceptingSuccessor` | `Terminate` | first | same | `ApplyPhaseEvent(Terminate)`, `HandBack` |
//! | `WaitingSuccessor` | `Terminate` | first | `Single` | `ApplyPhaseEvent(Terminate)`, `CloseLink` |
//! | any other | `Terminate` | first | same | `ApplyPhaseEvent(Terminate)` |
//!
//! - *leave starting*: `ApplyPhaseEvent(EndpointsAvailable)`, unless the phase has left `Starting` already;
//! - *start serving*: `StartAccepting`, *leave starting* if there is an endpoint list, `ListenForSuccessor`;
//! - *take back*: `StartAccepting`, `ApplyPhaseEvent(TookBack)`, `ListenForSuccessor`.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::phase::PhaseEvent;

/// What a process is to the other process of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has no link to another process.
    Single,
    /// It started first, and still accepts the new connections.
    AcceptingPredecessor,
    /// It started first, and the successor accepts the new connections.
    SupersededPredecessor,
    /// It started second, and the predecessor still accepts the new connections.
    WaitingSuccessor,
    /// It started second, and accepts the new connections.
    AcceptingSuccessor,
}

/// What happens to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverEvent {
    /// Another process requests to be the successor.
    Hello {
        /// Name of its node.
        node: String,
        /// Address at which clients reach its node.
        listen: String,
    },
    /// This process has an endpoint list of its own.
    EndpointsAvailable,
    /// The successor is ready and requests the new connections.
    TakeoverRequested,
    /// The predecessor has answered: the new connections are this process's.
    TakeoverGranted,
    /// The successor, which had taken over, terminates and hands the node over to this process.
    HandedBack,
    /// The link to the other process is lost.
    LinkLost,
    /// SIGTERM has arrived.
    Terminate,
}

/// The part of the node's file descriptors that one process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorShare {
    /// For each of two processes.
    Half,
    /// For the only process.
    All,
}

/// What a process is to do; commands are carried out in the order given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCommand {
    /// Answer the hello: the other process is the successor.
    AcceptHello,
    /// Answer the hello: the other process is not the successor, for this reason.
    RejectHello(RejectReason),
    /// Ask the predecessor for the new connections.
    RequestTakeover,
    /// Answer the successor: the new connections are its own.
    GrantTakeover,
    /// Have the predecessor take the node back.
    HandBack,
    /// Close the link.
    CloseLink,
    /// Accept new connections.
    StartAccepting,
    /// Accept no more connections. The listener stays open: connections in its queue would be reset
    /// otherwise.
    StopAccepting,
    /// Apply this event to the phase of the process.
    ApplyPhaseEvent(PhaseEvent),
    /// Use this share of the descriptors.
    SetDescriptorShare(DescriptorShare),
    /// Wait for the next successor at the node's rendezvous, in place of whichever process waited there.
    ListenForSuccessor,
}

/// Why a process that requests to be the successor is rejected. Each text states what an operator can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RejectReason {
    /// The node has two processes already; a later request may succeed.
    #[error("another process of this node is still coming or going; it is asked again")]
    Busy,
    /// The process belongs to another node.
    #[error("the process there is of another node; give each node its own RELAY_LISTEN and RELAY_NAME")]
    OtherNode,
    /// The process is shutting down.
    #[error("the process there is ending; the new one starts cold, nothing is to be done")]
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// The process cannot read what the new one sends.
    #[error("the process there does not know this version; the new one starts cold, nothing is to be done")]
    OtherVersion,
}

/// The part of one process in a takeover.
#[derive(Clone, Debug)]
pub struct Takeover {
    node: String,
    listen: String,
    role: Role,
    /// It has an endpoint list of its own.
    has_endpoints: bool,
    /// Its phase has left `Starting`, with an endpoint list of its own or of its successor.
    left_starting: bool,
    shutting_down: bool,
}

impl Takeover {
    /// A process that found no other process of its node: it serves at once. Returns its first commands as
    /// well.
    pub fn without_predecessor(node: &str, listen: &str) -> (Takeover, Vec<TakeoverCommand>) {
        let commands = vec![
            TakeoverCommand::SetDescriptorShare(DescriptorShare::All),
            TakeoverCommand::StartAccepting,
            TakeoverCommand::ListenForSuccessor,
        ];
        (Takeover::new(node, listen, Role::Single), commands)
    }

    /// A process whose hello its predecessor has accepted: it waits until it has an endpoint list. Returns
    /// its first commands as well.
    pub fn with_predecessor(node: &str, listen: &str) -> (Takeover, Vec<TakeoverCommand>) {
        let commands = vec![TakeoverCommand::SetDescriptorShare(DescriptorShare::Half)];
        (Takeover::new(node, listen, Role::WaitingSuccessor), commands)
    }

    fn new(node: &str, listen: &str, role: Role) -> Takeover {
        Takeover {
            node: node.to_owned(),
            listen: listen.to_owned(),
            role,
            has_endpoints: false,
            left_starting: false,
            shutting_down: false,
        }
    }

    /// What this process is to the other one.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Applies an event and returns its commands, as the table of this module lists them.
    pub fn handle(&mut self, event: TakeoverEvent) -> Vec<TakeoverCommand> {
        match event {
            TakeoverEvent::Hello { node, listen } => self.on_hello(&node, &listen),
            TakeoverEvent::EndpointsAvailable => self.on_endpoints_available(),
            TakeoverEvent::TakeoverRequested => self.on_takeover_requested(),
            TakeoverEvent::TakeoverGranted => self.on_takeover_granted(),
            TakeoverEvent::HandedBack => self.on_handed_back(),
            TakeoverEvent::LinkLost => self.on_link_lost(),
            TakeoverEvent::Terminate => self.on_terminate(),
        }
    }

    fn on_hello(&mut self, node: &str, listen: &str) -> Vec<TakeoverCommand> {
        if let Some(reason) = self.reason_to_reject(node, listen) {
            return vec![TakeoverCommand::RejectHello(reason)];
        }
        self.role = Role::AcceptingPredecessor;
        vec![TakeoverCommand::SetDescriptorShare(DescriptorShare::Half), TakeoverCommand::AcceptHello]
    }

    fn reason_to_reject(&self, node: &str, listen: &str) -> Option<RejectReason> {
        if node != self.node || listen != self.listen {
            Some(RejectReason::OtherNode)
        } else if self.role != Role::Single {
            Some(RejectReason::Busy)
        } else if self.shutting_down {
            Some(RejectReason::ShuttingDown)
        } else {
            None
        }
    }

    fn on_endpoints_available(&mut self) -> Vec<TakeoverCommand> {
        let is_first = !std::mem::replace(&mut self.has_endpoints, true);
        if !is_first || self.shutting_down {
            return vec![];
        }
        match self.role {
            Role::WaitingSuccessor => vec![TakeoverCommand::RequestTakeover],
            Role::Single
            | Role::AcceptingPredecessor
            | Role::SupersededPredecessor
            | Role::AcceptingSuccessor => self.leave_starting().into_iter().collect(),
        }
    }

    fn on_takeover_requested(&mut self) -> Vec<TakeoverCommand> {
        if self.role != Role::AcceptingPredecessor {
            return vec![];
        }
        self.role = Role::SupersededPredecessor;
        let mut commands = vec![TakeoverCommand::StopAccepting];
        // A shutdown is never undone.
        if !self.shutting_down {
            self.left_starting = true;
            commands.push(TakeoverCommand::ApplyPhaseEvent(PhaseEvent::HandedOver));
        }
        // Last, since the successor accepts connections from here on.
        commands.push(TakeoverCommand::GrantTakeover);
        commands
    }

    fn on_takeover_granted(&mut self) -> Vec<TakeoverCommand> {
        if self.role != Role::WaitingSuccessor {
            return vec![];
        }
        self.role = Role::AcceptingSuccessor;
        self.start_serving()
    }

    fn on_handed_back(&mut self) -> Vec<TakeoverCommand> {
        if self.shutting_down || self.role != Role::SupersededPredecessor {
            return vec![];
        }
        self.role = Role::AcceptingPredecessor;
        take_back()
    }

    fn on_link_lost(&mut self) -> Vec<TakeoverCommand> {
        let lost_role = std::mem::replace(&mut self.role, Role::Single);
        let mut commands = vec![TakeoverCommand::SetDescriptorShare(DescriptorShare::All)];
        match lost_role {
            Role::Single => return vec![],
            Role::SupersededPredecessor if !self.shutting_down => commands.extend(take_back()),
            Role::WaitingSuccessor => commands.extend(self.start_serving()),
            Role::AcceptingPredecessor | Role::SupersededPredecessor | Role::AcceptingSuccessor => {}
        }
        commands
    }

    fn on_terminate(&mut self) -> Vec<TakeoverCommand> {
        let is_first = !std::mem::replace(&mut self.shutting_down, true);
        if !is_first {
            return vec![];
        }
        let mut commands = vec![TakeoverCommand::ApplyPhaseEvent(PhaseEvent::Terminate)];
        match self.role {
            Role::AcceptingSuccessor => commands.push(TakeoverCommand::HandBack),
            Role::WaitingSuccessor => {
                // The predecessor may be handing over at this moment: losing the link makes it take the node
                // back.
                self.role = Role::Single;
                commands.push(TakeoverCommand::CloseLink);
            }
            Role::Single | Role::AcceptingPredecessor | Role::SupersededPredecessor => {}
        }
        commands
    }

    fn leave_starting(&mut self) -> Option<TakeoverCommand> {
        let is_first = !std::mem::replace(&mut self.left_starting, true);
        is_first.then_some(TakeoverCommand::ApplyPhaseEvent(PhaseEvent::EndpointsAvailable))
    }

    /// Commands of a process that serves in place of its predecessor from now on.
    fn start_serving(&mut self) -> Vec<TakeoverCommand> {
        let mut commands = vec![TakeoverCommand::StartAccepting];
        if self.has_endpoints {
            commands.extend(self.leave_starting());
        }
        commands.push(TakeoverCommand::ListenForSuccessor);
        commands
    }
}

/// Commands of a predecessor that serves again in place of its successor.
fn take_back() -> Vec<TakeoverCommand> {
    vec![
        TakeoverCommand::StartAccepting,
        TakeoverCommand::ApplyPhaseEvent(PhaseEvent::TookBack),
        TakeoverCommand::ListenForSuccessor,
    ]
}

//! State machine of one process during a takeover.
//!
//! The successor connects to the predecessor with a hello, obtains its own endpoint list, and then requests
//! the takeover. Once the takeover is granted, the successor accepts the new connections of the node and the
//! predecessor finishes its jobs. A successor that terminates before the predecessor exits hands the node
//! back. A process that loses its link continues alone: the peer has exited or given up the node, since a
//! process closes its link only then.
//!
//! The state consists of a [`Role`] and three flags: whether the process has its own endpoint list, whether
//! its phase has left `Starting`, and whether it is shutting down (SD in the table). An event without a row
//! changes no role and returns no commands; such events occur when two messages cross.
//!
//! | role | event | condition | next role | commands |
//! | --- | --- | --- | --- | --- |
//! | any | `Hello` | another node | same | `RejectHello(OtherNode)` |
//! | any but `Single` | `Hello` | | same | `RejectHello(Busy)` |
//! | `Single` | `Hello` | SD | same | `RejectHello(ShuttingDown)` |
//! | `Single` | `Hello` | not SD | `AcceptingPredecessor` | `SetDescriptorShare(Half)`, `AcceptHello` |
//! | `WaitingSuccessor` | `EndpointsAvailable` | first | same | `RequestTakeover` |
//! | any other | `EndpointsAvailable` | first, not SD | same | *leave starting* |
//! | `AcceptingPredecessor` | `TakeoverRequested` | not SD | `SupersededPredecessor` | `StopAccepting`, `ApplyPhaseEvent(HandedOver)`, `GrantTakeover` |
//! | `AcceptingPredecessor` | `TakeoverRequested` | SD | `SupersededPredecessor` | `StopAccepting`, `GrantTakeover` |
//! | `WaitingSuccessor` | `TakeoverGranted` | | `AcceptingSuccessor` | *start serving* |
//! | `SupersededPredecessor` | `HandedBack` | not SD | `AcceptingPredecessor` | *roll back* |
//! | `SupersededPredecessor` | `LinkLost` | not SD | `Single` | `SetDescriptorShare(All)`, *roll back* |
//! | `WaitingSuccessor` | `LinkLost` | | `Single` | `SetDescriptorShare(All)`, *start serving* |
//! | any other but `Single` | `LinkLost` | | `Single` | `SetDescriptorShare(All)` |
//! | `AcceptingSuccessor` | `Terminate` | first | same | `ApplyPhaseEvent(Terminate)`, `HandBack` |
//! | `WaitingSuccessor` | `Terminate` | first | `Single` | `ApplyPhaseEvent(Terminate)`, `CloseLink` |
//! | any other | `Terminate` | first | same | `ApplyPhaseEvent(Terminate)` |
//!
//! - first: the process has not received this event before;
//! - *leave starting*: `ApplyPhaseEvent(EndpointsAvailable)`, unless the phase has already left `Starting`;
//! - *start serving*: `StartAccepting`, *leave starting* if the process has its own endpoint list,
//!   `ListenForSuccessor`;
//! - *roll back*: `StartAccepting`, `ApplyPhaseEvent(RolledBack)`, `ListenForSuccessor`.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::phase::PhaseEvent;

/// Role of a process in relation to its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process has no link to a peer.
    Single,
    /// The process started first and still accepts the new connections.
    AcceptingPredecessor,
    /// The process started first, and the successor accepts the new connections.
    SupersededPredecessor,
    /// The process started second, and the predecessor still accepts the new connections.
    WaitingSuccessor,
    /// The process started second and accepts the new connections.
    AcceptingSuccessor,
}

/// Event that the state machine handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverEvent {
    /// Another process requests to become the successor.
    Hello {
        /// Name of the node of the requesting process.
        node: String,
        /// Address at which clients reach the node of the requesting process.
        listen: String,
    },
    /// This process has obtained its own endpoint list.
    EndpointsAvailable,
    /// The successor is ready and requests the new connections.
    TakeoverRequested,
    /// The predecessor has granted the takeover: this process accepts the new connections from now on.
    TakeoverGranted,
    /// The successor, which had taken over, terminates and requests a rollback: this process serves again.
    HandedBack,
    /// The link to the peer is lost, because the peer has exited or given up the node.
    LinkLost,
    /// SIGTERM has arrived.
    Terminate,
}

/// Share of the node's file descriptors that one process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorShare {
    /// Half of the descriptors, for each of two processes.
    Half,
    /// All descriptors, for the only process of the node.
    All,
}

/// Command that the state machine returns. The process executes commands in the order in which they are
/// returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCommand {
    /// Accepts the hello: the requesting process becomes the successor.
    AcceptHello,
    /// Rejects the hello for this reason: the requesting process does not become the successor.
    RejectHello(RejectReason),
    /// Requests the new connections from the predecessor.
    RequestTakeover,
    /// Grants the new connections to the successor.
    GrantTakeover,
    /// Requests a rollback: the predecessor serves again.
    HandBack,
    /// Closes the link.
    CloseLink,
    /// Starts to accept new connections.
    StartAccepting,
    /// Stops accepting new connections. The listener stays open, because closing it would reset the
    /// connections in its queue.
    StopAccepting,
    /// Applies this event to the phase of the process.
    ApplyPhaseEvent(PhaseEvent),
    /// Limits the process to this share of the descriptors.
    SetDescriptorShare(DescriptorShare),
    /// Listens for the next successor at the node's rendezvous and replaces the process that listened there
    /// before, if any.
    ListenForSuccessor,
}

/// Reason for which a process that requests to become the successor is rejected. Each message states what an
/// operator can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RejectReason {
    /// The node already has two processes. A later request may succeed.
    #[error("another process of this node is still coming or going; it is asked again")]
    Busy,
    /// The rejecting process belongs to another node.
    #[error("the process there is of another node; give each node its own RELAY_LISTEN and RELAY_NAME")]
    OtherNode,
    /// The rejecting process is shutting down.
    #[error("the process there is ending; the new one starts cold, nothing is to be done")]
    #[serde(rename = "Ending")]
    ShuttingDown,
    /// The rejecting process cannot decode the messages of the new process.
    #[error("the process there does not know this version; the new one starts cold, nothing is to be done")]
    OtherVersion,
}

/// State machine of one process during a takeover.
#[derive(Clone, Debug)]
pub struct Takeover {
    node: String,
    listen: String,
    role: Role,
    /// Whether the process has its own endpoint list.
    has_endpoints: bool,
    /// Whether the phase has left `Starting`, because of an endpoint list of this process or of its
    /// successor.
    left_starting: bool,
    shutting_down: bool,
}

impl Takeover {
    /// Starts a process that found no other process of its node: it serves immediately. Returns the state
    /// machine and the first commands.
    pub fn start_single(node: &str, listen: &str) -> (Takeover, Vec<TakeoverCommand>) {
        let commands = vec![
            TakeoverCommand::SetDescriptorShare(DescriptorShare::All),
            TakeoverCommand::StartAccepting,
            TakeoverCommand::ListenForSuccessor,
        ];
        (Takeover::new(node, listen, Role::Single), commands)
    }

    /// Starts a process whose hello has been accepted by its predecessor: it waits until it has an endpoint
    /// list. Returns the state machine and the first commands.
    pub fn start_successor(node: &str, listen: &str) -> (Takeover, Vec<TakeoverCommand>) {
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

    /// Returns the role of this process in relation to its peer.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Handles an event and returns the commands that the table of this module lists for it.
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
        if let Some(reason) = self.reject_reason(node, listen) {
            return vec![TakeoverCommand::RejectHello(reason)];
        }
        self.role = Role::AcceptingPredecessor;
        vec![TakeoverCommand::SetDescriptorShare(DescriptorShare::Half), TakeoverCommand::AcceptHello]
    }

    fn reject_reason(&self, node: &str, listen: &str) -> Option<RejectReason> {
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
        // A shutdown is never reversed, so the phase stays the same.
        if !self.shutting_down {
            self.left_starting = true;
            commands.push(TakeoverCommand::ApplyPhaseEvent(PhaseEvent::HandedOver));
        }
        // Last, because the successor accepts connections as soon as the takeover is granted.
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
        rollback_commands()
    }

    fn on_link_lost(&mut self) -> Vec<TakeoverCommand> {
        let previous_role = std::mem::replace(&mut self.role, Role::Single);
        let mut commands = vec![TakeoverCommand::SetDescriptorShare(DescriptorShare::All)];
        match previous_role {
            Role::Single => return vec![],
            Role::SupersededPredecessor if !self.shutting_down => commands.extend(rollback_commands()),
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
                // The predecessor may be granting the takeover at the same time. The loss of the link makes
                // it serve again.
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

    /// Returns the commands of a process that serves in place of its predecessor from now on.
    fn start_serving(&mut self) -> Vec<TakeoverCommand> {
        let mut commands = vec![TakeoverCommand::StartAccepting];
        if self.has_endpoints {
            commands.extend(self.leave_starting());
        }
        commands.push(TakeoverCommand::ListenForSuccessor);
        commands
    }
}

/// Returns the commands of a predecessor that serves again in place of its successor.
fn rollback_commands() -> Vec<TakeoverCommand> {
    vec![
        TakeoverCommand::StartAccepting,
        TakeoverCommand::ApplyPhaseEvent(PhaseEvent::RolledBack),
        TakeoverCommand::ListenForSuccessor,
    ]
}

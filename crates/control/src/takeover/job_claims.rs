//! Claims on job ids, which keep a job from being accepted by both processes of a node.
//!
//! Before a process accepts a job it claims the job's id at the other process. The states of an id at one
//! process:
//!
//! | state | `try_claim` | `confirm` | `release` | the other process claims the id |
//! | --- | --- | --- | --- | --- |
//! | not claimed | `Pending`, returns true | - | - | allowed |
//! | [`Pending`](ClaimState::Pending) | returns false: a duplicate job | `Granted` | not claimed | allowed if this process is the successor |
//! | [`Granted`](ClaimState::Granted) | returns false: a duplicate job | - | not claimed | not allowed |
//!
//! Whatever its state, an id whose job is owned here is not allowed to the other process. Where both claim
//! one id at the same time, the predecessor's claim prevails. No id is granted to both, provided that the
//! responses and claims of a process arrive in the order in which it made them.

use std::collections::HashMap;

/// Which of the two processes on a link this one is. It does not change while the link exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRole {
    /// The process that started first.
    Predecessor,
    /// The process that connected to it.
    Successor,
}

/// Whether this process owns a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalOwnership {
    /// This process owns it.
    Owned,
    /// This process does not own it; the other one may.
    NotOwned,
}

/// Progress of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimState {
    /// The other process has not answered yet.
    Pending,
    /// The id is this process's.
    Granted,
}

/// The job ids that this process has claimed on a link. An id is here from [`try_claim`](Self::try_claim)
/// until [`release`](Self::release).
#[derive(Clone, Debug)]
pub struct JobClaims {
    role: LinkRole,
    claims: HashMap<String, ClaimState>,
}

impl JobClaims {
    /// No claims, for a process of that role on its link.
    pub fn new(role: LinkRole) -> JobClaims {
        JobClaims { role, claims: HashMap::new() }
    }

    /// Begins a claim for a job that has arrived here. False if the id is claimed already: the job is a
    /// duplicate.
    pub fn try_claim(&mut self, id: &str) -> bool {
        if self.claims.contains_key(id) {
            return false;
        }
        self.claims.insert(id.to_owned(), ClaimState::Pending);
        true
    }

    /// The id is this process's: the other process granted it, does not answer, or has ended.
    pub fn confirm(&mut self, id: &str) {
        if let Some(state) = self.claims.get_mut(id) {
            *state = ClaimState::Granted;
        }
    }

    /// Ends a claim: the job is owned here and known as such, or is not accepted.
    pub fn release(&mut self, id: &str) {
        self.claims.remove(id);
    }

    /// Whether the other process, which claims this id, may have it.
    pub fn allows_peer_claim(&self, id: &str, ownership: LocalOwnership) -> bool {
        if ownership == LocalOwnership::Owned {
            return false;
        }
        match self.claims.get(id) {
            None => true,
            Some(ClaimState::Pending) => self.role == LinkRole::Successor,
            Some(ClaimState::Granted) => false,
        }
    }
}

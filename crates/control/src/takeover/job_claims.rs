//! Claims on job ids, which prevent both processes of a node from accepting the same job.
//!
//! Before a process accepts a job, it claims the id of the job at its peer. An id has these states at one
//! process:
//!
//! | state | `try_claim` | `confirm` | `release` | claim by the peer |
//! | --- | --- | --- | --- | --- |
//! | not claimed | `Pending`, returns true | - | - | allowed |
//! | [`Pending`](ClaimState::Pending) | returns false: a duplicate job | `Granted` | not claimed | allowed if this process is the successor |
//! | [`Granted`](ClaimState::Granted) | returns false: a duplicate job | - | not claimed | not allowed |
//!
//! A claim by the peer on the id of a job that this process owns is never allowed, regardless of the state.
//! If both processes claim the same id at the same time, the predecessor's claim prevails. No id is granted
//! to both processes, provided that the responses and claims of each process arrive in the order in which it
//! made them.

use std::collections::HashMap;

/// Role of a process on a link. The role does not change while the link exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRole {
    /// The process started first.
    Predecessor,
    /// The process connected to the predecessor.
    Successor,
}

/// Whether this process owns a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalOwnership {
    /// This process owns the job.
    Owned,
    /// This process does not own the job; the peer may own it.
    NotOwned,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimState {
    /// The peer has not answered yet.
    Pending,
    /// The id belongs to this process.
    Granted,
}

/// Job ids that this process has claimed on a link. A claim exists from [`try_claim`](Self::try_claim) until
/// [`release`](Self::release).
#[derive(Clone, Debug)]
pub struct JobClaims {
    role: LinkRole,
    claims: HashMap<String, ClaimState>,
}

impl JobClaims {
    /// Creates an empty set of claims for a process with this role on its link.
    pub fn new(role: LinkRole) -> JobClaims {
        JobClaims { role, claims: HashMap::new() }
    }

    /// Starts a claim on the id of a job that has arrived at this process. Returns false if the id is already
    /// claimed: the job is a duplicate.
    pub fn try_claim(&mut self, id: &str) -> bool {
        if self.claims.contains_key(id) {
            return false;
        }
        self.claims.insert(id.to_owned(), ClaimState::Pending);
        true
    }

    /// Marks a claim as granted: the peer granted it, does not answer, or has exited.
    pub fn confirm(&mut self, id: &str) {
        if let Some(state) = self.claims.get_mut(id) {
            *state = ClaimState::Granted;
        }
    }

    /// Ends a claim: this process has recorded that it owns the job, or does not accept the job.
    pub fn release(&mut self, id: &str) {
        self.claims.remove(id);
    }

    /// Returns whether a claim by the peer on this id is allowed.
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

//! Takeover between processes of one node: division of connections, descriptors, jobs and callbacks.

mod network;

use std::collections::BTreeSet;

use curlewusher_control::takeover::{
    CallbackRoute, DescriptorShare, ForwardTarget, JobClaims, LinkRole, LocalOwnership, RejectReason,
    Takeover, TakeoverCommand, TakeoverEvent, route_callback,
};
use network::{JOB_IDS, MAX_PROCESSES, Network};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Invariants under any sequence of events, with delayed messages, lost links, and killed and terminating
    /// processes. If a process can serve, one serves or is about to serve, and no two serve at once unless their
    /// link was lost while both ran. No two processes own the same job
    /// id by granted claims. All processes together stay within the descriptors of one node. Phases follow
    /// their transition table.
    #[test]
    fn processes_start_end_and_lose_links_then_connections_jobs_and_descriptors_have_one_owner(
        steps in prop::collection::vec((0u8..16, 0..MAX_PROCESSES, 0..JOB_IDS.len()), 0..80),
    ) {
        let mut network = Network::default();
        for (action, process, id) in steps {
            network.step(action, process, id);
            network.check()?;
        }
    }
}

#[test]
fn hello_of_another_node_or_a_third_process_or_during_shutdown_then_rejected() {
    let hello = |node: &str| TakeoverEvent::Hello { node: node.into(), listen: "l".into() };
    let (mut predecessor, _) = Takeover::start_single("n", "l");
    assert_eq!(predecessor.handle(hello("m")), [TakeoverCommand::RejectHello(RejectReason::OtherNode)]);
    assert_eq!(
        predecessor.handle(hello("n")),
        [TakeoverCommand::SetDescriptorShare(DescriptorShare::Half), TakeoverCommand::AcceptHello]
    );
    assert_eq!(predecessor.handle(hello("n")), [TakeoverCommand::RejectHello(RejectReason::Busy)]);
    let (mut shutting_down, _) = Takeover::start_single("n", "l");
    shutting_down.handle(TakeoverEvent::Terminate);
    assert_eq!(shutting_down.handle(hello("n")), [TakeoverCommand::RejectHello(RejectReason::ShuttingDown)]);
}

#[test]
fn callback_then_it_is_routed_to_its_job_and_not_forwarded_back() {
    assert_eq!(route_callback(LocalOwnership::Owned, ForwardTarget::Peer), CallbackRoute::Local);
    assert_eq!(route_callback(LocalOwnership::NotOwned, ForwardTarget::Peer), CallbackRoute::Forward);
    assert_eq!(route_callback(LocalOwnership::NotOwned, ForwardTarget::None), CallbackRoute::Unknown);
}

#[test]
fn both_processes_claim_an_id_then_the_predecessors_claim_prevails() {
    let (mut predecessor, mut successor) =
        (JobClaims::new(LinkRole::Predecessor), JobClaims::new(LinkRole::Successor));
    let mut responses = BTreeSet::new();
    for claims in [&mut predecessor, &mut successor] {
        assert!(claims.try_claim("a"));
        responses.insert(claims.allows_peer_claim("a", LocalOwnership::NotOwned));
        assert!(!claims.try_claim("a"), "the process claims the job twice");
    }
    assert_eq!(
        (
            predecessor.allows_peer_claim("a", LocalOwnership::NotOwned),
            successor.allows_peer_claim("a", LocalOwnership::NotOwned)
        ),
        (false, true)
    );
    predecessor.confirm("a");
    assert!(
        !predecessor.allows_peer_claim("a", LocalOwnership::NotOwned)
            && predecessor.allows_peer_claim("b", LocalOwnership::NotOwned)
            && !predecessor.allows_peer_claim("b", LocalOwnership::Owned)
    );
    predecessor.release("a");
    successor.release("a");
    assert!(predecessor.allows_peer_claim("a", LocalOwnership::NotOwned) && successor.try_claim("a"));
}

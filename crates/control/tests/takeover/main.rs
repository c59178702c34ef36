//! Takeover between processes of one node: who accepts connections, uses descriptors, owns jobs and gets
//! callbacks.

mod network;

use std::collections::BTreeSet;

use curlewusher_control::takeover::{
    CallbackRoute, DescriptorShare, ForwardingPeer, JobClaims, LinkRole, LocalOwnership, RejectReason,
    Takeover, TakeoverCommand, TakeoverEvent, route_callback,
};
use network::{JOB_IDS, MAX_PROCESSES, Network};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Whatever happens in whatever order, with links that delay and are lost, processes that are killed and
    /// that terminate: a process that can serve does or is about to, no id is owned twice by granted claims,
    /// all processes together stay within the descriptors of one node, and phases keep to their table.
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
    let (mut predecessor, _) = Takeover::without_predecessor("n", "l");
    assert_eq!(predecessor.handle(hello("m")), [TakeoverCommand::RejectHello(RejectReason::OtherNode)]);
    assert_eq!(
        predecessor.handle(hello("n")),
        [TakeoverCommand::SetDescriptorShare(DescriptorShare::Half), TakeoverCommand::AcceptHello]
    );
    assert_eq!(predecessor.handle(hello("n")), [TakeoverCommand::RejectHello(RejectReason::Busy)]);
    let (mut shutting_down, _) = Takeover::without_predecessor("n", "l");
    shutting_down.handle(TakeoverEvent::Terminate);
    assert_eq!(shutting_down.handle(hello("n")), [TakeoverCommand::RejectHello(RejectReason::ShuttingDown)]);
}

#[test]
fn callback_then_it_goes_to_its_job_and_is_not_sent_back() {
    assert_eq!(route_callback(LocalOwnership::Owned, ForwardingPeer::Linked), CallbackRoute::Local);
    assert_eq!(route_callback(LocalOwnership::NotOwned, ForwardingPeer::Linked), CallbackRoute::Forward);
    assert_eq!(route_callback(LocalOwnership::NotOwned, ForwardingPeer::None), CallbackRoute::Unknown);
}

#[test]
fn both_processes_claim_an_id_then_the_predecessors_claim_prevails() {
    let (mut predecessor, mut successor) =
        (JobClaims::new(LinkRole::Predecessor), JobClaims::new(LinkRole::Successor));
    let mut responses = BTreeSet::new();
    for claims in [&mut predecessor, &mut successor] {
        assert!(claims.try_claim("a"));
        responses.insert(claims.allows_peer_claim("a", LocalOwnership::NotOwned));
        assert!(!claims.try_claim("a"), "a duplicate");
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

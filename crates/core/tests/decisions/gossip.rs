//! Gossip and subsetting: reports of nodes to each other, and the division of large fleets into subsets.

use std::collections::BTreeSet;

use crate::common::*;

fn gossip_settings(nodes: u32, node_index: u32) -> Settings {
    Settings { may_gossip: true, ..node_settings(nodes, node_index) }
}

/// Returns, for each of 32 workers, whether one of 32 nodes uses it.
fn used_workers(node_index: u32) -> [bool; 32] {
    let mut node = TestNode::new(gossip_settings(32, node_index), &endpoints(32));
    let mut used = [false; 32];
    for job in 0..60 {
        used[node.run_job(job, 0, 0.01, millis(10)).expect("the job is not sent") as usize] = true;
    }
    used
}

#[test]
fn many_nodes_gossip_then_their_subsets_share_no_workers() {
    // 32 nodes and 32 workers make four subsets of eight.
    let [first, second, fifth] = [0, 1, 4].map(used_workers);
    let count = first.iter().filter(|used| **used).count();
    assert!((4..=8).contains(&count), "{first:?}");
    assert!(
        first.iter().zip(&second).all(|(one, other)| !(one & other)),
        "nodes of different subsets use the same worker"
    );
    assert!(
        first.iter().zip(&fifth).any(|(one, other)| one & other),
        "nodes of the same subset use no common worker"
    );
}

/// Returns the nodes to which node 1 sends gossip after it has received a job.
fn gossip_receivers(nodes: u32, gossip_price: f64) -> BTreeSet<u32> {
    let settings = Settings { gossip_price, ..gossip_settings(nodes, 1) };
    let mut node = TestNode::new(settings, &endpoints(nodes.into()));
    node.submit(1, 0, 3.0);
    let actions = node.advance(millis(200)).into_iter();
    actions
        .filter_map(|action| if let Action::SendGossip { to, .. } = action { Some(to) } else { None })
        .collect()
}

#[test]
fn gossip_is_cheap_then_it_goes_to_the_subset_of_the_node_only() {
    assert_eq!(gossip_receivers(32, 0.01), [5, 9, 13, 17, 21, 25, 29].into());
    assert!(gossip_receivers(32, 0.1).is_empty(), "gossip is sent although it is expensive");
}

#[test]
fn subset_has_no_suitable_worker_then_the_job_goes_to_another_subset() {
    let mut settings = gossip_settings(32, 0);
    settings.classes[0].required_kind = Some(KindId(1));
    let mut workers = endpoints(32);
    for worker in &mut workers {
        worker.kind = KindId(u32::from(worker.worker.0 % 16 == 7));
    }
    let mut node = TestNode::new(settings, &workers);
    // Only two workers, in four subsets, are of that kind: most subsets have none.
    let mut actions = node.submit(1, 0, 0.01);
    actions.extend(node.advance(millis(300)));
    assert!(matches!(sent_to(&actions), Some(7 | 23)), "{actions:?}");
}

#[test]
fn gossip_is_received_then_the_busy_worker_is_avoided_until_the_gossip_expires() {
    let workers = endpoints(2);
    let mut busy_node = TestNode::new(gossip_settings(2, 0), &workers[..1]);
    busy_node.submit(1, 0, 3.0);
    let actions = busy_node.advance(millis(20));
    let gossip = actions.iter().find_map(|action| match action {
        Action::SendGossip { data, .. } => Some(data),
        _ => None,
    });
    let data = gossip.unwrap_or_else(|| panic!("no gossip is sent: {actions:?}"));
    assert!(data.len() <= 256);

    let mut node = TestNode::new(gossip_settings(2, 0), &workers);
    node.handle(Event::GossipReceived { from: 1, data });
    for job in 0..8 {
        assert_eq!(node.run_job(job, 0, 0.01, millis(10)), Some(1));
    }
    node.advance(seconds(20));
    let mut used = [false; 2];
    for job in 20..60 {
        used[node.run_job(job, 0, 0.01, millis(10)).expect("the job is not sent") as usize] = true;
        node.advance(seconds(10));
    }
    assert_eq!(used, [true; 2]);
}

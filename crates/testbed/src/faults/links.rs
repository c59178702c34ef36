//! Faults of the links between nodes and discovery, and between nodes and workers.

use std::time::Duration;

use tokio::sync::watch;

use super::FaultInjection;
use crate::proxy::LinkState;
use crate::scenario::FaultKind;

/// Delay of each answer over a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);

impl FaultInjection<'_> {
    /// Links are impaired until the end of the fault. A reset is over at once.
    pub(super) async fn impair_links(&self) {
        let kind = self.fault.kind;
        self.change_links(|link| impair(link, kind));
        self.wait_for_end().await;
        self.change_links(|link| restore(link, kind));
    }

    fn change_links(&self, change: impl Fn(&mut LinkState)) {
        let links = self.links();
        self.targets.iter().for_each(|target| links[*target].send_modify(&change));
    }

    /// The links of the kind that the fault acts on, by worker or by node.
    fn links(&self) -> &[watch::Sender<LinkState>] {
        let links = &self.environment.fleet.links;
        match self.fault.kind {
            FaultKind::WorkerLinkCut | FaultKind::WorkerLinkReset | FaultKind::WorkerLinkSlow => {
                &links.workers
            }
            _ => &links.discovery,
        }
    }
}

fn impair(link: &mut LinkState, kind: FaultKind) {
    match kind {
        FaultKind::DiscoveryLinkCut | FaultKind::WorkerLinkCut => link.is_cut = true,
        FaultKind::DiscoveryLinkRefused => link.refuse(),
        FaultKind::DiscoveryLinkReset | FaultKind::WorkerLinkReset => link.resets += 1,
        FaultKind::DiscoveryLinkSlow | FaultKind::WorkerLinkSlow => {
            link.in_pieces = true;
            link.answer_delay = SLOW_LINK_DELAY;
        }
        _ => {}
    }
}

fn restore(link: &mut LinkState, kind: FaultKind) {
    match kind {
        FaultKind::DiscoveryLinkCut | FaultKind::WorkerLinkCut => link.heal(),
        FaultKind::DiscoveryLinkRefused => link.is_refusing = false,
        FaultKind::DiscoveryLinkSlow | FaultKind::WorkerLinkSlow => {
            link.in_pieces = false;
            link.answer_delay = Duration::ZERO;
        }
        _ => {}
    }
}

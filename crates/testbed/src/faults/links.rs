//! Faults of the links from nodes to discovery and to workers.

use std::time::Duration;

use tokio::sync::watch;

use super::FaultInjection;
use crate::proxy::LinkState;

/// Delay that a slow link adds to the bytes of each read from the server.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);

/// Kind of impairment of a link.
#[derive(Clone, Copy)]
pub(super) enum LinkImpairment {
    /// The link drops all bytes without an error.
    Cut,
    /// The link resets open connections and each new one.
    Refused,
    /// The link resets all open connections once.
    Reset,
    /// Responses arrive late, and bytes in both directions arrive in small fragments.
    Slow,
}

impl FaultInjection<'_> {
    /// Impairs the links from the targets to discovery.
    pub(super) async fn impair_discovery_links(&self, impairment: LinkImpairment) {
        self.impair_links(&self.environment.fleet.links.discovery, impairment).await;
    }

    /// Impairs the links from all nodes to the targets.
    pub(super) async fn impair_worker_links(&self, impairment: LinkImpairment) {
        self.impair_links(&self.environment.fleet.links.workers, impairment).await;
    }

    /// Impairs the links of the targets until the end of the fault. A reset occurs once, at the beginning of
    /// the fault.
    async fn impair_links(&self, links: &[watch::Sender<LinkState>], impairment: LinkImpairment) {
        let change_links = |change: fn(&mut LinkState, LinkImpairment)| {
            for target in &self.targets {
                links[*target].send_modify(|link| change(link, impairment));
            }
        };
        change_links(impair);
        self.wait_for_end().await;
        change_links(restore);
    }
}

fn impair(link: &mut LinkState, impairment: LinkImpairment) {
    match impairment {
        LinkImpairment::Cut => link.is_cut = true,
        LinkImpairment::Refused => link.refuse(),
        LinkImpairment::Reset => link.resets += 1,
        LinkImpairment::Slow => {
            link.is_fragmented = true;
            link.response_delay = SLOW_LINK_DELAY;
        }
    }
}

fn restore(link: &mut LinkState, impairment: LinkImpairment) {
    match impairment {
        LinkImpairment::Cut => link.heal(),
        LinkImpairment::Refused => link.is_refusing = false,
        LinkImpairment::Reset => {}
        LinkImpairment::Slow => {
            link.is_fragmented = false;
            link.response_delay = Duration::ZERO;
        }
    }
}

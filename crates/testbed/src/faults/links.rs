//! Faults of the links between nodes and discovery, and between nodes and workers.

use std::time::Duration;

use tokio::sync::watch;

use super::FaultInjection;
use crate::proxy::LinkState;

/// Delay of each answer over a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(150);

/// How a link fails.
#[derive(Clone, Copy)]
pub(super) enum LinkImpairment {
    /// All bytes are dropped without an error.
    Cut,
    /// Connections are reset, also new ones.
    Refused,
    /// Open connections are reset, once.
    Reset,
    /// Answers arrive late and in small pieces.
    Slow,
}

impl FaultInjection<'_> {
    pub(super) async fn impair_discovery_links(&self, impairment: LinkImpairment) {
        self.impair_links(&self.environment.fleet.links.discovery, impairment).await;
    }

    pub(super) async fn impair_worker_links(&self, impairment: LinkImpairment) {
        self.impair_links(&self.environment.fleet.links.workers, impairment).await;
    }

    /// Links are impaired until the end of the fault. A reset is over at once.
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
            link.in_pieces = true;
            link.answer_delay = SLOW_LINK_DELAY;
        }
    }
}

fn restore(link: &mut LinkState, impairment: LinkImpairment) {
    match impairment {
        LinkImpairment::Cut => link.heal(),
        LinkImpairment::Refused => link.is_refusing = false,
        LinkImpairment::Reset => {}
        LinkImpairment::Slow => {
            link.in_pieces = false;
            link.answer_delay = Duration::ZERO;
        }
    }
}
